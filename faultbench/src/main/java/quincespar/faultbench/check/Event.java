package quincespar.faultbench.check;

/**
 * A timestamped entry of a run's event log.
 *
 * @param at {@link System#nanoTime()} when it was recorded
 * @param lane the process, engine or schedule that the event is about
 * @param kind the kind of event
 * @param text details, may be empty
 */
public record Event(long at, String subject, String kind, String text) { }
