package quincespar.fleet;

import java.util.List;

/**
 * Tracks the number of front ends that share the engines' capacity. Shares shrink at once, because an instance may send as soon
 * as it has joined. They grow only after an instance has been gone for the growth delay, and once in each such delay, so that
 * an instance that flaps faster changes nobody's share. Without a quorum they shrink to what is configured.
 */
public final class ShareTracker {
    private final int configured;
    private final double growthDelayMs;
    private int count;
    private int index;
    private double fewerSince = Double.POSITIVE_INFINITY;
    private double lastGrowthAt = Double.NEGATIVE_INFINITY;
    /** The most instances seen active at once since {@link #fewerSince}: the count that shares may grow to. */
    private int mostSeen;

    /** The number of front ends that share the engines, and this instance's index among them from 0. */
    public record Share(int frontEnds, int index) { }

    /**
     * Starts with the configured shares.
     *
     * @param configured the configured number of front ends, used while nothing else is known
     * @param index this instance's configured index among them
     * @param growthDelayMs how long fewer instances must be active before shares grow, in milliseconds
     */
    public ShareTracker(int configured, int index, double growthDelayMs) {
        this.configured = configured;
        this.index = index;
        this.growthDelayMs = growthDelayMs;
        count = configured;
    }

    /** How long fewer instances must be active before shares grow, in milliseconds. */
    public double growthDelayMs() {
        return growthDelayMs;
    }

    /** The current share. */
    public Share current() {
        return new Share(count, Math.floorMod(index, count));
    }

    /**
     * Updates the share from a view at {@code now} (milliseconds, monotonic); to be called with each new view and again after
     * {@link #nextUpdateMs}.
     */
    public Share update(double now, FleetView view, String self) {
        List<String> active = view.activeInstances().stream().map(Instance::name).toList();
        int wanted = active.contains(self) ? active.size() : 0;
        if (!view.quorumReachable() || wanted == 0) { // instances may have joined that are not known here
            fewerSince = Double.POSITIVE_INFINITY;
            count = Math.max(count, configured);
            return current();
        }
        index = active.indexOf(self);
        if (wanted >= count) {
            fewerSince = Double.POSITIVE_INFINITY;
            count = wanted;
            return current();
        }
        if (fewerSince == Double.POSITIVE_INFINITY) {
            fewerSince = now;
            mostSeen = wanted;
        }
        mostSeen = Math.max(mostSeen, wanted); // an instance seen at any time during the delay counts
        if (now >= fewerSince + growthDelayMs && now >= lastGrowthAt + growthDelayMs) {
            count = mostSeen;
            lastGrowthAt = now;
            fewerSince = wanted < count ? now : Double.POSITIVE_INFINITY;
            mostSeen = wanted;
        }
        return current();
    }

    /** Milliseconds from {@code now} until {@link #update} is due even without a new view; infinite if it is not. */
    public double nextUpdateMs(double now) {
        return fewerSince == Double.POSITIVE_INFINITY ? Double.POSITIVE_INFINITY
                : Math.max(0, Math.max(fewerSince, lastGrowthAt) + growthDelayMs - now);
    }
}
