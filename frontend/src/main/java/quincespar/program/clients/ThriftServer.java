package quincespar.program.clients;

import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.regex.Pattern;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import quincespar.decision.Scheduler;
import quincespar.program.runtime.Clock;
import quincespar.program.runtime.Counters;
import quincespar.protocol.MalformedException;
import quincespar.protocol.StatementScanner;
import quincespar.protocol.Utf8;
import quincespar.protocol.thrift.FrameDecoder;
import quincespar.protocol.thrift.FrameMemory;
import quincespar.protocol.thrift.FrontCodec;
import quincespar.protocol.thrift.Message;
import quincespar.routing.Caller;
import quincespar.routing.Effect;
import quincespar.routing.ClientProtocol;
import quincespar.routing.Input;
import quincespar.routing.Query;
import quincespar.routing.Reply;
import quincespar.routing.RoutingSettings;
import quincespar.transport.Connection;
import quincespar.transport.EventLoop;
import quincespar.transport.Listener;
import quincespar.transport.OutboxLimit;

/**
 * The server of the clients' framed Thrift protocol. A session per connection decodes the calls, posts them as inputs and
 * encodes the replies.
 */
public final class ThriftServer implements ClientProtocol, Listener.Acceptor {
    private final Logger log = LoggerFactory.getLogger(ThriftServer.class);
    private static final Pattern TXN_PATTERN = Pattern.compile("[0-9a-f]{16}");
    /** Numbers below ten million; no request has more milliseconds or megabytes. */
    private static final Pattern NUMBER_PATTERN = Pattern.compile("[0-9]{1,7}(\\.[0-9]{1,9})?");
    /** Idempotency keys that can be passed on to an engine, whose protocol ends a field at a comma. */
    private static final Pattern IDEMPOTENCY_KEY_PATTERN = Pattern.compile("[^,\\p{Cntrl}]{0,256}");
    private static final int MAX_ORDERING_KEY_CHARACTERS = 256;
    private static final Pattern ORDERING_KEY_PATTERN = Pattern.compile("[^\\p{Cc}]{1," + MAX_ORDERING_KEY_CHARACTERS + "}");
    /** A request's time limit may exceed its class's deadline by this factor: clients wait some milliseconds longer. */
    private static final double MAX_LIMIT_FACTOR = 2;
    private static final int MAX_OPEN_REQUESTS = 32;
    /** Sequence number of an exception for a message whose own can't be read or can't be used; clients count from 1. */
    private static final int UNKNOWN_SEQID = 0;
    /** Messages up to this length are read to their end, though they are too long to be used, as others may follow. */
    private static final int MAX_SKIPPED_FRAME_BYTES = 16 << 20;
    /** Limit on the reason in an exception, which may quote what the client sent. */
    private static final int MAX_REASON_CHARACTERS = 200;
    /** Pause between two reads of a connection whose input is discarded. It bounds what a client that sends on can cost. */
    private static final long DISCARD_PAUSE_MS = 5;
    /** Messages of one connection that are handled in one pass, so that other connections wait for no more than that. */
    private static final int MAX_MESSAGES_PER_PASS = 64;
    private static final int MAX_OPEN_HEALTH_CALLS = 64;
    private static final long ACCEPT_PAUSE_LOG_INTERVAL_MS = 1000;
    private static final byte[] NO_BYTES = {};
    /** How long a connection that may send no further message now is left unread. */
    private static final long EXCESS_PAUSE_MS = 10;
    /** Outbox limit of a connection: room for an answer of maximum length to each open request. */
    private static final int OUTBOX_BYTES = MAX_OPEN_REQUESTS * 50_000;
    /** Limit on all outboxes together. */
    private static final long TOTAL_OUTBOX_BYTES = 16 << 20;
    /** Limit on all long frames that are partly received. */
    private static final long TOTAL_PARTIAL_FRAME_BYTES = 8 << 20;

