package quincespar.program;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.EOFException;
import java.io.IOException;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
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

/** Upgrades under load: an old and a new process of the jar at one address, started by the deploy file's command line. */
@Timeout(120)
class UpgradeIT {
    private static final int CLIENTS = 16;

    private final ExecutorService pool = Executors.newCachedThreadPool(r -> {
        Thread t = new Thread(r);
        t.setDaemon(true);
        return t;
    });
    private final List<Process> started = new ArrayList<>();
    private volatile int lookupMs, loadMs = 30;
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final AtomicInteger answered = new AtomicInteger();
    private final ConcurrentLinkedQueue<String> lost = new ConcurrentLinkedQueue<>();
    @TempDir
    private Path folder;
    private ScriptedPeers.Engine engine;
    private Path file;
    private int port;

    @BeforeEach
    void createPeers() throws Exception {
        engine = new ScriptedPeers.Engine();
        ScriptedPeers.ChangeLog changes = new ScriptedPeers.ChangeLog();
        port = ScriptedPeers.freePort();
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
    void stopAll() {
        stopping.set(true);
        started.forEach(Process::destroyForcibly);
        pool.shutdownNow();
    }

    private Process start(int admin) throws IOException {
        Process p = ScriptedPeers.startProcess("", file, admin, folder.resolve("tmp"), folder.resolve("log-" + started.size()));
        started.add(p);
        return p;
    }

    private String log(int process) throws IOException {
        return Files.readString(folder.resolve("log-" + process));
    }

    /** Answers lookups after {@code lookupMs} and loads after {@code loadMs}, so that some requests are always open. */
    private Void serveAll() throws InterruptedException {
        while (true) {
            ScriptedPeers.Engine.Command c = engine.commands.take();
            if (c.words().get(0).equals("serve")) {
                pool.submit(() -> {
                    TimeUnit.MILLISECONDS.sleep(c.words().get(2).startsWith("queue=load") ? loadMs : lookupMs);
                    c.answer(c.id(), "DONE", "count=1", c.id() + "\ta\tb\n");
                    return null;
                });
            }
        }
    }

    /**
     * Sends requests one by one on a connection until it is closed. A request that crosses the close of an idle connection may be
     * retried once on a new one. A refused connection, or a retry without an answer, counts as lost.
     */
    private void client(int number) {
        Random random = new Random(number);
        int asked = 0;
        while (!stopping.get()) {
            try (ScriptedPeers.Client c = new ScriptedPeers.Client(port)) {
                for (int call = 1; !stopping.get(); call++) {
                    TimeUnit.MILLISECONDS.sleep(random.nextInt(10));
                    if (c.ended()) {
                        break;
                    }
                    String txn = String.format("%08x%08x", number, ++asked);
                    boolean answeredHere = ask(c, call, txn);
                    if (!answeredHere && call == 1) {
                        lost.add(txn + " was sent on a new connection that was closed");
                    } else if (!answeredHere) {
                        try (ScriptedPeers.Client again = new ScriptedPeers.Client(port)) {
                            if (!ask(again, 1, txn)) {
                                lost.add(txn + " was sent on two connections that were closed");
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

    private boolean ask(ScriptedPeers.Client c, int call, String txn) throws IOException {
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

    private void awaitAnswers(int more) {
        int before = answered.get();
        while (answered.get() < before + more) {
            ScriptedPeers.spin();
        }
    }

    @Test
    void noRequestIsLostWhenANewVersionTakesOverTwice() throws Exception {
        pool.submit(this::serveAll);
        int admin = ScriptedPeers.freePort();
        Process old = start(admin);
        ScriptedPeers.awaitReady(admin);
        List<Future<?>> clients = new ArrayList<>();
        for (int i = 1; i <= CLIENTS; i++) {
            int number = i;
            clients.add(pool.submit(() -> client(number)));
        }
        awaitAnswers(20 * CLIENTS);
        for (int upgrade = 1; upgrade <= 2; upgrade++) {
            admin = ScriptedPeers.freePort();
            Process next = start(admin);
            ScriptedPeers.awaitReady(admin);
            ScriptedPeers.terminate(old);
            assertThat(old.waitFor(30, TimeUnit.SECONDS)).isTrue();
            assertThat(log(upgrade - 1)).contains("another process serves").contains("stopped");
            awaitAnswers(20 * CLIENTS);
            old = next;
        }
        stopping.set(true);
        for (Future<?> c : clients) {
            c.get();
        }
        assertThat(lost).isEmpty();
    }

    /** The old process must not close a connection on which it has received part of a request when it is told to stop. */
    @Test
    void aPartialRequestAndAnOpenLoadAreAnsweredByTheOldProcess() throws Exception {
        int admin = ScriptedPeers.freePort();
        Process old = start(admin);
        ScriptedPeers.awaitReady(admin);
        try (ScriptedPeers.Client half = new ScriptedPeers.Client(port);
                ScriptedPeers.Client load = new ScriptedPeers.Client(port);
                ScriptedPeers.Client idle = new ScriptedPeers.Client(port)) {
            load.call(1, fields("load", "00000000000000aa"));
            ScriptedPeers.Engine.Command out = engine.next("serve");
            assertThat(idle.healthy()).isTrue();
            byte[] request = FrontCodec.call(1, fields("lookup", "00000000000000bb"),
                    "SELECT 1 FROM sales_3.t".getBytes(StandardCharsets.UTF_8));
            half.raw(java.util.Arrays.copyOf(request, 20));
            int second = ScriptedPeers.freePort();
            start(second);
            ScriptedPeers.awaitReady(second);
            ScriptedPeers.terminate(old);
            assertThat(idle.awaitEnd()).isTrue(); // idle: its client reconnects to the new process
            half.raw(java.util.Arrays.copyOfRange(request, 20, request.length));
            ScriptedPeers.Engine.Command late = engine.next("serve");
            late.answer(late.id(), "DONE", "count=1", "late\ta\tb\n");
            assertThat(new String(half.frame(), StandardCharsets.ISO_8859_1)).contains("late\ta\tb\n");
            out.answer(out.id(), "DONE", "count=1", "row\ta\tb\n");
            assertThat(new String(load.frame(), StandardCharsets.ISO_8859_1)).contains("row\ta\tb\n");
            assertThat(old.waitFor(30, TimeUnit.SECONDS)).isTrue(); // nothing is open: it does not wait until its deadline
        }
    }

    @Test
    void aNewProcessThatEndsBeforeItIsReadyLeavesTheOldOneServing() throws Exception {
        pool.submit(this::serveAll);
        int admin = ScriptedPeers.freePort();
        start(admin);
        ScriptedPeers.awaitReady(admin);
        Process next = start(admin); // the status server's address is in use: it can't start
        assertThat(next.waitFor(30, TimeUnit.SECONDS)).isTrue();
        assertThat(next.exitValue()).isEqualTo(1);
        assertThat(log(1).lines()).hasSize(1).first().asString().contains("admin_addr");
        Process killed = start(ScriptedPeers.freePort());
        killed.destroyForcibly();
        killed.waitFor();
        assertThat(ScriptedPeers.status(admin)).isEqualTo(200);
        try (ScriptedPeers.Client c = new ScriptedPeers.Client(port)) {
            assertThat(ask(c, 1, "00000000000000cc")).isTrue();
        }
        assertThat(lost).isEmpty();
    }

    /**
     * Guards against a request left without an answer at SIGKILL, which comes after the longest deadline of the configuration in
     * force: a reload has dropped the class with a longer one, of which a request is open.
     */
    @Test
    void aRequestOfADroppedClassIsAnsweredBeforeAnEarlierKill() throws Exception {
        int admin = ScriptedPeers.freePort();
        Process old = start(admin);
        ScriptedPeers.awaitReady(admin);
        try (ScriptedPeers.Client load = new ScriptedPeers.Client(port)) {
            Map<String, String> request = new HashMap<>(fields("load", "00000000000000aa"));
            request.put("limit", "8000");
            load.call(1, request);
            engine.next("serve"); // never answered
            dropLoads();
            ScriptedPeers.signal(old, "HUP");
            while (!load.counters().get("configurations.taken").equals("1")) {
                ScriptedPeers.spin();
            }
            int second = ScriptedPeers.freePort();
            start(second);
            ScriptedPeers.awaitReady(second);
            ScriptedPeers.terminate(old);
            long termAt = System.nanoTime();
            assertThat(load.answer()).isIn(ScriptedPeers.Kind.REFUSED, ScriptedPeers.Kind.FAILED);
            assertThat(sinceMs(termAt)).isLessThan(KILL_MS);
        }
    }

    private void dropLoads() throws IOException {
        String all = Files.readString(file);
        Files.writeString(file, all.substring(0, all.indexOf(",\n {\"name\":\"load\"")).replace("4000", "" + DEADLINE_MS) + "]}}");
    }

    /** A pause of a process for {@code ms}, {@code after} ms from the event {@code phase}. */
    private record Pause(String phase, int after, int ms) { }

    private static final int DEADLINE_MS = 1200, KILL_MS = DEADLINE_MS + 700;

    /**
     * Each upgrade pauses the new process once, during its start or just after it is ready, and the old one twice: around
     * SIGTERM, and about when it must have closed its last connections. SIGKILL follows SIGTERM after the longest
     * deadline and 0.7 s, as the operators' page specifies.
     */
    @Test
    void processesPausedInAnyPhaseOfAnUpgradeLoseNoRequest() throws Exception {
        Files.writeString(file, Files.readString(file).replace("\"hardLimit\":4000", "\"hardLimit\":" + DEADLINE_MS));
        lookupMs = 40;
        pool.submit(this::serveAll);
        Process old = start(ScriptedPeers.freePort());
        List<Future<?>> clients = new ArrayList<>();
        for (int i = 1; i <= 6; i++) {
            int number = i;
            clients.add(pool.submit(() -> neverIdleClient(number)));
        }
        Pause[] newProcessPauses = {new Pause("start", 100, 400), new Pause("start", 600, 300), new Pause("ready", 0, 400),
            new Pause("ready", 60, 200), new Pause("start", 900, 20), new Pause("ready", 20, 400), new Pause("ready", 300, 100),
            new Pause("start", 300, 50)};
        Pause[] oldProcessPauses = {new Pause("before SIGTERM", 0, 400), new Pause("before SIGTERM", 0, 150),
            new Pause("SIGTERM", 0, 400), new Pause("SIGTERM", 3, 400),
            new Pause("SIGTERM", 15, 250), new Pause("SIGTERM", 40, 20),
            // the last pause is longer than the operators' page allows, but occurs in practice
            new Pause("SIGTERM", 200, 400), new Pause("before SIGTERM", 0, 1100)};
        int[] latePauseStartsMs = {1650, 1450, 1650, 1650, 1480, 1300, 1000, 1700};
        int[] latePausesMs = {250, 400, 250, 250, 400, 400, 300, 20};
        awaitAnswers(200);
        for (int i = 0; i < newProcessPauses.length; i++) {
            int admin = ScriptedPeers.freePort();
            Process next = start(admin);
            if (newProcessPauses[i].phase().equals("start")) {
                pause(next, newProcessPauses[i].after(), newProcessPauses[i].ms());
            }
            ScriptedPeers.awaitReady(admin);
            long readyAt = System.nanoTime();
            boolean before = oldProcessPauses[i].phase().equals("before SIGTERM");
            if (before) {
                ScriptedPeers.signal(old, "STOP");
            }
            loadMs = 2 * KILL_MS; // loads accepted from here on are open until their deadline
            ScriptedPeers.terminate(old); // a paused process handles it when it continues
            long termAt = System.nanoTime();
            Future<?> other = newProcessPauses[i].phase().equals("ready") ? pauseAsync(next, readyAt, newProcessPauses[i]) : null;
            if (before) {
                sleepUntil(termAt, oldProcessPauses[i].ms());
                ScriptedPeers.signal(old, "CONT");
            } else {
                sleepUntil(termAt, oldProcessPauses[i].after());
                pause(old, 0, oldProcessPauses[i].ms());
            }
            sleepUntil(termAt, latePauseStartsMs[i]);
            pause(old, 0, latePausesMs[i]);
            if (!old.waitFor(Math.max(1, KILL_MS - sinceMs(termAt)), TimeUnit.MILLISECONDS)) {
                old.destroyForcibly();
            }
            assertThat(old.waitFor(30, TimeUnit.SECONDS)).isTrue();
            loadMs = 30;
            if (other != null) {
                other.get();
            }
            assertThat(lost).describedAs("upgrade %d, %s, %s, late %d", i, newProcessPauses[i], oldProcessPauses[i],
                    latePauseStartsMs[i]).isEmpty();
            assertThat(next.isAlive()).isTrue();
            awaitAnswers(200);
            old = next;
        }
        stopping.set(true);
        for (Future<?> c : clients) {
            c.get();
        }
        assertThat(lost).isEmpty();
    }

    private Future<?> pauseAsync(Process p, long from, Pause pause) {
        return pool.submit(() -> {
            sleepUntil(from, pause.after());
            pause(p, 0, pause.ms());
            return null;
        });
    }

    private static long sinceMs(long from) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from);
    }

    /** Sleeps until {@code ms} after {@code from}: the schedule of the pauses, not a wait for a condition. */
    private static void sleepUntil(long from, int ms) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(Math.max(0, ms - sinceMs(from)));
    }

    private static void pause(Process p, int after, int ms) throws IOException, InterruptedException {
        TimeUnit.MILLISECONDS.sleep(after);
        if (p.isAlive()) {
            ScriptedPeers.signal(p, "STOP");
            TimeUnit.MILLISECONDS.sleep(ms);
            ScriptedPeers.signal(p, "CONT");
        }
    }

    /**
     * A client that nearly always has open requests on its connection. Requests without an answer when the connection is closed
     * count as lost if a later one was answered, or if they are more than can cross the close.
     */
    private Void neverIdleClient(int number) throws Exception {
        Random random = new Random(number);
        int asked = 0;
        while (!stopping.get()) {
            Set<Integer> open = ConcurrentHashMap.newKeySet();
            AtomicInteger last = new AtomicInteger();
            try (ScriptedPeers.Client c = new ScriptedPeers.Client(port)) {
                Future<?> reader = pool.submit(() -> read(c, open, last));
                for (int call = 1; !stopping.get() && !reader.isDone(); call++) {
                    while (open.size() >= 30 && !reader.isDone()) {
                        TimeUnit.MILLISECONDS.sleep(1);
                    }
                    open.add(call);
                    c.call(call, Map.of("verb", call % 8 == 0 ? "load" : "lookup", "txn", String.format("%08x%08x", number,
                            ++asked), "limit", Integer.toString(DEADLINE_MS), "team", "acme", "cpu", "10.0", "heap_mb", "1"));
                    TimeUnit.MILLISECONDS.sleep(4 + random.nextInt(8));
                }
                while (stopping.get() && !open.isEmpty() && !reader.isDone()) {
                    TimeUnit.MILLISECONDS.sleep(1);
                }
            } catch (IOException e) { // closed during a write: the check of the open requests below decides
                Thread.onSpinWait();
            }
            if (open.size() > 3 || !open.isEmpty() && Collections.min(open) < last.get()) {
                lost.add("client " + number + " has no answer to " + open + ", the last answer was to " + last);
            }
        }
        return null;
    }

    private Void read(ScriptedPeers.Client c, Set<Integer> open, AtomicInteger last) {
        try {
            while (true) {
                int call = ByteBuffer.wrap(c.frame()).getInt(12); // after version, length and name
                open.remove(call);
                last.accumulateAndGet(call, Math::max);
                answered.incrementAndGet();
            }
        } catch (IOException e) { // the connection was closed by either side
            return null;
        }
    }

    private static Map<String, String> fields(String verb, String txn) {
        return Map.of("verb", verb, "txn", txn, "limit", "4000", "team", "acme", "cpu", "10.0", "heap_mb", "1");
    }
}
