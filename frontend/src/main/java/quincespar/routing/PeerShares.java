package quincespar.routing;

import quincespar.fleet.FleetView;
import quincespar.fleet.Shares;

/** What is known of the other front ends, and among how many of them the engines are shared; nothing while there is no fleet. */
final class PeerShares {
    private Shares shares;
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
            shares = new Shares(next.decision().routers(), next.decision().me(), shares.holdMs());
        }
        configured = next;
    }

    /** The configured settings, among as many as are known to be there. */
    RoutingSettings site() {
        return shares == null ? configured : configured.among(shares.share().among(), shares.share().place());
    }

    /** News of the fleet. */
    void take(double now, Input.FleetChanged news) {
        if (shares == null) {
            shares = new Shares(configured.decision().routers(), configured.decision().me(), news.shareHoldMs());
        }
        view = news.view();
        self = news.instanceName();
        shares.step(now, view, self);
    }

    /** Time has passed without news. */
    void due(double now) {
        shares.step(now, view, self);
    }

    /** When {@link #due} is to be called, in milliseconds from {@code now}; infinite where not. */
    double dueMs(double now) {
        return shares == null ? Double.POSITIVE_INFINITY : shares.dueMs(now);
    }
}
