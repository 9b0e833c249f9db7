package quincespar.membership;

/**
 * How the change log is polled; all values in milliseconds.
 *
 * @param waitMs                how long the change log may hold back an answer while there is no news (long polling)
 * @param answerSlackMs         how much later than that the answer may arrive
 * @param firstPauseMs          the pause after a first failure; it doubles with each further one
 * @param maxPauseMs            the longest pause after a poll that reached the change log
 * @param maxUnreachablePauseMs the longest pause after a poll that did not reach it, and so cost it nothing
 * @param connectTimeoutMs      how long a connection may take at first; it doubles with each that took longer
 * @param maxHoldMs             how long sends are on hold at most while it is this machine that fails to poll
 * @param staleAfterMs          the age of the last complete answer from which the list is called stale
 */
public record PollTiming(long waitMs, double answerSlackMs, double firstPauseMs, double maxPauseMs, double maxUnreachablePauseMs,
        double connectTimeoutMs, double maxHoldMs, double staleAfterMs) { }
