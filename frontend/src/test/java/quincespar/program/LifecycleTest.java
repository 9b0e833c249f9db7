package quincespar.program;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import quincespar.program.Lifecycle.Phase;

/** The phases as a state machine, over all orders of what happens to a process. */
class LifecycleTest {
    private enum Happens { SERVES, LISTED, TERM_ALONE, TERM_BESIDE, SETTLED, ALL_ANSWERED, DONE }

    private static void happen(Lifecycle l, Happens what) {
        switch (what) {
            case SERVES -> l.enter(Phase.SERVING);
            case LISTED -> l.setEngineAvailable(true);
            case TERM_ALONE -> l.stop(false);
            case TERM_BESIDE -> l.stop(true);
            case SETTLED -> l.enter(Phase.SETTLING);
            case ALL_ANSWERED -> l.enter(Phase.FINISHING);
            default -> l.enter(Phase.STOPPED);
        }
    }

    /** In whatever order: it never goes back, is ready only while it serves, and never again once told to stop. */
    @Test
    void aPhaseIsNeverLeftBackwardsAndReadinessEndsWithTheWordToStop() {
        List<List<Happens>> orders = new ArrayList<>(List.of(List.of()));
        for (int length = 0; length < 5; length++) {
            List<List<Happens>> longer = new ArrayList<>();
            for (List<Happens> o : orders) {
                for (Happens h : Happens.values()) {
                    List<Happens> next = new ArrayList<>(o);
                    next.add(h);
                    longer.add(next);
                }
            }
            orders = longer;
            orders.forEach(LifecycleTest::holds);
        }
        assertThat(orders).hasSize(16_807);
    }

    private static void holds(List<Happens> order) {
        Lifecycle l = new Lifecycle();
        boolean told = false;
        Phase before = l.phase();
        for (Happens h : order) {
            boolean wasReady = l.ready();
            happen(l, h);
            told |= h == Happens.TERM_ALONE || h == Happens.TERM_BESIDE;
            assertThat(l.phase()).as("%s", order).isGreaterThanOrEqualTo(before);
            assertThat(l.ready() && (told || l.phase() != Phase.SERVING)).as("%s", order).isFalse();
            if (wasReady && h == Happens.TERM_BESIDE) {
                assertThat(l.phase()).isEqualTo(Phase.YIELDING);
            }
            before = l.phase();
        }
    }

    /** The old process is told to stop at the yes: by then it must be able to see that another one serves. */
    @Test
    void othersAreToldBeforeTheYesIsSaid() {
        Lifecycle l = new Lifecycle();
        l.setEngineAvailable(true);
        List<String> order = new ArrayList<>();
        assertThat(l.serve(() -> order.add("told, ready " + l.ready()), () -> order.add("taken back"))).isTrue();
        assertThat(order).containsExactly("told, ready false");
        assertThat(l.ready()).isTrue();
        Lifecycle stopped = new Lifecycle();
        assertThat(stopped.serve(() -> stopped.stop(false), () -> order.add("taken back"))).isFalse();
        assertThat(order).containsExactly("told, ready false", "taken back");
        assertThat(stopped.ready()).isFalse();
    }

    @Test
    void aWordToStopBeforeItServesEndsItAtOnceAndOnlyTheFirstWordCounts() {
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
