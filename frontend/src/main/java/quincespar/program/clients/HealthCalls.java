package quincespar.program.clients;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import quincespar.routing.Caller;

/**
 * Health calls that are not answered yet. Each step of the reducer's thread answers a few, so that requests wait for no more
 * than that, however many health calls arrive. Their number is bounded by connection, in {@link ThriftServer}. Used by one
 * thread.
 */
public final class HealthCalls {
    /** Answers per step. */
    static final int ANSWERS_PER_STEP = 16;

    private final Queue<Caller> waiting = new ArrayDeque<>();

    /** A health call has arrived. */
    public void add(Caller caller) {
        waiting.add(caller);
    }

    /** Whether none waits. */
    public boolean isEmpty() {
        return waiting.isEmpty();
    }

    /** How many wait. */
    public int size() {
        return waiting.size();
    }

    /** Removes the calls to answer in this step, in the order of their arrival. */
    public List<Caller> next() {
        int count = Math.min(waiting.size(), ANSWERS_PER_STEP);
        List<Caller> next = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            next.add(waiting.remove());
        }
        return next;
    }
}
