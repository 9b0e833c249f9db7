package quincespar.faultbench;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import quincespar.faultbench.check.History.StatusSample;

@Timeout(60)
class LatestSamplesTest {
    private static final int ROUNDS = 200, NODES = 200;

    private static StatusSample sample(int node, long applied) {
        String name = "n" + node;
        return new StatusSample(0, name, "MEMBER", 1, true, true, name, node, applied, 1, List.of(name + ":1:SERVING"));
    }

    private static void addAll(LatestSamples samples) {
        for (int node = 1; node <= NODES; node++) {
            samples.add(sample(node, node));
        }
    }

    /** Guards against a run that ends because an instance's first sample is added while the others are looked through. */
    @Test
    void samplesAreReadWhileOtherThreadsAddSome() throws Exception {
        for (int i = 0; i < ROUNDS; i++) {
            LatestSamples samples = new LatestSamples();
            CompletableFuture<Void> writer = CompletableFuture.runAsync(() -> addAll(samples));
            while (!writer.isDone()) {
                assertThat(samples.maxApplied()).isBetween(0L, (long) NODES);
                assertThat(samples.leader("none")).startsWith("n");
                assertThat(samples.anyLists("n0:1:SERVING")).isFalse();
            }
            writer.get(10, TimeUnit.SECONDS);
            assertThat(samples.maxApplied()).isEqualTo(NODES);
        }
    }

    @Test
    void theLeaderIsTheOneOfTheHighestTerm() {
        LatestSamples samples = new LatestSamples();
        assertThat(samples.leader("n1")).isEqualTo("n1");
        samples.add(sample(2, 5));
        samples.add(sample(3, 4));
        assertThat(samples.leader("n1")).isEqualTo("n3");
        assertThat(samples.maxApplied()).isEqualTo(5);
        assertThat(samples.of("n2").applied()).isEqualTo(5);
        assertThat(samples.of("n4")).isNull();
    }
}
