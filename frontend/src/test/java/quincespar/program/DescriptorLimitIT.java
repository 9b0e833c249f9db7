package quincespar.program;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The jar, started by the deploy file's command line, with few descriptors, which idle or busy clients use up; the change log is down. */
@Timeout(120)
class DescriptorLimitIT {
    private static final int DESCRIPTORS = 128, IDLE_CONNECTIONS = 300, BUSY_CLIENTS = 100, LOOKUPS = 20;
    /** Of the lookups: an answer counts until half a second after its request's time, and each limit is 50 ms longer on sockets. */
    private static final long LATEST_ANSWER_MS = 3000 + 550;

    private final ScriptedPeers.Engine engine = createEngine();
    private final int port = ScriptedPeers.freePort();
    private final int admin = ScriptedPeers.freePort();
    /** The change log is down: nothing listens there. */
    private final int changeLog = ScriptedPeers.freePort();
    @TempDir
    private Path folder;

    DescriptorLimitIT() throws IOException { }

    private static ScriptedPeers.Engine createEngine() throws IOException {
        return new ScriptedPeers.Engine();
    }

    private Process start() throws IOException {
        Path file = Files.writeString(folder.resolve("config.json"), """
            {"name":"n1","listen":"127.0.0.1:%d","seed":"1","limits":{"sockets":%d,"memory_mb":144},
             "changelog":"127.0.0.1:%d","known":{"seq":1,"results":[{"seq":1,"fleet":{"revision":1,"complete":true,
             "members":[{"id":"s-1","host_port":"127.0.0.1:%d","phase":"up","size":4}]}}]},
             "settings":{"tick":5,"limits":{"cancelling":true,"maxAttempts":3,"maxStreams":100},
             "projects":[{"name":"acme","quotaPerS":50,"share":1}],"requestClasses":[%s,%s]}}
            """.formatted(port, DESCRIPTORS, changeLog, engine.server.getLocalPort(), ScriptedPeers.LOAD, ScriptedPeers.LOOKUP));
        Process process = ScriptedPeers.startProcess("ulimit -n " + DESCRIPTORS + "; ", file, admin,
                Files.createDirectory(folder.resolve("tmp")), folder.resolve("log"));
        ScriptedPeers.awaitReady(admin);
        return process;
    }

    /** Guards against requests without an answer, as nobody accepts their connections while other clients keep all places busy. */
    @ParameterizedTest
    @ValueSource(ints = {1, 32})
    void requestsAreAnsweredThoughAllPlacesAreBusyWith(int loadsOnEachConnection) throws Exception {
        Process process = start();
        AtomicBoolean over = new AtomicBoolean();
        AtomicInteger connected = new AtomicInteger();
        List<CompletableFuture<Void>> busyClients = new ArrayList<>();
        ScriptedPeers.runAsync(() -> FloodedFrontEnd.answerLookups(engine));
        try {
            for (int i = 0; i < BUSY_CLIENTS; i++) {
                int client = i;
                busyClients.add(ScriptedPeers.runAsync(() -> keepBusy(client, loadsOnEachConnection, connected, over)));
            }
            while (connected.get() < BUSY_CLIENTS) {
                ScriptedPeers.spin();
            }
            for (int i = 0; i < LOOKUPS; i++) {
                long sentAt = System.nanoTime();
                assertThat(sendUntilAnswered(port, "lookup", 2)).isIn(ScriptedPeers.Kind.SERVED, ScriptedPeers.Kind.REFUSED);
                assertThat((System.nanoTime() - sentAt) / 1e6).as("milliseconds until the answer").isLessThan(LATEST_ANSWER_MS);
            }
            assertThat(process.isAlive()).isTrue();
        } finally {
            over.set(true);
            process.destroyForcibly().waitFor();
            busyClients.forEach(CompletableFuture::join);
        }
    }

