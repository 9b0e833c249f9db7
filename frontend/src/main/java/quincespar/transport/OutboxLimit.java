package quincespar.transport;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the bytes queued for writing, per connection and for all connections that share this object. The shared limit
 * protects the heap when many peers stop reading at once, each within its own limit.
 */
public final class OutboxLimit {
    private final int maxBytesPerOutbox;
    private final long maxTotalBytes;
    private final AtomicLong totalBytes = new AtomicLong();

    /** Allows {@code maxBytesPerOutbox} in one outbox, and {@code maxTotalBytes} in all outboxes that share this limit. */
    public OutboxLimit(int maxBytesPerOutbox, long maxTotalBytes) {
        this.maxBytesPerOutbox = maxBytesPerOutbox;
        this.maxTotalBytes = maxTotalBytes;
    }

    /** Reserves space for a frame; false if it would exceed a limit. */
    boolean reserve(int queuedBytes, int bytes) {
        if (queuedBytes + bytes > maxBytesPerOutbox) {
            return false;
        }
        if (totalBytes.addAndGet(bytes) > maxTotalBytes) {
            totalBytes.addAndGet(-bytes);
            return false;
        }
        return true;
    }

    /** Frees the space of frames that were written or dropped. */
    void release(int bytes) {
        totalBytes.addAndGet(-bytes);
    }
}
