package quincespar.program;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import quincespar.program.SystemCallFaults.Call;
import quincespar.program.SystemCallFaults.Errno;
import quincespar.program.SystemCallFaults.Fault;

/** The jar, started by the deploy file's command line, with two engines and a change log, while its system calls fail briefly. */
@Timeout(60)
class SystemCallFaultsIT {
    private static final long MAX_NEXT_POLL_MS = 500;
    private static final int CLIENTS = 8, ROUNDS = 10;
    /** Offset of the call's number in the frame of an answer, after version, length and name. */
    private static final int SEQUENCE_ID_OFFSET = 12;

    @TempDir
    private Path folder;
    private ScriptedPeers.Engine draining;
    private ScriptedPeers.Engine other;
    private ScriptedPeers.ChangeLog changes;
    private SystemCallFaults faults;
    private int port;
    private int admin;
    private Process process;
    private final ConcurrentLinkedQueue<String> receivedBy = new ConcurrentLinkedQueue<>();

    @BeforeEach
    void createPeers() throws IOException, InterruptedException {
        draining = new ScriptedPeers.Engine();
        other = new ScriptedPeers.Engine();
        changes = new ScriptedPeers.ChangeLog();
        faults = SystemCallFaults.in(folder);
        port = ScriptedPeers.freePort();
        admin = ScriptedPeers.freePort();
        serveAll("s-1", draining);
        serveAll("s-2", other);
    }

