package quincespar.fleet;

import java.util.List;

/**
 * Among how many front ends the engines are shared, from what is known of the fleet. Shares shrink at once, as an instance
 * that has joined may send from that moment on; they grow only after one has certainly been gone for a while, and one step
 * in that while: an instance that comes and goes faster moves nobody's share. Out of touch they shrink to what was configured.
 */
public final class ShareTracker {
    private final int configured;
    private final double holdMs;
    private int inForce;
    private int place;
    private double fewerSince = Double.POSITIVE_INFINITY;
    private double grownAt = Double.NEGATIVE_INFINITY;
    private int fewest;

    /** Among how many, and this instance's place among them from 0. */
    public record Share(int frontEnds, int index) { }

    /**
     * Shares for an instance.
     *
     * @param configured how many front ends the configuration names: what holds while nothing else is known
     * @param place this one's place among them
     * @param holdMs how long fewer must be known before shares grow, in milliseconds
     */
    public ShareTracker(int configured, int place, double holdMs) {
        this.configured = configured;
        this.place = place;
        this.holdMs = holdMs;
        inForce = configured;
    }

    /** How long fewer must be known before shares grow, in milliseconds. */
    public double growthDelayMs() {
        return holdMs;
    }

    /** What holds now. */
    public Share current() {
        return new Share(inForce, Math.floorMod(place, inForce));
    }

    /**
     * Takes what is known at {@code now} (milliseconds, never running backwards); to be called with each news and again
     * {@link #nextUpdateMs} later.
     */
    public Share update(double now, FleetView view, String self) {
        List<String> acting = view.activeInstances().stream().map(Instance::name).toList();
        int wanted = acting.contains(self) ? acting.size() : 0;
        if (!view.quorumReachable() || wanted == 0) { // whoever has joined meanwhile is not known here
            fewerSince = Double.POSITIVE_INFINITY;
            inForce = Math.max(inForce, configured);
            return current();
        }
        place = acting.indexOf(self);
        if (wanted >= inForce) {
            fewerSince = Double.POSITIVE_INFINITY;
            inForce = wanted;
            return current();
        }
        if (fewerSince == Double.POSITIVE_INFINITY) {
            fewerSince = now;
            fewest = wanted;
        }
        fewest = Math.max(fewest, wanted); // whoever was seen in the meantime counts
        if (now >= fewerSince + holdMs && now >= grownAt + holdMs) {
            inForce = fewest;
            grownAt = now;
            fewerSince = wanted < inForce ? now : Double.POSITIVE_INFINITY;
            fewest = wanted;
        }
        return current();
    }

    /** When {@link #update} is to be called again though nothing was heard, in milliseconds from {@code now}; infinite where not. */
    public double nextUpdateMs(double now) {
        return fewerSince == Double.POSITIVE_INFINITY ? Double.POSITIVE_INFINITY
                : Math.max(0, Math.max(fewerSince, grownAt) + holdMs - now);
    }
}