    /** Has loads open on a connection, and connects and sends as many again when it is turned away. */
    private void keepBusy(int client, int loads, AtomicInteger connected, AtomicBoolean over) {
        for (int round = 0; !over.get(); round++) {
            try (ScriptedPeers.Client c = new ScriptedPeers.Client(port)) {
                connected.incrementAndGet();
                for (int i = 1; i <= loads; i++) {
                    c.call(i, ScriptedPeers.fields("load", String.format("%04x%08x%04x", client + 1, round, i)));
                }
                while (true) {
                    c.answer();
                }
            } catch (IOException turnedAway) {
                ScriptedPeers.spin();
            }
        }
    }

    @Test
    void enginesStatusServerAndChangeLogStayReachableUnderIdleClients() throws Exception {
        Process p = start();
        AtomicBoolean over = new AtomicBoolean();
        AtomicInteger connected = new AtomicInteger();
        CompletableFuture<Void> idleClients = null;
        try {
            idleClients = ScriptedPeers.runAsync(() -> connectIdleClients(port, connected, over));
            while (connected.get() < 2 * IDLE_CONNECTIONS) { // all, and as many again in place of those that were closed
                ScriptedPeers.spin();
            }
            CompletableFuture<Void> answering = ScriptedPeers.runAsync(() -> {
                ScriptedPeers.Engine.Command c = engine.next("serve");
                c.answer(c.id(), "DONE", "count=1", "row\ta\tb\n");
            });
            assertThat(sendUntilAnswered(port, "load", Integer.MAX_VALUE)).isEqualTo(ScriptedPeers.Kind.SERVED);
            answering.join();
            assertThat(ScriptedPeers.status(admin)).isEqualTo(200);
            assertThat(firstPoll(changeLog)).startsWith("GET /changes?since=1&");
            assertThat(p.isAlive()).isTrue();
        } finally {
            over.set(true);
            p.destroyForcibly().waitFor();
            if (idleClients != null) {
                idleClients.join();
            }
        }
    }

    /**
     * Retries on a new connection, as one may be closed unread under so many others: any number of times where they are idle, but
     * only once where a request must not be lost.
     */
    private static ScriptedPeers.Kind sendUntilAnswered(int port, String verb, int maxTries) throws IOException {
        for (int i = 1; ; i++) {
            try (ScriptedPeers.Client c = new ScriptedPeers.Client(port)) {
                c.call(1, ScriptedPeers.fields(verb, String.format("%016x", i)));
                return c.answer();
            } catch (IOException closed) {
                if (i == maxTries) {
                    throw closed;
                }
                ScriptedPeers.spin();
            }
        }
    }

    /** Opens idle connections, and replaces those that are closed. */
    private static void connectIdleClients(int port, AtomicInteger connected, AtomicBoolean over) throws IOException {
        List<SocketChannel> all = new ArrayList<>();
        ByteBuffer empty = ByteBuffer.allocate(1);
        while (!over.get()) {
            if (all.size() < IDLE_CONNECTIONS) {
                SocketChannel c = SocketChannel.open(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
                c.configureBlocking(false);
                all.add(c);
                connected.incrementAndGet();
                continue;
            }
            for (SocketChannel c : List.copyOf(all)) {
                if (ended(c, empty)) {
                    c.close();
                    all.remove(c);
                }
            }
        }
        for (SocketChannel c : all) {
            c.close();
        }
    }

    private static boolean ended(SocketChannel c, ByteBuffer empty) {
        try {
            return c.read(empty.clear()) < 0;
        } catch (IOException e) {
            return true;
        }
    }

    /** Starts the change log and returns its first poll. */
    private static String firstPoll(int port) throws IOException {
        try (ServerSocket changeLog = new ServerSocket(port, 5, InetAddress.getLoopbackAddress())) {
            changeLog.setSoTimeout(20_000);
            try (Socket s = changeLog.accept()) {
                return new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.US_ASCII)).readLine();
            }
        }
    }
}
