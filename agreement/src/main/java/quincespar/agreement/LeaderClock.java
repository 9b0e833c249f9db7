package quincespar.agreement;

/**
 * Agreed time as a leader tells it: what was agreed when it came to lead, and what has passed since on a clock that can't be
 * set. A leader that stood still does not count that time: nobody could renew a session with it meanwhile.
 */
final class LeaderClock {
    private final double longestStepMs;
    private double time = -1;
    private double toldAt;

    LeaderClock(double longestStepMs) {
        this.longestStepMs = longestStepMs;
    }

    /** This instance does not lead. */
    void reset() {
        time = -1;
    }

    /** The time to tell at {@code now}, both in milliseconds, where {@code agreed} is what has been agreed so far. */
    long advance(double now, long agreed) {
        time = Math.max(agreed, time < 0 ? agreed : time + Math.min(Math.max(0, now - toldAt), longestStepMs));
        toldAt = now;
        return Math.round(time);
    }
}
