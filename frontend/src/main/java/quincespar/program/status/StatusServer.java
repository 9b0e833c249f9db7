package quincespar.program.status;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.List;
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
 * The HTTP/1.1 server of the second address ({@code admin_addr}), for operators. It serves one call per connection, on an event
 * loop of its own. It reads published values and waits neither for the reducer nor for the other loops, so that it answers
 * within a second however busy those are. A caller that does not complete its call or does not read the answer can't block
 * others: calls have a time limit, and at the limit of connections the oldest one is closed.
 */
public final class StatusServer implements Listener.Acceptor {
    /** Further pages, which may be answered later. A stage that completes exceptionally is answered with status 503. */
    public interface Pages {
        /** The page of a request; null if there is no such page. */
        CompletionStage<FleetPages.Page> page(String method, String path);
    }

    /** Limit on open connections, and so on their descriptors. */
    private static final int MAX_CONNECTIONS = 24;
    /** Limit on the callers that have sent no complete call; beyond it the oldest of them is disconnected. */
    private static final int MAX_INCOMPLETE_CALLS = MAX_CONNECTIONS / 3;
    /** Limit on the calls whose pages are not ready; a further one is answered with status 503. */
    private static final int MAX_AWAITED_PAGES = MAX_CONNECTIONS / 3;
    /** Time limit of a call, from the connect to the last byte of the answer. */
    public static final double CALL_TIMEOUT_MS = 5000;
    private static final int OUTBOX_BYTES = 256 * 1024;

    private final Set<Call> calls = new LinkedHashSet<>(); // oldest first
    private final OutboxLimit outboxLimit = new OutboxLimit(OUTBOX_BYTES, (long) MAX_CONNECTIONS * OUTBOX_BYTES);
    private final EventLoop loop;
    private final Listener listener;
    private final Timers timers;
    private final double callTimeoutMs;
    private final BooleanSupplier ready;
    private final Supplier<String> metrics;
    private volatile Pages pages = (method, path) -> null;

    /**
     * Binds the address.
     *
     * @param callTimeoutMs time limit of a call
     * @param ready whether the front end serves requests
     * @param metrics the metrics in the Prometheus text format
     * @throws IOException if the address can't be bound
     */
    public StatusServer(InetSocketAddress address, Timers timers, double callTimeoutMs, BooleanSupplier ready,
            Supplier<String> metrics) throws IOException {
        this.timers = timers;
        this.callTimeoutMs = callTimeoutMs;
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

    /** Serves further pages from now on, before the status pages. */
    public void addPages(Pages more) {
        pages = more;
    }

    /** Starts to accept connections. */
    public void start() {
        listener.start(this);
        loop.start();
    }

    /** Beyond the two limits only callers that have been answered hold places, and each for a moment; new ones wait for it. */
    @Override
    public boolean hasCapacity() {
        return calls.size() < MAX_CONNECTIONS;
    }

    /** A caller that says nothing gives way to a new one; a call that has been read does not, as it is owed an answer. */
    @Override
    public void accept(SocketChannel channel) {
        Call call = new Call(Connection.accepted(loop, channel, "status", outboxLimit));
        calls.add(call);
        call.connection.start(call);
        limitIncompleteCalls();
    }

    private void limitIncompleteCalls() {
        List<Call> incomplete = calls.stream().filter(call -> !call.requestComplete).toList();
        int excess = Math.max(0, incomplete.size() - MAX_INCOMPLETE_CALLS);
        incomplete.subList(0, excess).forEach(call -> call.connection.closeIfIdle("its place is needed"));
    }

    private static String reasonPhrase(int status) {
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

    /** Encodes a response; for HEAD it has the length of the body without the body. */
    private static byte[] response(int status, String type, String body, boolean head) {
        byte[] text = body.getBytes(StandardCharsets.UTF_8);
        return ("HTTP/1.1 " + status + " " + reasonPhrase(status) + "\r\nContent-Type: " + type + "\r\nContent-Length: "
                + text.length + "\r\nCache-Control: no-store\r\n" + (status == 405 ? "Allow: GET, HEAD\r\n" : "")
                + "Connection: close\r\n\r\n" + (head ? "" : body)).getBytes(StandardCharsets.UTF_8);
    }

    private byte[] statusPage(Request request) {
        boolean head = request.method().equals("HEAD");
        if (!isStatusPage(request)) {
            return plainText(404, head);
        }
        if (!head && !request.method().equals("GET")) {
            return plainText(405, false);
        }
        if (request.path().equals("/status/metrics")) {
            return response(200, PrometheusText.CONTENT_TYPE, metrics.get(), head);
        }
        boolean isReady = ready.getAsBoolean();
        return response(isReady ? 200 : 503, "text/plain; charset=utf-8", isReady ? "ready\n" : "not ready\n", head);
    }

    private static boolean isStatusPage(Request request) {
        return request.path().equals("/status") || request.path().equals("/status/metrics");
    }

    private static byte[] unavailable(String reason) {
        return response(503, "text/plain; charset=utf-8", reason + "\n", false);
    }

    private static byte[] plainText(int status, boolean head) {
        return response(status, "text/plain; charset=utf-8", reasonPhrase(status) + "\n", head);
    }

    /** One connection and its call. */
    private final class Call implements Connection.Handler {
        private final Connection connection;
        private final RequestDecoder decoder = new RequestDecoder();
        private final Future<?> timeout;
        /** Whether the call has been read, or rejected; what comes behind it is ignored. */
        private boolean requestComplete;
        /** Whether the page is not ready. */
        private volatile boolean awaitingPage;

        Call(Connection connection) {
            this.connection = connection;
            timeout = timers.schedule(callTimeoutMs, () -> connection.close("no call in time"));
        }

        @Override
        public void received(byte[] bytes, int count) {
            if (requestComplete) {
                return;
            }
            try {
                Optional<Request> request = decoder.feed(bytes, count);
                request.ifPresent(this::answer);
            } catch (RequestDecoder.RejectedException e) {
                requestComplete = true;
                send(plainText(e.status(), false));
            }
        }

        @Override
        public boolean busy() {
            return requestComplete;
        }

        @Override
        public void idleCloseDeclined() {
            loop.execute(StatusServer.this::limitIncompleteCalls); // after what has just arrived is read
        }

        private void answer(Request request) {
            requestComplete = true;
            if (!isStatusPage(request) && calls.stream().filter(call -> call.awaitingPage).count() >= MAX_AWAITED_PAGES) {
                send(unavailable("too many calls are open"));
                return;
            }
            CompletionStage<FleetPages.Page> page = pages.page(request.method(), request.path());
            if (page == null) {
                send(statusPage(request));
                return;
            }
            awaitingPage = true;
            page.whenComplete((p, e) -> {
                awaitingPage = false;
                send(e == null ? response(p.status(), p.type(), p.body(), false) : unavailable("the fleet gave no answer: " + e));
            });
        }

        private void send(byte[] response) {
            connection.send(response);
            connection.finish();
        }

        @Override
        public void closed(String cause) {
            timeout.cancel(false);
            calls.remove(this);
            listener.resume();
        }
    }
}
