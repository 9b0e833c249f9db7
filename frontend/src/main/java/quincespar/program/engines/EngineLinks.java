package quincespar.program.engines;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
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

/** The connections to engines. It encodes effects as RESP commands, and posts the engines' replies as inputs. */
public final class EngineLinks {
    private final Logger log = LoggerFactory.getLogger(EngineLinks.class);
    private static final int OUTBOX_BYTES = 4 << 20;
    private static final long TOTAL_OUTBOX_BYTES = 12 << 20;
    private static final int MAX_PAGES = 64;
    /** Other names that engines use for the fields of a load report, by their names in the settings. */
    private static final Map<String, String> FIELD_ALIASES = Map.of("outstanding", "inflight", "backlog", "queue",
            "utilization", "util", "recent_ms", "latency_ms", "throughput", "qps", "errors_per_s", "eps");

    private final Map<Long, Connection> connections = new ConcurrentHashMap<>();
    private final OutboxLimit outboxLimit = new OutboxLimit(OUTBOX_BYTES, TOTAL_OUTBOX_BYTES);
    private final EventLoop loop;
    /** Names and order of the fields of a load report. */
    private volatile List<String> reportFields;
    private final Consumer<Input> post;

    /** Creates it without links; {@code post} receives the inputs. */
    public EngineLinks(EventLoop loop, RoutingSettings settings, Consumer<Input> post) {
        this.loop = loop;
        this.post = post;
        applySettings(settings);
    }

    /** Load reports are read by these settings from now on. */
    public void applySettings(RoutingSettings settings) {
        reportFields = settings.decision().engineTraits().reportFields();
    }

    /** Connects to an engine. */
    public void open(Effect.OpenLink e) {
        try {
            InetSocketAddress address = Addresses.parse(e.address());
            Connection c = Connection.outbound(loop, "engine-" + e.link(), outboxLimit);
            connections.put(e.link(), c); // before connecting: closed() removes it, and would otherwise run first
            c.connect(address, new LinkHandler(e.link()));
        } catch (IllegalArgumentException x) { // the listed address is invalid: as if the connection had been refused
            post.accept(new Input.LinkDown(e.link(), x.getMessage()));
        }
    }

    /** Closes a link. */
    public void close(Effect.CloseLink e) {
        Connection c = connections.remove(e.link());
        if (c != null) {
            c.close(e.cause());
        }
    }

    /** Sends an attempt; one that does not fit into the outbox is rejected, and what else is open on the link goes on. */
    public void send(Effect.Send e) {
        Connection c = connections.get(e.link());
        byte[] command = EngineCodec.serve(e.txn(), e.queue(), e.idempotencyKey(), e.priority(), e.budgetMs(), e.statement());
        if (c != null && !c.send(command, e.write(), () -> post.accept(new Input.SendWritten(e.key())))) {
            post.accept(new Input.SendRejected(e.key())); // the outbox is full, or the link is closed and LinkDown follows
        }
    }

    /** Cancels an attempt. */
    public void cancel(Effect.Cancel e) {
        send(e.link(), EngineCodec.cancel(e.txn()), () -> post.accept(new Input.CancelWritten(e.key())));
    }

    /** Requests a further page of a result. */
    public void readPage(Effect.ReadPage e) {
        send(e.link(), EngineCodec.read(e.txn(), e.page()), null);
    }

    /** Tells an engine that no more pages of a result are needed. */
    public void release(Effect.Release e) {
        send(e.link(), EngineCodec.release(e.txn()), null);
    }

    /** Sends a health check. */
    public void probe(Effect.Probe e) {
        send(e.link(), EngineCodec.gauges(e.tag()), null);
    }

    /** The number of links, including those that are connecting. */
    public int size() {
        return connections.size();
    }

    private void send(long link, byte[] bytes, Runnable written) {
        Connection c = connections.get(link);
        if (c != null && !c.send(bytes, null, written)) {
            c.close("the engine does not read"); // no effect if the link is closed already; LinkDown follows then
        }
    }

    private final class LinkHandler implements Connection.Handler {
        private final long link;
        private final RespDecoder decoder = new RespDecoder();
        /** Whether a message is partly received. */
        private boolean partialMessage;
        /** Whether the current read has completed a message. */
        private boolean completedMessage;

