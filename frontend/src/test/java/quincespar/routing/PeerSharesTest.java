package quincespar.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
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

/** The module hears of the number of front ends by one event, and a file taken at SIGHUP does not undo what the fleet knows. */
class PeerSharesTest {
    private static final double HOLD = 10_000;

    private final List<Scheduler.SettingsChanged> told = new ArrayList<>();
    private final Reducer reducer = new Reducer(SimulatedRouter.site(3, new Spec("a", "safe")), new Bounds(100, 1000, 2000, 2500, 8,
            8, 500, new PollTiming(2000, 1000, 250, 1000, 250, 400, 5000, 10_000)), (now, events) -> {
                events.stream().filter(Scheduler.SettingsChanged.class::isInstance).map(Scheduler.SettingsChanged.class::cast)
                        .forEach(told::add);
                return List.of();
            });
    private List<Effect> last = List.of();
    private double now = 1000;

    private void step(Input i) {
        now += 10;
        last = reducer.step(now, List.of(i));
    }

    private void news(boolean inTouch, String... names) {
        List<Instance> all = new ArrayList<>();
        for (String n : names) {
            all.add(new Instance(n, all.size() + 1, "", "", false, "t", Standing.SERVING, Standing.SERVING, 0, 0, 0,
                    new Result.Done()));
        }
        step(new Input.FleetChanged(new FleetView(Participation.Phase.IN_TOUCH, "", 1, new Snapshot(1, 1, 0, 9, all, List.of(),
                List.of()), now, inTouch), "b", HOLD));
    }

    private int routers() {
        return told.get(told.size() - 1).settings().routers();
    }

    @Test
    void theNumberOfFrontEndsFollowsTheFleetInTheSafeDirection() {
        reducer.start(now, "127.0.0.1:1", List.of());
        news(true, "a", "b", "c");
        assertThat(routers()).isEqualTo(3);
        assertThat(told.get(0).settings().routerIndex()).isEqualTo(1);
        news(true, "a", "b", "c");
        assertThat(told).hasSize(1); // no news to the module
        news(true, "b", "c");
        assertThat(routers()).isEqualTo(3);
        assertThat(last).contains(new Effect.StartTimer(new TimerKey.ShareGrowth(), HOLD));
        now += HOLD;
        step(new Input.TimerFired(new TimerKey.ShareGrowth()));
        assertThat(routers()).isEqualTo(2);
        assertThat(told.get(told.size() - 1).settings().routerIndex()).isZero();
        step(new Input.ReloadRequested());
        long serial = last.stream().filter(Effect.ReloadConfiguration.class::isInstance).mapToLong(e -> ((Effect.ReloadConfiguration) e).reloadId())
                .findFirst().orElseThrow();
        step(new Input.ConfigurationLoaded(serial, "127.0.0.1:1", SimulatedRouter.site(3, new Spec("a", "safe"), new Spec("n", "safe")),
                java.util.Map.of()));
        assertThat(routers()).isEqualTo(2);
        assertThat(told.get(told.size() - 1).settings().classes()).hasSize(2);
    }
}
