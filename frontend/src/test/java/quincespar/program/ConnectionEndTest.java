package quincespar.program;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import quincespar.protocol.thrift.FrontCodec;
import quincespar.settings.ConfReader;

/**
 * What is still owed at the instant in which something ends, on real connections: each test has its peers bring about the
 * bad order every time. The rows are in docs/design/endings.md.
 */
@Timeout(60)
class ConnectionEndTest {
    private static final String LOAD = "{\"name\":\"load\",\"slo\":2000,\"hardLimit\":30000,\"effect\":\"unsafe\"}";
    private static final String LOOKUP = "{\"name\":\"lookup\",\"slo\":2000,\"hardLimit\":30000,\"effect\":\"safe\"}";
    /** Connections that only a stop ends. */
    private static final String PATIENT = "clients {\n idle 3600s\n first-word 3600s\n}\n";

    @TempDir
    private Path folder;
    private final List<AutoCloseable> peers = new ArrayList<>();
    private ScriptedPeers.Engine engine;
    private ScriptedPeers.ChangeLog changes;
    private int port;
    private FrontEnd frontEnd;
    private CompletableFuture<Void> running;

    @BeforeEach
    void peers() throws IOException {
        engine = new ScriptedPeers.Engine();
        changes = new ScriptedPeers.ChangeLog();
        port = ScriptedPeers.freePort();
    }

    @AfterEach
    void end() throws Exception {
        for (AutoCloseable p : peers) {
            p.close();
        }
        ScriptedPeers.runAsync(frontEnd::shutDown).join();
        running.join();
    }

    /** A front end before one engine. */
    private void start(String conf, int engineAt, String limits, String... classes) throws Exception {
        Path file = Files.writeString(folder.resolve("config.json"), """
            {"name":"n1","listen":"127.0.0.1:%d","seed":"1","limits":{"sockets":64},"changelog":"127.0.0.1:%d",
             "known":{"seq":1,"results":[{"seq":1,"fleet":{"revision":1,"complete":true,"members":[%s]}}]},
             "settings":{"tick":5,"limits":{%s,"maxAttempts":3,"maxStreams":100,"connIdle":1000},
             "projects":[{"name":"acme","quotaPerS":50,"share":1}],"requestClasses":[%s]}}
            """.formatted(port, changes.server.getLocalPort(), member("s-1", "up", engineAt), limits,
                String.join(",", classes)));
        frontEnd = new FrontEnd(Map.of("GW_CONFIG", file.toString()), ConfReader.read("f", conf),
                Logs.start(ConfReader.read("f", conf)));
        running = ScriptedPeers.runAsync(frontEnd::run);
        ScriptedPeers.awaitHealthy(port);
    }

    private static String member(String id, String phase, int at) {
        return "{\"id\":\"%s\",\"host_port\":\"127.0.0.1:%d\",\"phase\":\"%s\",\"size\":4}".formatted(id, at, phase);
    }

    private ScriptedPeers.Client client() throws IOException {
        ScriptedPeers.Client c = new ScriptedPeers.Client(port);
        peers.add(c);
        return c;
    }

    private static Map<String, String> request(String verb, int number) {
        Map<String, String> fields = new HashMap<>(ScriptedPeers.fields(verb, String.format("%016x", number)));
        fields.put("limit", "20000");
        return fields;
    }

    private static byte[] frame(int seqid, Map<String, String> fields) {
        return FrontCodec.call(seqid, fields, "SELECT 1 FROM sales_3.t".getBytes(StandardCharsets.UTF_8));
    }

    private ScriptedPeers.UnconnectableEngine held() throws IOException {
        ScriptedPeers.UnconnectableEngine held = new ScriptedPeers.UnconnectableEngine();
        peers.add(held);
        return held;
    }

    /** A client whose load waits for the connection to the only engine there is. */
    private ScriptedPeers.Client waitsFor(ScriptedPeers.UnconnectableEngine held, boolean cancels) throws Exception {
        start(PATIENT, held.server.getLocalPort(), "\"cancelling\":" + cancels + ",\"connectTimeout\":30000", LOAD);
        ScriptedPeers.Client c = client();
        c.call(1, request("load", 1));
        until(c, "engines.connected", "1");
        return c;
    }

