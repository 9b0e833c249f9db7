package quincespar.routing;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** A connection to an engine as the reducer sees it: what is open on it, by the engine's name for it. */
final class Link {
    final long id;
    final EngineRegistry.Engine engine;
    final double dialledAt;
    final Map<String, Attempt> open = new LinkedHashMap<>();
    final Set<String> probes = new HashSet<>();
    /** Requests that were given up here: a late answer to one would pass for an answer to its next attempt. */
    final Set<String> abandoned = new HashSet<>();
    /** Requests that had their last word here: it may be said again, and would pass for that of their next attempt. */
    final Set<String> answered = new HashSet<>();
    boolean up;
    boolean suspect;
    double heardAt;

    Link(long id, EngineRegistry.Engine engine, double now) {
        this.id = id;
        this.engine = engine;
        dialledAt = now;
    }

    /** Nothing of a request is out any more. */
    void forget(String txn) {
        abandoned.remove(txn);
        answered.remove(txn);
    }

    boolean idle() {
        return open.isEmpty() && probes.isEmpty();
    }
}
