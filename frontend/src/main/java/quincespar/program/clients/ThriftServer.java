package quincespar.program.clients;

import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.regex.Pattern;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import quincespar.program.runtime.Clock;
import quincespar.program.runtime.Counters;
import quincespar.protocol.MalformedException;
import quincespar.protocol.StatementScanner;
import quincespar.protocol.Utf8;
import quincespar.protocol.thrift.FrameDecoder;
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

/** The clients' protocol: Thrift in frames. One session for each connection reads it and words the replies. */
public final class ThriftServer implements ClientProtocol, Listener.Acceptor {
    private final Logger log = LoggerFactory.getLogger(ThriftServer.class);
    private static final Pattern TXN = Pattern.compile("[0-9a-f]{16}");
    /** Up to ten million: more milliseconds or megabytes no request has. */
    private static final Pattern FIGURE = Pattern.compile("[0-9]{1,7}(\\.[0-9]{1,9})?");
    /** An idempotency key as it fits among an engine's fields, where a comma ends it. */
    private static final Pattern UNIQUE = Pattern.compile("[^,\\p{Cntrl}]{0,256}");
    /** Times the class's deadline: usual clients have been seen to wait some milliseconds longer than that. */
    private static final double LONGEST = 2;
    private static final int MOST_OPEN = 32;
    /** What is read and dropped of a client whose connection is to end, until it is closed at once. */
    private static final int MOST_DROPPED = 64 * 1024;
    /** All open answers of a connection at their longest: a slow reader may lag, but not hold more than this. */
    private static final int OUTBOX = MOST_OPEN * 50_000;
    private static final long OUTBOXES = 16 << 20;

    private final Map<Long, Session> sessions = new ConcurrentHashMap<>();
    private final OutboxLimit bound = new OutboxLimit(OUTBOX, OUTBOXES);
    private final AtomicLong numbers = new AtomicLong();
    /** What requests are read by; replaced whole. */
    private volatile RoutingSettings site;
    private final Clock clock;
    private final Counters counters;
    /** Takes what was found in one look, to be decided on together. */
    private final Consumer<List<Input>> post;
    private final Supplier<Map<String, String>> report;
    private final EventLoop loop;
    private final Listener listener;
    /** A request that has begun may take so long to come whole. */
    private final double wholeMs;
    private volatile int places;
    private volatile boolean yielding;

    public ThriftServer(EventLoop loop, Listener listener, RoutingSettings site, int mostConnections, double wholeMs, Clock clock,
            Counters counters, Consumer<List<Input>> post, Supplier<Map<String, String>> report) {
        this.wholeMs = wholeMs;
        this.loop = loop;
        this.listener = listener;
        this.site = site;
        places = mostConnections;
        this.clock = clock;
        this.counters = counters;
        this.post = post;
        this.report = report;
    }

    /** Requests that come whole from now on are read by these settings. */
    public void applySettings(RoutingSettings next) {
        site = next;
    }

    public void start() {
        listener.start(this);
    }

    /**
     * Descriptors are kept for engines and the change log: with no place left new clients wait in the system's
     * queue, until the reducer has closed whom it can spare.
     */
    @Override
    public boolean hasCapacity() {
        return sessions.size() < places;
    }

    @Override
    public void accept(SocketChannel channel) {
        long number = numbers.incrementAndGet();
        Session s = new Session(number, Connection.accepted(loop, channel, "client-" + number, bound));
        sessions.put(number, s);
        post.accept(List.of(new Input.CallerConnected(number)));
        s.connection.start(s);
    }

    /** So many connections may be held from now on. */
    public void setConnectionLimit(int most) {
        places = most;
        listener.resume();
    }

    /** At the end there is room for those in the system's queue too: what was sent on them would be lost. */
    public void raiseConnectionLimitForShutdown() {
        places += places / 5;
        listener.resume();
    }

    public void closeCaller(Effect.CloseCaller e) {
        Session s = sessions.get(e.connection());
        if (s != null) {
            s.connection.closeIfIdle(e.cause());
        }
    }

    public int connectionCount() {
        return sessions.size();
    }

