package quincespar.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import quincespar.protocol.FleetEvent.Phase;
import quincespar.routing.SimulatedRouter.Spec;

/** The reducer's state does not grow while engines, clients and transactions with ever new ids come and go. */
class RetainedStateTest {
    private final SimulatedRouter router = new SimulatedRouter(
            SimulatedRouter.settings(3, new Spec("a", "safe"), new Spec("b", "unsafe")));

    private void run(int firstRound, int rounds) {
        for (int round = firstRound; round < firstRound + rounds; round++) {
            long connection = 100 + round;
            router.step(new Input.CallerConnected(connection));
            router.request("a");
            router.request("b");
            router.settle();
            router.step(new Input.CallerDisconnected(connection));
            router.changes(SimulatedRouter.member("s-" + (round + 2), Phase.UP),
                    SimulatedRouter.member("s-" + round, Phase.DRAINING));
            router.changes(SimulatedRouter.member("s-" + round, Phase.REMOVED));
            List<Effect> idleTimers = router.effects.stream().filter(e -> e instanceof Effect.StartTimer t
                    && t.key() instanceof TimerKey.LinkIdle).toList();
            router.effects.clear();
            idleTimers.forEach(e -> router.step(new Input.TimerFired(((Effect.StartTimer) e).key())));
        }
    }

    @Test
    void nothingIsRetainedOfWhatIsGone() {
        run(1, 50);
        Map<String, Integer> early = router.reducer.retainedCounts();
        run(51, 2000);
        Map<String, Integer> late = router.reducer.retainedCounts();
        assertThat(late.get("held.links")).isLessThanOrEqualTo(early.get("held.links") + 2);
        assertThat(late).containsEntry("held.requests", 0).containsEntry("held.names", 0).containsEntry("held.request-bytes", 0)
                .containsEntry("held.probes", 0).containsEntry("held.engines", early.get("held.engines"));
        assertThat(late.get("held.callers")).isEqualTo(early.get("held.callers"));
        assertThat(router.reducer.engineCounters().size()).isLessThan(257 * 20);
        assertThat(router.reducer.metrics().listedEngines()).isEqualTo(2);
    }
}
