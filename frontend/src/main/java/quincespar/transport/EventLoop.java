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
 * A single-threaded event loop over a {@link Selector}. An idle connection costs a descriptor and a few hundred bytes
 * but no thread: with a thread per connection, starting and ending the threads of many idle connections used up the
 * front end's share of the core.
 */
public final class EventLoop {
    private final Logger log = LoggerFactory.getLogger(EventLoop.class);
    /** Handles the readiness of a channel, on the loop's thread. */
    interface ChannelHandler {
        /** The channel of this key is ready for an operation that it is registered for. */
        void ready(SelectionKey key);

        /** {@link #ready} threw; the handler must close its channel, and the loop continues. */
        void failed(Throwable error);
    }

    private record DelayedTask(long dueAtNanos, Runnable task) { }

    /** Delay after a failed select. */
    private static final long SELECT_RETRY_MS = 10;
    private static final int READ_BUFFER_BYTES = 16 * 1024;

    private final String name;
    private final Selector selector;
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final PriorityQueue<DelayedTask> delayedTasks =
            new PriorityQueue<>(Comparator.comparingLong(DelayedTask::dueAtNanos));
    private final AtomicBoolean wakeupPending = new AtomicBoolean();
    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);
    private final byte[] readBytes = new byte[READ_BUFFER_BYTES];
    private final Thread thread;
    private final DurationStats passes = new DurationStats();
    /** When the current pass began; {@link System#nanoTime}. */
    private long passStartedAt;
    private volatile boolean stopped;

    /** Creates a loop that is not yet started; throws {@link IOException} if no selector can be opened. */
    public EventLoop(String name) throws IOException {
        this.name = name;
        selector = Retry.atStartup(Selector::open);
        thread = Threads.daemon(name, this::run);
    }

    public void start() {
        thread.start();
    }

    /** Stops the thread; registered channels stay open. */
    public void stop() {
        stopped = true;
        selector.wakeup();
    }

    /** The times from one select to the next: while a pass lasts, nothing that becomes readable is noticed. */
    public DurationStats passes() {
        return passes;
    }

    /** Runs a task on the loop's thread; tasks run in the order in which they were added. */
    public void execute(Runnable task) {
        tasks.add(task);
        if (Thread.currentThread() != thread && wakeupPending.compareAndSet(false, true)) {
            selector.wakeup();
        }
    }

    /** Runs a task on the loop's thread: immediately if called on it, and else queued as by {@link #execute}. */
    void executeInLoop(Runnable task) {
        if (Thread.currentThread() == thread) {
            task.run();
        } else {
            execute(task);
        }
    }

    /** Runs a task on the loop's thread once everything that is readable now has been handled. */
    public void executeAfterReads(Runnable task) {
        execute(() -> after(0, () -> after(0, task)));
    }

    /** Runs a task after a delay; call on the loop's thread only. */
    void after(long delayMs, Runnable task) {
        delayedTasks.add(new DelayedTask(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(delayMs), task));
    }

    SelectionKey register(SelectableChannel channel, int ops, ChannelHandler handler) throws IOException {
        return channel.register(selector, ops, handler);
    }

    /** Deregisters a channel at once; call on the loop's thread only, from a task. */
    void deregister(SelectionKey key) throws IOException {
        key.cancel();
        selector.selectNow(this::ready); // the selector drops cancelled keys only in a further select
    }

    /** The read buffer shared by all channels of this loop, cleared; call on the loop's thread only. */
    ByteBuffer buffer() {
        return readBuffer.clear();
    }

    /** The contents of {@link #buffer} as an array that is reused; the buffer's position says how many bytes are valid. */
    byte[] bufferedBytes() {
        int length = readBuffer.position();
        readBuffer.get(0, readBytes, 0, length);
        return readBytes;
    }

    private void run() {
        passStartedAt = System.nanoTime();
        while (!stopped) {
            try {
                wakeupPending.set(false);
                runTasks();
                passes.addSince(passStartedAt);
                select();
            } catch (ClosedSelectorException e) {
                log.error("event loop {}: the selector is closed; the loop stops", name, e);
                stopped = true;
            } catch (IOException e) {
                log.error("event loop {}: select failed; retrying in {} ms: {}", name, SELECT_RETRY_MS, e.getMessage());
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(SELECT_RETRY_MS));
            } catch (RuntimeException | VirtualMachineError e) {
                log.error("event loop {}: a task failed", name, e);
            }
        }
    }

    /** Waits for channels that are ready, and handles them; a pass begins with the first. */
    private void select() throws IOException {
        long timeoutMs = selectTimeoutMs();
        passStartedAt = 0;
        if (timeoutMs < 0) {
            selector.select(this::ready);
        } else if (timeoutMs == 0) {
            selector.selectNow(this::ready);
        } else {
            selector.select(this::ready, timeoutMs);
        }
        beginPass();
    }

    private void beginPass() {
        if (passStartedAt == 0) {
            passStartedAt = System.nanoTime();
        }
    }

    private void runTasks() {
        for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
            task.run();
        }
        long now = System.nanoTime();
        while (!delayedTasks.isEmpty() && delayedTasks.peek().dueAtNanos() - now <= 0) {
            delayedTasks.poll().task().run();
        }
    }

    /** Time until the next task is due: negative if there is none, 0 if it is due now. */
    private long selectTimeoutMs() {
        if (!tasks.isEmpty()) {
            return 0;
        }
        if (delayedTasks.isEmpty()) {
            return -1;
        }
        long nanos = delayedTasks.peek().dueAtNanos() - System.nanoTime();
        return nanos <= 0 ? 0 : TimeUnit.NANOSECONDS.toMillis(nanos) + 1;
    }

    private void ready(SelectionKey key) {
        beginPass();
        ChannelHandler handler = (ChannelHandler) key.attachment();
        try {
            handler.ready(key);
        } catch (CancelledKeyException e) { // closed by a task in this pass, and its owner was notified
            handler.failed(e);
        } catch (RuntimeException | VirtualMachineError e) {
            // input from a peer must at most close its own connection
            log.error("event loop {}: a channel handler failed", name, e);
            handler.failed(e);
        }
    }
}