    private static void until(ScriptedPeers.Client watch, String counter, String value) throws IOException {
        while (!value.equals(watch.counters().get(counter))) {
            ScriptedPeers.spin();
        }
    }

    private static void done(ScriptedPeers.Engine.Command c) {
        c.answer(c.id(), "DONE", "count=1", "row\ta\tb\n");
    }

    /** The stop must not wait for the engine with all: who rests is told, and moves. */
    @Test
    void aClientThatRestsIsEndedByTheStopWhileAnotherWaitsForAnEngine() throws Exception {
        start(PATIENT, engine.server.getLocalPort(), "\"cancelling\":true", LOAD);
        ScriptedPeers.Client waits = client();
        ScriptedPeers.Client rests = client();
        assertThat(rests.healthy()).isTrue();
        waits.call(1, request("load", 1));
        ScriptedPeers.Engine.Command out = engine.next("serve");
        CompletableFuture<Void> leaving = ScriptedPeers.runAsync(frontEnd::shutDown);
        assertThat(rests.awaitEnd()).isTrue();
        assertThat(leaving).isNotDone();
        done(out);
        assertThat(waits.answer()).isEqualTo(ScriptedPeers.Kind.SERVED);
        assertThat(waits.awaitEnd()).isTrue();
        leaving.join();
    }

    /** The system's end may find it unanswered, and then it is lost: it is refused, which is true as it never ran. */
    @Test
    void whatComesAfterTheStopBehindARequestThatIsOutIsRefusedAndNotSentOn() throws Exception {
        start(PATIENT, engine.server.getLocalPort(), "\"cancelling\":true", LOAD);
        ScriptedPeers.Client waits = client();
        ScriptedPeers.Client rests = client();
        assertThat(rests.healthy()).isTrue();
        waits.call(1, request("load", 1));
        ScriptedPeers.Engine.Command out = engine.next("serve");
        CompletableFuture<Void> leaving = ScriptedPeers.runAsync(frontEnd::shutDown);
        assertThat(rests.awaitEnd()).isTrue();
        waits.call(2, request("load", 2));
        assertThat(waits.answer()).isEqualTo(ScriptedPeers.Kind.REFUSED);
        done(out);
        assertThat(waits.answer()).isEqualTo(ScriptedPeers.Kind.SERVED);
        leaving.join();
        assertThat(engine.commands).noneMatch(c -> c.words().get(0).equals("serve"));
    }

    /** Its last byte comes after the word to stop: it is read and answered, not met by a close. */
    @Test
    void aRequestThatIsHalfHereAtTheStopIsReadToItsEndAndAnswered() throws Exception {
        start(PATIENT, engine.server.getLocalPort(), "\"cancelling\":true", LOAD);
        ScriptedPeers.Client slow = client();
        ScriptedPeers.Client rests = client();
        assertThat(rests.healthy()).isTrue();
        byte[] half = halfBehindAServedRequest(slow);
        CompletableFuture<Void> leaving = ScriptedPeers.runAsync(frontEnd::shutDown);
        assertThat(rests.awaitEnd()).isTrue();
        slow.raw(half);
        assertThat(slow.answer()).isEqualTo(ScriptedPeers.Kind.REFUSED);
        assertThat(slow.awaitEnd()).isTrue();
        leaving.join();
    }

    /** Has a request served with the first half of the next one behind it, in one write; answers the other half. */
    private byte[] halfBehindAServedRequest(ScriptedPeers.Client c) throws Exception {
        byte[] first = frame(1, request("load", 1));
        byte[] second = frame(2, request("load", 2));
        byte[] both = Arrays.copyOf(first, first.length + 9);
        System.arraycopy(second, 0, both, first.length, 9);
        c.raw(both);
        done(engine.next("serve"));
        assertThat(c.answer()).isEqualTo(ScriptedPeers.Kind.SERVED);
        return Arrays.copyOfRange(second, 9, second.length);
    }

