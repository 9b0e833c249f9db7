package quincespar.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Random;
import org.junit.jupiter.api.Test;

class SeededRandomTest {
    /** Captures made with {@code java.util.Random} must replay to the same decisions. */
    @Test
    void drawsTheSameNumbersAsTheJdkGenerator() {
        for (long seed : new long[] {0, 1, -1, 42, Long.MIN_VALUE, 0x8c1f30d27a5be964L}) {
            Random known = new Random(seed);
            SchedulerState.SeededRandom ours = new SchedulerState.SeededRandom(seed);
            for (int i = 0; i < 1000; i++) {
                assertEquals(known.nextDouble(), ours.nextDouble());
            }
        }
    }
}
