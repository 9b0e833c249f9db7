package quincespar.membership;

/** The delay before the next poll after failures in a row, by what each failure has cost the change log. */
final class Backoff {
    /** Pauses and connect timeouts double at most this often. */
    private static final int MAX_DOUBLINGS = 5;

    private final PollTiming timing;
    /** Polls in a row that reached the change log and brought nothing. */
    private int fruitlessPolls;
    /** Polls in a row that did not reach the change log. */
    private int unreachablePolls;
    private int connectTimeouts;

    Backoff(PollTiming timing) {
        this.timing = timing;
    }

    /** The change log has answered completely: it can be reached. */
    void reached() {
        unreachablePolls = 0;
        connectTimeouts = 0;
    }

    /** The change log has answered with news, or its address has changed: no failure counts any more. */
    void reset() {
        fruitlessPolls = 0;
        reached();
    }

    /** The pause after a failed poll, in milliseconds. */
    double pauseMs(PollFailure failure) {
        if (failure == PollFailure.NO_ANSWER) {
            return pauseAfterFruitlessPollMs();
        }
        connectTimeouts += failure == PollFailure.CONNECT_TIMEOUT ? 1 : 0;
        return Math.min(timing.maxUnreachablePauseMs(), doubled(timing.firstPauseMs(), unreachablePolls++));
    }

    /** The pause after a poll that the change log has worked on: over a large fleet this work adds up. */
    double pauseAfterFruitlessPollMs() {
        return Math.min(timing.maxPauseMs(), doubled(timing.firstPauseMs(), fruitlessPolls++));
    }

    /** How long the next connection may take to be established. */
    double connectTimeoutMs() {
        return doubled(timing.connectTimeoutMs(), connectTimeouts);
    }

    private static double doubled(double ms, int times) {
        return ms * (1 << Math.min(times, MAX_DOUBLINGS));
    }
}
