package quincespar.program.engines;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import quincespar.decision.Scheduler.NoteKind;
import quincespar.program.runtime.Addresses;
import quincespar.protocol.MalformedException;
import quincespar.protocol.Utf8;
import quincespar.protocol.resp.EngineCodec;
import quincespar.protocol.resp.RespDecoder;
import quincespar.routing.Effect;
import quincespar.routing.EngineMessage;
import quincespar.routing.Input;
import quincespar.routing.RoutingSettings;
import quincespar.transport.Connection;
import quincespar.transport.EventLoop;
import quincespar.transport.OutboxLimit;
import quincespar.transport.WithdrawableWrite;

/** The connections to engines, which speak RESP. */
public final class EngineLinks {
    private final Logger log = LoggerFactory.getLogger(EngineLinks.class);
    private static final int OUTBOX = 4 << 20;
    private static final long OUTBOXES = 12 << 20;
    private static final int MOST_PAGES = 64;
    /** What the settings call a report's value, and what engines may call it. */
    private static final Map<String, String> SHORT = Map.of("outstanding", "inflight", "backlog", "queue",
            "utilization", "util", "recent_ms", "latency_ms", "throughput", "qps", "errors_per_s", "eps");

    private final Map<Long, Connection> connections = new ConcurrentHashMap<>();
    private final OutboxLimit bound = new OutboxLimit(OUTBOX, OUTBOXES);
    private final EventLoop loop;
    private volatile List<String> reportFields;
    private final Consumer<Input> post;

    public EngineLinks(EventLoop loop, RoutingSettings site, Consumer<Input> post) {
        this.loop = loop;
        this.post = post;
        applySettings(site);
    }

    public void applySettings(RoutingSettings site) {
        reportFields = site.decision().engineTraits().reportFields();
    }

    public void open(Effect.OpenLink e) {
        try {
            InetSocketAddress address = Addresses.parse(e.address());
            Connection c = Connection.outbound(loop, "engine-" + e.link(), bound);
            connections.put(e.link(), c); // before its end can be told, or it would be kept for good
            c.connect(address, new Receiver(e.link()));
        } catch (IllegalArgumentException x) { // listed at no address: as good as refused
            post.accept(new Input.LinkDown(e.link(), x.getMessage()));
        }
    }

    public void close(Effect.CloseLink e) {
        Connection c = connections.remove(e.link());
        if (c != null) {
            c.close(e.cause());
        }
    }

    public void send(Effect.Send e) {
        send(e.link(), EngineCodec.serve(e.txn(), e.queue(), e.idempotencyKey(), e.budgetMs(), e.statement()), e.write(),
                () -> post.accept(new Input.SendWritten(e.key())));
    }

    public void cancel(Effect.Cancel e) {
        send(e.link(), EngineCodec.cancel(e.txn()), null, () -> post.accept(new Input.CancelWritten(e.key())));
    }

    public void readPage(Effect.ReadPage e) {
        send(e.link(), EngineCodec.read(e.txn(), e.page()), null, null);
    }

    public void release(Effect.Release e) {
        send(e.link(), EngineCodec.release(e.txn()), null, null);
    }

    public void probe(Effect.Probe e) {
        send(e.link(), EngineCodec.gauges(e.tag()), null, null);
    }

    public int size() {
        return connections.size();
    }

    private void send(long link, byte[] bytes, WithdrawableWrite write, Runnable written) {
        Connection c = connections.get(link);
        if (c != null && !c.send(bytes, write, written)) {
            c.close("the engine does not read"); // or it is over, and then its end is on its way
        }
    }

    private final class Receiver implements Connection.Handler {
        private final long link;
        private final RespDecoder decoder = new RespDecoder();
        private boolean midway;
        private boolean whole;

        Receiver(long link) {
            this.link = link;
        }

        @Override
        public void opened() {
            post.accept(new Input.LinkUp(link));
        }

