package quincespar.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * The memory that requests hold, in all and by connection, until each is closed and none of its attempts is open. A connection
 * may hold a share of what is still free, as in a switch whose ports share one buffer by dynamic thresholds: one that sends
 * much is limited first, and there is always room for others.
 */
final class RequestMemory {
    /** What a request takes besides its statement, here and in the decision module. */
    private static final int OVERHEAD_BYTES = 2048;
    /** A connection may hold at most this part of the free memory. */
    private static final double SHARE_OF_FREE = 0.25;

    private final long maxBytes;
    private final Map<Long, Long> byConnection = new HashMap<>();
    private long totalBytes;

    RequestMemory(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Whether a connection may hold one more request. */
    boolean fits(long connection, Query query) {
        long free = maxBytes - totalBytes;
        return byConnection.getOrDefault(connection, 0L) + bytes(query) <= free * SHARE_OF_FREE;
    }

    /** Counts a request against its connection. */
    void add(OpenRequest request) {
        long bytes = bytes(request.query);
        totalBytes += bytes;
        byConnection.merge(request.caller.connection(), bytes, Long::sum);
    }

    /** Frees the memory of a request that was added. */
    void remove(OpenRequest request) {
        long bytes = bytes(request.query);
        totalBytes -= bytes;
        byConnection.computeIfPresent(request.caller.connection(), (c, held) -> held > bytes ? held - bytes : null);
    }

    /** The bytes held by all requests. */
    long totalBytes() {
        return totalBytes;
    }

    private static long bytes(Query query) {
        return OVERHEAD_BYTES + query.statement().length;
    }
}
