package quincespar.laboratory;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Discrete-event scheduler: runs tasks in the order of a virtual clock. Tasks due at the same time run in the order in which they
 * were scheduled.
 */
final class VirtualTime {
    private record Task(double dueMs, long sequence, Runnable action) { }

    private final PriorityQueue<Task> queue = new PriorityQueue<>(
            Comparator.comparingDouble(Task::dueMs).thenComparingLong(Task::sequence));
    private double nowMs;
    private long lastSequence;

    /** Milliseconds since the start of the simulation. */
    double now() {
        return nowMs;
    }

    /** Schedules a task after a delay; a negative delay counts as 0. */
    void schedule(double delayMs, Runnable action) {
        queue.add(new Task(nowMs + Math.max(0, delayMs), ++lastSequence, action));
    }

    /** Runs all tasks that are due up to the given time, also those scheduled meanwhile, and leaves the clock there. */
    void runUntil(double endMs) {
        while (!queue.isEmpty() && queue.peek().dueMs() <= endMs) {
            Task task = queue.poll();
            nowMs = task.dueMs();
            task.action().run();
        }
        nowMs = endMs;
    }
}
