package quincespar.fleet;

import java.util.List;

/**
 * What an instance knows of its fleet at a moment; immutable, handed to whoever asks.
 *
 * @param phase where this instance stands on its way into the fleet and out of it
 * @param line why it stands there, in one sentence; empty where there is nothing to say
 * @param incarnation this life's number, 0 before it has one
 * @param state the agreed state that was heard last
 * @param heardAt when a majority last answered, in milliseconds of this instance's clock; negative before the first time
 * @param inTouch whether that was lately
 */
public record FleetView(Participation.Phase phase, String statusLine, long incarnation, Snapshot state, double lastContactAt,
        boolean quorumReachable) {

    /** Where there is no fleet, or nothing has been heard of it. */
    public static final FleetView NONE = new FleetView(Participation.Phase.OFF, "", 0, Snapshot.EMPTY, -1, false);

    /** Instances that may still send work to engines. */
    public List<Instance> activeInstances() {
        return state.instances().stream().filter(i -> i.standing().isActive()).toList();
    }

    /** Milliseconds since a majority last answered, by the same clock; infinite before the first time. */
    public double millisSinceContact(double now) {
        return lastContactAt < 0 ? Double.POSITIVE_INFINITY : Math.max(0, now - lastContactAt);
    }
}
