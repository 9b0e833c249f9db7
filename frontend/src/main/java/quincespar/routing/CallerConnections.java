package quincespar.routing;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * The clients' connections: what is open on each, and which could be closed to make room for another. The number of busy ones,
 * which have requests open, is limited. At that limit a connection may be displaced: its requests are answered, and it is
 * closed.
 */
final class CallerConnections {
    /** Open requests on a connection that opens them while the limit on busy ones is reached; one with more may be displaced. */
    static final int MAX_OPEN_AT_LIMIT = 3;
    /** For how long a client may have sent nothing on a new connection whose place is needed. */
    static final double FIRST_SEND_MS = 20;

    /** A client's connection. */
    static final class CallerConnection {
        final long id;
        final double connectedAt;
        final Set<OpenRequest> open = new LinkedHashSet<>();
        /** Whether not all of its input has been read, so that its client may have left without that being known. */
        boolean inputUnread;
        /** Whether that has lasted so long that its requests are refused. */
        boolean inputUnreadTooLong;
        /** Since when it has had no open request, where it has had one. */
        double idleSince;
        /** How often it was to be closed since it was displaced. */
        int closeAttempts;

        CallerConnection(long id, double connectedAt) {
            this.id = id;
            this.connectedAt = connectedAt;
        }
    }

    private final Map<Long, CallerConnection> byId = new HashMap<>();
    /** Connections that have not sent a request yet, oldest first. */
    private final Set<CallerConnection> unused = new LinkedHashSet<>();
    /** Connections whose requests have all been answered, longest idle first. */
    private final Set<CallerConnection> idle = new LinkedHashSet<>();
    /** Connections that are to be closed because their place is needed: no further request is opened on them. */
    private final Set<CallerConnection> displaced = new LinkedHashSet<>();

    int size() {
        return byId.size();
    }

    /** How many connections there are without those that are displaced. */
    int keptCount() {
        return byId.size() - displaced.size();
    }

    /** How many connections have requests open. */
    int busyCount() {
        return keptCount() - unused.size() - idle.size();
    }

    /** The connection with most open requests, null where none has more than {@link #MAX_OPEN_AT_LIMIT}. */
    CallerConnection busiest() {
        CallerConnection busiest = null;
        int mostOpen = MAX_OPEN_AT_LIMIT;
        for (CallerConnection connection : byId.values()) {
            if (connection.open.size() > mostOpen) {
                busiest = connection;
                mostOpen = connection.open.size();
            }
        }
        return busiest;
    }

    void displace(CallerConnection connection) {
        unused.remove(connection);
        idle.remove(connection);
        displaced.add(connection);
    }

    boolean isDisplaced(CallerConnection connection) {
        return displaced.contains(connection);
    }

    /** Whether it has had open requests, and has none now. */
    boolean isIdle(CallerConnection connection) {
        return idle.contains(connection);
    }

    CallerConnection get(long id) {
        return byId.get(id);
    }

    CallerConnection connected(long id, double now) {
        return byId.computeIfAbsent(id, number -> {
            CallerConnection connection = new CallerConnection(number, now);
            unused.add(connection);
            return connection;
        });
    }

    void requestOpened(OpenRequest request) {
        CallerConnection connection = byId.computeIfAbsent(request.caller.connection(),
                id -> new CallerConnection(id, request.openedAt));
        unused.remove(connection);
        idle.remove(connection);
        connection.open.add(request);
    }

    /** A request was answered without being opened, which shows that its connection is used. True where none is open on it. */
    boolean requestNotOpened(long id, double now) {
        CallerConnection connection = byId.get(id);
        if (connection == null || isDisplaced(connection) || !connection.open.isEmpty()) {
            return false;
        }
        unused.remove(connection);
        becameIdle(connection, now);
        return true;
    }

    /** True where the connection has no other open request, and is idle now. */
    boolean requestClosed(OpenRequest request, double now) {
        CallerConnection connection = byId.get(request.caller.connection());
        if (connection == null || !connection.open.remove(request) || !connection.open.isEmpty() || isDisplaced(connection)) {
            return false;
        }
        becameIdle(connection, now);
        return true;
    }

    private void becameIdle(CallerConnection connection, double now) {
        connection.idleSince = now;
        idle.remove(connection); // and back, as the one that is idle for the shortest time
        idle.add(connection);
    }

    CallerConnection remove(long id) {
        CallerConnection connection = byId.remove(id);
        unused.remove(connection);
        idle.remove(connection);
        displaced.remove(connection);
        return connection;
    }

    /**
     * Which connection to close so that a new one may stay: the oldest without a request so far, else the one that has been idle
     * for longest; none where all have requests open, or that oldest one has not had time to send a request.
     *
     * @param newest the connection that is to stay, as it is new
     */
    OptionalLong leastNeededBut(long newest, double now) {
        return leastNeeded(unused.stream().filter(c -> c.id != newest).findFirst(), now);
    }

    /** As {@link #leastNeededBut}, where no connection is new. */
    OptionalLong leastNeeded(double now) {
        return leastNeeded(unused.stream().findFirst(), now);
    }

    private OptionalLong leastNeeded(Optional<CallerConnection> oldestUnused, double now) {
        if (oldestUnused.isEmpty()) {
            return idle.isEmpty() ? OptionalLong.empty() : OptionalLong.of(idle.iterator().next().id);
        }
        boolean hadTime = now - oldestUnused.get().connectedAt >= FIRST_SEND_MS;
        return hadTime ? OptionalLong.of(oldestUnused.get().id) : OptionalLong.empty();
    }
}
