package quincespar.program;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * The old and the new process of an upgrade act as one front end: their loads of one ordering key run one at a time, in order, and
 * their retries keep one budget.
 */
@Timeout(120)
class UpgradeSharingIT {
    private static final String LOAD =
            "{\"name\":\"load\",\"slo\":2000,\"hardLimit\":20000,\"effect\":\"unsafe\",\"keepOrder\":true}";
    private static final String RULES = """
        "tick":5,"rules":{"settleAfterDoubt":300,"budgetFree":3,"resendRatio":0.1,"budgetSpan":5000}""";
    private static final int LOOKUPS_EACH = 10;
    /** 3, and a tenth of 20 lookups and the load. */
    private static final int RETRY_BUDGET = 5;

    private final List<Process> started = new ArrayList<>();
    @TempDir
    private Path folder;
    private ScriptedPeers.Engine engine;
    private Path file;
    private int port;
    private int requests;
    private Process old;
    private ScriptedPeers.Client oldClient;
    private ScriptedPeers.Client newClient;
    /** The load of key "a" that the old process has out. */
    private ScriptedPeers.Engine.Command head;

    /** The old process has a load of key "a" out when it is told to end, and the new one has a client. */
    @BeforeEach
    void upgradeUnderALoad() throws Exception {
        engine = new ScriptedPeers.Engine();
        port = ScriptedPeers.freePort();
        Files.createDirectory(folder.resolve("tmp"));
        file = Files.writeString(folder.resolve("config.json"), ScriptedPeers.configuration(port, new ScriptedPeers.ChangeLog(),
                engine, LOAD, ScriptedPeers.LOOKUP).replace("\"tick\":5", RULES));
        old = start();
        oldClient = new ScriptedPeers.Client(port);
        head = assertNextSent(load(oldClient, "a"));
        start();
        ScriptedPeers.terminate(old);
        while (!oldClient.counters().get("phase").equals("yielding")) {
            ScriptedPeers.spin();
        }
        newClient = new ScriptedPeers.Client(port);
        while (!newClient.counters().get("phase").equals("serving")) { // the old process has accepted it
            newClient.close();
            newClient = new ScriptedPeers.Client(port);
        }
    }

    @AfterEach
    void stopAll() throws IOException {
        started.forEach(Process::destroyForcibly);
        oldClient.close();
        newClient.close();
    }

    private Process start() throws IOException {
        int admin = ScriptedPeers.freePort();
        Process p = ScriptedPeers.startProcess("", file, admin, folder.resolve("tmp"), folder.resolve("log-" + started.size()));
        started.add(p);
        ScriptedPeers.awaitReady(admin);
        return p;
    }

    /** Sends a load and returns its txn. */
    private String load(ScriptedPeers.Client client, String key) throws IOException {
        String txn = String.format("%016x", ++requests);
        Map<String, String> fields = new HashMap<>(ScriptedPeers.fields("load", txn));
        fields.putAll(Map.of("item", key, "limit", "18000"));
        client.call(1000 + requests, fields);
        return txn;
    }

    private ScriptedPeers.Engine.Command assertNextSent(String txn) throws InterruptedException {
        ScriptedPeers.Engine.Command next = engine.next("serve");
        assertThat(next.id()).isEqualTo(txn);
        return next;
    }

    private static void serve(ScriptedPeers.Engine.Command command) {
        command.answer(command.id(), "DONE", "count=1", "row\ta\tb\n");
    }

    /** Guards against a load that the new process sends while the old one has an earlier load of its key out. */
    @Test
    void loadsOfAKeyTakenByBothProcessesRunOneAtATimeInOrderOfArrival() throws Exception {
        String second = load(newClient, "a");
        assertNextSent(load(newClient, "b")); // it came later, so that the second would have been sent before it
        String third = load(oldClient, "a");
        assertNextSent(load(oldClient, "c"));
        serve(head);
        serve(assertNextSent(second));
        assertNextSent(third);
    }

    /** Guards against a key that is free as soon as the process that held it is killed, and against one that never is. */
    @Test
    void aLoadWaitsForTheSettlePeriodAfterTheProcessThatHeldItsKeyIsKilled() throws Exception {
        String second = load(newClient, "a");
        assertNextSent(load(newClient, "b"));
        long killedAt = System.nanoTime();
        old.destroyForcibly();
        ScriptedPeers.Engine.Command next = assertNextSent(second);
        assertThat((next.receivedAtNanos() - killedAt) / 1e6).isGreaterThanOrEqualTo(300);
    }

    /** Guards against a load that the new process sends again after its client has left the old one. */
    @Test
    void aLoadThatComesAgainAtTheOtherProcessIsNotSentTwice() throws Exception {
        oldClient.close();
        assertThat(engine.next("cancel").id()).isEqualTo(head.id());
        Map<String, String> fields = new HashMap<>(ScriptedPeers.fields("load", head.id()));
        fields.putAll(Map.of("item", "a", "limit", "2000"));
        newClient.call(1, fields);
        assertThat(newClient.answer()).isEqualTo(ScriptedPeers.Kind.FAILED);
        String next = load(newClient, "a");
        assertNextSent(next);
    }

    /** Guards against a retry budget that each of the two processes uses in full. */
    @Test
    void theRetriesOfBothProcessesStayWithinTheBudgetOfOneFrontEnd() throws Exception {
        Map<String, Integer> attempts = new ConcurrentHashMap<>();
        ScriptedPeers.runAsync(() -> {
            while (true) {
                ScriptedPeers.Engine.Command command = engine.commands.take();
                if (command.words().get(0).equals("serve")) {
                    attempts.merge(command.id(), 1, Integer::sum);
                    command.answer(command.id(), "BROKE");
                }
            }
        });
        for (int i = 0; i < LOOKUPS_EACH; i++) {
            oldClient.call(2000 + i, ScriptedPeers.fields("lookup", String.format("%016x", 100 + i)));
            newClient.call(2000 + i, ScriptedPeers.fields("lookup", String.format("%016x", 200 + i)));
        }
        for (int i = 0; i < LOOKUPS_EACH; i++) {
            assertThat(oldClient.answer()).isIn(ScriptedPeers.Kind.FAILED, ScriptedPeers.Kind.REFUSED);
            assertThat(newClient.answer()).isIn(ScriptedPeers.Kind.FAILED, ScriptedPeers.Kind.REFUSED);
        }
        assertThat(attempts.values().stream().mapToInt(n -> n - 1).sum()).isBetween(1, RETRY_BUDGET);
    }
}
