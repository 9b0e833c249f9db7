package quincespar.laboratory;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Model of an engine that follows the platform's rules of cold engines: its cores serve requests in order of arrival, only a
 * share of them is available for a while after a start, and the engine fails permanently when it is sent more work than it
 * tolerates during that time. Times in milliseconds, work in milliseconds of one core.
 */
final class VirtualEngine {
    /**
     * Properties shared by all engines.
     *
     * @param coldMs           how long an engine is cold after a start
     * @param initialColdShare share of its cores available right after the start; grows linearly to 1 over {@code coldMs}
     * @param overloadWindowMs length of the sliding window over which the work sent to a cold engine is summed
     * @param overloadFactor   a cold engine tolerates this multiple of what it can serve in the window
     * @param meanWorkMs       mean work of a request. With N the tolerated work in units of it, the engine fails above
     *                         N + 3 sqrt(N) + 3, the platform's bound
     */
    record Profile(int cores, double coldMs, double initialColdShare, double overloadWindowMs, double overloadFactor,
            double meanWorkMs) { }

    private record Job(Object key, double workMs, Runnable onDone) { }

    private record Submission(double atMs, double workMs) { }

    private final VirtualTime time;
    private final Profile profile;
    private final Deque<Submission> recentSubmissions = new ArrayDeque<>();
    private final Deque<Job> waiting = new ArrayDeque<>();
    private final Map<Object, Job> running = new HashMap<>();
    private boolean powered;
    private boolean failed;
    private double poweredOnAt;

    VirtualEngine(VirtualTime time, Profile profile) {
        this.time = time;
        this.profile = profile;
    }

    /** Restores power; the engine is cold from now on. */
    void powerOn() {
        powered = true;
        poweredOnAt = time.now();
    }

    /** Whether it accepts connections. */
    boolean isAvailable() {
        return powered && !failed;
    }

    boolean hasFailed() {
        return failed;
    }

    /** The share of its cores that is available now: 0 without power or after a failure, 1 once it is warm. */
    double availableShare() {
        double uptimeMs = time.now() - poweredOnAt;
        return !isAvailable() ? 0 : uptimeMs >= profile.coldMs() ? 1
                : profile.initialColdShare() + (1 - profile.initialColdShare()) * uptimeMs / profile.coldMs();
    }

    /**
     * Submits a request; {@code onDone} is called when it has been served.
     *
     * @return false if the engine has failed, by this request or before; all its requests are lost then
     */
    boolean submit(Object key, double workMs, Runnable onDone) {
        if (availableShare() < 1) {
            recentSubmissions.add(new Submission(time.now(), workMs));
            while (recentSubmissions.peek().atMs() < time.now() - profile.overloadWindowMs()) {
                recentSubmissions.poll();
            }
            double tolerated = profile.overloadFactor() * availableShare() * profile.cores() * profile.overloadWindowMs()
                    / profile.meanWorkMs();
            double submitted = recentSubmissions.stream().mapToDouble(Submission::workMs).sum() / profile.meanWorkMs();
            failed = submitted > tolerated + 3 * Math.sqrt(tolerated) + 3;
        }
        if (failed) {
            waiting.clear();
            running.clear();
            return false;
        }
        waiting.add(new Job(key, workMs, onDone));
        startWaitingJobs();
        return true;
    }

    /** Cancels a request, whether it waits or runs. */
    void cancel(Object key) {
        waiting.removeIf(job -> job.key().equals(key));
        if (running.remove(key) != null) {
            startWaitingJobs();
        }
    }

    private void startWaitingJobs() {
        while (!waiting.isEmpty() && running.size() < Math.max(1, Math.round(profile.cores() * availableShare()))) {
            Job job = waiting.poll();
            running.put(job.key(), job);
            time.schedule(job.workMs(), () -> {
                if (running.remove(job.key(), job)) {
                    startWaitingJobs();
                    job.onDone().run();
                }
            });
        }
    }
}
