package quincespar.agreement;

/**
 * The agreed time as the leader advances it: the time agreed when it started to lead, plus what has elapsed since on a monotonic
 * clock. A pause of the leader's process counts only up to the longest step, because nobody could renew a session during it.
 */
final class LeaderClock {
    private final double maxStepMs;
    /** The agreed time in milliseconds, negative while this instance does not lead. */
    private double time = -1;
    private double advancedAt;

    LeaderClock(double maxStepMs) {
        this.maxStepMs = maxStepMs;
    }

    /** Resets the clock, when this instance does not lead. */
    void reset() {
        time = -1;
    }

    /** Returns the time to agree on at {@code now}, where {@code agreed} is the time agreed so far; all in milliseconds. */
    long advance(double now, long agreed) {
        time = Math.max(agreed, time < 0 ? agreed : time + Math.min(Math.max(0, now - advancedAt), maxStepMs));
        advancedAt = now;
        return Math.round(time);
    }
}
