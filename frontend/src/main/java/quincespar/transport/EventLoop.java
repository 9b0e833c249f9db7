package quincespar.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One thread that waits for many sockets at once and handles whichever is ready, so that a connection which says
 * nothing costs a descriptor and some hundred bytes and no thread. Guards against a crowd that connects and says
 * nothing: with a thread each, starting and ending those threads used up the front end's part of the core.
 */
public final class EventLoop {
    private final Logger log = LoggerFactory.getLogger(EventLoop.class);
    /** What is told when its channel is ready, on the loop's thread. */
    interface Ready {
        /** The channel of this key can be read, written, connected or accepted from. */
        void ready(SelectionKey key);

        /** Handling failed with something unforeseen; the channel must end, and nothing else. */
        void failed(Throwable error);
    }

    private record Due(long at, Runnable task) { }

    /** Between two waits for events that fail. */
    private static final long RETRY_MS = 10;
    private static final int CHUNK = 16 * 1024;

    private final String name;
    private final Selector selector;
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final PriorityQueue<Due> delayed = new PriorityQueue<>(Comparator.comparingLong(Due::at));
    private final AtomicBoolean woken = new AtomicBoolean();
    private final ByteBuffer direct = ByteBuffer.allocateDirect(CHUNK);
    private final byte[] chunk = new byte[CHUNK];
    private final Thread thread;
    private volatile boolean ended;

    /** A loop that is not yet started; throws {@link IOException} where the system gives no selector. */
    public EventLoop(String name) throws IOException {
        this.name = name;
        selector = Retry.atStartup(Selector::open);
        thread = Threads.daemon(name, this::run);
    }

    /** Starts the thread. */
    public void start() {
        thread.start();
    }

    /** Ends the thread; channels that are registered stay as they are. */
    public void stop() {
        ended = true;
        selector.wakeup();
    }

    /** Runs a task on the loop's thread, in the order given. */
    public void execute(Runnable task) {
        tasks.add(task);
        if (Thread.currentThread() != thread && woken.compareAndSet(false, true)) {
            selector.wakeup();
        }
    }

    /** Runs a task on the loop's thread: at once where this is that thread, and else in its turn. */
    void now(Runnable task) {
        if (Thread.currentThread() == thread) {
            task.run();
        } else {
            execute(task);
        }
    }

    /** Runs a task on the loop's thread once all that is readable by now has been handled. */
    public void executeAfterReads(Runnable task) {
        execute(() -> after(0, () -> after(0, task)));
    }

    /** Runs a task after a delay in milliseconds; on the loop's thread only. */
    void after(long delayMs, Runnable task) {
        delayed.add(new Due(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(delayMs), task));
    }

    SelectionKey register(SelectableChannel channel, int ops, Ready ready) throws IOException {
        return channel.register(selector, ops, ready);
    }

    /** Takes a channel off the loop before the next wait; on the loop's thread only, from a task. */
    void forget(SelectionKey key) throws IOException {
        key.cancel();
        selector.selectNow(this::ready); // only a further look drops what was cancelled
    }

    /** The buffer that all channels of this loop are read through, empty; on the loop's thread only. */
    ByteBuffer buffer() {
        return direct.clear();
    }

    /** What {@link #buffer} holds, as an array that is used again; its length is the buffer's position. */
    byte[] bytes() {
        int n = direct.position();
        direct.get(0, chunk, 0, n);
        return chunk;
    }

    private void run() {
        while (!ended) {
            try {
                woken.set(false);
                work();
                long wait = waitMs();
                if (wait < 0) {
                    selector.select(this::ready);
                } else if (wait == 0) {
                    selector.selectNow(this::ready);
                } else {
                    selector.select(this::ready, wait);
                }
            } catch (ClosedSelectorException e) {
                log.error("loop {}: its selector is closed, nothing can be served", name, e);
                ended = true;
            } catch (IOException e) {
                log.error("loop {}: waiting failed, tried again in {} ms: {}", name, RETRY_MS, e.getMessage());
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(RETRY_MS));
            } catch (RuntimeException | OutOfMemoryError e) {
                log.error("loop {}", name, e);
            }
        }
    }

    private void work() {
        for (Runnable t = tasks.poll(); t != null; t = tasks.poll()) {
            t.run();
        }
        long now = System.nanoTime();
        while (!delayed.isEmpty() && delayed.peek().at() - now <= 0) {
            delayed.poll().task().run();
        }
    }

    /** How long nothing is due: negative for ever, 0 not at all. */
    private long waitMs() {
        if (!tasks.isEmpty()) {
            return 0;
        }
        if (delayed.isEmpty()) {
            return -1;
        }
        long nanos = delayed.peek().at() - System.nanoTime();
        return nanos <= 0 ? 0 : TimeUnit.NANOSECONDS.toMillis(nanos) + 1;
    }

    private void ready(SelectionKey key) {
        Ready r = (Ready) key.attachment();
        try {
            r.ready(key);
        } catch (CancelledKeyException e) { // closed by a task in this same pass: its end has been told
            r.failed(e);
        } catch (RuntimeException | OutOfMemoryError | StackOverflowError e) {
            // what a peer sends must end its own connection at most
            log.error("loop {}", name, e);
            r.failed(e);
        }
    }
}
