package quincespar.program;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import quincespar.settings.Settings;

/**
 * A planned restart while many clients connect and send nothing, as in a recorded incident: each request of other clients that
 * was written completely to an accepted connection is answered, and the idle connections do not delay the end.
 */
@Timeout(60)
class RestartUnderIdleConnectionsTest {
    private static final int IDLE_CONNECTIONS = 300;
    private static final int CLIENTS = 20;

    private final AtomicBoolean stopping = new AtomicBoolean();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();

    @Test
    void noRequestIsLostInARestartUnderIdleConnections(@TempDir Path folder) throws Exception {
        ScriptedPeers.Engine engine = new ScriptedPeers.Engine();
        ScriptedPeers.ChangeLog changes = new ScriptedPeers.ChangeLog();
        int port = ScriptedPeers.freePort();
        Path file = Files.writeString(folder.resolve("config.json"), """
            {"name":"n1","listen":"127.0.0.1:%d","seed":"1","limits":{"sockets":384,"memory_mb":144},
             "changelog":"127.0.0.1:%d","known":{"seq":1,"results":[{"seq":1,"fleet":{"revision":1,"complete":true,
             "members":[{"id":"s-1","host_port":"127.0.0.1:%d","phase":"up","size":4}]}}]},
             "settings":{"tick":5,"limits":{"cancelling":true,"maxAttempts":3,"maxStreams":100},
             "projects":[{"name":"acme","quotaPerS":500,"share":1}],"requestClasses":[
             {"name":"lookup","slo":2000,"hardLimit":4000,"effect":"safe","points":1}]}}
            """.formatted(port, changes.server.getLocalPort(), engine.server.getLocalPort()));
        FrontEnd frontEnd = new FrontEnd(Map.of("GW_CONFIG", file.toString()), Settings.defaults(),
                Logs.start(Settings.defaults()));
        ExecutorService pool = Executors.newCachedThreadPool(r -> {
            Thread t = new Thread(r);
            t.setDaemon(true);
            return t;
        });
        Future<?> running = pool.submit(() -> {
            frontEnd.run();
            return null;
        });
        pool.submit(() -> serveAll(engine));
        ScriptedPeers.awaitHealthy(port);
        List<Socket> idle = new ArrayList<>();
        Future<?> connecting = pool.submit(() -> connectIdle(port, idle));
        List<Future<?>> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            clients.add(pool.submit(() -> client(port, number)));
        }
        while (answered.get() < 5 * CLIENTS) {
            ScriptedPeers.spin();
        }
        Future<?> shutdown = pool.submit(() -> {
            frontEnd.shutDown();
            return null;
        });
        int before = answered.get();
        while (answered.get() < before + CLIENTS) { // requests are accepted for a while after the start of the shutdown
            ScriptedPeers.spin();
        }
        stopping.set(true);
        join(clients);
        shutdown.get();
        running.get();
        connecting.get();
        for (Socket s : idle) {
            s.close();
        }
        pool.shutdownNow();
        assertThat(lost).hasValue(0);
        assertThat(answered.get()).isGreaterThan(6 * CLIENTS - 1);
    }

    private static void join(List<Future<?>> all) throws InterruptedException, ExecutionException {
        for (Future<?> f : all) {
            f.get();
        }
    }

    private Void serveAll(ScriptedPeers.Engine engine) throws InterruptedException {
        while (true) {
            ScriptedPeers.Engine.Command c = engine.commands.take();
            if (c.words().get(0).equals("serve")) {
                c.answer(c.id(), "DONE", "count=1", "row\ta\tb\n");
            }
        }
    }

    /** Opens idle connections until the limit or the first refused one. */
    private Void connectIdle(int port, List<Socket> all) {
        for (int i = 0; i < IDLE_CONNECTIONS && !stopping.get(); i++) {
            Socket s = new Socket();
            try {
                s.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1000);
                all.add(s);
            } catch (IOException e) {
                return null; // the listener is closed at the end of the restart
            }
        }
        return null;
    }

    /** Sends requests one by one, five on each connection. */
    private Void client(int port, int number) throws IOException {
        for (int round = 0; !stopping.get(); round++) {
            try (ScriptedPeers.Client c = new ScriptedPeers.Client(port)) {
                for (int i = 1; i <= 5 && !stopping.get(); i++) {
                    c.call(i, Map.of("verb", "lookup", "txn", String.format("%08x%08x", number, round * 8 + i),
                            "limit", "4000", "team", "acme", "cpu", "10.0", "heap_mb", "1"));
                    try {
                        c.frame();
                        answered.incrementAndGet();
                    } catch (IOException e) { // the connection was closed, or no answer came
                        lost.incrementAndGet();
                    }
                }
            }
        }
        return null;
    }
}
