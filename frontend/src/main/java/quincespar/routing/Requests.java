package quincespar.routing;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import quincespar.decision.Scheduler;
import quincespar.metrics.MetricsRecorder;
import quincespar.metrics.MetricsSnapshot;

/** Open requests, from their arrival until they are answered and none of their attempts is open, and their callers. */
final class Requests {
    /** How long before its client gives up the decision module must have answered a request, to leave time for delivery. */
    private static final double DELIVERY_MARGIN_MS = 60;
    /** How long before its client gives up any answer must go out. */
    private static final double LAST_ANSWER_MARGIN_MS = 15;
    /** No attempt may begin for longer than this after its client has left, which unread input may hide. */
    private static final double MAX_INPUT_UNREAD_MS = 100;
    private static final double LATE_ANSWER_LOG_INTERVAL_MS = 100;

    private final Map<Long, OpenRequest> byId = new LinkedHashMap<>();
    private final Map<Caller, OpenRequest> unanswered = new LinkedHashMap<>();
    /** Until none of its attempts is open: an engine knows a request by its txn only. */
    private final Map<String, OpenRequest> byTxn = new HashMap<>();
    private final CompletedTransactions completed = new CompletedTransactions();
    private final CallerConnections connections = new CallerConnections();
    private final CallerPlaces places;
    private final OrderingKeys orderingKeys = new OrderingKeys();
    private final RequestMemory memory;
    private final StepContext context;
    private final Bounds bounds;
    private final MetricsRecorder metrics;
    private final RecoveryCoordinator recovery;
    /** Whether ordering keys are locked against other processes of this front end. */
    private final boolean locksKeys;
    private Attempts attempts;
    private int refusedForMemory;
    private int refusedForPlace;
    private int answeredLate;
    private double lateAnswerLoggedAt = Double.NEGATIVE_INFINITY;
    private boolean refusing;
    /** When this process ends, even if requests are open then. */
    private double shutdownAt = Double.POSITIVE_INFINITY;

    Requests(StepContext context, Bounds bounds, MetricsRecorder metrics, RecoveryCoordinator recovery, boolean locksKeys) {
        this.context = context;
        this.bounds = bounds;
        this.metrics = metrics;
        this.recovery = recovery;
        this.locksKeys = locksKeys;
        memory = new RequestMemory(bounds.maxRequestBytes());
        places = new CallerPlaces(context, bounds, connections, this::endUnserved, this::cancelled);
    }

    void setAttempts(Attempts attempts) {
        this.attempts = attempts;
    }

    /** The places of the clients' connections. */
    CallerPlaces places() {
        return places;
    }

    OpenRequest get(long id) {
        return byId.get(id);
    }

    Attempt attempt(AttemptKey key) {
        OpenRequest request = byId.get(key.request());
        return request == null || key.attempt() >= request.attempts.size() ? null : request.attempts.get(key.attempt());
    }

    /** How many requests have not been answered yet. */
    int unanswered() {
        return unanswered.size();
    }

    MetricsSnapshot.OrderingKeyStatus orderingKeyStatus() {
        return new MetricsSnapshot.OrderingKeyStatus(orderingKeys.heldCount(),
                Math.round(orderingKeys.longestWaitMs(context.now)));
    }

    void refuseNew() {
        refusing = true;
    }

    /** The process ends at that time: the deadlines of open requests are moved before it. */
    void scheduleShutdown(double time) {
        shutdownAt = time;
        unanswered.values().forEach(r -> context.startTimer(new TimerKey.RequestDeadline(r.id),
                Math.min(r.answerDeadline, shutdownAt) - context.now));
    }

    void addRetainedCounts(Map<String, Integer> out) {
        out.put("held.requests", byId.size());
        out.put("held.names", byTxn.size());
        out.put("held.completed-names", completed.size());
        out.put("held.callers", connections.size());
        out.put("held.ordering-keys", orderingKeys.size());
        out.put("held.request-bytes", (int) memory.totalBytes());
        out.put("requests.refused_for_memory", refusedForMemory);
        out.put("requests.refused_for_place", refusedForPlace);
        out.put("callers.displaced", places.displacedCount());
        out.put("answers.late", answeredLate);
    }

