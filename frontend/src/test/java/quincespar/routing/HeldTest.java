package quincespar.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import quincespar.protocol.FleetEvent.Phase;
import quincespar.routing.RouterWorld.Spec;

/** What the reducer holds over a long time in which ids are ever new: of engines, clients and transactions. */
class HeldTest {
    private final RouterWorld w = new RouterWorld(RouterWorld.site(3, new Spec("a", "safe"), new Spec("b", "unsafe")));

    private void live(int from, int rounds) {
        for (int i = from; i < from + rounds; i++) {
            long connection = 100 + i;
            w.step(new Input.CallerUp(connection));
            w.ask("a");
            w.ask("b");
            w.settle();
            w.step(new Input.CallerGone(connection));
            w.changes(RouterWorld.member("s-" + (i + 2), Phase.UP), RouterWorld.member("s-" + i, Phase.DRAINING));
            w.changes(RouterWorld.member("s-" + i, Phase.REMOVED));
            List<Effect> idle = w.all.stream().filter(e -> e instanceof Effect.StartTimer t
                    && t.key() instanceof TimerKey.Idle).toList();
            w.all.clear();
            idle.forEach(e -> w.step(new Input.TimerFired(((Effect.StartTimer) e).key())));
        }
    }

    @Test
    void nothingIsHeldForGoodOfWhatHasGone() {
        live(1, 50);
        Map<String, Integer> after = w.reducer.held();
        live(51, 2000);
        assertThat(w.reducer.held().get("held.links")).isLessThanOrEqualTo(after.get("held.links") + 2);
        assertThat(w.reducer.held()).containsEntry("held.requests", 0).containsEntry("held.names", 0)
                .containsEntry("held.probes", 0).containsEntry("held.engines", after.get("held.engines"));
        assertThat(w.reducer.held().get("held.callers")).isEqualTo(after.get("held.callers"));
        assertThat(w.reducer.engines().size()).isLessThan(257 * 20);
        assertThat(w.reducer.figures().engines()).isEqualTo(2);
    }
}
