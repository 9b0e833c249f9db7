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

/** The reducer's timers, at most one per key: a timer that fires posts an input. */
public final class Timers {
    private final ScheduledThreadPoolExecutor executor;
    private final Map<TimerKey, Future<?>> running = new HashMap<>();
    private final Consumer<Input> post;

    /** Creates timers that post {@link Input.TimerFired} to {@code post}. */
    public Timers(Consumer<Input> post) {
        this.post = post;
        executor = new ScheduledThreadPoolExecutor(1, r -> Threads.daemon("timers", r));
        executor.setRemoveOnCancelPolicy(true);
    }

    /** Starts a timer, and stops one that runs under the same key. */
    public synchronized void start(TimerKey key, double delayMs) {
        stop(key);
        running.put(key, executor.schedule(() -> fire(key), (long) (delayMs * 1000), TimeUnit.MICROSECONDS));
    }

    private void fire(TimerKey key) {
        synchronized (this) { // a timer without delay may fire before start() has put it into the map, and would stay there
            running.remove(key);
        }
        post.accept(new Input.TimerFired(key));
    }

    /** Stops a timer, if it is running. */
    public synchronized void stop(TimerKey key) {
        Future<?> timer = running.remove(key);
        if (timer != null) {
            timer.cancel(false);
        }
    }

    /** The number of running timers. */
    public synchronized int size() {
        return running.size();
    }

    /** Runs a task of the program once after a delay; the result can cancel it until then. */
    public Future<?> schedule(double delayMs, Runnable task) {
        return executor.schedule(task, (long) delayMs, TimeUnit.MILLISECONDS);
    }
}