    /**
     * The client of a request gives up soon. The decision module has not answered in its time, so the request fails here; one of
     * which the module was not told, as it waits for the disk or its key, has not run, and is refused.
     */
    void deadlinePassed(OpenRequest request) {
        if (request != null && !request.closed) {
            answer(request, request.reported ? new Reply.Failed() : new Reply.Refused(0));
            tellModuleClosed(request);
        }
    }

    /** Tells the decision module, if it has been told of the request, that no answer is needed any more. */
    private void tellModuleClosed(OpenRequest request) {
        if (request.reported) {
            context.addEvent(new Scheduler.ClientLeft(request.id));
        }
    }

    void received(Input.RequestReceived input) {
        Query query = input.query();
        if (unanswered.containsKey(input.caller()) || byTxn.containsKey(query.txn())
                || completed.contains(query.txn(), context.now)) {
            // neither an engine nor this front end could tell the two requests apart
            answerUnopened(input, new Reply.Failed());
            return;
        }
        double retryAfterMs = refusalRetryAfterMs(input);
        if (!Double.isNaN(retryAfterMs)) { // not registered yet, so it has not run
            answerUnopened(input, new Reply.Refused(retryAfterMs));
            return;
        }
        if (!places.hasPlace(input.caller().connection())) {
            refusedForPlace++;
            answerUnopened(input, new Reply.Refused(0));
            return;
        }
        OpenRequest request = open(input);
        request.awaitingInput = inputUnread(request);
        request.awaitingDisk = recovery.persists(request);
        if (request.awaitingDisk) {
            recovery.persistStart(request);
        }
        tellModuleWhenDue(request);
    }

    /** A request may have run in another process of this front end, and must not run twice. */
    void startedElsewhere(Input.RequestStartedElsewhere input) {
        answerUnopened(input.caller(), input.classNumber(), new Reply.Failed());
    }

    private void answerUnopened(Input.RequestReceived input, Reply reply) {
        answerUnopened(input.caller(), input.query().classNumber(), reply);
    }

    private void answerUnopened(Caller caller, int classNumber, Reply reply) {
        reply(caller, classNumber, reply);
        places.requestNotOpened(caller.connection());
    }

    /** After how long the client of a request that must be refused may try again; NaN where it may be opened. */
    private double refusalRetryAfterMs(Input.RequestReceived input) {
        CallerConnections.CallerConnection connection = connections.get(input.caller().connection());
        if (refusing || unanswered.size() >= bounds.maxRequests() || connection != null && connection.inputUnreadTooLong) {
            return 0;
        }
        if (!memory.fits(input.caller().connection(), input.query())) {
            refusedForMemory++;
            return 0;
        }
        return recovery.refusalRetryAfterMs(input.query());
    }

    private OpenRequest open(Input.RequestReceived input) {
        Query query = input.query();
        double margin = Math.min(DELIVERY_MARGIN_MS, query.timeoutMs() / 10);
        double answerDeadline = Math.min(input.receivedAt() + query.timeoutMs() - Math.min(LAST_ANSWER_MARGIN_MS, margin / 4),
                shutdownAt);
        OpenRequest request = new OpenRequest(context.nextId(), input.caller(), query, context.now,
                context.settings.decision().classes().get(query.classNumber()),
                Math.min(input.receivedAt() + query.timeoutMs(), shutdownAt) - margin, answerDeadline);
        byId.put(request.id, request);
        memory.add(request);
        unanswered.put(request.caller, request);
        byTxn.put(query.txn(), request);
        request.orderingKey = orderingKeys.add(request, context.now);
        lockKey(request, input.receivedAt());
        places.requestOpened(request);
        context.startTimer(new TimerKey.RequestDeadline(request.id), answerDeadline - context.now);
        return request;
    }

    private void lockKey(OpenRequest request, double arrivedAt) {
        if (locksKeys && request.orderingKey != null) {
            request.awaitingKey = true;
            context.addEffect(new Effect.LockKey(request.id, request.query.orderingKey(), arrivedAt, settleMs()));
        }
    }

