package quincespar.program;

import java.net.Socket;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.regex.Pattern;
import quincespar.decision.Gateway;
import quincespar.protocol.MalformedException;
import quincespar.protocol.StatementScan;
import quincespar.protocol.Utf8;
import quincespar.protocol.thrift.FrameDecoder;
import quincespar.protocol.thrift.FrontCodec;
import quincespar.protocol.thrift.Message;
import quincespar.routing.Caller;
import quincespar.routing.Front;
import quincespar.routing.Input;
import quincespar.routing.Query;
import quincespar.routing.Reply;
import quincespar.routing.Site;
import quincespar.transport.Connection;
import quincespar.transport.OutboxBound;

/** The clients' protocol: Thrift in frames. One session for each connection reads it and words the replies. */
final class ThriftFront implements Front {
    private static final Pattern TXN = Pattern.compile("[0-9a-fA-F]{16}");
    private static final int MOST_OPEN = 32;
    /** All open answers of a connection at their longest: a slow reader may lag, but not hold more than this. */
    private static final int OUTBOX = MOST_OPEN * 50_000;
    private static final long OUTBOXES = 16 << 20;

    private final Map<Long, Session> sessions = new ConcurrentHashMap<>();
    private final OutboxBound bound = new OutboxBound(OUTBOX, OUTBOXES);
    private final AtomicLong numbers = new AtomicLong();
    private final Map<String, Integer> classes = new HashMap<>();
    private final Map<String, Integer> tenants = new HashMap<>();
    private final Clock clock;
    private final Consumer<Input> post;
    private final Supplier<Map<String, String>> report;
    private final int mostConnections;

    ThriftFront(Site site, int mostConnections, Clock clock, Consumer<Input> post,
            Supplier<Map<String, String>> report) {
        List<Gateway.ClassSpec> specs = site.module().classes();
        for (int i = 0; i < specs.size(); i++) {
            classes.put(specs.get(i).name(), i);
        }
        for (int i = 0; i < site.module().tenants().size(); i++) {
            tenants.put(site.module().tenants().get(i).name(), i);
        }
        this.mostConnections = mostConnections;
        this.clock = clock;
        this.post = post;
        this.report = report;
    }

    /** Takes a connection that was accepted. */
    void accept(Socket socket) {
        long number = numbers.incrementAndGet();
        Connection c = Connection.accepted(socket, "client-" + number, bound);
        if (sessions.size() >= mostConnections) { // descriptors are kept for engines and the change log
            c.close("too many connections");
            return;
        }
        Session s = new Session(number, c);
        sessions.put(number, s);
        c.start(s);
    }

    int connections() {
        return sessions.size();
    }

    /** Closes all connections, each once what is queued on it has been written. */
    void finish() {
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
            frame = FrontCodec.busy(caller.call(), r.comeBackMs() > 0
                    ? Map.of("later", Long.toString(Math.round(r.comeBackMs()))) : Map.of());
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

        Session(long number, Connection connection) {
            this.number = number;
            this.connection = connection;
        }

        void send(int seqid, byte[] frame) {
            open.remove(seqid);
            if (!connection.send(frame)) {
                connection.close("the client does not read");
            }
        }

        @Override
        public void received(byte[] bytes, int count) {
            double at = clock.now();
            try {
                frames.feed(bytes, count, f -> message(FrontCodec.read(f), at));
            } catch (MalformedException e) {
                connection.close("malformed: " + e.getMessage());
            }
        }

        @Override
        public void closed(String cause) {
            sessions.remove(number);
            post.accept(new Input.CallerGone(number));
        }

        private void message(Message m, double at) {
            Caller caller = new Caller(number, m.seqid());
            if (m instanceof Message.Call c) {
                call(caller, c, at);
            } else if (m instanceof Message.Cancel c) {
                open.remove(c.cancelled());
                post.accept(new Input.Withdrawn(new Caller(number, c.cancelled())));
            } else if (m instanceof Message.Health) {
                post.accept(new Input.HealthAsked(caller));
            } else if (m instanceof Message.Wrong w) {
                connection.send(FrontCodec.exception(w.seqid(), w.type(), w.why()));
            }
        }

        private void call(Caller caller, Message.Call c, double at) {
            Query query;
            try {
                query = query(c);
            } catch (MalformedException e) {
                connection.send(FrontCodec.exception(c.seqid(), FrontCodec.INTERNAL, e.getMessage()));
                return;
            }
            if (open.size() >= MOST_OPEN || !open.add(c.seqid())) {
                connection.send(FrontCodec.exception(c.seqid(), FrontCodec.INTERNAL, "too many open requests"));
                return;
            }
            post.accept(new Input.Asked(caller, query, at));
        }
    }

    /** A call's fields as a query, as a session makes it. */
    Query query(byte[] frame) {
        return query((Message.Call) FrontCodec.read(frame));
    }

    /** A call's fields as a query; throws {@link MalformedException} by the name of a field that can't be used. */
    private Query query(Message.Call c) {
        Map<String, String> f = c.fields();
        String txn = f.getOrDefault("txn", "");
        if (!TXN.matcher(txn).matches()) {
            throw new MalformedException("field txn is not 16 hex digits");
        }
        Integer cls = classes.get(f.getOrDefault("verb", ""));
        if (cls == null) {
            throw new MalformedException("no class '" + f.get("verb") + "'");
        }
        Integer tenant = tenants.isEmpty() ? Integer.valueOf(0) : tenants.get(f.getOrDefault("team", ""));
        if (tenant == null) {
            throw new MalformedException("no tenant '" + f.get("team") + "'");
        }
        double limit = number(f, "limit", Double.NaN);
        if (!(limit > 0)) {
            throw new MalformedException("field limit is missing or not above 0");
        }
        Utf8.text(c.body()); // a statement that is no text can't be used
        return new Query(txn, cls, tenant, limit, "1".equals(f.get("second")), number(f, "cpu", Double.NaN),
                number(f, "heap_mb", 0), StatementScan.group(c.body()), c.body());
    }

    private static double number(Map<String, String> fields, String name, double absent) {
        String v = fields.get(name);
        if (v == null) {
            return absent;
        }
        try {
            double n = Double.parseDouble(v);
            if (n >= 0 && n < 1e12) {
                return n;
            }
        } catch (NumberFormatException e) {
            throw new MalformedException("field " + name + " is no number");
        }
        throw new MalformedException("field " + name + " is out of bounds");
    }
}