    /** The other connection had its last word later and goes as idle, so this one's time was over before that. */
    @Test
    void aConnectionWithARequestHalfHereIsNotClosedAsIdle() throws Exception {
        start("clients {\n idle 100ms\n first-word 3600s\n}\n", engine.server.getLocalPort(), "\"cancelling\":true", LOAD);
        ScriptedPeers.Client slow = client();
        byte[] half = halfBehindAServedRequest(slow);
        ScriptedPeers.Client later = client();
        later.call(1, request("load", 3));
        done(engine.next("serve"));
        assertThat(later.answer()).isEqualTo(ScriptedPeers.Kind.SERVED);
        assertThat(later.awaitEnd()).isTrue();
        slow.raw(half);
        done(engine.next("serve"));
        assertThat(slow.answer()).isEqualTo(ScriptedPeers.Kind.SERVED);
    }

    /** What came whole before it is owed an answer all the same, though the connection is to end. */
    @Test
    void nonsenseBehindARequestThatIsOutEndsTheConnectionOnceThatIsAnswered() throws Exception {
        start(PATIENT, engine.server.getLocalPort(), "\"cancelling\":true", LOAD);
        for (byte[] nonsense : List.of(new byte[] {-1, -1, -1, -1}, new byte[] {0, 0, 0, 4, 1, 2, 3, 4},
                frame(1, request("load", 2)), frame(2, Map.of("verb", "odd")))) {
            ScriptedPeers.Client c = client();
            c.call(1, request("load", 1));
            ScriptedPeers.Engine.Command out = engine.next("serve");
            c.raw(nonsense);
            assertThat(c.answer()).isEqualTo(ScriptedPeers.Kind.EXCEPTION);
            done(out);
            assertThat(c.answer()).isEqualTo(ScriptedPeers.Kind.SERVED);
            assertThat(c.awaitEnd()).isTrue();
        }
    }

    /** One that floods on after that is closed at once, and others are served meanwhile. */
    @Test
    void aClientThatGoesOnAfterNonsenseIsClosedWhateverIsOpen() throws Exception {
        start(PATIENT, engine.server.getLocalPort(), "\"cancelling\":true", LOAD);
        ScriptedPeers.Client c = client();
        c.call(1, request("load", 1));
        ScriptedPeers.Engine.Command out = engine.next("serve");
        c.raw(new byte[] {-1, -1, -1, -1});
        assertThat(c.answer()).isEqualTo(ScriptedPeers.Kind.EXCEPTION);
        try {
            c.raw(new byte[1 << 20]);
            assertThat(c.awaitEnd()).isTrue();
        } catch (IOException reset) {
            assertThat(reset).isInstanceOf(java.net.SocketException.class);
        }
        assertThat(engine.next("cancel").id()).isEqualTo(out.id()); // its client is gone
        ScriptedPeers.Client other = client();
        other.call(1, request("load", 3));
        done(engine.next("serve"));
        assertThat(other.answer()).isEqualTo(ScriptedPeers.Kind.SERVED);
    }

    /** Nobody waits for it any more, whether the site lets attempts be cancelled or not. */
    @Test
    void whatWaitsForAConnectionIsNotSentOnceItsClientHasLeft() throws Exception {
        ScriptedPeers.UnconnectableEngine held = held();
        ScriptedPeers.Client leaves = waitsFor(held, false);
        ScriptedPeers.Client watch = client();
        leaves.close();
        until(watch, "requests.open", "0");
        held.release();
        isIdleUnasked(watch, held);
    }

    /** Engines discard repeats within the window only: a connection that comes up after it must not carry one. */
    @Test
    void aRepeatThatWaitsForAConnectionBeyondItsWindowIsNotSent() throws Exception {
        ScriptedPeers.UnconnectableEngine held = held();
        long windowMs = 2000;
        start(PATIENT, engine.server.getLocalPort(), "\"cancelling\":true,\"connectTimeout\":30000",
                LOAD.replace("\"unsafe\"", "\"keyed\",\"keyScope\":\"all\",\"repeatWindow\":" + windowMs));
        ScriptedPeers.Client watch = client();
        ScriptedPeers.Client c = client();
        long from = System.nanoTime();
        c.call(1, request("load", 1));
        ScriptedPeers.Engine.Command first = engine.next("serve");
        changes.answers.add(news(2, member("s-1", "draining", engine.server.getLocalPort()),
                member("s-2", "up", held.server.getLocalPort())));
        until(watch, "held.engines", "2");
        first.answer(first.id(), "BROKE", "-", "");
        until(watch, "engines.connected", "2"); // the repeat waits for its connection
        while (System.nanoTime() - from < TimeUnit.MILLISECONDS.toNanos(windowMs + 100)) {
            ScriptedPeers.spin();
        }
        held.release();
        isIdleUnasked(watch, held);
        assertThat(c.answer()).isEqualTo(ScriptedPeers.Kind.REFUSED); // by the scope a repeat is harmless
    }

