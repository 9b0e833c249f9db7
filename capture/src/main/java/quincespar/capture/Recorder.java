package quincespar.capture;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.DoubleSupplier;

/**
 * Passes the calls of a module to the writer thread through a bounded queue. The module's thread never waits: calls that find
 * the queue full are lost and counted, and capturing resumes with a snapshot of the module's state once there is space again.
 */
public final class Recorder implements CapturedScheduler.Listener, Runnable {
    private sealed interface Item { }

    private record BeginSegment(Entry.State state, long lostCalls, String reason) implements Item { }

    private record WriteCall(Entry.Call call) implements Item { }

    private record WriteGap(Entry.Gap gap) implements Item { }

    private record Stop() implements Item { }

    private static final String QUEUE_FULL = "the capture queue was full";

    private final ArrayBlockingQueue<Item> queue;
    private final CaptureWriter writer;
    private final DoubleSupplier clock;
    private final double flushMs;
    private final AtomicLong lostCalls = new AtomicLong();
    private volatile CaptureWriter.Counts counts = new CaptureWriter.Counts(0, 0, 0, 0, 0, 0);
    /** A state is needed for the next segment; the module's thread provides it after its next call. */
    private volatile boolean stateWanted;
    /** A state is in the queue. */
    private volatile boolean stateQueued = true;
    /** Calls are useless until the next state; set by either thread, cleared by the module's thread with a state. */
    private volatile boolean broken;
    private volatile boolean backingOff;
    private String lossReason = "";

    /**
     * Creates a recorder.
     *
     * @param queueLength the number of calls that the queue holds
     * @param flushMs the interval between flushes, in milliseconds of {@code clock}
     */
    public Recorder(CaptureWriter writer, int queueLength, double flushMs, DoubleSupplier clock) {
        this.writer = writer;
        this.queue = new ArrayBlockingQueue<>(queueLength);
        this.flushMs = flushMs;
        this.clock = clock;
        this.queue.add(new BeginSegment(null, 0, ""));
    }

    @Override
    public void onCall(Entry.Call call) {
        if (broken) {
            lostCalls.incrementAndGet();
        } else if (!queue.offer(new WriteCall(call))) {
            loseCall(QUEUE_FULL);
        }
    }

    @Override
    public void onFailure(Entry.Gap gap) {
        if (!broken) {
            queue.offer(new WriteGap(gap)); // if the queue is full, the next segment reports the loss
            loseCall(gap.reason());
        }
    }

    private void loseCall(String reason) {
        lostCalls.incrementAndGet();
        lossReason = reason;
        broken = true;
    }

    @Override
    public boolean wantsState() {
        return !stateQueued && (broken ? !backingOff && queue.remainingCapacity() > queue.size() : stateWanted);
    }

    @Override
    public void onState(double time, byte[] bytes) {
        long reported = lostCalls.get();
        stateQueued = true;
        if (queue.offer(new BeginSegment(new Entry.State(time, bytes), reported, lossReason))) {
            lostCalls.addAndGet(-reported);
            broken = false;
            stateWanted = false;
        } else {
            stateQueued = false;
        }
    }

    /** Writes until {@link #stop}, and then everything queued before it. */
    @Override
    public void run() {
        double flushAt = clock.getAsDouble() + flushMs;
        try {
            while (true) {
                Item item = queue.poll((long) Math.max(1, flushAt - clock.getAsDouble()), TimeUnit.MILLISECONDS);
                double now = clock.getAsDouble();
                if (item instanceof Stop) {
                    break;
                }
                write(now, item);
                if (now >= flushAt) {
                    writer.flush(now);
                    flushAt = now + flushMs;
                }
                updateStatus(now);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt(); // stops at once, but still writes what is queued
        }
        double now = clock.getAsDouble();
        queue.forEach(i -> write(now, i));
        writer.close(now);
        counts = writer.counts();
    }

    private void write(double now, Item item) {
        if (item instanceof BeginSegment b) {
            writer.beginSegment(now, b.state(), b.lostCalls(), b.reason());
            stateWanted = false; // before stateQueued, or a second state would be requested for nothing
            stateQueued = false;
        } else if (item instanceof WriteCall c) {
            writer.writeCall(now, c.call());
        } else if (item instanceof WriteGap g) {
            writer.writeGap(now, g.gap());
        }
    }

    /** Publishes to the module's thread whether a state is wanted and whether calls are useless. */
    private void updateStatus(double now) {
        boolean segmentDue = writer.segmentDue(now);
        backingOff = !writer.isOpen() && !segmentDue;
        stateWanted = segmentDue && !stateQueued;
        broken |= !writer.isOpen() && !stateQueued;
        counts = writer.counts();
    }

    /** Has the writer stop once the queue is written; false if the queue is full: interrupt the thread instead. */
    public boolean stop() {
        return queue.offer(new Stop());
    }

    /** The totals so far. Thread-safe. */
    public CaptureWriter.Counts counts() {
        return counts;
    }

    /** Calls that were lost since the last segment began and are not yet included in {@link #counts}. */
    public long pendingLostCalls() {
        return lostCalls.get();
    }
}
