package quincespar.membership;

/** How long to wait before the next question after failures in a row, by what each has cost the change log. */
final class Backoff {
    /** Pauses and times to connect double this often at the most. */
    private static final int MOST_DOUBLINGS = 5;

    private final PollTiming pace;
    private int calls;
    private int unreached;
    private int slowConnects;

    Backoff(PollTiming pace) {
        this.pace = pace;
    }

    /** A whole answer came: a question that reaches nobody from now on is a first one again. */
    void reached() {
        unreached = 0;
        slowConnects = 0;
    }

    /** An answer with news came, or the change log is another: nothing has failed yet. */
    void reset() {
        calls = 0;
        reached();
    }

    /** The pause after a failed question, in milliseconds. */
    double pauseMs(PollFailure how) {
        if (how == PollFailure.NO_ANSWER) {
            return afterCallMs();
        }
        slowConnects += how == PollFailure.CONNECT_TIMEOUT ? 1 : 0;
        return Math.min(pace.maxUnreachablePauseMs(), doubled(pace.firstPauseMs(), unreached++));
    }

    /** The pause after a question that the change log has worked on: these add up over a whole fleet. */
    double afterCallMs() {
        return Math.min(pace.maxPauseMs(), doubled(pace.firstPauseMs(), calls++));
    }

    /** How long the next connection may take to come up. */
    double connectMs() {
        return doubled(pace.connectTimeoutMs(), slowConnects);
    }

    private static double doubled(double ms, int times) {
        return ms * (1 << Math.min(times, MOST_DOUBLINGS));
    }
}
