package quincespar.membership;

/**
 * How the change log is followed, all in milliseconds.
 *
 * @param waitMs how long it may hold back an answer while there is no news
 * @param slackMs how much later the answer may come
 * @param pauseMs the pause after a first failure; it doubles
 * @param longestPauseMs the longest pause after a question that reached the change log
 * @param unreachedPauseMs the longest pause after a question that did not: it has cost the change log nothing
 * @param connectMs how long a connection may take to come up, at first; it doubles with each that took longer
 * @param holdMs how long nothing is sent, at the most, while this machine's own failing calls keep it from asking
 * @param staleMs the age of the last whole answer from which the list is called stale
 */
public record PollTiming(long waitMs, double answerSlackMs, double firstPauseMs, double maxPauseMs, double maxUnreachablePauseMs, double connectTimeoutMs,
        double maxHoldMs, double staleAfterMs) { }
