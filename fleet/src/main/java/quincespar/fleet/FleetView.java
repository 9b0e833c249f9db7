package quincespar.fleet;

import java.util.List;

/**
 * What an instance knows of its fleet at one moment.
 *
 * @param phase this instance's phase of participation
 * @param statusLine why it is in this phase, in one sentence; empty if there is nothing to say
 * @param incarnation this instance's incarnation, 0 before it has one
 * @param state the last replicated state that was received
 * @param lastContactAt when a quorum last answered, in milliseconds of this instance's clock; negative before the first time
 * @param quorumReachable whether a quorum has answered recently
 */
public record FleetView(Participation.Phase phase, String statusLine, long incarnation, Snapshot state, double lastContactAt,
        boolean quorumReachable) {

    /** The view without a fleet, or before anything is known of it. */
    public static final FleetView NONE = new FleetView(Participation.Phase.OFF, "", 0, Snapshot.EMPTY, -1, false);

    /** Instances that may still send work to engines. */
    public List<Instance> activeInstances() {
        return state.instances().stream().filter(i -> i.standing().isActive()).toList();
    }

    /** Milliseconds since a quorum last answered, where {@code now} is of the same clock; infinite before the first time. */
    public double millisSinceContact(double now) {
        return lastContactAt < 0 ? Double.POSITIVE_INFINITY : Math.max(0, now - lastContactAt);
    }
}