    private void unlockKey(OpenRequest request) {
        if (locksKeys) {
            context.addEffect(new Effect.UnlockKey(request.id,
                    Math.max(0, request.lastDoubtfulEnd() + settleMs() - context.now)));
        }
    }

    private double settleMs() {
        return context.settings.decision().rules().settlePeriod();
    }

    /** No other process has the key of a request: the decision module may send it in its turn. */
    void keyLocked(OpenRequest request) {
        if (request != null && !request.closed) {
            request.awaitingKey = false;
            tellModuleWhenDue(request);
        }
    }

    /** Tells the decision module of a request, unless that, or an earlier one of its key, waits for something. */
    private void tellModuleWhenDue(OpenRequest request) {
        if (request.orderingKey != null) {
            tellModuleInOrder(request.orderingKey);
        } else if (!request.awaiting() && !request.reported) {
            tellModule(request);
        }
    }

    /** Tells the decision module of the requests of a key in the order of arrival, up to the first that must wait. */
    private void tellModuleInOrder(OrderingKeys.OrderingKey key) {
        for (OpenRequest request : key.requests) {
            if (request.awaiting()) {
                return;
            }
            if (!request.reported && !request.closed) {
                tellModule(request);
            }
        }
    }

    private void tellModule(OpenRequest request) {
        request.reported = true;
        Query query = request.query;
        long key = request.orderingKey == null ? OrderingKeys.NO_KEY : request.orderingKey.number;
        context.addEvent(new Scheduler.Request(request.id, query.classNumber(), query.tenantNumber(),
                Math.max(0, request.deadline - context.now), query.work(), query.memory(), query.tables(), key, query.retry(),
                request.spec.loadsTables()));
    }

    /**
     * How long a key keeps its number after its last request: the decision module may block it for the settle period from its
     * next decision on, which may be a tick away.
     */
    private double orderingKeyRetentionMs() {
        return settleMs() + context.settings.decision().tick();
    }

    /** The recovery entry of a request has been written, or could not be: the decision module may send the request now. */
    void persistFinished(OpenRequest request) {
        if (request != null && request.awaitingDisk && !request.closed) {
            request.awaitingDisk = false;
            tellModuleWhenDue(request);
        }
    }

    /**
     * Not all input of a connection has been read: the cancel of a request, or the client's end, may be among the rest. Until
     * {@link #callerInputRead} its requests wait, and so do attempts that have not begun.
     */
    void callerInputUnread(long id) {
        CallerConnections.CallerConnection connection = connections.get(id);
        if (connection != null && !connection.inputUnread) {
            connection.inputUnread = true;
            context.startTimer(new TimerKey.CallerInputUnread(id), MAX_INPUT_UNREAD_MS);
        }
    }

    /** All input of a connection has been read. */
    void callerInputRead(long id) {
        CallerConnections.CallerConnection connection = connections.get(id);
        if (connection == null || !connection.inputUnread) {
            return;
        }
        connection.inputUnread = false;
        connection.inputUnreadTooLong = false;
        context.stopTimer(new TimerKey.CallerInputUnread(id));
        for (OpenRequest request : List.copyOf(connection.open)) {
            request.awaitingInput = false;
            tellModuleWhenDue(request);
            attempts.writeAwaitingInput(request);
        }
    }

    /** A client sends more than can be read: what has not begun is refused, as nobody can tell how long it would wait. */
    void callerInputUnreadTooLong(long id) {
        CallerConnections.CallerConnection connection = connections.get(id);
        if (connection == null || !connection.inputUnread) {
            return;
        }
        connection.inputUnreadTooLong = true;
        context.addEffect(new Effect.Log("connection " + id + ": its client sends more than is read, requests open: "
                + connection.open.size()));
        for (OpenRequest request : List.copyOf(connection.open)) {
            attempts.withdrawAll(request);
            refuseUnlessRunning(request);
        }
    }

    /** Answers a request of which no attempt may begin, unless one has begun, whose result is its answer. */
    void refuseUnlessRunning(OpenRequest request) {
        if (!request.closed && !request.running()) {
            endUnserved(request);
        }
    }

