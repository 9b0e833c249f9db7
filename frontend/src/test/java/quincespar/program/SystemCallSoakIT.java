package quincespar.program;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.ConnectException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import quincespar.program.SystemCallFaults.Call;
import quincespar.program.SystemCallFaults.Errno;
import quincespar.program.SystemCallFaults.Fault;

/**
 * The jar, started by the deploy file's command line, while engines are replaced and system calls of changing kinds fail briefly,
 * chosen by seed. {@code -Dsoak.seeds=FROM-TO} selects other seeds than the default.
 */
@Timeout(60)
class SystemCallSoakIT {
    private static final String SEEDS = System.getProperty("soak.seeds", "1-6");
    private static final int SERVERS = 4, CLIENTS = 4, BATCH = 5;
    /** After SIGTERM clients go on sending for the first time, and the process has to end within the second. */
    private static final long SENDING_AFTER_TERM_MS = 400, SHUTDOWN_LIMIT_MS = 3700;
    /** Duration of the first fault, which begins before the start. */
    private static final long FIRST_FAULT_MS = 1500;
    private static final long SOAK_MS = 8000, STEP_MS = 20;
    /** The deadline of requests, and the delay after it from which an answer counts as late. */
    private static final long LIMIT_MS = 3000, LATE_MS = 500;
    private static final double GRACE_MS = 1000, SLACK_MS = 150;
    /** Offset of the call's number in the frame of an answer, after version, length and name. */
    private static final int SEQUENCE_ID_OFFSET = 12;

    @TempDir
    private Path folder;
    private final ScriptedChangeLog list = createChangeLog();
    private final Deque<ScriptedPeers.Engine> up = new ArrayDeque<>();
    private final Deque<String> ids = new ArrayDeque<>();
    private final Queue<String> violations = new ConcurrentLinkedQueue<>();
    private final Set<String> loads = ConcurrentHashMap.newKeySet();
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private volatile boolean sending = true;
    private volatile boolean over;
    private int port;
    private int servers;

