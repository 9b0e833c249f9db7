package quincespar.routing;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import quincespar.decision.Gateway;
import quincespar.metrics.MetricsRecorder;

/** Requests from when they are taken until they are answered and nothing of them is out, and the clients that they are from. */
final class Requests {
    /** What an answer's way out may take: the module must have answered this long before the client gives up. */
    private static final double MARGIN = 60;
    /** The last moment for an answer of any kind, before the client gives up. */
    private static final double LAST = 15;

    private final Map<Long, OpenRequest> byId = new LinkedHashMap<>();
    private final Map<Caller, OpenRequest> callers = new LinkedHashMap<>();
    /** By the client's name for it, until nothing of it is out: an engine knows it by that name only. */
    private final Map<String, OpenRequest> names = new HashMap<>();
    private final CallerConnections fronts = new CallerConnections();
    private final StepContext turn;
    private final Bounds bounds;
    private final MetricsRecorder ledger;
    private final RecoveryCoordinator returning;
    private Attempts attempts;
    private int places;
    private boolean turnsAway;
    /** When this process ends, whatever is open then. */
    private double endsAt = Double.POSITIVE_INFINITY;

    Requests(StepContext turn, Bounds bounds, MetricsRecorder ledger, RecoveryCoordinator returning) {
        this.returning = returning;
        this.turn = turn;
        this.bounds = bounds;
        this.ledger = ledger;
        places = bounds.maxCallers();
    }

    void with(Attempts ofThese) {
        attempts = ofThese;
    }

    OpenRequest get(long id) {
        return byId.get(id);
    }

    Attempt attempt(AttemptKey key) {
        OpenRequest r = byId.get(key.request());
        return r == null || key.attempt() >= r.attempts.size() ? null : r.attempts.get(key.attempt());
    }

    /** Requests that are owed an answer. */
    int open() {
        return callers.size();
    }

    void places(int most) {
        places = most;
    }

    void turnsAway() {
        turnsAway = true;
    }

    void endsAt(double time) {
        endsAt = time;
        callers.values().forEach(r -> turn.timer(new TimerKey.RequestDeadline(r.id), Math.min(r.last, endsAt) - turn.now));
    }

    void held(Map<String, Integer> out) {
        out.put("held.requests", byId.size());
        out.put("held.names", names.size());
        out.put("held.callers", fronts.size());
    }

    /** Its client waits no longer: the module had its time, and no request may go without an answer. */
    void due(OpenRequest r) {
        if (r != null && !r.over) {
            answer(r, new Reply.Failed());
            forgets(r);
        }
    }

    /** Nothing is owed any more, should the module have heard of it. */
    private void forgets(OpenRequest r) {
        if (!r.parked) {
            turn.event(new Gateway.Left(r.id));
        }
    }

    /** A client's connection has had nothing open for a while, or has not yet said anything. */
    void frontDue(long connection) {
        CallerConnections.CallerConnection f = fronts.get(connection);
        if (f != null && f.open.isEmpty()) {
            closeCaller(connection, "nothing open");
        }
    }

    void callerUp(long connection) {
        fronts.up(connection);
        turn.timer(new TimerKey.CallerIdle(connection), bounds.firstRequestMs());
        if (fronts.size() > places) {
            long spare = fronts.spare(connection);
            closeCaller(spare, spare == connection ? "too many connections" : "its place is needed");
        }
    }

    /** It was to be closed and was not: taken anew, with its time for a first word; the place is another's to make. */
    void callerStays(long connection) {
        fronts.up(connection);
        turn.timer(new TimerKey.CallerIdle(connection), bounds.firstRequestMs());
    }

    void closeCaller(long connection, String why) {
        turn.effect(new Effect.CloseCaller(connection, why));
        gone(connection);
    }

    void gone(long connection) {
        turn.stop(new TimerKey.CallerIdle(connection));
        CallerConnections.CallerConnection f = fronts.remove(connection);
        if (f != null) {
            List.copyOf(f.open).forEach(r -> left(r.caller));
        }
    }