        LinkHandler(long link) {
            this.link = link;
        }

        @Override
        public void opened() {
            post.accept(new Input.LinkUp(link));
        }

        @Override
        public void received(byte[] bytes, int count) {
            try {
                completedMessage = false;
                decoder.feed(bytes, count, items -> {
                    completedMessage = true;
                    EngineMessage message = decode(items);
                    if (message != null) {
                        post.accept(new Input.EngineMessageReceived(link, message));
                    }
                });
                if (decoder.hasPartialMessage() != partialMessage || partialMessage && completedMessage) { // each has its timeout
                    partialMessage = decoder.hasPartialMessage();
                    post.accept(new Input.PartialMessage(link, partialMessage));
                }
            } catch (MalformedException e) {
                Connection c = connections.get(link);
                if (c != null) {
                    log.atWarn().addKeyValue("link", link).log("closing the link after a malformed message: {}", e.getMessage());
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
     * Decodes a complete RESP message; null for a note of an unknown kind. The framing is intact, so an invalid message does
     * not affect the ones after it. It is passed on as malformed with its id: the reducer ignores it if nothing is open under
     * that id.
     */
    private EngineMessage decode(List<byte[]> items) {
        String id = Utf8.text(items.get(0));
        try {
            return toMessage(EngineCodec.readReply(items));
        } catch (MalformedException e) {
            return new EngineMessage.Malformed(id, e.getMessage());
        }
    }

    private EngineMessage toMessage(EngineCodec.Reply reply) {
        return switch (reply.type()) {
            case "DONE" -> {
                int pages = reply.number("count");
                if (pages < 1 || pages > MAX_PAGES) {
                    throw new MalformedException("result of " + pages + " pages");
                }
                EngineCodec.requirePage(reply.body());
                yield new EngineMessage.Done(reply.id(), pages, reply.body(), loadReport(reply));
            }
            case "MORE" -> {
                EngineCodec.requirePage(reply.body());
                yield new EngineMessage.Page(reply.id(), reply.number("pos"), reply.body());
            }
            case "WAIT" -> new EngineMessage.Full(reply.id(), loadReport(reply));
            case "BROKE" -> new EngineMessage.Failed(reply.id(), loadReport(reply));
            case "PAST" -> new EngineMessage.Expired(reply.id(), loadReport(reply));
            case "FIT", "UNFIT" -> new EngineMessage.Health(reply.id(), reply.type().equals("FIT"), loadReport(reply));
            case "TELL" -> noteOf(reply);
            default -> throw new MalformedException("unknown reply type '" + reply.type() + "'");
        };
    }

    private static EngineMessage noteOf(EngineCodec.Reply reply) {
        NoteKind kind = switch (reply.fields().getOrDefault("detail", "")) {
            case "share" -> NoteKind.PROGRESS;
            case "short" -> NoteKind.SPILL;
            case "held" -> NoteKind.WAIT;
            default -> null;
        };
        return kind == null ? null : new EngineMessage.Note(reply.id(), kind, number(reply.fields().get("reading")));
    }

    /** The values of a load report in the order of the settings; empty if a field is missing, as the values go by position. */
    private List<Double> loadReport(EngineCodec.Reply reply) {
        String report = reply.fields().get("use");
        if (report == null || report.isEmpty()) {
            return List.of();
        }
        Map<String, String> values = new HashMap<>();
        for (String pair : report.split(";")) {
            int colon = pair.indexOf(':');
            if (colon <= 0) {
                throw new MalformedException("invalid load report: '" + report + "'");
            }
            values.put(pair.substring(0, colon), pair.substring(colon + 1));
        }
        List<Double> out = new ArrayList<>();
        for (String field : reportFields) {
            String value = values.getOrDefault(field, values.get(FIELD_ALIASES.getOrDefault(field, field)));
            if (value == null) {
                return List.of();
            }
            out.add(number(value));
        }
        return out;
    }

    private static double number(String text) {
        try {
            return Double.parseDouble(text == null ? "" : text);
        } catch (NumberFormatException e) {
            throw new MalformedException("invalid number: '" + text + "'");
        }
    }
}