    private final Map<Long, Session> sessions = new ConcurrentHashMap<>();
    private final OutboxLimit outboxLimit = new OutboxLimit(OUTBOX_BYTES, TOTAL_OUTBOX_BYTES);
    private final FrameMemory frameMemory = new FrameMemory(TOTAL_PARTIAL_FRAME_BYTES);
    private final MessageLimits messageLimits;
    private final AtomicLong connectionNumbers = new AtomicLong();
    /** Settings by which requests are decoded; replaced as a whole. */
    private volatile RoutingSettings settings;
    private final Clock clock;
    private final Counters counters;
    /** Receives the inputs that were read in one pass, to be handled in one batch. */
    private final Consumer<List<Input>> post;
    private final Supplier<Map<String, String>> healthFields;
    private final Predicate<String> startedElsewhere;
    private final EventLoop loop;
    private final Listener listener;
    /** Time after which a partly received request no longer keeps its connection busy. */
    private final double requestReadTimeoutMs;
    private volatile int connectionLimit;
    /** Used on the loop's thread only, as is the next one. */
    private double acceptPausedAt;
    private double acceptPauseLoggedAt = Double.NEGATIVE_INFINITY;
    /** Whether connections are closed as soon as they are idle, because another process takes over the clients. */
    private volatile boolean closingIdle;

    /**
     * Creates a server that does not accept connections before {@link #start}.
     *
     * @param connectionLimit how many connections may be open
     * @param requestReadTimeoutMs time after which a partly received request no longer keeps its connection busy
     * @param messagesPerSecond of one connection; beyond it, all connections share {@code sharedMessagesPerSecond}
     * @param post receives the inputs that were read in one pass of a connection, to be handled in one batch
     * @param healthFields the fields of an answer to a health call
     * @param startedElsewhere whether another process of this front end has begun to send the request of a txn
     */
    public ThriftServer(EventLoop loop, Listener listener, RoutingSettings settings, int connectionLimit,
            double requestReadTimeoutMs, double messagesPerSecond, double sharedMessagesPerSecond, Clock clock,
            Counters counters, Consumer<List<Input>> post, Supplier<Map<String, String>> healthFields,
            Predicate<String> startedElsewhere) {
        this.startedElsewhere = startedElsewhere;
        this.requestReadTimeoutMs = requestReadTimeoutMs;
        messageLimits = new MessageLimits(messagesPerSecond, sharedMessagesPerSecond);
        this.loop = loop;
        this.listener = listener;
        this.settings = settings;
        this.connectionLimit = connectionLimit;
        this.clock = clock;
        this.counters = counters;
        this.post = post;
        this.healthFields = healthFields;
    }

    /** Requests whose last byte arrives from now on are decoded by these settings. */
    public void applySettings(RoutingSettings newSettings) {
        settings = newSettings;
    }

    /** Starts to accept connections. */
    public void start() {
        listener.start(this);
    }

    /**
     * The limit reserves descriptors for engines and the change log. At the limit new clients wait in the accept queue
     * until the reducer has closed other connections.
     */
    @Override
    public boolean hasCapacity() {
        return sessions.size() < connectionLimit;
    }

    @Override
    public void acceptingPaused() {
        counters.count(Counters.Count.CALLERS_ACCEPT_PAUSES);
        acceptPausedAt = clock.now();
        if (acceptPausedAt - acceptPauseLoggedAt >= ACCEPT_PAUSE_LOG_INTERVAL_MS) {
            acceptPauseLoggedAt = acceptPausedAt;
            log.info("{} connections of clients, the limit; new ones wait to be accepted", sessions.size());
        }
    }

    @Override
    public void acceptingResumed() {
        long pausedMs = Math.round(clock.now() - acceptPausedAt);
        counters.add(Counters.Count.CALLERS_ACCEPT_PAUSED_MS, pausedMs);
        if (pausedMs >= ACCEPT_PAUSE_LOG_INTERVAL_MS) {
            log.info("connections of clients are accepted again after {} ms", pausedMs);
        }
    }

    @Override
    public void accept(SocketChannel channel) {
        long number = connectionNumbers.incrementAndGet();
        Session session = new Session(number, Connection.accepted(loop, channel, "client-" + number, outboxLimit));
        sessions.put(number, session);
        post.accept(List.of(new Input.CallerConnected(number)));
        session.connection.start(session);
    }

    /** Sets how many connections may be open. */
    public void setConnectionLimit(int limit) {
        connectionLimit = limit;
        listener.resume();
    }

    /** Makes room for the clients in the accept queue before a shutdown: requests that they have sent would be lost. */
    public void raiseConnectionLimitForShutdown() {
        connectionLimit += connectionLimit / 5;
        listener.resume();
    }

    /** Closes a client's connection if it is idle. */
    public void closeCaller(Effect.CloseCaller e) {
        Session session = sessions.get(e.connection());
        if (session != null) {
            session.connection.closeIfIdle(e.cause());
        }
    }

