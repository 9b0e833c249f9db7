package quincespar.membership;

/**
 * Decides whether new work may be sent while the change log can't be polled. If it is this machine that fails to connect,
 * engines may have been told to drain without this front end knowing, and after their grace period nothing may be sent to
 * them. A change log that is down, slow or unreachable does not stop sends.
 */
final class DrainGrace {
    /** What is queued for an engine when a hold begins has this long to be written within the grace period. */
    private static final double WRITE_MARGIN_MS = 200;

    private final PollTiming timing;
    /** How long an engine that has been told to drain may still be sent work; 0 where there is no such rule. */
    private double graceMs;
    private double lostAt;
    private boolean failedLocally;
    private boolean held;

    DrainGrace(PollTiming timing) {
        this.timing = timing;
    }

    void setGraceMs(double ms) {
        graceMs = ms;
    }

    /** The first poll after an answer has failed: later events of the change log may be unknown here. */
    void lost(double now) {
        lostAt = now;
    }

    void failed(PollFailure failure) {
        failedLocally = failure == PollFailure.LOCAL_ERROR;
    }

    void answered() {
        failedLocally = false;
    }

    /** Milliseconds since {@link #lost}. */
    double lostMs(double now) {
        return now - lostAt;
    }

    boolean held() {
        return held;
    }

    /** Begins or ends a hold where it is time, one pause in advance; true where that is a change. */
    boolean update(double now) {
        double graceEnds = lostAt + graceMs;
        boolean hold = graceMs > 0 && failedLocally && now + timing.maxUnreachablePauseMs() + WRITE_MARGIN_MS >= graceEnds
                && now < graceEnds + timing.maxHoldMs();
        boolean changed = hold != held;
        held = hold;
        return changed;
    }
}