    void asked(Input.RequestReceived x) {
        Query q = x.query();
        if (callers.containsKey(x.caller()) || names.containsKey(q.txn())) {
            // an engine would take the one for the other, and so might we take its answer
            tell(x.caller(), q.classNumber(), new Reply.Failed());
            return;
        }
        if (turnsAway || callers.size() >= bounds.maxRequests()) { // before it is known to anyone: it never ran
            tell(x.caller(), q.classNumber(), new Reply.Refused(0));
            return;
        }
        double back = returning.turnsAway(q);
        if (!Double.isNaN(back)) { // it never ran either
            tell(x.caller(), q.classNumber(), new Reply.Refused(back));
            return;
        }
        double margin = Math.min(MARGIN, q.timeoutMs() / 10);
        double last = Math.min(x.receivedAt() + q.timeoutMs() - Math.min(LAST, margin / 4), endsAt);
        OpenRequest r = new OpenRequest(turn.number(), x.caller(), q, turn.site.decision().classes().get(q.classNumber()),
                Math.min(x.receivedAt() + q.timeoutMs(), endsAt) - margin, last);
        byId.put(r.id, r);
        callers.put(r.caller, r);
        names.put(q.txn(), r);
        fronts.opened(r);
        turn.stop(new TimerKey.CallerIdle(r.caller.connection()));
        turn.timer(new TimerKey.RequestDeadline(r.id), last - turn.now);
        r.parked = returning.notes(r);
        if (r.parked) {
            returning.begins(r);
        } else {
            tellModule(r);
        }
    }

    private void tellModule(OpenRequest r) {
        Query q = r.query;
        turn.event(new Gateway.Request(r.id, q.classNumber(), q.tenantNumber(), Math.max(0, r.until - turn.now), q.work(),
                q.memory(), q.tables(), 0, q.retry(), r.spec.loads()));
    }

    /** It is on disk now that this request may run; the module may send it. */
    void noted(OpenRequest r) {
        if (r != null && r.parked && !r.over) {
            r.parked = false;
            tellModule(r);
        }
    }

    void left(Caller c) {
        OpenRequest r = callers.get(c);
        if (r != null) {
            turn.trace(() -> "request " + r.query.txn() + " of " + r.spec.name() + ": its client has gone or cancelled");
            close(r);
            forgets(r);
        }
    }

    /** Exactly one final answer: a request that is over gets none. */
    void answer(OpenRequest r, Reply reply) {
        if (r != null && !r.over) {
            turn.trace(() -> "request " + r.query.txn() + " of " + r.spec.name() + ": " + reply.getClass().getSimpleName()
                    + " after " + r.attempts.size() + " attempts" + r.attempts.stream().map(a -> " " + a.outcome).toList());
            tell(r.caller, r.query.classNumber(), reply);
            close(r);
        }
    }

    /** The one place where a request gets its final answer. */
    void tell(Caller caller, int cls, Reply reply) {
        ledger.ended(cls, reply instanceof Reply.Served ? MetricsRecorder.FinalAnswer.ANSWERED
                : reply instanceof Reply.Refused ? MetricsRecorder.FinalAnswer.DEFERRED : MetricsRecorder.FinalAnswer.ERRORED);
        turn.effect(new Effect.Answer(caller, reply));
    }

    void close(OpenRequest r) {
        r.over = true;
        callers.remove(r.caller);
        if (fronts.closed(r)) {
            turn.timer(new TimerKey.CallerIdle(r.caller.connection()), bounds.callerIdleMs());
        }
        turn.stop(new TimerKey.RequestDeadline(r.id));
        attempts.withdraw(r);
        forget(r);
    }

    void forget(OpenRequest r) {
        if (r.over && !r.running() && byId.remove(r.id) != null) {
            names.remove(r.query.txn(), r);
            returning.ended(r);
            r.attempts.stream().filter(a -> a.link != null).forEach(a -> a.link.forget(r.query.txn()));
        }
    }
}
