package quincespar.capture;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.DoubleSupplier;

/**
 * Takes what a module is told and decides to the thread that writes it, through a bounded ring. The module's thread never
 * waits: what finds no room is lost and counted, and capturing goes on with the module's state once there is room again.
 */
public final class Recorder implements CapturedGateway.Listener, Runnable {
    private sealed interface Item { }

    private record Begin(Entry.State state, long lostCalls, String why) implements Item { }

    private record Called(Entry.Call call) implements Item { }

    private record Failed(Entry.Gap gap) implements Item { }

    private record End() implements Item { }

    private static final String FULL = "the ring was full";

    private final ArrayBlockingQueue<Item> ring;
    private final CaptureWriter recording;
    private final DoubleSupplier clock;
    private final double flushMs;
    private final AtomicLong lost = new AtomicLong();
    private volatile CaptureWriter.Counts counts = new CaptureWriter.Counts(0, 0, 0, 0, 0, 0);
    /** A state is wanted, for the next segment; the module's thread sees to it after its next call. */
    private volatile boolean wanted;
    /** A state is on its way to the writer. */
    private volatile boolean coming = true;
    /** Calls are of no use before the next state; set by either thread, taken back by the module's with a state. */
    private volatile boolean broken;
    private volatile boolean paused;
    private String why = "";

    /** A ring of so many calls; what was written is flushed every so many milliseconds of that clock. */
    public Recorder(CaptureWriter recording, int ring, double flushMs, DoubleSupplier clock) {
        this.recording = recording;
        this.ring = new ArrayBlockingQueue<>(ring);
        this.flushMs = flushMs;
        this.clock = clock;
        this.ring.add(new Begin(null, 0, ""));
    }

    @Override
    public void call(Entry.Call call) {
        if (broken) {
            lost.incrementAndGet();
        } else if (!ring.offer(new Called(call))) {
            lose(FULL);
        }
    }

    @Override
    public void failed(Entry.Gap gap) {
        if (!broken) {
            ring.offer(new Failed(gap)); // without room the loss is told all the same, by the next segment
            lose(gap.reason());
        }
    }

    private void lose(String cause) {
        lost.incrementAndGet();
        why = cause;
        broken = true;
    }

    @Override
    public boolean wantsState() {
        return !coming && (broken ? !paused && ring.remainingCapacity() > ring.size() : wanted);
    }

    @Override
    public void state(double time, byte[] bytes) {
        long gone = lost.get();
        coming = true;
        if (ring.offer(new Begin(new Entry.State(time, bytes), gone, why))) {
            lost.addAndGet(-gone);
            broken = false;
            wanted = false;
        } else {
            coming = false;
        }
    }

    /** Writes until told to stop, and then all that was taken before. */
    @Override
    public void run() {
        double flushAt = clock.getAsDouble() + flushMs;
        try {
            while (true) {
                Item i = ring.poll((long) Math.max(1, flushAt - clock.getAsDouble()), TimeUnit.MILLISECONDS);
                double now = clock.getAsDouble();
                if (i instanceof End) {
                    break;
                }
                take(now, i);
                if (now >= flushAt) {
                    recording.flush(now);
                    flushAt = now + flushMs;
                }
                look(now);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt(); // told to end at once: what was taken is written all the same
        }
        double now = clock.getAsDouble();
        ring.forEach(i -> take(now, i));
        recording.close(now);
        counts = recording.counts();
    }

    private void take(double now, Item i) {
        if (i instanceof Begin b) {
            recording.begin(now, b.state(), b.lostCalls(), b.why());
            wanted = false; // before the next line: else a second state would be made for nothing
            coming = false;
        } else if (i instanceof Called c) {
            recording.call(now, c.call());
        } else if (i instanceof Failed f) {
            recording.gap(now, f.gap());
        }
    }

    /** What the module's thread has to know: whether a state is wanted, or calls are of no use. */
    private void look(double now) {
        boolean due = recording.due(now);
        paused = !recording.open() && !due;
        wanted = due && !coming;
        broken |= !recording.open() && !coming;
        counts = recording.counts();
    }

    /** Has the writer end once it has written what was taken; false where there is no place to say so: interrupt it. */
    public boolean stop() {
        return ring.offer(new End());
    }

    /** What has been done so far; may be asked for on any thread. */
    public CaptureWriter.Counts counts() {
        return counts;
    }

    /** Calls that were lost since the last segment began and are not yet in its counts. */
    public long pendingLostCalls() {
        return lost.get();
    }
}
