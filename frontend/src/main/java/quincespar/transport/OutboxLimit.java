package quincespar.transport;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds what waits to be written, for one connection and for all that share this object. Guards against many
 * peers that stop reading at once: each within its own bound, together they would fill the heap.
 */
public final class OutboxLimit {
    private final int each;
    private final long all;
    private final AtomicLong held = new AtomicLong();

    /** At most {@code each} bytes in one outbox, and {@code all} in those that share this bound. */
    public OutboxLimit(int each, long all) {
        this.each = each;
        this.all = all;
    }

    boolean reserve(int pending, int more) {
        if (pending + more > each) {
            return false;
        }
        if (held.addAndGet(more) > all) {
            held.addAndGet(-more);
            return false;
        }
        return true;
    }

    void release(int less) {
        held.addAndGet(-less);
    }
}
