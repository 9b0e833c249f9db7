package quincespar.routing;

import quincespar.membership.PollTiming;

/**
 * Limits on what clients and links may use; times in milliseconds. {@code maxCallers}, {@code maxBusyCallers} and
 * {@code maxRequests} depend on the descriptors and the memory that the process has.
 *
 * @param maxCallers       client connections; beyond that a new one takes the place of an unused or idle one
 * @param maxBusyCallers   client connections with open requests
 * @param maxRequests      open requests of all clients together
 * @param maxRequestBytes  memory of the requests of all clients together, statements included
 * @param firstRequestMs   a client that has sent no complete request by then is disconnected
 * @param callerIdleMs     a client's connection without an open request is closed after this: some clients send one request
 *                         and never close
 * @param maxLinksPerEngine connections to one engine
 * @param maxSharedPerLink requests that share a link while the engine may have another link
 * @param partialMessageMs how long the rest of an engine's message may take, as a message that stops short blocks all that
 *                         follow on its link
 * @param polling          how the change log is polled
 */
public record Bounds(int maxCallers, int maxBusyCallers, int maxRequests, long maxRequestBytes, double firstRequestMs,
        double callerIdleMs, int maxLinksPerEngine, int maxSharedPerLink, double partialMessageMs, PollTiming polling) {
    /** At about 2 KB a request, with a short statement and bookkeeping, this is a sixteenth of the memory. */
    private static final int REQUESTS_PER_MB = 32;
    private static final int MIN_REQUESTS = 64;
    /** The part of the heap for requests; the rest is for what is queued, buffered and collected. */
    private static final int HEAP_PARTS = 6;

    /** How many open requests fit into that much memory. */
    public static int maxRequestsFor(int memoryMb) {
        return Math.max(MIN_REQUESTS, memoryMb * REQUESTS_PER_MB);
    }

    /** How many bytes of requests fit into a heap of that size. */
    public static long maxRequestBytesFor(long maxHeapBytes) {
        return maxHeapBytes / HEAP_PARTS;
    }
}