    @AfterEach
    void killProcess() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    private void serveAll(String id, ScriptedPeers.Engine engine) {
        Thread t = new Thread(() -> {
            try {
                while (true) {
                    ScriptedPeers.Engine.Command c = engine.commands.take();
                    if (c.words().get(0).equals("serve")) {
                        receivedBy.add(id);
                        c.answer(c.id(), "DONE", "count=1", "row\ta\tb\n");
                    }
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, "serve-" + id);
        t.setDaemon(true);
        t.start();
    }

    private static String member(String id, ScriptedPeers.Engine engine, String phase) {
        return ScriptedChangeLog.member(id, engine.server.getLocalPort(), phase);
    }

    private String drain() {
        return "{\"seq\":2,\"results\":[{\"seq\":2,\"fleet\":{\"revision\":2,\"complete\":false,\"members\":["
                + member("s-1", draining, "draining") + "]}}]}";
    }

    private Path configuration(int changeLog) throws IOException {
        return Files.writeString(folder.resolve("config.json"), """
            {"name":"n1","listen":"127.0.0.1:%d","seed":"1","limits":{"sockets":128},"changelog":"127.0.0.1:%d",
             "known":{"seq":1,"results":[{"seq":1,"fleet":{"revision":1,"complete":true,"members":[%s,%s]}}]},
             "settings":{"tick":5,"rules":{"drainGrace":1000},"limits":{"cancelling":true,"maxAttempts":3,"maxStreams":100},
             "projects":[{"name":"acme","quotaPerS":500,"share":1}],"requestClasses":[%s,%s]}}
            """.formatted(port, changeLog, member("s-1", draining, "up"), member("s-2", other, "up"), ScriptedPeers.LOOKUP,
                ScriptedPeers.LOAD));
    }

    private void launch() throws IOException {
        process = ScriptedPeers.startProcess(faults.prefix(), configuration(changes.server.getLocalPort()), admin,
                Files.createDirectories(folder.resolve("tmp")), folder.resolve("log"));
    }

    private void start() throws IOException {
        launch();
        ScriptedPeers.awaitReady(admin);
    }

    private String nextPoll() throws InterruptedException {
        return changes.polls.poll(20, TimeUnit.SECONDS);
    }

    /** Sends enough requests one by one that both engines would get some. */
    private void sendSequentially(String verb, int from) throws IOException {
        try (ScriptedPeers.Client c = new ScriptedPeers.Client(port)) {
            for (int i = 1; i <= 20; i++) {
                c.call(i, ScriptedPeers.fields(verb, String.format("%016x", from + i)));
                assertThat(c.answer()).isEqualTo(ScriptedPeers.Kind.SERVED);
            }
        }
    }

    /** Sends requests on one connection without waiting for answers, so that both engines get some. */
    private void sendConcurrently(int from) throws IOException {
        try (ScriptedPeers.Client c = new ScriptedPeers.Client(port)) {
            for (int i = 1; i <= 20; i++) {
                c.call(i, ScriptedPeers.fields("lookup", String.format("%016x", from + i)));
            }
            for (int i = 1; i <= 20; i++) {
                assertThat(c.answer()).isEqualTo(ScriptedPeers.Kind.SERVED);
            }
        }
    }

    @Test
    void aDrainIsLearnedAsSoonAsFailingCallsWorkAgain() throws Exception {
        start();
        assertThat(nextPoll()).startsWith("GET /changes?since=1&");
        int changeLog = changes.server.getLocalPort();
        Fault connects = faults.fail(Call.CONNECT, Errno.EADDRNOTAVAIL, changeLog);
        Fault reads = faults.fail(Call.READ, Errno.ETIMEDOUT, changeLog);
        changes.answers.add(drain());
        connects.awaitStruck(4);
        reads.end();
        connects.end();
        long ended = System.nanoTime();
        changes.answers.add(drain());
        assertThat(nextPoll()).startsWith("GET /changes?since=1&");
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - ended)).as("ms until the next poll")
                .isLessThan(MAX_NEXT_POLL_MS);
        assertThat(nextPoll()).startsWith("GET /changes?since=2&");
        sendSequentially("lookup", 0);
        assertThat(receivedBy).containsOnly("s-2");
    }

    @Test
    void noRequestIsSentToADrainingEngineAfterTheGracePeriodWhileConnectsFail() throws Exception {
        start();
        assertThat(nextPoll()).startsWith("GET /changes?since=1&");
        int changeLog = changes.server.getLocalPort();
        Fault connects = faults.fail(Call.CONNECT, Errno.ENETUNREACH, changeLog);
        Fault reads = faults.fail(Call.READ, Errno.ETIMEDOUT, changeLog);
        changes.answers.add(drain());
        reads.awaitStruck(1);
        reads.end();
        while (!Files.readString(folder.resolve("log")).contains("nothing new is sent")) {
            ScriptedPeers.spin();
        }
        receivedBy.clear();
        try (ScriptedPeers.Client c = new ScriptedPeers.Client(port)) {
            for (int i = 1; i <= 20; i++) {
                c.call(i, ScriptedPeers.fields("lookup", String.format("%016x", i)));
            }
            ScriptedPeers.status(admin); // a round trip: the requests have been received by now
            assertThat(receivedBy).isEmpty();
            connects.end();
            changes.answers.add(drain());
            for (int i = 1; i <= 20; i++) {
                assertThat(c.answer()).isIn(ScriptedPeers.Kind.SERVED, ScriptedPeers.Kind.REFUSED);
            }
        }
        sendSequentially("lookup", 100);
        assertThat(receivedBy).containsOnly("s-2");
    }

    @Test
    void aStartWaitsForTheEngineListWhileConnectsToTheChangeLogFail() throws Exception {
        Fault connects = faults.fail(Call.CONNECT, Errno.ENETUNREACH, changes.server.getLocalPort());
        changes.answers.add(drain());
        launch();
        connects.awaitStruck(3);
        assertThat(ScriptedPeers.status(admin)).isNotEqualTo(200);
        connects.end();
        ScriptedPeers.awaitReady(admin);
        sendSequentially("lookup", 0);
        assertThat(receivedBy).containsOnly("s-2");
    }

    @Test
    void aStartRetriesFirstCallsThatFailBriefly() throws Exception {
        Fault opens = faults.failOpen(Errno.EIO, "config.json");
        Fault sockets = faults.fail(Call.SOCKET, Errno.ENFILE, 0);
        launch();
        opens.awaitStruck(2);
        opens.end();
        sockets.awaitStruck(2);
        sockets.end();
        ScriptedPeers.awaitReady(admin);
        sendSequentially("lookup", 0);
    }

    @Test
    void anInterruptedReadDoesNotCloseAConnection() throws Exception {
        start();
        assertThat(nextPoll()).startsWith("GET /changes?since=1&");
        Fault reads = faults.failSome(Call.READ, Errno.EINTR, 0, 300, 7);
        sendSequentially("load", 0);
        reads.awaitStruck(1);
        reads.end();
        try (ScriptedPeers.Client c = new ScriptedPeers.Client(port)) {
            assertThat(c.counters()).containsEntry("links.closed", "0").containsEntry("changes.failed", "0");
        }
    }

    @Test
    void anInterruptedPollDoesNotFailAConnect() throws Exception {
        start();
        Fault polls = faults.failSome(Call.POLL, Errno.EINTR, 0, 700, 3);
        sendSequentially("load", 0);
        polls.awaitStruck(1);
        polls.end();
        try (ScriptedPeers.Client c = new ScriptedPeers.Client(port)) {
            assertThat(c.counters()).containsEntry("links.closed", "0").containsEntry("errors.uncaught", "0");
        }
    }

    @Test
    void anUnwrittenRequestIsNotSentToAnEngineThatStartsToDrain() throws Exception {
        start();
        assertThat(nextPoll()).startsWith("GET /changes?since=1&");
        sendSequentially("lookup", 0); // connections to both are up
        receivedBy.clear();
        Fault writes = faults.fail(Call.WRITE, Errno.EAGAIN, draining.server.getLocalPort());
        CompletableFuture<Void> asking = ScriptedPeers.runAsync(() -> {
            for (int round = 1; writes.struck() == 0; round++) { // until one is assigned to the engine that will drain
                sendConcurrently(100 * round);
            }
        });
        writes.awaitStruck(1);
        changes.answers.add(drain());
        assertThat(nextPoll()).startsWith("GET /changes?since=2&");
        writes.end();
        asking.join();
        assertThat(receivedBy).containsOnly("s-2");
    }

    @ParameterizedTest
    @EnumSource(names = {"ENFILE", "EINTR"})
    void pendingConnectionsAtTheStopAreAcceptedThoughAcceptFailsBriefly(Errno error) throws Exception {
        start();
        Fault accepts = faults.fail(Call.ACCEPT, error, port);
        try (ScriptedPeers.Client c = new ScriptedPeers.Client(port)) {
            c.call(1, ScriptedPeers.fields("lookup", "00000000000000aa"));
            accepts.awaitStruck(1);
            ScriptedPeers.terminate(process);
            while (!Files.readString(folder.resolve("log")).contains("closing the listener")) {
                ScriptedPeers.spin();
            }
            long before = accepts.struck();
            while (accepts.struck() < before + 1 && !c.ended()) { // it retries, or has closed the client's connection
                ScriptedPeers.spin();
            }
            accepts.end();
            assertThat(c.answer()).isIn(ScriptedPeers.Kind.SERVED, ScriptedPeers.Kind.REFUSED);
        }
    }

    @Test
    void aConfigurationThatCanNotBeOpenedBrieflyIsReadAgain() throws Exception {
        start();
        ScriptedPeers.ChangeLog moved = new ScriptedPeers.ChangeLog();
        configuration(moved.server.getLocalPort());
        Fault opens = faults.failOpen(Errno.ENFILE, "config.json");
        new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).inheritIO().start().waitFor();
        opens.awaitStruck(2);
        opens.end();
        assertThat(moved.polls.poll(10, TimeUnit.SECONDS)).startsWith("GET /changes?since=1&");
    }

