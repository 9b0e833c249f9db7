package quincespar.program.runtime;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import quincespar.routing.Input;
import quincespar.transport.DurationStats;

/**
 * The queue of inputs to the reducer's thread. Inputs from clients are bounded by their number and by the bytes of statements
 * in them, and so are, apart from them, those of the servers (engines and change log): a thread that adds one blocks while its
 * side's room is used up, so that it stops reading from its peers, and peers that send faster than the reducer works can't fill
 * the heap or hold up the other side. Inputs from timers and from the program itself are few and never block, and neither does
 * the reducer's thread.
 */
public final class InputQueue {
    /** Permits of the inputs from one side. */
    private static final int PERMITS_PER_SIDE = 1024;
    /** Each input takes a permit, and one more for each such part of its payload: together they bound a side to 2 MB. */
    private static final int PAYLOAD_BYTES_PER_PERMIT = 2048;
    /** What was read together takes at most so many permits, as it must be queued together. */
    private static final int MAX_PERMITS_PER_ENTRY = 256;
    private static final int MAX_BATCH_ENTRIES = 256;

    /**
     * Inputs that are taken together.
     *
     * @param side     whose permits they hold; null for inputs of the program itself
     * @param permits  what they hold while they are queued
     * @param queuedAt since when they wait; {@link System#nanoTime}
     */
    private record QueuedInputs(List<Input> inputs, Semaphore side, int permits, long queuedAt) { }

    private final BlockingQueue<QueuedInputs> queue = new LinkedBlockingQueue<>();
    private final DurationStats waits = new DurationStats();
    private final Semaphore clientPermits = new Semaphore(PERMITS_PER_SIDE);
    private final Semaphore serverPermits = new Semaphore(PERMITS_PER_SIDE);
    private volatile Thread consumer;

    /** Adds an input of the program itself; never blocks. */
    public void add(Input input) {
        queue.add(new QueuedInputs(List.of(input), null, 0, System.nanoTime()));
    }

    /** Adds an input from an engine or the change log; blocks while there is no room for these. */
    public void addFromServer(Input input) {
        add(List.of(input), serverPermits);
    }

    /** Adds inputs from a client that must be taken in one batch, as they were read together; blocks while there is no room. */
    public void addFromClient(List<Input> together) {
        add(together, clientPermits);
    }

    private void add(List<Input> together, Semaphore side) {
        long queuedAt = System.nanoTime();
        int permits = Thread.currentThread() == consumer ? 0 : permits(together);
        side.acquireUninterruptibly(permits);
        queue.add(new QueuedInputs(List.copyOf(together), side, permits, queuedAt));
    }

    private static int permits(List<Input> together) {
        long permits = 0;
        for (Input input : together) {
            permits += 1 + input.payloadBytes() / PAYLOAD_BYTES_PER_PERMIT;
        }
        return (int) Math.min(permits, MAX_PERMITS_PER_ENTRY);
    }

    /** Waits for an input and takes a batch, in order. All calls must come from the same thread. */
    public List<Input> take() throws InterruptedException {
        consumer = Thread.currentThread();
        return takeBatch(queue.take());
    }

    /** As {@link #take()}, but returns an empty list if there is no input within {@code timeoutMs}. */
    public List<Input> take(long timeoutMs) throws InterruptedException {
        QueuedInputs first = queue.poll(timeoutMs, TimeUnit.MILLISECONDS);
        return first == null ? List.of() : takeBatch(first);
    }

    /** The number of queued entries. */
    public int size() {
        return queue.size();
    }

    /** How long inputs have waited, with the time until the queue had room for them. */
    public DurationStats waits() {
        return waits;
    }

    private List<Input> takeBatch(QueuedInputs first) {
        List<QueuedInputs> entries = new ArrayList<>();
        entries.add(first);
        queue.drainTo(entries, MAX_BATCH_ENTRIES);
        List<Input> batch = new ArrayList<>(entries.size());
        for (QueuedInputs entry : entries) {
            batch.addAll(entry.inputs());
            waits.addSince(entry.queuedAt());
            if (entry.side() != null) {
                entry.side().release(entry.permits());
            }
        }
        return batch;
    }
}