    /** Closes a client's connection once its open requests are answered. */
    public void endCaller(Effect.EndCaller e) {
        Session session = sessions.get(e.connection());
        if (session != null) {
            loop.execute(session::endOnceAnswered);
        }
    }

    /** The memory reserved for long frames that are partly received. */
    public long partialFrameBytes() {
        return frameMemory.reservedBytes();
    }

    /** The number of open connections. */
    public int connectionCount() {
        return sessions.size();
    }

    /**
     * Closes idle connections, and others when their last open request is answered, so that clients connect to another
     * process with their next request. Must be called again until no connection is left: a connection can be busy at each
     * check for a while.
     */
    public void closeIdleConnections() {
        closingIdle = true;
        sessions.values().forEach(Session::finishIfIdle);
    }

    /** Closes all connections gracefully, each once its queued answers are written. */
    public void finishConnections() {
        sessions.values().forEach(session -> session.connection.finish());
    }

    @Override
    public void reply(Caller caller, Reply reply) {
        Session session = sessions.get(caller.connection());
        if (session == null) {
            return;
        }
        byte[] frame;
        if (reply instanceof Reply.Served r) {
            session.allowance.giveBack();
            frame = FrontCodec.answer("call", caller.call(), r.result(), Map.of(), true);
        } else if (reply instanceof Reply.Refused r) {
            frame = FrontCodec.busy(caller.call(), r.retryAfterMs() > 0
                    ? Map.of("later", Long.toString(Math.round(r.retryAfterMs()))) : Map.of());
        } else {
            frame = FrontCodec.failed(caller.call(), Map.of());
        }
        session.send(caller.call(), frame);
    }

    @Override
    public void health(List<Caller> callers, boolean ready) {
        byte[] answer = FrontCodec.answer("health", UNKNOWN_SEQID, new byte[0], healthFields.get(), ready);
        for (Caller caller : callers) {
            Session session = sessions.get(caller.connection());
            if (session != null) {
                session.sendHealth(FrontCodec.withSeqid(answer, caller.call()));
            }
        }
    }

    /** One client's connection. Its fields belong to the loop's thread, except those that are safe for several threads. */
    private final class Session implements Connection.Handler, FrameDecoder.Receiver {
        private final long number;
        private final Connection connection;
        private final FrameDecoder frames = new FrameDecoder(frameMemory);
        /** Sequence numbers of the requests that are not answered. */
        private final Set<Integer> openRequests = ConcurrentHashMap.newKeySet();
        /** Number of health calls that are not answered. */
        private final AtomicInteger openHealthCalls = new AtomicInteger();
        /** Number of answers that are being put into the outbox. */
        private final AtomicInteger answersInProgress = new AtomicInteger();
        /** Inputs of the current read pass: posted at its end, or dropped if the client has disconnected by then. */
        private final List<Input> pending = new ArrayList<>();
        private final MessageLimits.Allowance allowance = messageLimits.forConnection();
        /** What was read and is not decoded yet, because no further message may begin; reading is paused meanwhile. */
        private byte[] undecoded = NO_BYTES;
        private int messagesInPass;
        /** Whether there is no memory to keep what may not begin, so that all of it begins. */
        private boolean memoryShort;
        /** Whether messages of this pass may begin beyond the rates. */
        private boolean rateSuspended;
        /** For how long reading is paused because of the last message that might not begin. */
        private long excessPauseMs;
        /** Whether the last pass has left input unread, as the reducer has been told. */
        private boolean inputUnread;
        /** Since when there has been unread input; what is read meanwhile may have arrived then. */
        private double unreadSince;
        private int lastSeqid;
        /** When the bytes that are being decoded arrived. */
        private double receivedAt;
        /** When the first bytes of the partly received request arrived. */
        private double requestStartedAt;
        /** Whether further input is discarded, and the connection ends once its open requests are answered. */
        private volatile boolean ending;

        Session(long number, Connection connection) {
            this.number = number;
            this.connection = connection;
        }

        /**
         * Sends an answer. The request is removed from the open ones first: once the client has the answer it may send
         * another request, which must not exceed the limit. Until the answer is in the outbox the connection still counts
         * as busy, because a close at that moment would drop the answer.
         */
        void send(int seqid, byte[] frame) {
            answersInProgress.incrementAndGet();
            openRequests.remove(seqid);
            queueAnswer(frame);
        }

