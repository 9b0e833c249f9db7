package quincespar.routing;

import java.util.ArrayList;
import java.util.List;
import quincespar.decision.Gateway.ClassSpec;
import quincespar.decision.Gateway.Effect;
import quincespar.decision.Gateway.Scope;

/** A request that was taken, until it is answered and nothing of it is out. */
final class OpenRequest {
    final long id;
    final Caller caller;
    final Query query;
    /** The terms of its class as they stood when it was taken; they are its own to the end. */
    final ClassSpec spec;
    /** The module's deadline: the client's, less the time it takes to write an answer. */
    final double until;
    /** The last moment for an answer of any kind. */
    final double last;
    final List<Attempt> attempts = new ArrayList<>(1);
    boolean over;
    /** It waits until it is on disk that it may run; the module has not heard of it. */
    boolean parked;

    OpenRequest(long id, Caller caller, Query query, ClassSpec spec, double until, double last) {
        this.id = id;
        this.caller = caller;
        this.query = query;
        this.spec = spec;
        this.until = until;
        this.last = last;
    }

    boolean unsafe() {
        return spec.effect() == Effect.UNSAFE;
    }

    /** Whether its client may be told that a repeat is harmless. */
    boolean refusable() {
        return spec.effect() == Effect.SAFE || spec.effect() == Effect.KEYED && spec.scope() == Scope.ALL || !mayHaveRun();
    }

    /** When a further attempt must have begun at the latest, as a repeat is discarded only within its class's window. */
    double beginBy() {
        return spec.effect() != Effect.KEYED ? Double.POSITIVE_INFINITY : attempts.stream()
                .filter(a -> a.outcome == null || !a.outcome.neverRan).mapToDouble(a -> a.at + spec.repeatWindow())
                .min().orElse(Double.POSITIVE_INFINITY);
    }

    boolean running() {
        return attempts.stream().anyMatch(a -> a.outcome == null);
    }

    boolean mayHaveRun() {
        return attempts.stream().anyMatch(a -> a.outcome == null || !a.outcome.neverRan);
    }
}
