package quincespar.routing;

import quincespar.fleet.FleetView;
import quincespar.fleet.ShareTracker;

/** What is known of the other front ends, and among how many of them the engines are shared; nothing while there is no fleet. */
final class PeerShares {
    private ShareTracker shares;
    private RoutingSettings configured;
    private FleetView view = FleetView.NONE;
    private String self = "";

    PeerShares(RoutingSettings site) {
        configured = site;
    }

    /** These settings are configured from now on. */
    void configured(RoutingSettings next) {
        if (shares != null && (next.decision().routers() != configured.decision().routers()
                || next.decision().me() != configured.decision().me())) {
            shares = new ShareTracker(next.decision().routers(), next.decision().me(), shares.growthDelayMs());
        }
        configured = next;
    }

    /** The configured settings, among as many as are known to be there. */
    RoutingSettings site() {
        return shares == null ? configured : configured.among(shares.current().frontEnds(), shares.current().index());
    }

    /** News of the fleet. */
    void take(double now, Input.FleetChanged news) {
        if (shares == null) {
            shares = new ShareTracker(configured.decision().routers(), configured.decision().me(), news.shareHoldMs());
        }
        view = news.view();
        self = news.instanceName();
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
