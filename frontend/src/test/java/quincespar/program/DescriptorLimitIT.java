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

/** The jar as {@code run} starts it, with few descriptors, which idle clients fill while the change log is down. */
@Timeout(120)
class DescriptorLimitIT {
    private static final int DESCRIPTORS = 128, CROWD = 300;

    @Test
    void enginesTheSecondAddressAndTheChangeLogAreReachedAmidIdleClients(@TempDir Path folder) throws Exception {
        ScriptedPeers.Engine engine = new ScriptedPeers.Engine();
        int port = ScriptedPeers.freePort();
        int admin = ScriptedPeers.freePort();
        int changeLog = ScriptedPeers.freePort(); // down: nothing listens there
        Path file = Files.writeString(folder.resolve("config.json"), """
            {"name":"n1","listen":"127.0.0.1:%d","seed":"1","limits":{"sockets":%d,"memory_mb":144},
             "changelog":"127.0.0.1:%d","known":{"seq":1,"results":[{"seq":1,"fleet":{"revision":1,"complete":true,
             "members":[{"id":"s-1","host_port":"127.0.0.1:%d","phase":"up","size":4}]}}]},
             "settings":{"tick":5,"limits":{"cancelling":true,"maxAttempts":3,"maxStreams":100},
             "projects":[{"name":"acme","quotaPerS":50,"share":1}],"requestClasses":[%s]}}
            """.formatted(port, DESCRIPTORS, changeLog, engine.server.getLocalPort(), ScriptedPeers.LOAD));
        Process p = ScriptedPeers.startProcess("ulimit -n " + DESCRIPTORS + "; ", file, admin, Files.createDirectory(folder.resolve("tmp")),
                folder.resolve("log"));
        AtomicBoolean over = new AtomicBoolean();
        AtomicInteger connected = new AtomicInteger();
        CompletableFuture<Void> crowd = null;
        try {
            ScriptedPeers.awaitReady(admin);
            crowd = ScriptedPeers.runAsync(() -> crowd(port, connected, over));
            while (connected.get() < 2 * CROWD) { // all of them, and as many again in place of those that were closed
                ScriptedPeers.spin();
            }
            CompletableFuture<Void> answering = ScriptedPeers.runAsync(() -> {
                ScriptedPeers.Engine.Command c = engine.next("serve");
                c.answer(c.id(), "DONE", "count=1", "row\ta\tb\n");
            });
            assertThat(askedUntilHeard(port)).isEqualTo(ScriptedPeers.Kind.SERVED);
            answering.join();
            assertThat(ScriptedPeers.status(admin)).isEqualTo(200);
            assertThat(asked(changeLog)).startsWith("GET /changes?since=1&");
            assertThat(p.isAlive()).isTrue();
        } finally {
            over.set(true);
            p.destroyForcibly().waitFor();
            if (crowd != null) {
                crowd.join();
            }
        }
    }

    /** A connection may be shut unread in such a crowd: then a client asks again on a new one. */
    private static ScriptedPeers.Kind askedUntilHeard(int port) {
        for (int i = 1; ; i++) {
            try (ScriptedPeers.Client c = new ScriptedPeers.Client(port)) {
                c.call(1, ScriptedPeers.fields("load", String.format("%016x", i)));
                return c.answer();
            } catch (IOException shut) {
                ScriptedPeers.spin();
            }
        }
    }

    /** Connects and says nothing, and once more for each that is closed. */
    private static void crowd(int port, AtomicInteger connected, AtomicBoolean over) throws IOException {
        List<SocketChannel> all = new ArrayList<>();
        ByteBuffer nothing = ByteBuffer.allocate(1);
        while (!over.get()) {
            if (all.size() < CROWD) {
                SocketChannel c = SocketChannel.open(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
                c.configureBlocking(false);
                all.add(c);
                connected.incrementAndGet();
                continue;
            }
            for (SocketChannel c : List.copyOf(all)) {
                if (ended(c, nothing)) {
                    c.close();
                    all.remove(c);
                }
            }
        }
        for (SocketChannel c : all) {
            c.close();
        }
    }

    private static boolean ended(SocketChannel c, ByteBuffer nothing) {
        try {
            return c.read(nothing.clear()) < 0;
        } catch (IOException e) {
            return true;
        }
    }

    /** The first question to a change log that is up from now on. */
    private static String asked(int port) throws IOException {
        try (ServerSocket back = new ServerSocket(port, 5, InetAddress.getLoopbackAddress())) {
            back.setSoTimeout(20_000);
            try (Socket s = back.accept()) {
                return new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.US_ASCII)).readLine();
            }
        }
    }
}