    /** Waits until the front end has no connection to an engine any more, and nothing was asked on this one's. */
    private static void isIdleUnasked(ScriptedPeers.Client watch, ScriptedPeers.UnconnectableEngine held) throws IOException {
        while (!watch.counters().get("engines.connected").equals("0")) {
            assertThat(held.heard()).doesNotContain("serve");
        }
        assertThat(held.heard()).doesNotContain("serve");
    }

    private static String news(int seq, String... members) {
        return "{\"seq\":%d,\"results\":[{\"seq\":%d,\"fleet\":{\"revision\":%d,\"complete\":false,\"members\":[%s]}}]}"
                .formatted(seq, seq, seq, String.join(",", members));
    }

    /** Engines know a repeat by its client's idempotency key: without it each attempt would be a request of its own. */
    @Test
    void aRepeatCarriesTheIdempotencyKeyOfItsRequest() throws Exception {
        start(PATIENT, engine.server.getLocalPort(), "\"cancelling\":true",
                LOAD.replace("\"unsafe\"", "\"keyed\",\"keyScope\":\"all\",\"repeatWindow\":20000"));
        ScriptedPeers.Client c = client();
        Map<String, String> request = request("load", 1);
        request.put("unique", "8f3a=90/b1");
        c.call(1, request);
        ScriptedPeers.Engine.Command first = engine.next("serve");
        assertThat(first.words().get(2)).matches("queue=load,budget=\\d+,uniq=8f3a=90/b1");
        first.answer(first.id(), "BROKE", "-", "");
        ScriptedPeers.Engine.Command again = engine.next("serve");
        assertThat(again.words().get(2)).matches("queue=load,budget=\\d+,uniq=8f3a=90/b1");
        done(again);
        assertThat(c.answer()).isEqualTo(ScriptedPeers.Kind.SERVED);
        request.put("unique", "a,budget=1"); // it would be read as another field
        c.call(2, request);
        assertThat(c.answer()).isEqualTo(ScriptedPeers.Kind.EXCEPTION);
    }

    /** Word of a drain between the choice of the engine and the first byte. */
    @Test
    void whatWaitsForAConnectionToAnEngineThatBeginsToDrainGoesElsewhere() throws Exception {
        ScriptedPeers.UnconnectableEngine held = held();
        ScriptedPeers.Client c = waitsFor(held, true);
        ScriptedPeers.Client watch = client();
        changes.answers.add(news(2, member("s-1", "draining", held.server.getLocalPort()),
                member("s-2", "up", engine.server.getLocalPort())));
        done(engine.next("serve"));
        assertThat(c.answer()).isEqualTo(ScriptedPeers.Kind.SERVED);
        held.release();
        isIdleUnasked(watch, held);
    }

    /** An engine may say its last word twice: the second one must not end the next attempt, which still runs. */
    @Test
    void aSecondLastWordDoesNotEndTheNextAttempt() throws Exception {
        start(PATIENT, engine.server.getLocalPort(), "\"cancelling\":true", LOAD);
        ScriptedPeers.Client c = client();
        c.call(1, request("load", 1));
        ScriptedPeers.Engine.Command first = engine.next("serve");
        first.answer(first.id(), "WAIT", "-", "");
        ScriptedPeers.Engine.Command second = engine.next("serve");
        first.answer(first.id(), "WAIT", "-", "");
        ScriptedPeers.Client other = client();
        other.call(1, request("load", 2)); // shares the first one's connection, so its answer comes behind that word
        ScriptedPeers.Engine.Command behind = engine.next("serve");
        assertThat(behind.id()).as("nothing is sent twice").isNotEqualTo(first.id());
        first.answer(behind.id(), "BROKE", "-", "");
        assertThat(other.answer()).isNotEqualTo(ScriptedPeers.Kind.SERVED);
        done(second);
        assertThat(c.answer()).isEqualTo(ScriptedPeers.Kind.SERVED);
        assertThat(engine.commands).noneMatch(x -> x.words().get(0).equals("serve"));
    }