    private void endUnserved(OpenRequest request) {
        answer(request, request.refusable() ? new Reply.Refused(0) : new Reply.Failed());
        tellModuleClosed(request);
    }

    /** Whether not all input of a request's connection has been read. */
    boolean inputUnread(OpenRequest request) {
        CallerConnections.CallerConnection connection = connections.get(request.caller.connection());
        return connection != null && connection.inputUnread;
    }

    /** Whether that has lasted for so long that no attempt of the request may begin. */
    boolean inputUnreadTooLong(OpenRequest request) {
        CallerConnections.CallerConnection connection = connections.get(request.caller.connection());
        return connection != null && connection.inputUnreadTooLong;
    }

    /** The client has cancelled a request, or has disconnected. */
    void cancelled(Caller caller) {
        OpenRequest request = unanswered.get(caller);
        if (request != null) {
            context.trace(() -> "request " + request.query.txn() + " of " + request.spec.name()
                    + ": its client cancelled it or disconnected");
            close(request);
            tellModuleClosed(request);
        }
    }

    /** Gives a request its final answer; one that is closed already gets none. */
    void answer(OpenRequest request, Reply reply) {
        if (request != null && !request.closed) {
            context.trace(() -> "request " + request.query.txn() + " of " + request.spec.name() + ": "
                    + reply.getClass().getSimpleName() + " after " + request.attempts.size() + " attempts"
                    + request.attempts.stream().map(a -> " " + a.outcome).toList());
            countIfLate(request, reply);
            reply(request.caller, request.query.classNumber(), reply);
            close(request);
        }
    }

    /** An answer after its client's time is of no use, and shows that this process did not get to its work in time. */
    private void countIfLate(OpenRequest request, Reply reply) {
        double lateByMs = context.now - request.answerDeadline - LAST_ANSWER_MARGIN_MS;
        if (lateByMs <= 0) {
            return;
        }
        answeredLate++;
        if (context.now - lateAnswerLoggedAt >= LATE_ANSWER_LOG_INTERVAL_MS) {
            lateAnswerLoggedAt = context.now;
            context.addEffect(new Effect.Log("request " + request.query.txn() + " of " + request.spec.name() + ": "
                    + reply.getClass().getSimpleName() + " " + Math.round(lateByMs) + " ms after its time, opened "
                    + Math.round(context.now - request.openedAt) + " ms ago with " + Math.round(request.answerDeadline
                    - request.openedAt) + " ms left, attempts " + request.attempts.stream().map(a -> a.outcome
                    + " after " + Math.round((a.outcome == null ? context.now : a.endedAt) - a.createdAt) + " ms").toList()));
        }
    }

    /** The only place where answers go out and are counted. */
    private void reply(Caller caller, int classNumber, Reply reply) {
        metrics.answered(classNumber, reply instanceof Reply.Served ? MetricsRecorder.FinalAnswer.ANSWERED
                : reply instanceof Reply.Refused ? MetricsRecorder.FinalAnswer.DEFERRED : MetricsRecorder.FinalAnswer.ERRORED);
        context.addEffect(new Effect.Answer(caller, reply));
    }

    private void close(OpenRequest request) {
        request.closed = true;
        unanswered.remove(request.caller);
        places.requestClosed(request);
        context.stopTimer(new TimerKey.RequestDeadline(request.id));
        attempts.withdrawAll(request);
        removeIfEnded(request);
    }

    /** Forgets a request that is closed and has no open attempt. */
    void removeIfEnded(OpenRequest request) {
        if (request.closed && !request.running() && byId.remove(request.id) != null) {
            byTxn.remove(request.query.txn(), request);
            if (request.unsafe() && request.mayHaveRun()) {
                completed.add(request.query.txn(), context.now);
            }
            memory.remove(request);
            if (request.orderingKey != null) {
                unlockKey(request);
                orderingKeys.remove(request, context.now + orderingKeyRetentionMs());
                tellModuleInOrder(request.orderingKey);
            }
            recovery.requestEnded(request);
            request.attempts.stream().filter(a -> a.link != null).forEach(a -> a.link.forget(request.query.txn()));
        }
    }
}
