package quincespar.routing;

import quincespar.membership.PollTiming;

/**
 * What clients and links may hold and how long they may take: {@code callers} connections and {@code requests} open over
 * all of them, which vary with the limits of a start; times in milliseconds.
 *
 * @param firstRequestMs    a client that has sent no whole request by then is closed
 * @param callerIdleMs   connections with nothing open go after this: some clients ask once and keep theirs for good
 * @param maxLinksPerEngine connections to one engine at the most
 * @param maxSharedPerLink  requests that share one while the engine may have another
 * @param partialMessageMs       how long the rest of an engine's message may take: behind one that stops short nothing comes
 * @param changes        how the change log is followed
 */
public record Bounds(int maxCallers, int maxRequests, double firstRequestMs, double callerIdleMs, int maxLinksPerEngine,
        int maxSharedPerLink, double partialMessageMs, PollTiming polling) {
    /** About 2 KB a request, statement and bookkeeping: a sixteenth of the memory. */
    private static final int REQUESTS_PER_MB = 32;

    /** Open requests that fit into so much memory. */
    public static int maxRequestsFor(int memoryMb) {
        return Math.max(64, memoryMb * REQUESTS_PER_MB);
    }
}
