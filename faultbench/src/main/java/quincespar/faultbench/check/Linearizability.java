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
 * Whether each register's operations could have been done one after the other, each at a moment between its call and its
 * answer (Herlihy and Wing 1990), by the search of Wing and Gong 1993 with the memory of Lowe 2017. An operation whose
 * outcome is unknown may have been done at any time after its call, or never.
 */
public final class Linearizability {
    /** Beyond this many looks the search is given up, and that is said: no verdict is not a good one. */
    private static final long MAX_STATES = 20_000_000;

    private record State(long version, String value) { }

    private record Explored(BitSet done, State state) { }

    private final List<Operation> operations;
    private final Set<Explored> visited = new HashSet<>();
    private long explored;
    private int furthestOperation = -1;

    /** Versions that a write was told it made: no other can have made them. */
    private final Set<Long> acknowledgedVersions = new HashSet<>();
    /** What was read at a version: only a write of that can have made it. */
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

    /** What is wrong, a line for each register; none where operations is well. */
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
            return search(new BitSet(), new State(0, "")) ? null : "no order fits; the longest stops at " + (furthestOperation < 0
                    ? "the first" : operations.get(furthestOperation));
        } catch (IllegalStateException e) {
            return e.getMessage();
        }
    }

    /** Depth first without recursion, as histories are long. */
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
                throw new IllegalStateException("not decided after " + MAX_STATES + " looks");
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

    /** What fits and changes nothing may as well be done now; how much that was. */
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

    /** Each version is made by one write: one of unknown outcome can't have made another's, or what was read otherwise. */
    private boolean isPossible(Operation o, State next) {
        return o.outcome() == Outcome.DONE || !acknowledgedVersions.contains(next.version()) && next.value().equals(valuesRead.getOrDefault(next.version(),
                next.value()));
    }

    /** Operations with an unknown outcome need not have been done. */
    private boolean complete(BitSet d) {
        for (int i = d.nextClearBit(0); i < operations.size(); i = d.nextClearBit(i + 1)) {
            if (operations.get(i).outcome() != Outcome.UNKNOWN) {
                return false;
            }
        }
        return true;
    }

    /** Whatever was called after the first answer among what is not done can't come next. */
    private long earliestResponse(BitSet d) {
        long least = Long.MAX_VALUE;
        for (int i = d.nextClearBit(0); i < operations.size(); i = d.nextClearBit(i + 1)) {
            least = Math.min(least, operations.get(i).respondedAt());
        }
        return least;
    }

    /** The state after an operation, null where it can't have been done in this one with its answer. */
    private static State apply(State s, Operation o) {
        if (!o.write()) {
            return o.version() == s.version() && o.value().equals(s.value()) ? s : null;
        }
        boolean fits = o.expectedVersion() < 0 || o.expectedVersion() == s.version();
        return switch (o.outcome()) {
            case DONE -> fits && o.version() == s.version() + 1 ? new State(s.version() + 1, o.value()) : null;
            case CONFLICT -> !fits && o.version() == s.version() ? s : null;
            case UNKNOWN -> fits ? new State(s.version() + 1, o.value()) : null; // else it did nothing, as if never done
        };
    }
}
