package quincespar.membership;

/**
 * How the change log is followed, all in milliseconds: {@code waitMs} is how long it may hold back an answer while there
 * is no news, {@code slackMs} how much later the answer may come, {@code pauseMs} the pause after a first failure, which
 * doubles up to {@code longestPauseMs}, and {@code staleMs} the age of the last whole answer from which the list is
 * called stale.
 */
public record Pace(long waitMs, double slackMs, double pauseMs, double longestPauseMs, double staleMs) { }