    /**
     * Another process takes the clients: each connection ends at a moment when nothing is open on it, so that its client
     * moves over with its next request. To be called again until none is left, as some have no such moment for a while.
     */
    public void closeIdleConnections() {
        yielding = true;
        sessions.values().forEach(Session::move);
    }

    /** Closes all connections, each once what is queued on it has been written. */
    public void finishConnections() {
        sessions.values().forEach(s -> s.connection.finish());
    }

    @Override
    public void reply(Caller caller, Reply reply) {
        Session s = sessions.get(caller.connection());
        if (s == null) {
            return;
        }
        byte[] frame;
        if (reply instanceof Reply.Served r) {
            frame = FrontCodec.answer("call", caller.call(), r.result(), Map.of(), true);
        } else if (reply instanceof Reply.Refused r) {
            frame = FrontCodec.busy(caller.call(), r.retryAfterMs() > 0
                    ? Map.of("later", Long.toString(Math.round(r.retryAfterMs()))) : Map.of());
        } else {
            frame = FrontCodec.failed(caller.call(), Map.of());
        }
        s.send(caller.call(), frame);
    }

    @Override
    public void health(Caller caller, boolean good) {
        Session s = sessions.get(caller.connection());
        if (s != null) {
            s.send(caller.call(), FrontCodec.answer("health", caller.call(), new byte[0], report.get(), good));
        }
    }

    private final class Session implements Connection.Handler {
        private final long number;
        private final Connection connection;
        private final FrameDecoder frames = new FrameDecoder();
        private final Set<Integer> open = ConcurrentHashMap.newKeySet();
        /** Answers that are being queued. */
        private final AtomicInteger answering = new AtomicInteger();
        /** What came in this look: posted at its end, or dropped where its client has gone by then. */
        private final List<Input> found = new ArrayList<>();
        private int last;
        /** When the request that is half here began. */
        private double begunAt;
        /** Nothing that still comes is read: the connection ends once what is open on it is answered. */
        private volatile boolean ending;
        private int dropped;

        Session(long number, Connection connection) {
            this.number = number;
            this.connection = connection;
        }

        /**
         * Its place among the open ones is free before its client can have the answer, and may ask again; but until the
         * answer is queued the connection is busy, or a close at that moment would take it along.
         */
        void send(int seqid, byte[] frame) {
            answering.incrementAndGet();
            open.remove(seqid);
            boolean sent = connection.send(frame);
            answering.decrementAndGet();
            if (!sent) {
                connection.close("the client does not read");
            } else if (open.isEmpty() && ending) {
                connection.finish();
            } else if (open.isEmpty() && yielding) {
                move();
            }
        }

        /** Ends the connection if this is a moment at which nothing is open on it and no request is half there. */
        void move() {
            connection.finishIfIdle();
        }

        @Override
        public void received(byte[] bytes, int count) {
            if (ending) {
                dropped += count;
                if (dropped > MOST_DROPPED) {
                    connection.close("goes on after its end");
                }
                return;
            }
            double at = clock.now();
            boolean began = !frames.hasPartialMessage();
            try {
                frames.feed(bytes, count, f -> {
                    begunAt = at;
                    message(FrontCodec.read(f), at);
                });
            } catch (MalformedException e) {
                end(0, FrontCodec.INVALID_MESSAGE_TYPE, e.getMessage());
            }
            begunAt = began ? at : begunAt;
        }

        @Override
        public void readComplete() {
            if (!found.isEmpty()) {
                post.accept(List.copyOf(found));
                found.clear();
            }
        }

        @Override
        public boolean busy() {
            return !open.isEmpty() || answering.get() > 0
                    || frames.hasPartialMessage() && !ending && clock.now() - begunAt < wholeMs;
        }

        @Override
        public void idleCloseDeclined() {
            post.accept(List.of(new Input.CallerNotClosed(number)));
        }

        @Override
        public void closed(String cause) {
            counters.countClose(cause);
            counters.countSystemCallFailure("clients", cause);
            if (!open.isEmpty() && !ending && !connection.closedByPeer()) { // each is a request lost
                log.atWarn().addKeyValue("connection", number).addKeyValue("open", open.size())
                        .log("a client's connection was closed with requests open: {}", cause);
            }
            sessions.remove(number);
            listener.resume();
            post.accept(List.of(new Input.CallerDisconnected(number)));
        }

