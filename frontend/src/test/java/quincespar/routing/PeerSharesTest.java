package quincespar.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import quincespar.decision.Scheduler;
import quincespar.fleet.FleetView;
import quincespar.fleet.Instance;
import quincespar.fleet.Participation;
import quincespar.fleet.Result;
import quincespar.fleet.Snapshot;
import quincespar.fleet.Standing;
import quincespar.membership.PollTiming;
import quincespar.routing.SimulatedRouter.Spec;

/**
 * The decision module is told of the number of front ends in one event, and a configuration that is loaded at SIGHUP does not
 * override what the fleet knows.
 */
class PeerSharesTest {
    private static final double SHARE_HOLD_MS = 10_000;

    private final List<Scheduler.SettingsChanged> configured = new ArrayList<>();
    private final Reducer reducer = new Reducer(SimulatedRouter.settings(3, new Spec("a", "safe")),
            new Bounds(100, 100, 1000, 8 << 20, 2000, 2500, 8, 8, 500, new PollTiming(2000, 1000, 250, 1000, 250, 400, 5000, 10_000)),
            (now, events) -> {
                events.stream().filter(Scheduler.SettingsChanged.class::isInstance).map(Scheduler.SettingsChanged.class::cast)
                        .forEach(configured::add);
                return List.of();
            });
    private List<Effect> lastEffects = List.of();
    private double now = 1000;

    private void step(Input input) {
        now += 10;
        lastEffects = reducer.step(now, List.of(input));
    }

    private void fleetChanges(boolean inTouch, String... names) {
        List<Instance> instances = new ArrayList<>();
        for (String name : names) {
            instances.add(new Instance(name, instances.size() + 1, "", "", false, "t", Standing.SERVING, Standing.SERVING,
                    0, 0, 0, new Result.Done()));
        }
        Snapshot state = new Snapshot(1, 1, 0, 9, instances, List.of(), List.of());
        step(new Input.FleetChanged(new FleetView(Participation.Phase.IN_TOUCH, "", 1, state, now, inTouch), "b", SHARE_HOLD_MS));
    }

    private Scheduler.Settings lastConfigured() {
        return configured.get(configured.size() - 1).settings();
    }

    @Test
    void sharesShrinkAtOnceAndGrowOnlyAfterAHold() {
        reducer.start(now, "127.0.0.1:1", List.of());
        fleetChanges(true, "a", "b", "c");
        assertThat(lastConfigured().routers()).isEqualTo(3);
        assertThat(configured.get(0).settings().routerIndex()).isEqualTo(1);
        fleetChanges(true, "a", "b", "c");
        assertThat(configured).hasSize(1); // nothing new for the module
        fleetChanges(true, "b", "c");
        assertThat(lastConfigured().routers()).isEqualTo(3);
        assertThat(lastEffects).contains(new Effect.StartTimer(new TimerKey.ShareGrowth(), SHARE_HOLD_MS));
        now += SHARE_HOLD_MS;
        step(new Input.TimerFired(new TimerKey.ShareGrowth()));
        assertThat(lastConfigured().routers()).isEqualTo(2);
        assertThat(lastConfigured().routerIndex()).isZero();
        step(new Input.ReloadRequested());
        long reloadId = lastEffects.stream().filter(Effect.ReloadConfiguration.class::isInstance)
                .mapToLong(e -> ((Effect.ReloadConfiguration) e).reloadId()).findFirst().orElseThrow();
        step(new Input.ConfigurationLoaded(reloadId, "127.0.0.1:1",
                SimulatedRouter.settings(3, new Spec("a", "safe"), new Spec("n", "safe")), Map.of()));
        assertThat(lastConfigured().routers()).isEqualTo(2);
        assertThat(lastConfigured().classes()).hasSize(2);
    }
}