    /** It may have run, so it is never sent again, and its client is not told that a repeat is harmless. */
    @Test
    void aLoadWhoseConnectionEndsUnderItIsFailedAndNotSentAgain() throws Exception {
        start(PATIENT, engine.server.getLocalPort(), "\"cancelling\":true", LOAD);
        ScriptedPeers.Client c = client();
        c.call(1, request("load", 1));
        engine.next("serve").from().close();
        assertThat(c.answer()).isEqualTo(ScriptedPeers.Kind.FAILED);
        c.call(2, request("load", 2));
        ScriptedPeers.Engine.Command next = engine.next("serve");
        assertThat(next.id()).isEqualTo(request("load", 2).get("txn"));
        done(next);
        assertThat(c.answer()).isEqualTo(ScriptedPeers.Kind.SERVED);
    }

    @Test
    void allThatAClientHasOpenIsCancelledWhenItLeaves() throws Exception {
        start(PATIENT, engine.server.getLocalPort(), "\"cancelling\":true", LOOKUP);
        ScriptedPeers.Client c = client();
        Set<String> out = new HashSet<>();
        for (int i = 1; i <= 3; i++) {
            c.call(i, request("lookup", i));
            out.add(engine.next("serve").id());
        }
        c.close();
        for (int i = 0; i < 3; i++) {
            assertThat(out.remove(engine.next("cancel").id())).isTrue();
        }
    }

    /** A watch that goes silent is replaced, and what it did not tell is heard from the next one. */
    @Test
    void aWatchThatFallsSilentIsReplacedAndTheDrainIsHeard() throws Exception {
        ScriptedPeers.Engine old = new ScriptedPeers.Engine();
        start(PATIENT + "change-log {\n wait 200ms\n slack 100ms\n}\n", old.server.getLocalPort(), "\"cancelling\":true", LOAD);
        ScriptedPeers.Client c = client();
        assertThat(changes.questions.take()).startsWith("GET /changes?since=1&");
        assertThat(changes.questions.take()).startsWith("GET /changes?since=1&"); // the first is never answered
        String drain = news(2, member("s-1", "draining", old.server.getLocalPort()),
                member("s-2", "up", engine.server.getLocalPort()));
        for (int i = 0; i < 3; i++) {
            changes.answers.add(drain); // the silent ones answer too, when nobody asks them any more
        }
        until(c, "held.engines", "2");
        c.call(1, request("load", 1));
        done(engine.next("serve"));
        assertThat(c.answer()).isEqualTo(ScriptedPeers.Kind.SERVED);
        assertThat(old.commands).noneMatch(x -> x.words().get(0).equals("serve"));
    }

    /** Nothing ran behind a refused connection: its client is told that a repeat is harmless, also for a load. */
    @Test
    void aLoadThatMeetsRefusedConnectionsOnlyIsRefusedAndNotFailed() throws Exception {
        start(PATIENT, ScriptedPeers.freePort(), "\"cancelling\":true", LOAD);
        ScriptedPeers.Client c = client();
        c.call(1, request("load", 1));
        assertThat(c.answer()).isEqualTo(ScriptedPeers.Kind.REFUSED);
    }

