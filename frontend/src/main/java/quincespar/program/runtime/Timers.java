package quincespar.program.runtime;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import quincespar.routing.Input;
import quincespar.routing.TimerKey;
import quincespar.transport.Threads;

/** The library's timers, one for each wait; firing posts an input and does nothing else. */
public final class Timers {
    private final ScheduledThreadPoolExecutor executor;
    private final Map<TimerKey, Future<?>> running = new HashMap<>();
    private final Consumer<Input> post;

    public Timers(Consumer<Input> post) {
        this.post = post;
        executor = new ScheduledThreadPoolExecutor(1, r -> Threads.daemon("timers", r));
        executor.setRemoveOnCancelPolicy(true);
    }

    /** Starts a timer; one that runs under the same key is stopped. */
    public synchronized void start(TimerKey key, double delayMs) {
        stop(key);
        running.put(key, executor.schedule(() -> fire(key), (long) (delayMs * 1000), TimeUnit.MICROSECONDS));
    }

    private void fire(TimerKey key) {
        synchronized (this) { // a timer of no delay may fire before it is noted, and would be noted for good
            running.remove(key);
        }
        post.accept(new Input.TimerFired(key));
    }

    public synchronized void stop(TimerKey key) {
        Future<?> old = running.remove(key);
        if (old != null) {
            old.cancel(false);
        }
    }

    public synchronized int size() {
        return running.size();
    }

    /** Runs a step of the program's own after a delay; it may be cancelled until then. */
    public Future<?> schedule(double delayMs, Runnable step) {
        return executor.schedule(step, (long) delayMs, TimeUnit.MILLISECONDS);
    }
}