        /** Sends the answer to a health call, in the same order. */
        void sendHealth(byte[] frame) {
            answersInProgress.incrementAndGet();
            openHealthCalls.decrementAndGet();
            queueAnswer(frame);
        }

        private void queueAnswer(byte[] frame) {
            boolean sent = connection.send(frame);
            answersInProgress.decrementAndGet();
            if (!sent) {
                connection.close("the client does not read");
            } else if (ending && allAnswersQueued()) {
                connection.finish();
            } else if (closingIdle && allAnswersQueued()) {
                finishIfIdle();
            }
        }

        /**
         * Whether no call is open and every answer is in the outbox. The open calls are read first, because {@link #send}
         * counts an answer as in progress before it removes the request.
         */
        private boolean allAnswersQueued() {
            return openRequests.isEmpty() && openHealthCalls.get() == 0 && answersInProgress.get() == 0;
        }

        /** Closes the connection gracefully if no request is open, unread or partly received. */
        void finishIfIdle() {
            connection.finishIfIdle();
        }

        @Override
        public void received(byte[] bytes, int count) {
            if (ending) {
                counters.add(Counters.Count.CALLERS_DISCARDED_BYTES, count);
                return;
            }
            decode(bytes, count);
        }

        private void decode(byte[] bytes, int count) {
            receivedAt = inputUnread ? unreadSince : clock.now();
            boolean startsMessage = !frames.hasPartialMessage();
            try {
                int decoded = frames.feed(bytes, 0, count, this);
                if (decoded < count && !frameMemory.reserve(count - decoded)) {
                    memoryShort = true;
                    decoded = frames.feed(bytes, decoded, count, this);
                    memoryShort = false;
                }
                undecoded = Arrays.copyOfRange(bytes, decoded, count);
            } catch (MalformedException e) {
                reject(UNKNOWN_SEQID, FrontCodec.INVALID_MESSAGE_TYPE, e.getMessage());
                endOnceAnswered();
            }
            if (ending) {
                frames.reset();
                releaseUndecoded();
            }
            requestStartedAt = startsMessage ? receivedAt : requestStartedAt;
            if (undecoded.length > 0) {
                connection.pauseReading(excessPauseMs);
            }
        }

        /** A message may begin once those before it leave room: in this pass, among the open health calls, and in the rates. */
        @Override
        public boolean acceptsFrame() {
            if (memoryShort) {
                return true;
            }
            if (messagesInPass >= MAX_MESSAGES_PER_PASS) {
                excessPauseMs = 0;
                return false;
            }
            if (openHealthCalls.get() >= MAX_OPEN_HEALTH_CALLS || !rateSuspended && !allowance.take(clock.now())) {
                counters.count(Counters.Count.CALLERS_PAUSED);
                excessPauseMs = EXCESS_PAUSE_MS;
                return false;
            }
            messagesInPass++;
            return true;
        }

        /** One more pass, whatever the rates are: a client whose messages always wait would else never count as idle. */
        @Override
        public void pauseCutShort() {
            rateSuspended = true;
            pauseEnded();
            rateSuspended = false;
        }

        @Override
        public void pauseEnded() {
            byte[] bytes = undecoded;
            releaseUndecoded();
            if (bytes.length > 0) {
                decode(bytes, bytes.length);
                readComplete(false);
            }
        }

        private void releaseUndecoded() {
            frameMemory.release(undecoded.length);
            undecoded = NO_BYTES;
        }

        @Override
        public void readComplete(boolean allRead) {
            reportUnreadInput(!allRead);
            if (!pending.isEmpty()) {
                post.accept(List.copyOf(pending));
                pending.clear();
            }
            messagesInPass = 0;
            if (ending) {
                connection.pauseReading(DISCARD_PAUSE_MS);
            }
        }

        /** Tells the reducer, before and after what was read while there was more, whether there is more to read. */
        private void reportUnreadInput(boolean unread) {
            if (unread && !inputUnread) {
                unreadSince = receivedAt;
                pending.add(0, new Input.CallerInputUnread(number));
            } else if (!unread && inputUnread) {
                pending.add(new Input.CallerInputRead(number));
            }
            inputUnread = unread;
        }

        @Override
        public boolean busy() {
            return !allAnswersQueued() || undecoded.length > 0
                    || frames.hasPartialMessage() && clock.now() - requestStartedAt < requestReadTimeoutMs;
        }

