package quincespar.routing;

import quincespar.fleet.FleetView;
import quincespar.fleet.ShareTracker;

/** What is known of the other front ends, and among how many of them the engines are shared; nothing while there is no fleet. */
final class Fellows {
    private ShareTracker shares;
    private Site configured;
    private FleetView view = FleetView.NONE;
    private String self = "";

    Fellows(Site site) {
        configured = site;
    }

    /** These settings are configured from now on. */
    void configured(Site next) {
        if (shares != null && (next.module().routers() != configured.module().routers()
                || next.module().me() != configured.module().me())) {
            shares = new ShareTracker(next.module().routers(), next.module().me(), shares.growthDelayMs());
        }
        configured = next;
    }

    /** The configured settings, among as many as are known to be there. */
    Site site() {
        return shares == null ? configured : configured.among(shares.current().frontEnds(), shares.current().index());
    }

    /** News of the fleet. */
    void take(double now, Input.FleetNews news) {
        if (shares == null) {
            shares = new ShareTracker(configured.module().routers(), configured.module().me(), news.holdMs());
        }
        view = news.view();
        self = news.self();
        shares.update(now, view, self);
    }

    /** Time has passed without news. */
    void due(double now) {
        shares.update(now, view, self);
    }

    /** When {@link #due} is to be called, in milliseconds from {@code now}; infinite where not. */
    double dueMs(double now) {
        return shares == null ? Double.POSITIVE_INFINITY : shares.nextUpdateMs(now);
    }
}