    private static ScriptedChangeLog createChangeLog() {
        try {
            return new ScriptedChangeLog();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    static List<Integer> seeds() {
        String[] ends = SEEDS.split("-");
        List<Integer> out = new ArrayList<>();
        for (int seed = Integer.parseInt(ends[0]); seed <= Integer.parseInt(ends[1]); seed++) {
            out.add(seed);
        }
        return out;
    }

    private void addServer() throws IOException {
        ScriptedPeers.Engine engine = new ScriptedPeers.Engine();
        String id = "s-" + ++servers;
        ScriptedPeers.runAsync(() -> serveAll(id, engine));
        list.append(id, engine.server.getLocalPort(), "up");
        up.add(engine);
        ids.add(id);
    }

    private void drainOldest() {
        list.append(ids.poll(), up.poll().server.getLocalPort(), "draining");
    }

    private void serveAll(String id, ScriptedPeers.Engine engine) throws InterruptedException {
        while (!over) {
            ScriptedPeers.Engine.Command c = engine.commands.poll(100, TimeUnit.MILLISECONDS);
            if (c == null || !c.words().get(0).equals("serve")) {
                continue;
            }
            double late = list.msSinceDrain(id, System.nanoTime());
            if (late > GRACE_MS + SLACK_MS) {
                violations.add("drain: " + c.id() + " came to " + id + " " + Math.round(late)
                        + " ms after the drain was reported");
            }
            if (c.words().get(2).contains("queue=load") && !loads.add(c.id())) {
                violations.add("duplicate: load " + c.id() + " came twice");
            }
            try {
                c.answer(c.id(), "DONE", "count=1", "row\ta\tb\n");
            } catch (java.io.UncheckedIOException e) { // the connection was closed meanwhile
                continue;
            }
        }
    }

    private void sendRequests() throws IOException {
        while (sending) {
            List<String> txns = new ArrayList<>();
            Set<Integer> open = new HashSet<>();
            try (ScriptedPeers.Client c = new ScriptedPeers.Client(port)) {
                long from = System.nanoTime();
                for (int i = 1; i <= BATCH; i++) {
                    int n = sent.incrementAndGet();
                    txns.add(String.format("%016x", n));
                    c.call(i, ScriptedPeers.fields(n % 5 == 0 ? "load" : "lookup", txns.get(i - 1)));
                    open.add(i);
                }
                while (!open.isEmpty()) {
                    if (!open.remove(ByteBuffer.wrap(c.frame()).getInt(SEQUENCE_ID_OFFSET))) {
                        violations.add("duplicate: a second answer to one of " + txns);
                    }
                    answered.incrementAndGet();
                    long ms = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from);
                    if (ms > LIMIT_MS + LATE_MS) {
                        violations.add("late: an answer to one of " + txns + " after " + ms + " ms");
                    }
                }
            } catch (ConnectException e) {
                ScriptedPeers.spin();
            } catch (IOException e) {
                violations.add("lost: " + open + " of " + txns + ": " + e.getMessage());
            }
        }
    }

    private Path configure(int seed, int changeLog) throws IOException {
        Path next = Files.writeString(folder.resolve("next.json"), """
            {"name":"n1","listen":"127.0.0.1:%d","seed":"%d","limits":{"sockets":256},"changelog":"127.0.0.1:%d","known":%s,
             "settings":{"tick":5,"rules":{"drainGrace":1000},"limits":{"cancelling":true,"maxAttempts":3,"maxStreams":100},
             "projects":[{"name":"acme","quotaPerS":5000,"share":1}],"requestClasses":[%s,%s]}}
            """.formatted(port, seed, changeLog, list.since(0), ScriptedPeers.LOOKUP, ScriptedPeers.LOAD));
        return Files.move(next, folder.resolve("config.json"), StandardCopyOption.REPLACE_EXISTING);
    }

    /** Begins a random fault. */
    private Fault begin(SystemCallFaults faults, Random random) {
        int seed = random.nextInt();
        int permille = 300 + random.nextInt(700);
        int changeLog = list.changeLog.getLocalPort();
        return switch (random.nextInt(13)) {
            case 0 -> faults.failSome(Call.CONNECT, Errno.EADDRNOTAVAIL, 0, permille, seed);
            case 1 -> faults.fail(Call.CONNECT, Errno.ENETUNREACH, changeLog);
            case 2 -> faults.failSome(Call.SOCKET, Errno.ENFILE, 0, permille, seed);
            case 3 -> faults.fail(Call.SOCKET, Errno.ENOBUFS, 0);
            case 4 -> faults.failSome(Call.ACCEPT, Errno.ENFILE, port, permille, seed);
            case 5 -> faults.failSome(Call.READ, Errno.EINTR, 0, permille, seed);
            case 6 -> faults.failSome(Call.WRITE, Errno.EAGAIN, 0, permille, seed);
            case 7 -> faults.failSome(Call.POLL, Errno.EINTR, 0, permille, seed);
            case 8 -> faults.failSome(Call.EPOLL_WAIT, Errno.EINTR, 0, permille, seed);
            case 9 -> faults.failOpen(Errno.ENFILE, "config.json");
            case 10 -> faults.stepClock(random.nextBoolean() ? 3600 : -3600);
            case 11 -> faults.shorten(Call.READ, 1 + random.nextInt(50), 0);
            default -> faults.shorten(Call.WRITE, 1 + random.nextInt(50), 0);
        };
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void noRequestIsLostOrDuplicatedWhileEnginesDrainAndCallsFail(int seed) throws Exception {
        Random random = new Random(seed);
        SystemCallFaults faults = SystemCallFaults.in(folder);
        port = ScriptedPeers.freePort();
        int admin = ScriptedPeers.freePort();
        for (int i = 0; i < SERVERS; i++) {
            addServer();
        }
        Path file = configure(seed, list.changeLog.getLocalPort());
        Fault firstFault = begin(faults, random);
        Process process = ScriptedPeers.startProcess(faults.prefix(), file, admin,
                Files.createDirectory(folder.resolve("tmp")), folder.resolve("log"));
        try {
            TimeUnit.MILLISECONDS.sleep(FIRST_FAULT_MS);
            firstFault.end();
            ScriptedPeers.awaitReady(admin);
            List<CompletableFuture<Void>> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(ScriptedPeers.runAsync(this::sendRequests));
            }
            play(faults, random, seed, process.pid());
            assertThat(process.isAlive()).isTrue();
            begin(faults, random);
            ScriptedPeers.terminate(process);
            TimeUnit.MILLISECONDS.sleep(SENDING_AFTER_TERM_MS);
            sending = false;
            clients.forEach(CompletableFuture::join);
            assertThat(process.waitFor(SHUTDOWN_LIMIT_MS, TimeUnit.MILLISECONDS)).as("ends in time").isTrue();
            assertThat(violations).as("seed " + seed + ", " + answered + " answers; the log:\n"
                    + Files.readString(folder.resolve("log")))
                    .isEmpty();
            assertThat(answered.get()).isGreaterThan(100);
        } finally {
            over = true;
            process.destroyForcibly().waitFor();
        }
    }

    /** Replaces engines and begins and ends faults, up to two at a time, by the seed's schedule. */
    private void play(SystemCallFaults faults, Random random, int seed, long pid) throws Exception {
        Fault[] on = new Fault[2];
        long[] ends = new long[2];
        long nextDrain = 0;
        int resets = 0;
        for (long now = 0; now < SOAK_MS; now += STEP_MS) {
            if (now >= nextDrain) {
                addServer();
                drainOldest();
                nextDrain = now + 300 + random.nextInt(700);
            }
            for (int i = 0; i < on.length; i++) {
                if (on[i] != null && now >= ends[i]) {
                    on[i].end();
                    on[i] = null;
                    ends[i] = now + random.nextInt(500);
                } else if (on[i] == null && now >= ends[i]) {
                    on[i] = begin(faults, random);
                    ends[i] = now + 100 + random.nextInt(1900);
                }
            }
            if (now > 1000 * (resets + 1)) { // the poll fails, and a new configuration moves the change log
                resets++;
                Fault reads = faults.fail(Call.READ, Errno.ETIMEDOUT, list.changeLog.getLocalPort());
                TimeUnit.MILLISECONDS.sleep(STEP_MS);
                reads.end();
                configure(seed, (resets % 2 == 0 ? list.changeLog : list.moved).getLocalPort());
                new ProcessBuilder("kill", "-HUP", Long.toString(pid)).inheritIO().start().waitFor();
            }
            TimeUnit.MILLISECONDS.sleep(STEP_MS);
        }
        for (Fault f : on) {
            if (f != null) {
                f.end();
            }
        }
    }
}