        @Override
        public void idleCloseDeclined() {
            post.accept(inputUnread ? List.of(new Input.CallerNotClosed(number), new Input.CallerInputUnread(number))
                    : List.of(new Input.CallerNotClosed(number)));
        }

        @Override
        public void closed(String cause) {
            counters.countClose(cause);
            counters.countSystemCallFailure("clients", cause);
            if (!openRequests.isEmpty() && !connection.closedByPeer()) { // the answers to these requests are lost
                log.atWarn().addKeyValue("connection", number).addKeyValue("open", openRequests.size())
                        .log("a client's connection was closed with requests open: {}", cause);
            }
            sessions.remove(number);
            frames.reset();
            releaseUndecoded();
            listener.resume();
            post.accept(List.of(new Input.CallerDisconnected(number)));
        }

        /**
         * Answers an invalid message with an exception. It concerns no other request on the connection, which goes on. The
         * exception does not name a sequence number that may be open or answered, because it could be taken for that
         * request's second answer.
         */
        private void reject(int seqid, int type, String reason) {
            counters.count(Counters.Count.REQUESTS_UNUSABLE);
            log.atDebug().addKeyValue("connection", number).addKeyValue("seqid", seqid).addKeyValue("open", openRequests.size())
                    .log("rejected a message: {}", reason);
            int answeredSeqid = seqid > lastSeqid ? seqid : UNKNOWN_SEQID;
            String shortReason = reason.substring(0, Math.min(reason.length(), MAX_REASON_CHARACTERS));
            send(answeredSeqid, FrontCodec.exception(answeredSeqid, type, shortReason));
        }

        /**
         * Ends the connection once its open requests are answered, because no further message can be found in its input, or its
         * place is needed. It is read on, as only that shows whether the client disconnects.
         */
        private void endOnceAnswered() {
            ending = true; // from here on, a reply on another thread may finish the connection
            if (allAnswersQueued()) {
                connection.finish();
            }
        }

        @Override
        public void frame(byte[] content) {
            requestStartedAt = receivedAt;
            if (ending) {
                return;
            }
            try {
                handleMessage(FrontCodec.read(content));
            } catch (MalformedException e) {
                reject(UNKNOWN_SEQID, FrontCodec.INVALID_MESSAGE_TYPE, e.getMessage());
            }
        }

        private void handleMessage(Message message) {
            Caller caller = new Caller(number, message.seqid());
            if (message instanceof Message.Call c) {
                handleCall(caller, c);
            } else if (message instanceof Message.Cancel c) {
                openRequests.remove(c.cancelled());
                pending.add(new Input.RequestCancelled(new Caller(number, c.cancelled())));
            } else if (message instanceof Message.Health) {
                openHealthCalls.incrementAndGet();
                pending.add(new Input.HealthRequested(caller));
            } else if (message instanceof Message.Invalid i) {
                reject(i.seqid(), i.type(), i.reason());
            }
        }

        /** A call that was dropped for lack of memory is refused, as it has not run; other messages are never as long. */
        @Override
        public void dropped(byte[] head) {
            requestStartedAt = receivedAt;
            if (ending) {
                return;
            }
            OptionalInt seqid = FrontCodec.callSeqid(head);
            if (seqid.isEmpty() || seqid.getAsInt() <= lastSeqid) {
                reject(UNKNOWN_SEQID, FrontCodec.INVALID_MESSAGE_TYPE, "a long message that is no new call");
                return;
            }
            lastSeqid = seqid.getAsInt();
            counters.count(Counters.Count.REQUESTS_DROPPED);
            pending.add(new Input.RequestDropped(number));
            send(lastSeqid, FrontCodec.busy(lastSeqid, Map.of()));
        }

        /**
         * What follows behind a message of some megabytes is read as usual. Of a longer one, which its client can't have written
         * yet, the rest is not waited for.
         */
        @Override
        public void tooLong(byte[] head, int length) {
            if (ending) {
                return;
            }
            OptionalInt seqid = FrontCodec.callSeqid(head);
            reject(seqid.orElse(UNKNOWN_SEQID), FrontCodec.INTERNAL_ERROR,
                    "a message of " + length + " bytes, the limit is " + FrameDecoder.MAX_FRAME_BYTES);
            lastSeqid = Math.max(lastSeqid, seqid.orElse(UNKNOWN_SEQID));
            if (length > MAX_SKIPPED_FRAME_BYTES) {
                endOnceAnswered();
            }
        }