        @Override
        public void received(byte[] bytes, int count) {
            try {
                whole = false;
                decoder.feed(bytes, count, items -> {
                    whole = true;
                    EngineMessage news = said(items);
                    if (news != null) {
                        post.accept(new Input.EngineMessageReceived(link, news));
                    }
                });
                if (decoder.hasPartialMessage() != midway || midway && whole) { // each message has its own time to come whole
                    midway = decoder.hasPartialMessage();
                    post.accept(new Input.PartialMessage(link, midway));
                }
            } catch (MalformedException e) {
                Connection c = connections.get(link);
                if (c != null) {
                    log.atWarn().addKeyValue("link", link).log("an engine's message is malformed: {}", e.getMessage());
                    c.close("malformed: " + e.getMessage());
                }
            }
        }

        @Override
        public void closed(String cause) {
            connections.remove(link);
            post.accept(new Input.LinkDown(link, cause));
        }
    }

    /**
     * Its frame is right, so what follows it can be read whatever it holds. Whether it matters that it makes no
     * sense depends on its id: one that nothing is open under may come ahead of a good answer.
     */
    private EngineMessage said(List<byte[]> items) {
        String id = Utf8.text(items.get(0));
        try {
            return news(EngineCodec.readReply(items));
        } catch (MalformedException e) {
            return new EngineMessage.Malformed(id, e.getMessage());
        }
    }

    private EngineMessage news(EngineCodec.Reply a) {
        return switch (a.type()) {
            case "DONE" -> {
                int pages = a.number("count");
                if (pages < 1 || pages > MOST_PAGES) {
                    throw new MalformedException("a result of " + pages + " pages");
                }
                EngineCodec.requirePage(a.body());
                yield new EngineMessage.Done(a.id(), pages, a.body(), load(a));
            }
            case "MORE" -> {
                EngineCodec.requirePage(a.body());
                yield new EngineMessage.Page(a.id(), a.number("pos"), a.body());
            }
            case "WAIT" -> new EngineMessage.Full(a.id(), load(a));
            case "BROKE" -> new EngineMessage.Failed(a.id(), load(a));
            case "PAST" -> new EngineMessage.Expired(a.id(), load(a));
            case "FIT", "UNFIT" -> new EngineMessage.Health(a.id(), a.type().equals("FIT"), load(a));
            case "TELL" -> note(a);
            default -> throw new MalformedException("no answer '" + a.type() + "'");
        };
    }

    private static EngineMessage note(EngineCodec.Reply a) {
        NoteKind kind = switch (a.fields().getOrDefault("detail", "")) {
            case "share" -> NoteKind.PROGRESS;
            case "short" -> NoteKind.SPILL;
            case "held" -> NoteKind.WAIT;
            default -> null;
        };
        return kind == null ? null : new EngineMessage.Note(a.id(), kind, number(a.fields().get("reading")));
    }

    /** The load report in the settings' order; none where a field is missing, as a wrong place would mislead. */
    private List<Double> load(EngineCodec.Reply a) {
        String use = a.fields().get("use");
        if (use == null || use.isEmpty()) {
            return List.of();
        }
        Map<String, String> told = new java.util.HashMap<>();
        for (String pair : use.split(";")) {
            int colon = pair.indexOf(':');
            if (colon <= 0) {
                throw new MalformedException("no report: '" + use + "'");
            }
            told.put(pair.substring(0, colon), pair.substring(colon + 1));
        }
        List<Double> out = new ArrayList<>();
        for (String field : reportFields) {
            String v = told.getOrDefault(field, told.get(SHORT.getOrDefault(field, field)));
            if (v == null) {
                return List.of();
            }
            out.add(number(v));
        }
        return out;
    }

    private static double number(String v) {
        try {
            return Double.parseDouble(v == null ? "" : v);
        } catch (NumberFormatException e) {
            throw new MalformedException("no number: '" + v + "'");
        }
    }
}