    /** The old one's connection is not the new one's, and what is out there is answered there. */
    @Test
    void aNewEngineAtTheAddressOfOneThatHasGoneIsDialledAnew() throws Exception {
        start(PATIENT, engine.server.getLocalPort(), "\"cancelling\":true", LOAD);
        ScriptedPeers.Client watch = client();
        ScriptedPeers.Client c = client();
        c.call(1, request("load", 1));
        ScriptedPeers.Engine.Command old = engine.next("serve");
        changes.answers.add(news(2, member("s-1", "removed", engine.server.getLocalPort()),
                member("s-2", "up", engine.server.getLocalPort())));
        until(watch, "held.engines", "2"); // the old one is kept for what is out
        c.call(2, request("load", 2));
        ScriptedPeers.Engine.Command next = engine.next("serve");
        assertThat(next.from()).isNotSameAs(old.from());
        done(next);
        assertThat(c.answer()).isEqualTo(ScriptedPeers.Kind.SERVED);
        done(old);
        assertThat(c.answer()).isEqualTo(ScriptedPeers.Kind.SERVED);
    }

    /** What a whole list does not name is gone, as if its removal had been told. */
    @Test
    void whatWaitsForAnEngineThatAWholeListLeavesOutGoesElsewhere() throws Exception {
        ScriptedPeers.UnconnectableEngine held = held();
        ScriptedPeers.Client c = waitsFor(held, true);
        ScriptedPeers.Client watch = client();
        changes.answers.add(news(2, member("s-2", "up", engine.server.getLocalPort())).replace("\"complete\":false",
                "\"complete\":true"));
        done(engine.next("serve"));
        assertThat(c.answer()).isEqualTo(ScriptedPeers.Kind.SERVED);
        held.release();
        isIdleUnasked(watch, held);
    }

    /** A second answer and one under another id are no answers, to this request or to the next. */
    @Test
    void whatAnEngineSaysBesideItsAnswerReachesNoClient() throws Exception {
        start(PATIENT, engine.server.getLocalPort(), "\"cancelling\":true", LOAD);
        ScriptedPeers.Client c = client();
        for (int i = 1; i <= 3; i++) {
            c.call(i, request("load", i));
            ScriptedPeers.Engine.Command serve = engine.next("serve");
            serve.answer("00000000000000ff", "DONE", "count=1", "odd\ta\tb\n");
            serve.answer(serve.id(), "DONE", "count=1", "row" + i + "\ta\tb\n");
            serve.answer(serve.id(), "DONE", "count=1", "again" + i + "\ta\tb\n");
            assertThat(new String(c.frame(), StandardCharsets.ISO_8859_1)).contains("row" + i + "\ta\tb\n");
        }
    }

    /** Half an answer is none: it may have run, and is not sent again. One that never ends is ended in time. */
    @Test
    void aLoadOfWhichHalfAnAnswerCameIsFailedWhenItsConnectionEndsOrStops() throws Exception {
        start(PATIENT + "links {\n midway 100ms\n}\n", engine.server.getLocalPort(), "\"cancelling\":true", LOAD);
        ScriptedPeers.Client c = client();
        for (boolean ends : new boolean[] {true, false}) {
            c.call(ends ? 1 : 2, request("load", ends ? 1 : 2));
            ScriptedPeers.Engine.Command serve = engine.next("serve");
            serve.raw("*4\r\n$16\r\n" + serve.id() + "\r\n$4\r\nDO");
            if (ends) {
                serve.from().close();
            }
            assertThat(c.answer()).isEqualTo(ScriptedPeers.Kind.FAILED);
        }
        assertThat(engine.commands).noneMatch(x -> x.words().get(0).equals("serve"));
    }

    /** An engine that says nothing: the client has its one answer before its time, and what comes later is dropped. */
    @Test
    void aShortDeadlineIsKeptAndALateAnswerIsDropped() throws Exception {
        start(PATIENT, engine.server.getLocalPort(), "\"cancelling\":true", LOAD);
        ScriptedPeers.Client c = client();
        Map<String, String> brief = request("load", 1);
        brief.put("limit", "1000");
        c.call(1, brief);
        ScriptedPeers.Engine.Command late = engine.next("serve");
        assertThat(c.answer()).isEqualTo(ScriptedPeers.Kind.FAILED);
        done(late);
        c.call(2, request("load", 2));
        ScriptedPeers.Engine.Command next = engine.next("serve");
        next.answer(next.id(), "DONE", "count=1", "next\ta\tb\n");
        assertThat(new String(c.frame(), StandardCharsets.ISO_8859_1)).contains("next\ta\tb\n");
    }
}
