package quincespar.program;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.EOFException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import quincespar.settings.Settings;

/** The whole program over loopback against scripted peers. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
@Timeout(60)
class FrontEndTest {
    private static final Map<String, String> LOOKUP = Map.of("verb", "lookup", "txn", "9b1f03aa5c7e2d41", "limit",
            "3000", "team", "acme", "cpu", "1200.0", "heap_mb", "9");

    private ScriptedPeers.Engine engine;
    private ScriptedPeers.ChangeLog changes;
    private FrontEnd frontEnd;
    private Thread running;
    private Path file;
    private int requests;
    private int port;

    @BeforeAll
    @Timeout(60) // the timeout of the class applies to its test methods only
    void start(@TempDir Path folder) throws Exception {
        engine = new ScriptedPeers.Engine();
        changes = new ScriptedPeers.ChangeLog();
        port = ScriptedPeers.freePort();
        file = folder.resolve("config.json");
        Files.writeString(file, """
            {"name":"n1","listen":"127.0.0.1:%d","seed":"8c1f30d27a5be964","limits":{"sockets":64},
             "changelog":"127.0.0.1:%d","known":{"seq":1,"results":[{"seq":1,"fleet":{"revision":1,"complete":true,
             "members":[{"id":"s-1","host_port":"127.0.0.1:%d","phase":"up","cell":0,"size":4,"up_since_ms":0}]}}]},
             "settings":{"tick":5,"limits":{"cancelling":true,"maxAttempts":3,"maxStreams":100},
             "rules":{"drainGrace":1000},"reporting":{"how":"inline","fields":["outstanding"]},
             "projects":[{"name":"acme","quotaPerS":50,"share":1}],"requestClasses":[
             {"name":"lookup","slo":2000,"hardLimit":4000,"effect":"safe","points":1},
             {"name":"load","slo":2000,"hardLimit":4000,"effect":"unsafe","points":1}]}}
            """.formatted(port, changes.server.getLocalPort(), engine.server.getLocalPort()));
        frontEnd = new FrontEnd(Map.of("GW_CONFIG", file.toString()), Settings.defaults(),
                Logs.start(Settings.defaults()));
        running = new Thread(() -> {
            try {
                frontEnd.run();
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
        running.start();
        ScriptedPeers.awaitHealthy(port);
    }

    /** Shuts the program down and checks that requests accepted before the shutdown are answered. */
    @AfterAll
    @Timeout(60)
    void acceptedRequestsAreAnsweredBeforeTheEnd() throws Exception {
        try (ScriptedPeers.Client c = new ScriptedPeers.Client(port)) {
            c.call(1, lookup());
            ScriptedPeers.Engine.Command serve = engine.next("serve");
            Thread shutdown = new Thread(() -> {
                try {
                    frontEnd.shutDown();
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            });
            shutdown.start();
            while (c.healthy()) {
                ScriptedPeers.spin();
            }
            try (ScriptedPeers.Client late = new ScriptedPeers.Client(port)) { // new connections are accepted for a while
                late.call(1, with("txn", "00000000000000bb"));
                engine.next("serve").answer("00000000000000bb", "DONE", "count=1", "late\ta\tb\n");
                assertThat(text(late.frame())).contains("late\ta\tb\n");
            }
            serve.answer(serve.id(), "DONE", "count=1", "row\ta\tb\n");
            assertThat(text(c.frame())).contains("row\ta\tb\n");
            shutdown.join();
            running.join();
            assertThatThrownBy(c::frame).isInstanceOf(EOFException.class);
        }
    }

    /** The fields of a request with a new id. */
    private Map<String, String> lookup() {
        return with("txn", String.format("%016x", ++requests));
    }

    private static Map<String, String> with(String field, String value) {
        Map<String, String> out = new HashMap<>(LOOKUP);
        out.put(field, value);
        return out;
    }

    private static Map<String, String> without(String field) {
        Map<String, String> out = new HashMap<>(LOOKUP);
        out.remove(field);
        return out;
    }

    private static String text(byte[] frame) {
        return new String(frame, StandardCharsets.ISO_8859_1);
    }

    @Test
    void allPagesAreServedInOrder() throws Exception {
        try (ScriptedPeers.Client c = new ScriptedPeers.Client(port)) {
            Map<String, String> load = lookup(); // an unsafe request: never cancelled as slow on a busy machine
            load.put("verb", "load");
            c.call(1, load);
            ScriptedPeers.Engine.Command serve = engine.next("serve");
            assertThat(serve.words().get(2)).matches("queue=load,budget=\\d+");
            assertThat(serve.words().get(3)).isEqualTo("SELECT 1 FROM sales_3.t");
            serve.answer(serve.id(), "TELL", "detail=share,reading=0.5", "");
            serve.answer(serve.id(), "DONE", "count=3,use=inflight:7", "one\ta\tb\n");
            engine.next("read").answer(serve.id(), "MORE", "pos=2", "three\ta\tb\n");
            engine.next("read").answer(serve.id(), "MORE", "pos=1", "two\ta\tb\n");
            assertThat(text(c.frame())).contains("one\ta\tb\ntwo\ta\tb\nthree\ta\tb\n");
            assertThat(engine.next("release").id()).isEqualTo(serve.id());
        }
    }

    @Test
    void closedConnectionsAreCountedByCause() throws Exception {
        try (ScriptedPeers.Client silent = new ScriptedPeers.Client(port);
                ScriptedPeers.Client c = new ScriptedPeers.Client(port)) {
            assertThatThrownBy(silent::frame).isInstanceOf(IOException.class); // closed because it has sent nothing for too long
            try (ScriptedPeers.Client again = new ScriptedPeers.Client(port)) {
                while (!again.counters().containsKey("closed.nothing_open")) { // counted once the socket is closed
                    ScriptedPeers.spin();
                }
            }
        }
    }

    @Test
    void anAttemptIsCancelledWhenItsClientDisconnects() throws Exception {
        String id;
        try (ScriptedPeers.Client c = new ScriptedPeers.Client(port)) {
            c.call(1, lookup());
            id = engine.next("serve").id();
        }
        assertThat(engine.next("cancel").id()).isEqualTo(id);
    }

    @Test
    void anInvalidRequestGetsAnApplicationExceptionAndTheNextOneIsServed() throws Exception {
        try (ScriptedPeers.Client c = new ScriptedPeers.Client(port)) {
            for (Map<String, String> wrong : java.util.List.of(with("verb", "odd"), with("team", "odd"),
                    with("limit", "-1"), with("limit", "99999"), with("cpu", "much"), with("cpu", "NaN"),
                    with("heap_mb", "99999999"), with("txn", "short"), without("txn"), without("cpu"))) {
                try (ScriptedPeers.Client bad = new ScriptedPeers.Client(port)) {
                    bad.call(1, wrong);
                    assertThat(ScriptedPeers.exceptionSeqid(bad.frame())).isEqualTo(1);
                    assertNextIsServed(bad);
                }
            }
            try (ScriptedPeers.Client malformed = new ScriptedPeers.Client(port)) {
                malformed.raw(new byte[] {0, 0, 0, 4, 1, 2, 3, 4});
                assertThat(ScriptedPeers.exceptionSeqid(malformed.frame())).isZero();
                assertNextIsServed(malformed);
            }
            assertThat(c.healthy()).isTrue();
        }
    }

    private void assertNextIsServed(ScriptedPeers.Client c) throws Exception {
        c.call(2, lookup());
        ScriptedPeers.Engine.Command serve = engine.next("serve");
        serve.answer(serve.id(), "DONE", "count=1", "row\ta\tb\n");
        assertThat(text(c.frame())).contains("row\ta\tb\n");
    }

    /** A client that sends nothing but invalid requests, each as soon as the last is answered, does not keep its connection. */
    @Test
    void aClientThatRepeatsAnInvalidRequestIsDisconnectedAsIdle() throws Exception {
        try (ScriptedPeers.Client bad = new ScriptedPeers.Client(port)) {
            int seqid = 1;
            while (repeat(bad, seqid)) {
                seqid++;
            }
            assertThat(seqid).isGreaterThan(1);
        }
    }

    private static boolean repeat(ScriptedPeers.Client c, int seqid) {
        try {
            c.call(seqid, with("verb", "odd"));
            assertThat(ScriptedPeers.exceptionSeqid(c.frame())).isEqualTo(seqid);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    @Test
    void aMalformedAnswerClosesItsConnectionOnlyAndTheQueryIsRetried() throws Exception {
        try (ScriptedPeers.Client c = new ScriptedPeers.Client(port)) {
            c.call(1, lookup());
            engine.next("serve").raw("+nonsense\r\n");
            ScriptedPeers.Engine.Command again = engine.next("serve");
            again.answer(again.id(), "DONE", "count=1", "row\ta\tb\n");
            assertThat(text(c.frame())).contains("row\ta\tb\n");
        }
    }

    @Test
    void anInvalidAnswerOfTheChangeLogKeepsTheListAndIsPolledAgain() throws Exception {
        changes.answers.add("{\"seq\":");
        changes.answers.add("{\"seq\":1,\"results\":[]}");
        for (int i = 0; i < 3; i++) {
            assertThat(changes.polls.take()).startsWith("GET /changes?since=1&timeout=");
        }
        try (ScriptedPeers.Client c = new ScriptedPeers.Client(port)) {
            assertThat(c.healthy()).isTrue();
        }
    }

    @Test
    void aNewConfigurationIsAppliedWhileServing() throws Exception {
        ScriptedPeers.ChangeLog moved = new ScriptedPeers.ChangeLog();
        String old = Files.readString(file);
        Files.writeString(file, "{");
        frontEnd.requestReload();
        try (ScriptedPeers.Client c = new ScriptedPeers.Client(port)) {
            while (!c.counters().get("configurations.refused").equals("1")) {
                ScriptedPeers.spin();
            }
        }
        Files.writeString(file, old.replace("\"changelog\":\"127.0.0.1:" + changes.server.getLocalPort(),
                "\"changelog\":\"127.0.0.1:" + moved.server.getLocalPort()));
        frontEnd.requestReload();
        assertThat(moved.polls.take()).startsWith("GET /changes?since=1&timeout=");
        Files.writeString(file, old);
        frontEnd.requestReload(); // and back again, as the other tests need the old one
        while (changes.polls.poll(10, java.util.concurrent.TimeUnit.MILLISECONDS) == null) {
            ScriptedPeers.spin();
        }
        try (ScriptedPeers.Client c = new ScriptedPeers.Client(port)) {
            assertThat(c.healthy()).isTrue();
        }
    }

    /** Bound earlier, it would receive connections that wait for the warm-up while another process could serve them. */
    @Test
    void theClientsAddressIsNotBoundBeforeTheStart(@TempDir Path folder) throws Exception {
        int other = ScriptedPeers.freePort();
        Path copy = Files.writeString(folder.resolve("config.json"), Files.readString(file).replace(
                "127.0.0.1:" + port + "\"", "127.0.0.1:" + other + "\""));
        FrontEnd waiting = new FrontEnd(Map.of("GW_CONFIG", copy.toString()), Settings.defaults(),
                Logs.start(Settings.defaults()));
        assertThatThrownBy(() -> new ScriptedPeers.Client(other)).isInstanceOf(java.net.ConnectException.class);
        waiting.shutDown(); // it has accepted nothing, so it stops at once
    }

    @Test
    void anInvalidConfigurationIsReportedInOneLine(@TempDir Path folder) throws IOException {
        Path file = Files.writeString(folder.resolve("bad.json"), "{\"listen\":\"127.0.0.1:1\"");
        for (Map<String, String> wrong : java.util.List.of(Map.<String, String>of(),
                Map.of("GW_CONFIG", folder.resolve("none").toString()), Map.of("GW_CONFIG", file.toString()))) {
            assertThatThrownBy(() -> Configuration.read(wrong)).isInstanceOf(IllegalArgumentException.class)
                    .message().hasLineCount(1);
        }
    }
}
