package quincespar.faultbench.check;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import quincespar.faultbench.check.History.Operation;
import quincespar.faultbench.check.History.Outcome;

/**
 * Checks that each register's history is linearizable (Herlihy and Wing 1990): that every operation can be placed at one point
 * between its invocation and its response. Uses the search of Wing and Gong (1993) with the memoization of Lowe (2017). An
 * operation with an unknown outcome may take effect at any time after its invocation, or never.
 */
public final class Linearizability {
    /** Limit of states explored per register. Exceeding it is reported as a problem, because the history was not verified. */
    private static final long MAX_STATES = 20_000_000;

    private record State(long version, String value) { }

    private record Explored(BitSet done, State state) { }

    private final List<Operation> operations;
    private final Set<Explored> visited = new HashSet<>();
    private long explored;
    private int furthestOperation = -1;

    /** Versions confirmed to a write: no other write can have created them. */
    private final Set<Long> acknowledgedVersions = new HashSet<>();
    /** Values read by version: only a write of that value can have created the version. */
    private final Map<Long, String> valuesRead = new HashMap<>();

    private Linearizability(List<Operation> operations) {
        this.operations = operations;
        for (Operation o : operations) {
            if (o.outcome() == Outcome.DONE && o.write()) {
                acknowledgedVersions.add(o.version());
            } else if (o.outcome() == Outcome.DONE) {
                valuesRead.put(o.version(), o.value());
            }
        }
    }

    /** Returns one line for each register whose history is not linearizable or could not be decided. */
    public static List<String> problems(List<Operation> operations) {
        Map<String, List<Operation>> by = new HashMap<>();
        operations.forEach(o -> by.computeIfAbsent(o.register(), r -> new ArrayList<>()).add(o));
        List<String> out = new ArrayList<>();
        by.forEach((register, some) -> {
            String wrong = new Linearizability(some.stream().filter(o -> o.write() || o.outcome() == Outcome.DONE).toList())
                    .check();
            if (wrong != null) {
                out.add("register " + register + " is not linearizable: " + wrong);
            }
        });
        return out;
    }

    private String check() {
        try {
            return search(new BitSet(), new State(0, "")) ? null : "no valid order; the furthest search stopped at " + (furthestOperation < 0
                    ? "the first operation" : operations.get(furthestOperation));
        } catch (IllegalStateException e) {
            return e.getMessage();
        }
    }

    /** Depth-first search with an explicit stack, because histories are too long for recursion. */
    private boolean search(BitSet start, State first) {
        List<BitSet> done = new ArrayList<>(List.of(start));
        List<State> states = new ArrayList<>(List.of(first));
        while (!done.isEmpty()) {
            BitSet d = done.remove(done.size() - 1);
            State s = states.remove(states.size() - 1);
            if (!visited.add(new Explored(d, s))) {
                continue;
            }
            if (++explored > MAX_STATES) {
                throw new IllegalStateException("not decided after " + MAX_STATES + " states");
            }
            if (complete(d)) {
                return true;
            }
            for (int more = applyReads(d, s); more > 0; more = applyReads(d, s)) {
                furthestOperation = Math.max(furthestOperation, d.length() - 1);
            }
            if (complete(d)) {
                return true;
            }
            long bound = earliestResponse(d);
            for (int i = operations.size() - 1; i >= 0; i--) {
                Operation o = operations.get(i);
                State next = !d.get(i) && o.invokedAt() <= bound ? apply(s, o) : null;
                if (next != null && next != s && isPossible(o, next)) {
                    BitSet more = (BitSet) d.clone();
                    more.set(i);
                    done.add(more);
                    states.add(next);
                    furthestOperation = Math.max(furthestOperation, i);
                }
            }
        }
        return false;
    }

    /**
     * Marks as done every pending operation that is possible now and leaves the state unchanged: applying it at once rules out
     * no order. Returns how many were marked.
     */
    private int applyReads(BitSet d, State s) {
        long bound = earliestResponse(d);
        int out = 0;
        for (int i = d.nextClearBit(0); i < operations.size(); i = d.nextClearBit(i + 1)) {
            if (operations.get(i).invokedAt() <= bound && apply(s, operations.get(i)) == s) {
                d.set(i);
                out++;
            }
        }
        return out;
    }

    /**
     * Whether a write can have created this version. Each version has one writer, so a write of unknown outcome can have
     * created neither a version confirmed to another write nor one that was read with another value.
     */
    private boolean isPossible(Operation o, State next) {
        return o.outcome() == Outcome.DONE || !acknowledgedVersions.contains(next.version()) && next.value().equals(
                valuesRead.getOrDefault(next.version(), next.value()));
    }

    /** Whether all operations are done, apart from those with an unknown outcome, which need not take effect. */
    private boolean complete(BitSet d) {
        for (int i = d.nextClearBit(0); i < operations.size(); i = d.nextClearBit(i + 1)) {
            if (operations.get(i).outcome() != Outcome.UNKNOWN) {
                return false;
            }
        }
        return true;
    }

    /** Earliest response among the pending operations; an operation invoked later can't be the next one. */
    private long earliestResponse(BitSet d) {
        long least = Long.MAX_VALUE;
        for (int i = d.nextClearBit(0); i < operations.size(); i = d.nextClearBit(i + 1)) {
            least = Math.min(least, operations.get(i).respondedAt());
        }
        return least;
    }

    /** The state after an operation, or null if its response is impossible in the given state. */
    private static State apply(State s, Operation o) {
        if (!o.write()) {
            return o.version() == s.version() && o.value().equals(s.value()) ? s : null;
        }
        boolean fits = o.expectedVersion() < 0 || o.expectedVersion() == s.version();
        return switch (o.outcome()) {
            case DONE -> fits && o.version() == s.version() + 1 ? new State(s.version() + 1, o.value()) : null;
            case CONFLICT -> !fits && o.version() == s.version() ? s : null;
            case UNKNOWN -> fits ? new State(s.version() + 1, o.value()) : null; // a conflicting write has no effect, as if never invoked
        };
    }
}
