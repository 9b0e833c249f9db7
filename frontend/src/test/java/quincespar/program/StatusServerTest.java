package quincespar.program;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import quincespar.program.fleet.FleetPages;
import quincespar.program.runtime.Timers;
import quincespar.program.status.StatusServer;

/** The status server over loopback, without a front end. */
@Timeout(60)
class StatusServerTest {
    private final AtomicBoolean ready = new AtomicBoolean();
    private int port;
    private StatusServer server;

    @BeforeEach
    void start() throws IOException {
        start(3_600_000);
    }

    private void start(double timeoutMs) throws IOException {
        bind(timeoutMs);
        server.start();
    }

    private void bind(double timeoutMs) throws IOException {
        port = ScriptedPeers.freePort();
        server = new StatusServer(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), new Timers(i -> { }), timeoutMs,
                ready::get, () -> "gw_current 3\n");
    }

    private Socket connect() throws IOException {
        Socket s = new Socket(InetAddress.getLoopbackAddress(), port);
        s.setSoTimeout(10_000);
        return s;
    }

    /** Sends a text and returns all that is received until the connection is closed. */
    private String call(String text) throws IOException {
        try (Socket s = connect()) {
            s.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            return new String(s.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private static String get(String path) {
        return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n";
    }

    @Test
    void theStatusFollowsReadiness() throws IOException {
        assertThat(call(get("/status"))).startsWith("HTTP/1.1 503 ");
        ready.set(true);
        assertThat(call(get("/status"))).startsWith("HTTP/1.1 200 OK\r\n").contains("Connection: close\r\n")
                .endsWith("\r\n\r\nready\n");
        assertThat(call("HEAD /status HTTP/1.1\r\n\r\n")).contains("Content-Length: 6\r\n").endsWith("\r\n\r\n");
    }

    @Test
    void theMetricsHaveTheirContentType() throws IOException {
        assertThat(call(get("/status/metrics"))).startsWith("HTTP/1.1 200 ").contains("Content-Length: 13\r\n",
                "Content-Type: text/plain; version=0.0.4; charset=utf-8\r\n").endsWith("\r\n\r\ngw_current 3\n");
    }

    @Test
    void invalidRequestsGetAnErrorStatus() throws IOException {
        assertThat(call("\u0016\u0003\u0001\n\n")).startsWith("HTTP/1.1 400 ");
        assertThat(call(get("/else"))).startsWith("HTTP/1.1 404 ");
        assertThat(call("POST /status HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc")).startsWith("HTTP/1.1 405 ")
                .contains("\r\nAllow: GET, HEAD\r\n");
        assertThat(call("GET /" + "x".repeat(9000))).startsWith("HTTP/1.1 431 ");
        ready.set(true);
        assertThat(call(get("/status") + get("/status"))).containsOnlyOnce("HTTP/1.1 200 ");
    }

    /** Many callers with incomplete requests must not keep other callers from being served. */
    @Test
    void incompleteRequestsDoNotBlockOtherCallers() throws IOException {
        List<Socket> incomplete = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            Socket s = connect();
            s.getOutputStream().write("GET /sta".getBytes(StandardCharsets.ISO_8859_1));
            incomplete.add(s);
            assertThat(call(get("/status/metrics"))).startsWith("HTTP/1.1 200 ");
        }
        int closed = 0;
        for (Socket s : incomplete.subList(0, 70)) { // these were closed for newer ones
            closed += ended(s) ? 1 : 0;
        }
        assertThat(closed).isEqualTo(70);
        Socket remaining = incomplete.get(99); // one that is still connected can finish its request
        remaining.getOutputStream().write("tus/metrics HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        assertThat(new String(remaining.getInputStream().readAllBytes(), StandardCharsets.UTF_8)).startsWith("HTTP/1.1 200 ");
        for (Socket s : incomplete) {
            s.close();
        }
    }

    /** Guards against silent callers that are accepted in one pass and take all places. */
    @Test
    void callersThatConnectAtOnceAndSayNothingDoNotBlockOthers() throws IOException {
        bind(3_600_000);
        List<Socket> silent = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            silent.add(connect()); // they wait in the accept queue
        }
        server.start();
        assertThat(call(get("/status/metrics"))).startsWith("HTTP/1.1 200 ");
        for (Socket s : silent) {
            s.close();
        }
    }

    /** Guards against a call that gets no answer because callers that send none take its place. */
    @Test
    void aCallThatIsBeingAnsweredKeepsItsPlace() throws Exception {
        CompletableFuture<FleetPages.Page> page = new CompletableFuture<>();
        CountDownLatch asked = new CountDownLatch(1);
        server.addPages((method, path) -> {
            if (!path.equals("/slow")) {
                return null;
            }
            asked.countDown();
            return page;
        });
        List<Socket> incomplete = new ArrayList<>();
        try (Socket caller = connect()) {
            caller.getOutputStream().write(get("/slow").getBytes(StandardCharsets.ISO_8859_1));
            asked.await();
            for (int i = 0; i < 100; i++) {
                incomplete.add(connect());
            }
            assertThat(call(get("/status/metrics"))).startsWith("HTTP/1.1 200 ");
            page.complete(new FleetPages.Page(200, "text/plain", "done\n"));
            assertThat(new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8)).endsWith("done\n");
        }
        for (Socket s : incomplete) {
            s.close();
        }
    }

    /** Guards against slow pages that keep the status from being answered. */
    @Test
    void theStatusIsAnsweredWhileManyCallsWaitForSlowPages() throws Exception {
        CompletableFuture<FleetPages.Page> page = new CompletableFuture<>();
        server.addPages((method, path) -> path.equals("/slow") ? page : null);
        List<Socket> slow = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            Socket s = connect();
            s.getOutputStream().write(get("/slow").getBytes(StandardCharsets.ISO_8859_1));
            slow.add(s);
            assertThat(call(get("/status/metrics"))).startsWith("HTTP/1.1 200 ");
        }
        page.complete(new FleetPages.Page(200, "text/plain", "done\n"));
        int done = 0;
        for (Socket s : slow) {
            String answer = new String(s.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertThat(answer).matches("(?s)HTTP/1.1 (200|503) .*");
            done += answer.startsWith("HTTP/1.1 200 ") ? 1 : 0;
            s.close();
        }
        assertThat(done).isEqualTo(8);
    }

    private static boolean ended(Socket s) {
        try {
            return s.getInputStream().read() < 0;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    @Test
    void anIncompleteRequestIsClosedAfterTheTimeout() throws IOException {
        start(50);
        try (Socket s = connect()) {
            s.getOutputStream().write('G');
            assertThat(ended(s)).isTrue();
        }
    }

    @Test
    void anAddressThatCannotBeBoundIsReportedInOneLine() throws IOException {
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            assertThatThrownBy(() -> new StatusServer(new InetSocketAddress("127.0.0.1",
                    taken.getLocalPort()), new Timers(i -> { }), 50, ready::get, () -> "")).isInstanceOf(IOException.class)
                    .hasMessageContaining("admin_addr 127.0.0.1:").message().hasLineCount(1);
        }
    }
}
