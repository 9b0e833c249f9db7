package quincespar.program.runtime;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import quincespar.routing.Input;

/**
 * The queue to the reducer. What peers send waits for room in it: guards against clients that send faster than the
 * reducer takes, whose inputs would fill the heap. Their readers wait, and so do they. Timers and the program's own
 * words are few and never wait, nor does the taking thread itself.
 */
public final class InputQueue {
    private static final int MOST_FROM_PEERS = 2048;
    private static final int BATCH = 256;

    private record Posted(List<Input> inputs, int permits) { }

    private final BlockingQueue<Posted> queue = new LinkedBlockingQueue<>();
    private final Semaphore room = new Semaphore(MOST_FROM_PEERS);
    private volatile Thread taker;

    public void add(Input i) {
        queue.add(new Posted(List.of(i), 0));
    }

    public void addFromPeer(Input i) {
        addFromPeer(List.of(i));
    }

    /** Inputs that are taken in one batch: what was found in one look must not be decided on by halves. */
    public void addFromPeer(List<Input> together) {
        int permits = Thread.currentThread() == taker ? 0 : Math.min(together.size(), BATCH);
        room.acquireUninterruptibly(permits);
        queue.add(new Posted(List.copyOf(together), permits));
    }

    /** What has come, in order; waits for the first. Always called by the same thread. */
    public List<Input> take() throws InterruptedException {
        taker = Thread.currentThread();
        return batch(queue.take());
    }

    /** As {@link #take()}, but waits for so long only. */
    public List<Input> take(long waitMs) throws InterruptedException {
        Posted first = queue.poll(waitMs, TimeUnit.MILLISECONDS);
        return first == null ? List.of() : batch(first);
    }

    public int size() {
        return queue.size();
    }

    private List<Input> batch(Posted first) {
        List<Posted> some = new ArrayList<>();
        some.add(first);
        queue.drainTo(some, BATCH);
        List<Input> out = new ArrayList<>(some.size());
        int permits = 0;
        for (Posted p : some) {
            out.addAll(p.inputs());
            permits += p.permits();
        }
        room.release(permits);
        return out;
    }
}
