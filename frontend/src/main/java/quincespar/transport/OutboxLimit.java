package quincespar.transport;

import java.util.Comparator;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the bytes queued for writing, per connection and for all connections that share this object. The shared limit
 * protects the heap when many peers stop reading at once, each within its own limit. The connection that has held most bytes
 * for longest then gives way, so that peers that read keep their answers.
 */
public final class OutboxLimit {
    /** The result of an attempt to reserve space. */
    enum Reservation { RESERVED, OUTBOX_FULL, TOTAL_FULL }

    /** Close cause of a connection that gives way. The text is fixed: the program's counters derive a key from it. */
    static final String GIVES_WAY = "the peer does not read and its memory is needed";

    private final int maxBytesPerOutbox;
    private final long maxTotalBytes;
    private final AtomicLong totalBytes = new AtomicLong();
    /** Connections with queued bytes that their peers have not taken at once. */
    private final Set<Connection> holders = ConcurrentHashMap.newKeySet();

    /** Allows {@code maxBytesPerOutbox} in one outbox, and {@code maxTotalBytes} in all outboxes that share this limit. */
    public OutboxLimit(int maxBytesPerOutbox, long maxTotalBytes) {
        this.maxBytesPerOutbox = maxBytesPerOutbox;
        this.maxTotalBytes = maxTotalBytes;
    }

    /** Reserves space for a frame. */
    Reservation reserve(int queuedBytes, int bytes) {
        if (queuedBytes + bytes > maxBytesPerOutbox) {
            return Reservation.OUTBOX_FULL;
        }
        if (totalBytes.addAndGet(bytes) > maxTotalBytes) {
            totalBytes.addAndGet(-bytes);
            return Reservation.TOTAL_FULL;
        }
        return Reservation.RESERVED;
    }

    /** Frees the space of frames that were written or dropped. */
    void release(int bytes) {
        totalBytes.addAndGet(-bytes);
    }

    void addHolder(Connection connection) {
        holders.add(connection);
    }

    void removeHolder(Connection connection) {
        holders.remove(connection);
    }

    /**
     * Closes the connection that has held most bytes for longest, unless that is the one that asks for space. Must be called
     * without a lock on an outbox. False if none was closed.
     */
    boolean makeRoom(Connection asking) {
        long now = System.nanoTime();
        Connection first = holders.stream().max(Comparator.comparingDouble(c -> c.heldByteNanos(now))).orElse(asking);
        if (first == asking) {
            return false;
        }
        first.close(GIVES_WAY);
        return true;
    }
}
