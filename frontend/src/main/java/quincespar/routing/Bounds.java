package quincespar.routing;

/**
 * What clients may hold of the front end's limits, which vary from start to start: connections, and open requests
 * over all of them.
 */
public record Bounds(int callers, int requests) {
    /** A third of the descriptors is the usual clients' by the protocol; a few more are there to be chosen from. */
    private static final double CALLERS = 0.38;
    /** About 2 KB a request, statement and bookkeeping: a sixteenth of the memory. */
    private static final int REQUESTS_PER_MB = 32;

    /** The bounds that fit the limits of a configuration. */
    public static Bounds of(int sockets, int memoryMb) {
        return new Bounds(Math.max(1, (int) (sockets * CALLERS)), Math.max(64, memoryMb * REQUESTS_PER_MB));
    }
}
