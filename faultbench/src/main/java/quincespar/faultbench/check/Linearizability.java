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
        Map<String, List<Operation>> byRegister = new HashMap<>();
        operations.forEach(o -> byRegister.computeIfAbsent(o.register(), r -> new ArrayList<>()).add(o));
        List<String> out = new ArrayList<>();
        byRegister.forEach((register, some) -> {
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
            return search(new BitSet(), new State(0, "")) ? null : "no valid order; the furthest search stopped at "
                    + (furthestOperation < 0 ? "the first operation" : operations.get(furthestOperation));
        } catch (IllegalStateException e) {
            return e.getMessage();
        }
    }

    /** Depth-first search with an explicit stack, because histories are too long for recursion. */
    private boolean search(BitSet start, State first) {
        List<BitSet> doneStack = new ArrayList<>(List.of(start));
        List<State> stateStack = new ArrayList<>(List.of(first));
        while (!doneStack.isEmpty()) {
            BitSet done = doneStack.remove(doneStack.size() - 1);
            State state = stateStack.remove(stateStack.size() - 1);
            if (!visited.add(new Explored(done, state))) {
                continue;
            }
            if (++explored > MAX_STATES) {
                throw new IllegalStateException("not decided after " + MAX_STATES + " states");
            }
            if (isComplete(done)) {
                return true;
            }
            for (int more = markNeutralOperations(done, state); more > 0; more = markNeutralOperations(done, state)) {
                furthestOperation = Math.max(furthestOperation, done.length() - 1);
            }
            if (isComplete(done)) {
                return true;
            }
            long bound = earliestResponse(done);
            for (int i = operations.size() - 1; i >= 0; i--) {
                Operation o = operations.get(i);
                State next = !done.get(i) && o.invokedAt() <= bound ? apply(state, o) : null;
                if (next != null && next != state && isPossible(o, next)) {
                    BitSet nextDone = (BitSet) done.clone();
                    nextDone.set(i);
                    doneStack.add(nextDone);
                    stateStack.add(next);
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
    private int markNeutralOperations(BitSet done, State state) {
        long bound = earliestResponse(done);
        int marked = 0;
        for (int i = done.nextClearBit(0); i < operations.size(); i = done.nextClearBit(i + 1)) {
            if (operations.get(i).invokedAt() <= bound && apply(state, operations.get(i)) == state) {
                done.set(i);
                marked++;
            }
        }
        return marked;
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
    private boolean isComplete(BitSet done) {
        for (int i = done.nextClearBit(0); i < operations.size(); i = done.nextClearBit(i + 1)) {
            if (operations.get(i).outcome() != Outcome.UNKNOWN) {
                return false;
            }
        }
        return true;
    }

    /** Earliest response among the pending operations; an operation invoked later can't be the next one. */
    private long earliestResponse(BitSet done) {
        long least = Long.MAX_VALUE;
        for (int i = done.nextClearBit(0); i < operations.size(); i = done.nextClearBit(i + 1)) {
            least = Math.min(least, operations.get(i).respondedAt());
        }
        return least;
    }

    /** The state after an operation, or null if its response is impossible in the given state. */
    private static State apply(State state, Operation o) {
        if (!o.write()) {
            return o.version() == state.version() && o.value().equals(state.value()) ? state : null;
        }
        boolean fits = o.expectedVersion() < 0 || o.expectedVersion() == state.version();
        return switch (o.outcome()) {
            case DONE -> fits && o.version() == state.version() + 1 ? new State(state.version() + 1, o.value()) : null;
            case CONFLICT -> !fits && o.version() == state.version() ? state : null;
            case UNKNOWN -> fits ? new State(state.version() + 1, o.value()) : null; // otherwise it had no effect
        };
    }
}
