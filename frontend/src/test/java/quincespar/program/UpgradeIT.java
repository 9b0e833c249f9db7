package quincespar.program;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import quincespar.protocol.thrift.FrontCodec;

/** Two processes of the jar beside each other, started as {@code run} says, under clients that go on asking. */
@Timeout(120)
class UpgradeIT {
    private static final int CLIENTS = 16;

    private final ExecutorService pool = Executors.newCachedThreadPool(r -> {
        Thread t = new Thread(r);
        t.setDaemon(true);
        return t;
    });
    private final List<Process> started = new ArrayList<>();
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final AtomicInteger answered = new AtomicInteger();
    private final ConcurrentLinkedQueue<String> lost = new ConcurrentLinkedQueue<>();
    @TempDir
    private Path folder;
    private Peers.Engine engine;
    private Path file;
    private int port;

    @BeforeEach
    void peers() throws Exception {
        engine = new Peers.Engine();
        Peers.Changes changes = new Peers.Changes();
        port = Peers.freePort();
        Files.createDirectory(folder.resolve("tmp"));
        file = Files.writeString(folder.resolve("config.json"), """
            {"name":"n1","listen":"127.0.0.1:%d","seed":"1","limits":{"sockets":384,"memory_mb":144},
             "changelog":"127.0.0.1:%d","known":{"seq":1,"results":[{"seq":1,"fleet":{"revision":1,"complete":true,
             "members":[{"id":"s-1","host_port":"127.0.0.1:%d","phase":"up","size":4}]}}]},
             "settings":{"tick":5,"limits":{"cancelling":true,"maxAttempts":3,"maxStreams":100},
             "projects":[{"name":"acme","quotaPerS":5000,"share":1}],"requestClasses":[
             {"name":"lookup","slo":2000,"hardLimit":4000,"effect":"safe","points":1},
             {"name":"load","slo":2000,"hardLimit":4000,"effect":"unsafe","points":1}]}}
            """.formatted(port, changes.server.getLocalPort(), engine.server.getLocalPort()));
    }

    @AfterEach
    void end() {
        stopping.set(true);
        started.forEach(Process::destroyForcibly);
        pool.shutdownNow();
    }

    /** The deploy file's command line, from the root of the repository, with a second address of its own. */
    private Process start(int admin) throws IOException {
        Path root = Path.of("").toAbsolutePath().getParent();
        String run = Files.readAllLines(root.resolve("deploy/balancer.toml")).stream().filter(l -> l.startsWith("run = "))
                .map(l -> l.substring(l.indexOf('"') + 1, l.lastIndexOf('"'))).findFirst().orElseThrow();
        ProcessBuilder b = new ProcessBuilder("/bin/sh", "-c", run).directory(root.toFile());
        b.environment().putAll(Map.of("GW_CONFIG", file.toString(), "GW_ADMIN_ADDR", "127.0.0.1:" + admin, "TMPDIR",
                folder.resolve("tmp").toString()));
        File log = folder.resolve("log-" + started.size()).toFile();
        Process p = b.redirectErrorStream(true).redirectOutput(log).start();
        started.add(p);
        return p;
    }

    private String log(int process) throws IOException {
        return Files.readString(folder.resolve("log-" + process));
    }

    /** Answers at once, loads after some milliseconds, so that some are always out. */
    private Void serveAll() throws InterruptedException {
        while (true) {
            Peers.Engine.Command c = engine.commands.take();
            if (c.words().get(0).equals("serve")) {
                pool.submit(() -> {
                    if (c.words().get(2).startsWith("queue=load")) {
                        TimeUnit.MILLISECONDS.sleep(30);
                    }
                    c.answer(c.id(), "DONE", "count=1", c.id() + "\ta\tb\n");
                    return null;
                });
            }
        }
    }

