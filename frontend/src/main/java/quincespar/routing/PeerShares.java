package quincespar.routing;

import quincespar.fleet.FleetView;
import quincespar.fleet.ShareTracker;

/**
 * The number of front ends that share the engines, and this one's place among them. They come from the configuration, or
 * from the fleet once anything is known of it.
 */
final class PeerShares {
    /** Null while nothing is known of the fleet. */
    private ShareTracker shares;
    private RoutingSettings configured;
    private FleetView view = FleetView.NONE;
    private String instanceName = "";

    PeerShares(RoutingSettings configured) {
        this.configured = configured;
    }

    /** These settings are configured from now on. */
    void configure(RoutingSettings next) {
        if (shares != null && (next.decision().routers() != configured.decision().routers()
                || next.decision().routerIndex() != configured.decision().routerIndex())) {
            shares = new ShareTracker(next.decision().routers(), next.decision().routerIndex(), shares.growthDelayMs());
        }
        configured = next;
    }

    /** The configured settings, with the number of front ends that is in force now. */
    RoutingSettings settings() {
        return shares == null ? configured : configured.sharedAmong(shares.current().frontEnds(), shares.current().index());
    }

    /** What is known of the fleet has changed. */
    void fleetChanged(double now, Input.FleetChanged change) {
        if (shares == null) {
            shares = new ShareTracker(configured.decision().routers(), configured.decision().routerIndex(),
                    change.shareGrowthDelayMs());
        }
        view = change.view();
        instanceName = change.instanceName();
        shares.update(now, view, instanceName);
    }

    /** Time has passed without a change of the fleet. */
    void timerFired(double now) {
        shares.update(now, view, instanceName);
    }

    /** In how many milliseconds {@link #timerFired} is to be called; infinite where not. */
    double timerDelayMs(double now) {
        return shares == null ? Double.POSITIVE_INFINITY : shares.nextUpdateMs(now);
    }
}
