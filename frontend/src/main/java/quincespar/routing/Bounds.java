package quincespar.routing;

import quincespar.membership.Pace;

/**
 * What clients and links may hold and how long they may take: {@code callers} connections and {@code requests} open over
 * all of them, which vary with the limits of a start; times in milliseconds.
 *
 * @param firstWordMs    a client that has sent no whole request by then is closed
 * @param idleClientMs   connections with nothing open go after this: some clients ask once and keep theirs for good
 * @param linksPerEngine connections to one engine at the most
 * @param sharedPerLink  requests that share one while the engine may have another
 * @param midwayMs       how long the rest of an engine's message may take: behind one that stops short nothing comes
 * @param changes        how the change log is followed
 */
public record Bounds(int callers, int requests, double firstWordMs, double idleClientMs, int linksPerEngine,
        int sharedPerLink, double midwayMs, Pace changes) {
    /** About 2 KB a request, statement and bookkeeping: a sixteenth of the memory. */
    private static final int REQUESTS_PER_MB = 32;

    /** Open requests that fit into so much memory. */
    public static int requestsIn(int memoryMb) {
        return Math.max(64, memoryMb * REQUESTS_PER_MB);
    }
}