    /**
     * Asks on a connection for as long as that lasts. A request that crosses the end of a connection with nothing open
     * may be sent again on a new one, once; a connection that is refused, or a request that is then not answered, is lost.
     */
    private void client(int number) {
        Random chance = new Random(number);
        int asked = 0;
        while (!stopping.get()) {
            try (Peers.Client c = new Peers.Client(port)) {
                for (int call = 1; !stopping.get(); call++) {
                    TimeUnit.MILLISECONDS.sleep(chance.nextInt(10));
                    if (c.ended()) {
                        break;
                    }
                    String txn = String.format("%08x%08x", number, ++asked);
                    boolean whole = ask(c, call, txn);
                    if (!whole && call == 1) {
                        lost.add(txn + " met a new connection that ended");
                    } else if (!whole) {
                        try (Peers.Client again = new Peers.Client(port)) {
                            if (!ask(again, 1, txn)) {
                                lost.add(txn + " met two connections that ended");
                            }
                        }
                        break;
                    }
                }
            } catch (IOException e) {
                lost.add("no connection: " + e);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private boolean ask(Peers.Client c, int call, String txn) throws IOException {
        try {
            c.call(call, Map.of("verb", call % 4 == 0 ? "load" : "lookup", "txn", txn, "limit", "4000", "team", "acme",
                    "cpu", "10.0", "heap_mb", "1"));
            String frame = new String(c.frame(), StandardCharsets.ISO_8859_1);
            if (!frame.contains(txn + "\ta\tb\n")) {
                lost.add(txn + " was not served");
            }
            answered.incrementAndGet();
            return true;
        } catch (EOFException | SocketException e) {
            return false;
        }
    }

    private void untilAnswered(int more) {
        int before = answered.get();
        while (answered.get() < before + more) {
            Peers.goOnWaiting();
        }
    }

    @Test
    void noRequestIsLostWhenANewVersionTakesOverTwice() throws Exception {
        pool.submit(this::serveAll);
        int admin = Peers.freePort();
        Process old = start(admin);
        Peers.untilReady(admin);
        List<Future<?>> clients = new ArrayList<>();
        for (int i = 1; i <= CLIENTS; i++) {
            int number = i;
            clients.add(pool.submit(() -> client(number)));
        }
        untilAnswered(20 * CLIENTS);
        for (int upgrade = 1; upgrade <= 2; upgrade++) {
            admin = Peers.freePort();
            Process next = start(admin);
            Peers.untilReady(admin);
            Peers.term(old);
            assertThat(old.waitFor(30, TimeUnit.SECONDS)).isTrue();
            assertThat(log(upgrade - 1)).contains("another process serves").contains("stopped");
            untilAnswered(20 * CLIENTS);
            old = next;
        }
        stopping.set(true);
        for (Future<?> c : clients) {
            c.get();
        }
        assertThat(lost).isEmpty();
    }

    /** Half a request that lay with the old process at the word to stop is no moment to end its connection. */
    @Test
    void aRequestInPiecesAndALoadThatIsOutAreFollowedToTheirAnswers() throws Exception {
        int admin = Peers.freePort();
        Process old = start(admin);
        Peers.untilReady(admin);
        try (Peers.Client half = new Peers.Client(port); Peers.Client load = new Peers.Client(port);
                Peers.Client idle = new Peers.Client(port)) {
            load.call(1, fields("load", "00000000000000aa"));
            Peers.Engine.Command out = engine.next("serve");
            assertThat(idle.healthy()).isTrue();
            byte[] request = FrontCodec.call(1, fields("lookup", "00000000000000bb"),
                    "SELECT 1 FROM sales_3.t".getBytes(StandardCharsets.UTF_8));
            half.raw(java.util.Arrays.copyOf(request, 20));
            int second = Peers.freePort();
            start(second);
            Peers.untilReady(second);
            Peers.term(old);
            assertThat(idle.untilEnd()).isTrue(); // nothing is open there: its client moves over
            half.raw(java.util.Arrays.copyOfRange(request, 20, request.length));
            Peers.Engine.Command late = engine.next("serve");
            late.answer(late.id(), "DONE", "count=1", "late\ta\tb\n");
            assertThat(new String(half.frame(), StandardCharsets.ISO_8859_1)).contains("late\ta\tb\n");
            out.answer(out.id(), "DONE", "count=1", "row\ta\tb\n");
            assertThat(new String(load.frame(), StandardCharsets.ISO_8859_1)).contains("row\ta\tb\n");
            assertThat(old.waitFor(30, TimeUnit.SECONDS)).isTrue(); // nothing is left: it does not wait for its time
        }
    }

    @Test
    void aNewProcessThatEndsBeforeItsYesLeavesTheOldOneServing() throws Exception {
        pool.submit(this::serveAll);
        int admin = Peers.freePort();
        start(admin);
        Peers.untilReady(admin);
        Process next = start(admin); // its second address is taken: it can't start
        assertThat(next.waitFor(30, TimeUnit.SECONDS)).isTrue();
        assertThat(next.exitValue()).isEqualTo(1);
        assertThat(log(1).lines()).hasSize(1).first().asString().contains("admin_addr");
        Process killed = start(Peers.freePort());
        killed.destroyForcibly();
        killed.waitFor();
        assertThat(Peers.status(admin)).isEqualTo(200);
        try (Peers.Client c = new Peers.Client(port)) {
            assertThat(ask(c, 1, "00000000000000cc")).isTrue();
        }
        assertThat(lost).isEmpty();
    }

    private static Map<String, String> fields(String verb, String txn) {
        return Map.of("verb", verb, "txn", txn, "limit", "4000", "team", "acme", "cpu", "10.0", "heap_mb", "1");
    }
}
