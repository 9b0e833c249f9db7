package quincespar.routing;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The clients' connections as the reducer sees them: what is open on each, and which could be spared. */
final class CallerConnections {
    /** A client's connection. */
    static final class CallerConnection {
        final long id;
        final Set<OpenRequest> open = new LinkedHashSet<>();

        CallerConnection(long id) {
            this.id = id;
        }
    }

    private final Map<Long, CallerConnection> all = new HashMap<>();
    /** Those that have not asked anything yet, and those with nothing open: the longest so come first. */
    private final Set<CallerConnection> silent = new LinkedHashSet<>(), idle = new LinkedHashSet<>();

    int size() {
        return all.size();
    }

    CallerConnection get(long id) {
        return all.get(id);
    }

    void up(long id) {
        CallerConnection f = new CallerConnection(id);
        if (all.putIfAbsent(id, f) == null) {
            silent.add(f);
        }
    }

    void opened(OpenRequest r) {
        CallerConnection f = all.computeIfAbsent(r.caller.connection(), CallerConnection::new);
        silent.remove(f);
        idle.remove(f);
        f.open.add(r);
    }

    /** True where this was the last one open on its connection. */
    boolean closed(OpenRequest r) {
        CallerConnection f = all.get(r.caller.connection());
        if (f == null || !f.open.remove(r) || !f.open.isEmpty()) {
            return false;
        }
        idle.add(f);
        return true;
    }

    CallerConnection remove(long id) {
        CallerConnection f = all.remove(id);
        silent.remove(f);
        idle.remove(f);
        return f;
    }

    /**
     * Whom to close so that the newest may stay: one that has said nothing, else one with nothing open, the
     * longest so first; the newest itself only where all others have requests open.
     */
    long spare(long newest) {
        for (Set<CallerConnection> some : List.of(silent, idle)) {
            for (CallerConnection f : some) {
                if (f.id != newest) {
                    return f.id;
                }
            }
        }
        return newest;
    }
}
