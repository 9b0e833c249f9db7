package quincespar.membership;

/**
 * Whether new work may go out although the list can't be asked for. While this machine's own calls fail, servers may have
 * been told to drain without this front end hearing of it, and once their grace is over nothing may be sent to them. A
 * change log that is down, slow or cut off stops nothing.
 */
final class DrainGrace {
    /** What is on its way to a server when a hold begins has so long to go out within the grace. */
    private static final double MARGIN_MS = 200;

    private final PollTiming pace;
    /** How long a server that has been told to drain may still be sent work; 0 where there is no such rule. */
    private double graceMs;
    private double lostAt;
    private boolean failedHere;
    private boolean held;

    DrainGrace(PollTiming pace) {
        this.pace = pace;
    }

    void graceMs(double ms) {
        graceMs = ms;
    }

    /** The last question that was in place has ended without an answer: what was told since may not have been heard. */
    void lost(double now) {
        lostAt = now;
    }

    void failed(PollFailure how) {
        failedHere = how == PollFailure.LOCAL_ERROR;
    }

    void answered() {
        failedHere = false;
    }

    /** Milliseconds since {@link #lost}. */
    double lostMs(double now) {
        return now - lostAt;
    }

    boolean held() {
        return held;
    }

    /** Holds or ends the hold as it ought to be now, a pause ahead; true where that is a change. */
    boolean changes(double now) {
        double ends = lostAt + graceMs;
        boolean hold = graceMs > 0 && failedHere && now + pace.maxUnreachablePauseMs() + MARGIN_MS >= ends && now < ends + pace.maxHoldMs();
        boolean change = hold != held;
        held = hold;
        return change;
    }
}