        /**
         * The last word to a client that sent what can't be used: it is told, and its connection ends once what is open
         * there is answered. Guards against one that sends the same again as soon as it is turned away, at full speed
         * and for good. A number that may be open or answered is not named: the word could pass for its second answer.
         */
        private void end(int seqid, int type, String why) {
            ending = true;
            counters.count(Counters.Count.REQUESTS_UNUSABLE);
            connection.send(FrontCodec.exception(seqid > last ? seqid : 0, type, why));
            if (open.isEmpty()) {
                connection.finish();
            }
        }

        private void message(Message m, double at) {
            if (ending) {
                return;
            }
            Caller caller = new Caller(number, m.seqid());
            if (m instanceof Message.Call c) {
                call(caller, c, at);
            } else if (m instanceof Message.Cancel c) {
                open.remove(c.cancelled());
                found.add(new Input.RequestCancelled(new Caller(number, c.cancelled())));
            } else if (m instanceof Message.Health) {
                found.add(new Input.HealthRequested(caller));
            } else if (m instanceof Message.Invalid w) {
                end(w.seqid(), w.type(), w.reason());
            }
        }

        private void call(Caller caller, Message.Call c, double at) {
            if (c.seqid() <= last) { // numbers count up
                end(c.seqid(), FrontCodec.INVALID_MESSAGE_TYPE, "number " + c.seqid() + " was used before");
                return;
            }
            Query query;
            try {
                query = parseQuery(c);
            } catch (MalformedException e) {
                end(c.seqid(), FrontCodec.INTERNAL_ERROR, e.getMessage());
                return;
            }
            last = c.seqid();
            if (open.size() >= MOST_OPEN) {
                send(c.seqid(), FrontCodec.exception(c.seqid(), FrontCodec.INTERNAL_ERROR, "too many open requests"));
                return;
            }
            open.add(c.seqid());
            found.add(new Input.RequestReceived(caller, query, at));
        }
    }

    /** A call's fields as a query, as a session makes it. */
    public Query parseQuery(byte[] frame) {
        return parseQuery((Message.Call) FrontCodec.read(frame));
    }

    /** A call's fields as a query; throws {@link MalformedException} by the name of a field that can't be used. */
    private Query parseQuery(Message.Call c) {
        RoutingSettings by = site; // one and the same to the end of this request
        Map<String, String> f = c.fields();
        String txn = f.getOrDefault("txn", "");
        if (!TXN.matcher(txn).matches()) {
            throw new MalformedException("field txn is not 16 hex digits");
        }
        Integer cls = by.classNumbers().get(f.getOrDefault("verb", ""));
        if (cls == null) {
            throw new MalformedException("no class '" + f.get("verb") + "'");
        }
        Integer tenant = by.tenantNumbers().isEmpty() ? Integer.valueOf(0) : by.tenantNumbers().get(f.getOrDefault("team", ""));
        if (tenant == null) {
            throw new MalformedException("no tenant '" + f.get("team") + "'");
        }
        double limit = number(f, "limit");
        if (limit <= 0 || limit > LONGEST * by.decision().classes().get(cls).deadline()) {
            throw new MalformedException("field limit is out of bounds");
        }
        String second = f.get("second");
        if (second != null && !second.equals("1") && !second.equals("0")) {
            throw new MalformedException("field second is not 1");
        }
        if (c.body().length == 0) {
            throw new MalformedException("no statement");
        }
        Utf8.text(c.body()); // a statement that is no text can't be used
        String unique = f.getOrDefault("unique", "");
        if (!UNIQUE.matcher(unique).matches()) {
            throw new MalformedException("field unique can't be passed on");
        }
        return new Query(txn, cls, tenant, limit, "1".equals(second), number(f, "cpu"), number(f, "heap_mb"),
                StatementScanner.tableGroup(c.body()), c.body(), unique);
    }

    /** A figure that must be there: engines can't use a request without. Plain digits, as nothing else is sent. */
    private static double number(Map<String, String> fields, String name) {
        String v = fields.get(name);
        if (v == null || !FIGURE.matcher(v).matches()) {
            throw new MalformedException("field " + name + " is missing or no number");
        }
        return Double.parseDouble(v);
    }
}
