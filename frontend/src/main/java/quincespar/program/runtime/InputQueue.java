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
 * The queue of inputs to the reducer's thread. Inputs from peers are bounded by their number and by the bytes of statements
 * and results in them: a thread that adds one blocks while the queue is full, so that it stops reading from its peers, and
 * clients that send faster than the reducer works can't fill the heap. Inputs from timers and from the program itself are
 * few and never block, and neither does the reducer's thread.
 */
public final class InputQueue {
    /** Permits of the inputs from peers. */
    private static final int PEER_PERMITS = 2048;
    /** Each input takes a permit, and one more for each such part of its payload: together they bound the queue to 4 MB. */
    private static final int PAYLOAD_BYTES_PER_PERMIT = 2048;
    /** What was read together takes at most so many permits, as it must be queued together. */
    private static final int MAX_PERMITS_PER_ENTRY = 256;
    private static final int MAX_BATCH_ENTRIES = 256;

    /**
     * Inputs that are taken together.
     *
     * @param permits  what they hold while they are queued
     * @param queuedAt since when they wait; {@link System#nanoTime}
     */
    private record QueuedInputs(List<Input> inputs, int permits, long queuedAt) { }

    private final BlockingQueue<QueuedInputs> queue = new LinkedBlockingQueue<>();
    private final DurationStats waits = new DurationStats();
    private final Semaphore peerPermits = new Semaphore(PEER_PERMITS);
    private volatile Thread consumer;

    /** Adds an input of the program itself; never blocks. */
    public void add(Input input) {
        queue.add(new QueuedInputs(List.of(input), 0, System.nanoTime()));
    }

    /** Adds an input from a peer; blocks while the queue is full. */
    public void addFromPeer(Input input) {
        addFromPeer(List.of(input));
    }

    /** Adds inputs from a peer that must be taken in one batch, as they were read together; blocks while the queue is full. */
    public void addFromPeer(List<Input> together) {
        long queuedAt = System.nanoTime();
        int permits = Thread.currentThread() == consumer ? 0 : permits(together);
        peerPermits.acquireUninterruptibly(permits);
        queue.add(new QueuedInputs(List.copyOf(together), permits, queuedAt));
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
        int permits = 0;
        for (QueuedInputs entry : entries) {
            batch.addAll(entry.inputs());
            permits += entry.permits();
            waits.addSince(entry.queuedAt());
        }
        peerPermits.release(permits);
        return batch;
    }
}
