package quincespar.program;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import quincespar.routing.Input;
import quincespar.routing.TimerKey;

/** The library's timers, one for each wait; firing posts an input and does nothing else. */
final class Timers {
    private final ScheduledThreadPoolExecutor executor;
    private final Map<TimerKey, Future<?>> running = new ConcurrentHashMap<>();
    private final Consumer<Input> post;

    Timers(Consumer<Input> post) {
        this.post = post;
        executor = new ScheduledThreadPoolExecutor(1, r -> {
            Thread t = new Thread(null, r, "timers", 160 * 1024);
            t.setDaemon(true);
            return t;
        });
        executor.setRemoveOnCancelPolicy(true);
    }

    void start(TimerKey key, double delayMs) {
        Future<?> old = running.put(key, executor.schedule(() -> {
            running.remove(key);
            post.accept(new Input.TimerFired(key));
        }, (long) (delayMs * 1000), TimeUnit.MICROSECONDS));
        if (old != null) {
            old.cancel(false);
        }
    }

    void stop(TimerKey key) {
        Future<?> old = running.remove(key);
        if (old != null) {
            old.cancel(false);
        }
    }

    /** Runs a step of the program's own after a delay. */
    void after(double delayMs, Runnable step) {
        executor.schedule(step, (long) delayMs, TimeUnit.MILLISECONDS);
    }
}
