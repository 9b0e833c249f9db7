package quincespar.program;

/**
 * Detects pauses of the whole process, as while it is stopped or gets no processor time. A signal that is handled right after a
 * pause may have been sent at any time during it, and deadlines that count from its sending have gone on meanwhile.
 */
final class PauseDetector {
    /** A signal handled within this time after a pause may have been sent during the pause. */
    private static final double RECENT_MS = 300;
    /** Shorter gaps between two steps are normal operation. */
    private static final double MIN_PAUSE_MS = 150;

    private double lastStepAt = Double.NaN;
    private double pauseEndedAt = Double.NEGATIVE_INFINITY;
    private double pauseMs;

    /** Reports a step of the main thread, which makes many each second while any request is open. */
    synchronized void stepped(double now) {
        if (now - lastStepAt >= MIN_PAUSE_MS) {
            pauseEndedAt = now;
            pauseMs = now - lastStepAt;
        }
        lastStepAt = now;
    }

    /** The longest time by which a signal handled at {@code now} may have been delayed, in milliseconds. */
    synchronized double maxDelayMs(double now) {
        double sinceStep = now - lastStepAt >= MIN_PAUSE_MS ? now - lastStepAt : 0; // the main thread has not resumed yet
        return Math.max(sinceStep, now - pauseEndedAt <= RECENT_MS ? pauseMs : 0);
    }
}
