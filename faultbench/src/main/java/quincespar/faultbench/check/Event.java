package quincespar.faultbench.check;

/**
 * Something that was seen.
 *
 * @param at nanoseconds of the machine's monotonic clock
 * @param lane whose it is: a process, a pair, a client
 * @param kind what happened
 * @param text the rest, in words
 */
public record Event(long at, String subject, String kind, String text) { }
