package quincespar.routing;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The clients' connections: what is open on each, and which could be closed to make room for another. */
final class CallerConnections {
    /** A client's connection. */
    static final class CallerConnection {
        final long id;
        final Set<OpenRequest> open = new LinkedHashSet<>();
        /** Whether not all of its input has been read, so that its client may have left without that being known. */
        boolean inputUnread;
        /** Whether that has lasted so long that its requests are refused. */
        boolean inputUnreadTooLong;

        CallerConnection(long id) {
            this.id = id;
        }
    }

    private final Map<Long, CallerConnection> byId = new HashMap<>();
    /** Connections that have not sent a request yet, oldest first. */
    private final Set<CallerConnection> unused = new LinkedHashSet<>();
    /** Connections whose requests have all been answered, longest idle first. */
    private final Set<CallerConnection> idle = new LinkedHashSet<>();

    int size() {
        return byId.size();
    }

    CallerConnection get(long id) {
        return byId.get(id);
    }

    void connected(long id) {
        CallerConnection connection = new CallerConnection(id);
        if (byId.putIfAbsent(id, connection) == null) {
            unused.add(connection);
        }
    }

    void requestOpened(OpenRequest request) {
        CallerConnection connection = byId.computeIfAbsent(request.caller.connection(), CallerConnection::new);
        unused.remove(connection);
        idle.remove(connection);
        connection.open.add(request);
    }

    /** A request was answered without being opened, which shows that the connection is used. True where no request is open on it. */
    boolean requestNotOpened(long id) {
        CallerConnection connection = byId.get(id);
        if (connection == null || !connection.open.isEmpty()) {
            return false;
        }
        unused.remove(connection);
        idle.remove(connection); // and back, as the one that is idle for the shortest time
        idle.add(connection);
        return true;
    }

    /** True where the connection has no other open request. */
    boolean requestClosed(OpenRequest request) {
        CallerConnection connection = byId.get(request.caller.connection());
        if (connection == null || !connection.open.remove(request) || !connection.open.isEmpty()) {
            return false;
        }
        idle.add(connection);
        return true;
    }

    CallerConnection remove(long id) {
        CallerConnection connection = byId.remove(id);
        unused.remove(connection);
        idle.remove(connection);
        return connection;
    }

    /**
     * Which connection to close so that the newest may stay: the oldest without a request so far, else the one that has been
     * idle for longest; the newest itself only where all others have requests open.
     */
    long leastNeeded(long newest) {
        for (Set<CallerConnection> candidates : List.of(unused, idle)) {
            for (CallerConnection connection : candidates) {
                if (connection.id != newest) {
                    return connection.id;
                }
            }
        }
        return newest;
    }
}
