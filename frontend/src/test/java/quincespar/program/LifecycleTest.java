package quincespar.program;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import quincespar.program.Lifecycle.Phase;

/** The phases over all orders of events. */
class LifecycleTest {
    private enum LifecycleEvent { SERVES, ENGINE_AVAILABLE, TERM_ALONE, TERM_DURING_UPGRADE, SETTLED, ALL_ANSWERED, DONE }

    private static void apply(Lifecycle l, LifecycleEvent what) {
        switch (what) {
            case SERVES -> l.enter(Phase.SERVING);
            case ENGINE_AVAILABLE -> l.setEngineAvailable(true);
            case TERM_ALONE -> l.stop(false);
            case TERM_DURING_UPGRADE -> l.stop(true);
            case SETTLED -> l.enter(Phase.SETTLING);
            case ALL_ANSWERED -> l.enter(Phase.FINISHING);
            default -> l.enter(Phase.STOPPED);
        }
    }

    /** In any order: no earlier phase is entered, and the process is ready only while it serves and has not been told to stop. */
    @Test
    void noEarlierPhaseIsEnteredAndReadinessEndsWithTheStop() {
        List<List<LifecycleEvent>> orders = new ArrayList<>(List.of(List.of()));
        for (int length = 0; length < 5; length++) {
            List<List<LifecycleEvent>> longer = new ArrayList<>();
            for (List<LifecycleEvent> o : orders) {
                for (LifecycleEvent h : LifecycleEvent.values()) {
                    List<LifecycleEvent> next = new ArrayList<>(o);
                    next.add(h);
                    longer.add(next);
                }
            }
            orders = longer;
            orders.forEach(LifecycleTest::check);
        }
        assertThat(orders).hasSize(16_807);
    }

    private static void check(List<LifecycleEvent> order) {
        Lifecycle l = new Lifecycle();
        boolean stopRequested = false;
        Phase before = l.phase();
        for (LifecycleEvent h : order) {
            boolean wasReady = l.ready();
            apply(l, h);
            stopRequested |= h == LifecycleEvent.TERM_ALONE || h == LifecycleEvent.TERM_DURING_UPGRADE;
            assertThat(l.phase()).as("%s", order).isGreaterThanOrEqualTo(before);
            assertThat(l.ready() && (stopRequested || l.phase() != Phase.SERVING)).as("%s", order).isFalse();
            if (wasReady && h == LifecycleEvent.TERM_DURING_UPGRADE) {
                assertThat(l.phase()).isEqualTo(Phase.YIELDING);
            }
            before = l.phase();
        }
    }

    /** The old process is stopped as soon as the new one is ready: by then it must be able to detect that the new one serves. */
    @Test
    void theProcessIsMarkedAsServingBeforeItIsReady() {
        Lifecycle l = new Lifecycle();
        l.setEngineAvailable(true);
        List<String> order = new ArrayList<>();
        assertThat(l.serve(() -> order.add("marked, ready " + l.ready()), () -> order.add("cleared"))).isTrue();
        assertThat(order).containsExactly("marked, ready false");
        assertThat(l.ready()).isTrue();
        Lifecycle stopped = new Lifecycle();
        assertThat(stopped.serve(() -> stopped.stop(false), () -> order.add("cleared"))).isFalse();
        assertThat(order).containsExactly("marked, ready false", "cleared");
        assertThat(stopped.ready()).isFalse();
    }

    @Test
    void aStopBeforeServingEndsTheProcessAtOnceAndOnlyTheFirstStopCounts() {
        Lifecycle l = new Lifecycle();
        assertThat(l.stop(true)).isTrue();
        assertThat(l.phase()).isEqualTo(Phase.STOPPED);
        assertThat(l.stop(false)).isFalse();
        Lifecycle serving = new Lifecycle();
        serving.enter(Phase.SERVING);
        assertThat(serving.stop(true)).isTrue();
        assertThat(serving.stop(false)).isFalse();
        assertThat(serving.phase()).isEqualTo(Phase.YIELDING);
    }
}
