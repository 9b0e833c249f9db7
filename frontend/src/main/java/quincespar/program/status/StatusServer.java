package quincespar.program.status;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Future;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import quincespar.metrics.PrometheusText;
import quincespar.program.fleet.FleetPages;
import quincespar.program.runtime.Timers;
import quincespar.protocol.http.RequestDecoder.Request;
import quincespar.protocol.http.RequestDecoder;
import quincespar.transport.Connection;
import quincespar.transport.EventLoop;
import quincespar.transport.Listener;
import quincespar.transport.OutboxLimit;

/**
 * The second address, for operators: HTTP/1.1 with one call to a connection, on a loop of its own. It reads what has
 * been published and waits for neither the reducer nor the other loops, so that a caller has its answer within a
 * second however busy those are. Callers that finish no call, or do not read, hold up nobody: each has a
 * while, and the one that has waited longest makes room.
 */
public final class StatusServer implements Listener.Acceptor {
    /** A page that may take its time; a stage that ends with an exception is answered as not to be had. */
    public interface Pages {
        /** Null where there is no such page. */
        CompletionStage<FleetPages.Page> page(String method, String path);
    }

    /** Callers at a time; so many descriptors at the most. */
    private static final int MOST = 24;
    /** How long a call may take, from the connect to its last byte, in milliseconds. */
    public static final double CALL_TIMEOUT_MS = 5000;
    private static final int OUTBOX = 256 * 1024;

    private final Set<Call> calls = new LinkedHashSet<>(); // the longest there first
    private final OutboxLimit bound = new OutboxLimit(OUTBOX, (long) MOST * OUTBOX);
    private final EventLoop loop;
    private final Listener listener;
    private final Timers timers;
    private final double longestMs;
    private final BooleanSupplier ready;
    private final Supplier<String> metrics;
    private volatile Pages pages = (method, path) -> null;

    /** Binds the address; throws {@link IOException} where it can't be. */
    public StatusServer(InetSocketAddress address, Timers timers, double longestMs, BooleanSupplier ready,
            Supplier<String> metrics) throws IOException {
        this.timers = timers;
        this.longestMs = longestMs;
        this.ready = ready;
        this.metrics = metrics;
        loop = new EventLoop("status");
        listener = new Listener(loop, address, false);
        try {
            listener.bind();
        } catch (IOException | RuntimeException e) {
            throw new IOException("admin_addr " + address.getHostString() + ":" + address.getPort() + ": "
                    + e.getMessage(), e);
        }
    }

    /** Serves these pages too, from now on. */
    public void addPages(Pages more) {
        pages = more;
    }

    public void start() {
        listener.start(this);
        loop.start();
    }

    @Override
    public boolean hasCapacity() {
        return true;
    }

    @Override
    public void accept(SocketChannel channel) {
        if (calls.size() >= MOST) {
            calls.iterator().next().connection.close("its place is needed");
        }
        Call call = new Call(Connection.accepted(loop, channel, "status", bound));
        calls.add(call);
        call.connection.start(call);
    }

    private static String words(int status) {
        return switch (status) {
            case 200 -> "OK";
            case 400 -> "Bad Request";
            case 404 -> "Not Found";
            case 405 -> "Method Not Allowed";
            case 409 -> "Conflict";
            case 431 -> "Request Header Fields Too Large";
            default -> "Service Unavailable";
        };
    }

    /** An answer as it goes out; {@code body} is left out for HEAD, which is told its length all the same. */
    private static byte[] answer(int status, String type, String body, boolean head) {
        byte[] text = body.getBytes(StandardCharsets.UTF_8);
        return ("HTTP/1.1 " + status + " " + words(status) + "\r\nContent-Type: " + type + "\r\nContent-Length: "
                + text.length + "\r\nCache-Control: no-store\r\n" + (status == 405 ? "Allow: GET, HEAD\r\n" : "")
                + "Connection: close\r\n\r\n" + (head ? "" : body)).getBytes(StandardCharsets.UTF_8);
    }

    private byte[] answer(Request r) {
        boolean head = r.method().equals("HEAD");
        boolean known = r.path().equals("/status") || r.path().equals("/status/metrics");
        if (!known) {
            return plain(404, head);
        }
        if (!head && !r.method().equals("GET")) {
            return plain(405, false);
        }
        if (r.path().equals("/status/metrics")) {
            return answer(200, PrometheusText.CONTENT_TYPE, metrics.get(), head);
        }
        boolean yes = ready.getAsBoolean();
        return answer(yes ? 200 : 503, "text/plain; charset=utf-8", yes ? "ready\n" : "not ready\n", head);
    }

    private static byte[] plain(int status, boolean head) {
        return answer(status, "text/plain; charset=utf-8", words(status) + "\n", head);
    }

    private final class Call implements Connection.Handler {
        private final Connection connection;
        private final RequestDecoder decoder = new RequestDecoder();
        private final Future<?> end;
        private boolean answered;

        Call(Connection connection) {
            this.connection = connection;
            end = timers.schedule(longestMs, () -> connection.close("no call in time"));
        }

        @Override
        public void received(byte[] bytes, int count) {
            if (answered) {
                return; // a body, or a further call: there is one to a connection
            }
            try {
                Optional<Request> request = decoder.feed(bytes, count);
                request.ifPresent(this::answer);
            } catch (RequestDecoder.RejectedException e) {
                end(plain(e.status(), false));
            }
        }

        private void answer(Request r) {
            answered = true;
            CompletionStage<FleetPages.Page> page = pages.page(r.method(), r.path());
            if (page == null) {
                end(StatusServer.this.answer(r));
            } else {
                page.whenComplete((p, e) -> end(e == null ? StatusServer.answer(p.status(), p.type(), p.body(), false)
                        : StatusServer.answer(503, "text/plain; charset=utf-8", "the fleet gave no answer: " + e + "\n", false)));
            }
        }

        private void end(byte[] answer) {
            answered = true;
            connection.send(answer);
            connection.finish();
        }

        @Override
        public void closed(String cause) {
            end.cancel(false);
            calls.remove(this);
        }
    }
}
