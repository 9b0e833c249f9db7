package quincespar.routing;

/** The final answer to a request, independent of the wire protocol. */
public sealed interface Reply {
    /** The complete result: all pages in order, unchanged. */
    record Served(byte[] result) implements Reply { }

    /** The request has not run, or may run again: a retry is safe, after {@code retryAfterMs} where that is above 0. */
    record Refused(double retryAfterMs) implements Reply { }

    /** The request has failed, and may have run. */
    record Failed() implements Reply { }
}