    @Test
    void aFailedEpollWaitDoesNotEndTheProgram() throws Exception {
        start();
        Fault waits = faults.fail(Call.EPOLL_WAIT, Errno.EIO, 0);
        sendWithoutReading();
        waits.awaitStruck(10);
        waits.end();
        sendSequentially("lookup", 0);
        assertThat(process.isAlive()).isTrue();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void everyRequestIsAnsweredOnceWhileCallsFailRandomly(int seed) throws Exception {
        start();
        faults.failSome(Call.READ, Errno.EINTR, 0, 100, seed);
        faults.failSome(Call.WRITE, Errno.EAGAIN, 0, 100, seed + 1);
        faults.failSome(Call.WRITE, Errno.EINTR, 0, 50, seed + 2);
        faults.failSome(Call.POLL, Errno.EINTR, 0, 300, seed + 3);
        faults.failSome(Call.ACCEPT, Errno.ENOBUFS, port, 300, seed + 4);
        faults.failSome(Call.CONNECT, Errno.EADDRNOTAVAIL, other.server.getLocalPort(), 300, seed + 5);
        faults.failSome(Call.SOCKET, Errno.ENFILE, 0, 100, seed + 6);
        faults.shorten(Call.READ, 100, 0);
        Fault writes = faults.shorten(Call.WRITE, 50, 0);
        List<CompletableFuture<Void>> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int first = i * ROUNDS * 100;
            clients.add(ScriptedPeers.runAsync(() -> {
                for (int round = 0; round < ROUNDS; round++) {
                    checkOneAnswerEach(first + 100 * round);
                }
            }));
        }
        clients.forEach(CompletableFuture::join);
        assertThat(writes.struck()).isPositive();
        assertThat(process.isAlive()).isTrue();
    }

    /** Checks that each request gets exactly one answer, of any kind. */
    private void checkOneAnswerEach(int from) throws IOException {
        try (ScriptedPeers.Client c = new ScriptedPeers.Client(port)) {
            for (int i = 1; i <= 20; i++) {
                c.call(i, ScriptedPeers.fields(i % 5 == 0 ? "load" : "lookup", String.format("%016x", from + i)));
            }
            Set<Integer> answered = new HashSet<>();
            for (int i = 1; i <= 20; i++) {
                assertThat(answered.add(ByteBuffer.wrap(c.frame()).getInt(SEQUENCE_ID_OFFSET))).isTrue();
            }
            assertThat(c.ended()).isFalse();
        }
    }

    /** Sends a request, which wakes up the event loops; an answer is not awaited. */
    private void sendWithoutReading() throws IOException {
        ScriptedPeers.Client c = new ScriptedPeers.Client(port);
        c.call(1, ScriptedPeers.fields("lookup", "00000000000000bb"));
    }
}
