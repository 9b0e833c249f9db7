package quincespar.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class CancelReasonTest {
    /** Counters and explanations name a reason by its label, whatever the constant is called. */
    @Test
    void labelsAreThoseThatOperatorsKnow() {
        assertEquals(List.of("over", "mute", "straggles", "held", "slow"),
                Arrays.stream(Scheduler.CancelReason.values()).map(r -> r.label).toList());
    }
}
