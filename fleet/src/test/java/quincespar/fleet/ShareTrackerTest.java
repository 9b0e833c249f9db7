package quincespar.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class ShareTrackerTest {
    private static final double HOLD = 10_000;

    private static FleetView view(boolean inTouch, int acting) {
        List<Instance> all = new ArrayList<>();
        for (int i = 0; i < acting; i++) {
            all.add(new Instance("n" + i, i + 1, "", "", false, "t", Standing.SERVING, Standing.SERVING, 0, 0, 0,
                    new Result.Done()));
        }
        return new FleetView(Participation.Phase.IN_TOUCH, "", 1, new Snapshot(1, 1, 0, acting, all, List.of(), List.of()),
                0, inTouch);
    }

    @Test
    void shrinksAtOnceAndGrowsAfterTheDelay() {
        ShareTracker s = new ShareTracker(5, 0, HOLD);
        assertThat(s.update(0, view(true, 5), "n0").frontEnds()).isEqualTo(5);
        assertThat(s.update(1, view(true, 7), "n0").frontEnds()).isEqualTo(7);
        assertThat(s.update(2, view(true, 4), "n0").frontEnds()).isEqualTo(7);
        assertThat(s.nextUpdateMs(2)).isEqualTo(HOLD);
        assertThat(s.update(3, view(true, 6), "n0").frontEnds()).isEqualTo(7); // one instance has returned
        assertThat(s.update(2 + HOLD, view(true, 4), "n0").frontEnds()).isEqualTo(6); // an instance seen during the delay counts
        assertThat(s.update(2 + 2 * HOLD, view(true, 4), "n0").frontEnds()).isEqualTo(4);
        assertThat(s.nextUpdateMs(3 * HOLD)).isInfinite();
    }

    @Test
    void fallsBackToTheConfiguredCountWithoutAQuorum() {
        ShareTracker s = new ShareTracker(5, 2, HOLD);
        s.update(0, view(true, 3), "n0");
        assertThat(s.update(HOLD, view(true, 3), "n0").frontEnds()).isEqualTo(3);
        assertThat(s.update(HOLD + 1, view(false, 3), "n0").frontEnds()).isEqualTo(5);
        assertThat(s.update(HOLD + 2, view(true, 3), "elsewhere").frontEnds()).isEqualTo(5); // this instance is not in the view
        assertThat(new ShareTracker(5, 2, HOLD).update(0, FleetView.NONE, "n0")).isEqualTo(new ShareTracker.Share(5, 2));
    }

    /** However instances come and go, a share is never larger than is safe, and it grows at most once per delay. */
    @Property(tries = 500)
    void neverCountsFewerThanAreActiveAndGrowsOncePerDelay(@ForAll long seed) {
        Random chance = new Random(seed);
        ShareTracker s = new ShareTracker(1 + chance.nextInt(6), 0, HOLD);
        double now = 0;
        double grew = Double.NEGATIVE_INFINITY;
        int before = s.current().frontEnds();
        for (int i = 0; i < 200; i++) {
            now += chance.nextInt(chance.nextBoolean() ? 300 : 6000);
            int acting = 1 + chance.nextInt(8);
            boolean inTouch = chance.nextInt(10) > 0;
            ShareTracker.Share share = s.update(now, view(inTouch, acting), "n0");
            assertThat(share.index()).isBetween(0, share.frontEnds() - 1);
            if (inTouch) {
                assertThat(share.frontEnds()).isGreaterThanOrEqualTo(acting);
            }
            if (share.frontEnds() < before) {
                assertThat(now - grew).isGreaterThanOrEqualTo(HOLD);
                grew = now;
            }
            before = share.frontEnds();
        }
    }
}
