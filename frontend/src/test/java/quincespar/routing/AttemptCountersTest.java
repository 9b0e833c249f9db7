package quincespar.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;
import quincespar.decision.Scheduler.CancelReason;
import quincespar.decision.Scheduler.Outcome;

class AttemptCountersTest {
    /** Operators' tools find the counters by these names, whatever the constants are called in the code. */
    @Test
    void countersAreNamedByCauseAndClass() {
        AttemptCounters counters = new AttemptCounters();
        for (CancelReason reason : CancelReason.values()) {
            counters.countCancelled(reason, "lookup");
        }
        counters.countCancelled(CancelReason.SLOW_PROGRESS, "lookup");
        counters.count("ended", Outcome.CONNECT_FAILED, "lookup");
        assertThat(counters.byClass()).isEqualTo(Map.of("cut.over.lookup", 1L, "cut.mute.lookup", 1L,
                "cut.straggles.lookup", 1L, "cut.held.lookup", 1L, "cut.slow.lookup", 2L,
                "ended.connect_failed.lookup", 1L));
    }
}