        private void handleCall(Caller caller, Message.Call call) {
            if (call.seqid() <= lastSeqid) { // clients count up
                reject(call.seqid(), FrontCodec.INVALID_MESSAGE_TYPE, "number " + call.seqid() + " was used before");
                return;
            }
            Query query;
            try {
                query = parseQuery(call);
            } catch (MalformedException e) {
                reject(call.seqid(), FrontCodec.INTERNAL_ERROR, e.getMessage());
                lastSeqid = call.seqid();
                return;
            }
            lastSeqid = call.seqid();
            if (openRequests.size() >= MAX_OPEN_REQUESTS) {
                send(call.seqid(), FrontCodec.exception(call.seqid(), FrontCodec.INTERNAL_ERROR, "too many open requests"));
                return;
            }
            openRequests.add(call.seqid());
            pending.add(mustNotRunTwice(query) && startedElsewhere.test(query.txn())
                    ? new Input.RequestStartedElsewhere(caller, query.classNumber())
                    : new Input.RequestReceived(caller, query, receivedAt));
        }
    }

    /** Decodes a frame with a call into a query, as a session does. */
    public Query parseQuery(byte[] frame) {
        return parseQuery((Message.Call) FrontCodec.read(frame));
    }

    private boolean mustNotRunTwice(Query query) {
        return settings.decision().classes().get(query.classNumber()).idempotency() == Scheduler.Idempotency.UNSAFE;
    }

    /** Builds a query from a call's fields; throws {@link MalformedException} that names the first invalid field. */
    private Query parseQuery(Message.Call call) {
        RoutingSettings current = settings; // read once, as another thread may replace it
        Map<String, String> fields = call.fields();
        String txn = fields.getOrDefault("txn", "");
        if (!TXN_PATTERN.matcher(txn).matches()) {
            throw new MalformedException("field txn is not 16 hex digits");
        }
        Integer classNumber = current.classNumbers().get(fields.getOrDefault("verb", ""));
        if (classNumber == null) {
            throw new MalformedException("no class '" + fields.get("verb") + "'");
        }
        Integer tenantNumber = current.tenantNumbers().isEmpty() ? Integer.valueOf(0)
                : current.tenantNumbers().get(fields.getOrDefault("team", ""));
        if (tenantNumber == null) {
            throw new MalformedException("no tenant '" + fields.get("team") + "'");
        }
        Scheduler.ClassSpec spec = current.decision().classes().get(classNumber);
        double limitMs = number(fields, "limit");
        if (limitMs <= 0 || limitMs > MAX_LIMIT_FACTOR * spec.deadline()) {
            throw new MalformedException("field limit is out of bounds");
        }
        String retry = fields.get("second");
        if (retry != null && !retry.equals("1") && !retry.equals("0")) {
            throw new MalformedException("field second is not 1");
        }
        if (call.body().length == 0) {
            throw new MalformedException("no statement");
        }
        Utf8.text(call.body()); // throws if the statement is not valid UTF-8
        String idempotencyKey = fields.getOrDefault("unique", "");
        if (!IDEMPOTENCY_KEY_PATTERN.matcher(idempotencyKey).matches()) {
            throw new MalformedException("field unique can't be passed on");
        }
        return new Query(txn, classNumber, tenantNumber, limitMs, "1".equals(retry), number(fields, "cpu"),
                number(fields, "heap_mb"), StatementScanner.tableGroup(call.body()), call.body(), idempotencyKey,
                spec.orderedByKey() ? orderingKey(fields) : "");
    }

    /** Reads the key of a request whose class keeps order. */
    private static String orderingKey(Map<String, String> fields) {
        String key = fields.getOrDefault("item", "");
        if (!ORDERING_KEY_PATTERN.matcher(key).matches()) {
            throw new MalformedException("field item is missing, too long or has control characters");
        }
        return key;
    }

    /** Reads a required number in plain decimal digits; engines reject a request without it. */
    private static double number(Map<String, String> fields, String name) {
        String value = fields.get(name);
        if (value == null || !NUMBER_PATTERN.matcher(value).matches()) {
            throw new MalformedException("field " + name + " is missing or no number");
        }
        return Double.parseDouble(value);
    }
}
