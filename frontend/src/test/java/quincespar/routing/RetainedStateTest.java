package quincespar.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import quincespar.protocol.FleetEvent.Phase;
import quincespar.routing.SimulatedRouter.Spec;

/** What the reducer holds over a long time in which ids are ever new: of engines, clients and transactions. */
class RetainedStateTest {
    private final SimulatedRouter w = new SimulatedRouter(SimulatedRouter.site(3, new Spec("a", "safe"), new Spec("b", "unsafe")));

    private void live(int from, int rounds) {
        for (int i = from; i < from + rounds; i++) {
            long connection = 100 + i;
            w.step(new Input.CallerConnected(connection));
            w.ask("a");
            w.ask("b");
            w.settle();
            w.step(new Input.CallerDisconnected(connection));
            w.changes(SimulatedRouter.member("s-" + (i + 2), Phase.UP), SimulatedRouter.member("s-" + i, Phase.DRAINING));
            w.changes(SimulatedRouter.member("s-" + i, Phase.REMOVED));
            List<Effect> idle = w.all.stream().filter(e -> e instanceof Effect.StartTimer t
                    && t.key() instanceof TimerKey.LinkIdle).toList();
            w.all.clear();
            idle.forEach(e -> w.step(new Input.TimerFired(((Effect.StartTimer) e).key())));
        }
    }

    @Test
    void nothingIsHeldForGoodOfWhatHasGone() {
        live(1, 50);
        Map<String, Integer> after = w.reducer.retainedCounts();
        live(51, 2000);
        assertThat(w.reducer.retainedCounts().get("held.links")).isLessThanOrEqualTo(after.get("held.links") + 2);
        assertThat(w.reducer.retainedCounts()).containsEntry("held.requests", 0).containsEntry("held.names", 0)
                .containsEntry("held.probes", 0).containsEntry("held.engines", after.get("held.engines"));
        assertThat(w.reducer.retainedCounts().get("held.callers")).isEqualTo(after.get("held.callers"));
        assertThat(w.reducer.engineCounters().size()).isLessThan(257 * 20);
        assertThat(w.reducer.metrics().listedEngines()).isEqualTo(2);
    }
}
