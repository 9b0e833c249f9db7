package quincespar.routing;

/** The final answer to a request, in no protocol's terms. */
public sealed interface Reply {
    /** All rows of the result, in order and unchanged. */
    record Served(byte[] result) implements Reply { }

    /** Turned away: trying again is harmless, after {@code retryAfterMs} where that is above 0. */
    record Refused(double retryAfterMs) implements Reply { }

    /** Ended with nothing promised. */
    record Failed() implements Reply { }
}
