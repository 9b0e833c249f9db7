package quincespar.routing;

import java.util.List;
import java.util.OptionalLong;
import java.util.function.Consumer;
import quincespar.routing.CallerConnections.CallerConnection;

/**
 * Which connections of clients may stay: there is a limit on all and one on those with open requests, and beyond them the
 * connection that is needed least is closed.
 */
final class CallerPlaces {
    /** When room is made beyond the limit on busy connections: what a client has sent by then is answered. */
    private static final double SPARE_IDLE_MS = 30;
    /** After that many times, a displaced connection whose client sends on is closed all the same. */
    private static final int MAX_DISPLACED_CLOSE_ATTEMPTS = 5;

    private final StepContext context;
    private final Bounds bounds;
    private final CallerConnections connections;
    private final Consumer<OpenRequest> endUnserved;
    private final Consumer<Caller> cancelled;
    private int maxCallers;
    private int maxBusyCallers;
    private int displacedCount;

    /**
     * Creates the limits that {@code bounds} give.
     *
     * @param endUnserved answers an open request of a connection that loses its place
     * @param cancelled   ends the open request of a client that has disconnected
     */
    CallerPlaces(StepContext context, Bounds bounds, CallerConnections connections, Consumer<OpenRequest> endUnserved,
            Consumer<Caller> cancelled) {
        this.context = context;
        this.bounds = bounds;
        this.connections = connections;
        this.endUnserved = endUnserved;
        this.cancelled = cancelled;
        maxCallers = bounds.maxCallers();
        maxBusyCallers = bounds.maxBusyCallers();
    }

    void setLimits(int max, int maxBusy) {
        maxCallers = max;
        maxBusyCallers = maxBusy;
    }

    /** How many connections have lost their place to others. */
    int displacedCount() {
        return displacedCount;
    }

    void requestOpened(OpenRequest request) {
        connections.requestOpened(request);
        context.stopTimer(new TimerKey.CallerIdle(request.caller.connection()));
    }

    void requestClosed(OpenRequest request) {
        if (connections.requestClosed(request, context.now)) {
            startIdleTimer(request.caller.connection());
        }
    }

    /** A request on this connection was answered without being opened: the connection is in use for as long as after others. */
    void requestNotOpened(long connection) {
        if (connections.requestNotOpened(connection, context.now)) {
            startIdleTimer(connection);
        }
    }

    /** Beyond the limit on busy connections room is made soon, as new ones may wait to be accepted. */
    private void startIdleTimer(long connection) {
        double idleMs = context.now - connections.get(connection).idleSince;
        context.startTimer(new TimerKey.CallerIdle(connection),
                connections.keptCount() > maxBusyCallers ? SPARE_IDLE_MS : bounds.callerIdleMs() - idleMs);
    }

    /** A client's connection has had no open request for too long, or has not yet sent one. */
    void idleTimeout(long connection) {
        CallerConnection found = connections.get(connection);
        if (found == null) {
            return;
        }
        if (connections.isDisplaced(found)) {
            closeDisplaced(found);
        } else if (connections.isIdle(found) && context.now - found.idleSince < bounds.callerIdleMs()) {
            makeRoomBefore(found);
        } else if (found.open.isEmpty()) {
            close(connection, "nothing open");
        }
    }

    /** Beyond the limit on busy connections closes the least needed one, which an idle one need not be. */
    private void makeRoomBefore(CallerConnection idle) {
        if (connections.keptCount() > maxBusyCallers) {
            connections.leastNeeded(context.now).ifPresent(id -> close(id, "its place is needed"));
        }
        if (connections.isIdle(idle)) {
            startIdleTimer(idle.id);
        }
    }

    /** A client has connected: where there are too many connections, another one is closed. */
    void connected(long connection) {
        connections.connected(connection, context.now);
        boolean tooMany = connections.keptCount() > maxCallers;
        OptionalLong leastNeeded = tooMany ? connections.leastNeededBut(connection, context.now) : OptionalLong.empty();
        leastNeeded.ifPresent(id -> close(id, "its place is needed"));
        context.startTimer(new TimerKey.CallerIdle(connection), tooMany && leastNeeded.isEmpty()
                ? CallerConnections.FIRST_SEND_MS : bounds.firstRequestMs());
    }

    /**
     * A connection that was to be closed stays open. It counts as a new one, but no connection is closed in its place: where
     * none can be closed, the event loop and the reducer would repeat that for ever.
     */
    void notClosed(long connection) {
        CallerConnection found = connections.get(connection);
        if (found != null && connections.isDisplaced(found)) {
            context.startTimer(new TimerKey.CallerIdle(connection), SPARE_IDLE_MS);
            return;
        }
        connections.connected(connection, context.now);
        context.startTimer(new TimerKey.CallerIdle(connection), bounds.firstRequestMs());
    }

    /** Closes a displaced connection if it is idle, and in the end also if its client always has more to send. */
    private void closeDisplaced(CallerConnection connection) {
        connection.closeAttempts++;
        context.addEffect(connection.closeAttempts > MAX_DISPLACED_CLOSE_ATTEMPTS ? new Effect.EndCaller(connection.id)
                : new Effect.CloseCaller(connection.id, "its place is needed"));
    }

    /** Answers the open requests of a connection and closes it, as its place is needed. */
    private void displace(CallerConnection connection) {
        displacedCount++;
        connections.displace(connection);
        List.copyOf(connection.open).forEach(endUnserved);
        context.startTimer(new TimerKey.CallerIdle(connection.id), SPARE_IDLE_MS);
    }

    /**
     * Whether a request may be opened on its connection. Connections beyond the limit on busy ones are accepted all the same, so
     * that their requests have an answer: such a connection is displaced, unless another has many requests open.
     */
    boolean hasPlace(long id) {
        CallerConnection connection = connections.get(id);
        if (connection != null && connections.isDisplaced(connection)) {
            return false;
        }
        if (connections.busyCount() < maxBusyCallers) {
            return true;
        }
        if (connection == null) { // it was to be closed, and this request has come before that
            connection = connections.connected(id, context.now);
        }
        if (!connection.open.isEmpty()) {
            return connection.open.size() < CallerConnections.MAX_OPEN_AT_LIMIT;
        }
        CallerConnection busiest = connections.busiest();
        displace(busiest == null ? connection : busiest);
        return busiest != null;
    }

    private void close(long connection, String cause) {
        context.addEffect(new Effect.CloseCaller(connection, cause));
        disconnected(connection);
    }

    /** A client's connection has ended, so that no answer can reach it any more. */
    void disconnected(long connection) {
        context.stopTimer(new TimerKey.CallerIdle(connection));
        context.stopTimer(new TimerKey.CallerInputUnread(connection));
        CallerConnection removed = connections.remove(connection);
        if (removed != null) {
            List.copyOf(removed.open).forEach(r -> cancelled.accept(r.caller));
        }
    }
}
