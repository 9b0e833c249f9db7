package quincespar.routing;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** A connection to an engine, with its open attempts by the engine's name for their requests. */
final class Link {
    final long id;
    final EngineRegistry.Engine engine;
    final double openedAt;
    final Map<String, Attempt> open = new LinkedHashMap<>();
    final Set<String> probes = new HashSet<>();
    /** Requests of which an attempt was cancelled here: its late answer would be taken for one to the next attempt. */
    final Set<String> cancelled = new HashSet<>();
    /** Requests of which an attempt was answered here: a repeated answer would be taken for one to the next attempt. */
    final Set<String> answered = new HashSet<>();
    boolean up;
    /** It may be broken: silent while an attempt that was then cancelled was open here, or its outbox was full. */
    boolean suspect;
    double lastHeardAt;

    Link(long id, EngineRegistry.Engine engine, double now) {
        this.id = id;
        this.engine = engine;
        openedAt = now;
    }

    /** Forgets a request of which no attempt is open any more. */
    void forget(String txn) {
        cancelled.remove(txn);
        answered.remove(txn);
    }

    boolean idle() {
        return open.isEmpty() && probes.isEmpty();
    }
}
