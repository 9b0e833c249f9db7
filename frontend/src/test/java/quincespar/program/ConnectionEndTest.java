package quincespar.program;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.ByteBuffer;
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
 * Requests that are open when a connection, an engine or the process ends, on real connections. In each test the scripted peers
 * force the critical order of events. The cases are listed in docs/design/endings.md.
 */
@Timeout(60)
class ConnectionEndTest {
    private static final String LOAD = "{\"name\":\"load\",\"slo\":2000,\"hardLimit\":30000,\"effect\":\"unsafe\"}";
    private static final String LOOKUP = "{\"name\":\"lookup\",\"slo\":2000,\"hardLimit\":30000,\"effect\":\"safe\"}";
    /** Client connections that are closed at shutdown only. */
    private static final String NO_IDLE_TIMEOUT = "clients {\n idle 3600s\n first-word 3600s\n}\n";

    private static final int LOOKUPS = 20;

    @TempDir
    private Path folder;
    private final List<AutoCloseable> peers = new ArrayList<>();
    private ScriptedPeers.Engine engine;
    private ScriptedPeers.ChangeLog changes;
    private int port;
    /** Further settings, each followed by a comma. */
    private String furtherSettings = "";
    private FrontEnd frontEnd;
    private CompletableFuture<Void> running;

    @BeforeEach
    void createPeers() throws IOException {
        engine = new ScriptedPeers.Engine();
        changes = new ScriptedPeers.ChangeLog();
        port = ScriptedPeers.freePort();
    }

    @AfterEach
    void shutDown() throws Exception {
        for (AutoCloseable p : peers) {
            p.close();
        }
        ScriptedPeers.runAsync(frontEnd::shutDown).join();
        running.join();
    }

    /** Starts a front end with one engine. */
    private void start(String conf, int engineAt, String limits, String... classes) throws Exception {
        Path file = configure(engineAt, limits, classes);
        frontEnd = new FrontEnd(Map.of("GW_CONFIG", file.toString()), ConfReader.read("f", conf),
                Logs.start(ConfReader.read("f", conf)));
        running = ScriptedPeers.runAsync(frontEnd::run);
        ScriptedPeers.awaitHealthy(port);
    }

    /** Writes the configuration. */
    private Path configure(int engineAt, String limits, String... classes) throws IOException {
        return Files.writeString(folder.resolve("config.json"), """
            {"name":"n1","listen":"127.0.0.1:%d","seed":"1","limits":{"sockets":64},"changelog":"127.0.0.1:%d",
             "known":{"seq":1,"results":[{"seq":1,"fleet":{"revision":1,"complete":true,"members":[%s]}}]},
             "settings":{"tick":5,"limits":{%s,"maxAttempts":3,"maxStreams":100,"connIdle":1000},%s
             "projects":[{"name":"acme","quotaPerS":50,"share":1}],"requestClasses":[%s]}}
            """.formatted(port, changes.server.getLocalPort(), member("s-1", "up", engineAt), limits, furtherSettings,
                String.join(",", classes)));
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

    private ScriptedPeers.UnconnectableEngine unconnectable() throws IOException {
        ScriptedPeers.UnconnectableEngine held = new ScriptedPeers.UnconnectableEngine();
        peers.add(held);
        return held;
    }

    /** A client whose load waits for the connection to the only engine. */
    private ScriptedPeers.Client clientWaitingFor(ScriptedPeers.UnconnectableEngine held, boolean cancels) throws Exception {
        start(NO_IDLE_TIMEOUT, held.server.getLocalPort(), "\"cancelling\":" + cancels + ",\"connectTimeout\":30000", LOAD);
        ScriptedPeers.Client c = client();
        c.call(1, request("load", 1));
        awaitCounter(c, "engines.connected", "1");
        return c;
    }

    private static void awaitCounter(ScriptedPeers.Client watch, String counter, String value) throws IOException {
        while (!value.equals(watch.counters().get(counter))) {
            ScriptedPeers.spin();
        }
    }

    private static void answerDone(ScriptedPeers.Engine.Command c) {
        c.answer(c.id(), "DONE", "count=1", "row\ta\tb\n");
    }

    /** An idle client must not be kept connected until the engine has answered another one. */
    @Test
    void shutdownClosesIdleConnectionsWhileARequestIsOpenOnAnother() throws Exception {
        start(NO_IDLE_TIMEOUT, engine.server.getLocalPort(), "\"cancelling\":true", LOAD);
        ScriptedPeers.Client waits = client();
        ScriptedPeers.Client rests = client();
        assertThat(rests.healthy()).isTrue();
        waits.call(1, request("load", 1));
        ScriptedPeers.Engine.Command out = engine.next("serve");
        CompletableFuture<Void> leaving = ScriptedPeers.runAsync(frontEnd::shutDown);
        assertThat(rests.awaitEnd()).isTrue();
        assertThat(leaving).isNotDone();
        answerDone(out);
        assertThat(waits.answer()).isEqualTo(ScriptedPeers.Kind.SERVED);
        assertThat(waits.awaitEnd()).isTrue();
        leaving.join();
    }

    /** Sent to an engine, it might be unanswered at SIGKILL and lost. It is refused instead, which is true as it never ran. */
    @Test
    void aRequestReceivedAfterTheStopOnABusyConnectionIsRefusedAndNotSent() throws Exception {
        start(NO_IDLE_TIMEOUT, engine.server.getLocalPort(), "\"cancelling\":true", LOAD);
        ScriptedPeers.Client waits = client();
        ScriptedPeers.Client rests = client();
        assertThat(rests.healthy()).isTrue();
        waits.call(1, request("load", 1));
        ScriptedPeers.Engine.Command out = engine.next("serve");
        CompletableFuture<Void> leaving = ScriptedPeers.runAsync(frontEnd::shutDown);
        assertThat(rests.awaitEnd()).isTrue();
        waits.call(2, request("load", 2));
        assertThat(waits.answer()).isEqualTo(ScriptedPeers.Kind.REFUSED);
        answerDone(out);
        assertThat(waits.answer()).isEqualTo(ScriptedPeers.Kind.SERVED);
        leaving.join();
        assertThat(engine.commands).noneMatch(c -> c.words().get(0).equals("serve"));
    }

    /** Its last byte arrives after the stop: the request is read and answered, and the connection is not closed before. */
    @Test
    void aPartialRequestAtTheStopIsReadCompletelyAndAnswered() throws Exception {
        start(NO_IDLE_TIMEOUT, engine.server.getLocalPort(), "\"cancelling\":true", LOAD);
        ScriptedPeers.Client slow = client();
        ScriptedPeers.Client rests = client();
        assertThat(rests.healthy()).isTrue();
        byte[] half = partialRequestAfterAServedOne(slow);
        CompletableFuture<Void> leaving = ScriptedPeers.runAsync(frontEnd::shutDown);
        assertThat(rests.awaitEnd()).isTrue();
        slow.raw(half);
        assertThat(slow.answer()).isEqualTo(ScriptedPeers.Kind.REFUSED);
        assertThat(slow.awaitEnd()).isTrue();
        leaving.join();
    }

    /** Writes a request and the first part of a second one at once, and has the first served; returns the rest of the second. */
    private byte[] partialRequestAfterAServedOne(ScriptedPeers.Client c) throws Exception {
        byte[] first = frame(1, request("load", 1));
        byte[] second = frame(2, request("load", 2));
        byte[] both = Arrays.copyOf(first, first.length + 9);
        System.arraycopy(second, 0, both, first.length, 9);
        c.raw(both);
        answerDone(engine.next("serve"));
        assertThat(c.answer()).isEqualTo(ScriptedPeers.Kind.SERVED);
        return Arrays.copyOfRange(second, 9, second.length);
    }

    /** The other connection is closed as idle although it was used later, so this one's idle timeout has passed too. */
    @Test
    void aConnectionWithAPartialRequestIsNotClosedAsIdle() throws Exception {
        start("clients {\n idle 100ms\n first-word 3600s\n}\n", engine.server.getLocalPort(), "\"cancelling\":true", LOAD);
        ScriptedPeers.Client slow = client();
        byte[] half = partialRequestAfterAServedOne(slow);
        ScriptedPeers.Client later = client();
        later.call(1, request("load", 3));
        answerDone(engine.next("serve"));
        assertThat(later.answer()).isEqualTo(ScriptedPeers.Kind.SERVED);
        assertThat(later.awaitEnd()).isTrue();
        slow.raw(half);
        answerDone(engine.next("serve"));
        assertThat(slow.answer()).isEqualTo(ScriptedPeers.Kind.SERVED);
    }

    /** A message that can't be used, and the sequence number of the exception that answers it. */
    private record InvalidMessage(String name, byte[] bytes, int answeredSeqid) { }

    /** Messages with the sequence number 2, each invalid in another way, whose ends can be told. */
    private static List<InvalidMessage> invalidMessages() {
        List<InvalidMessage> out = new ArrayList<>();
        Map.of("verb", "odd", "team", "odd", "txn", "short", "limit", "-1", "cpu", "much", "heap_mb", "", "second", "2",
                "unique", "a,b").forEach((field, value) -> {
                    Map<String, String> fields = request("lookup", 99);
                    fields.put(field, value);
                    out.add(new InvalidMessage("field " + field, frame(2, fields), 2));
                });
        Map<String, String> valid = request("lookup", 99);
        out.add(new InvalidMessage("no fields", frame(2, Map.of()), 2));
        out.add(new InvalidMessage("no statement", FrontCodec.call(2, valid, new byte[0]), 2));
        out.add(new InvalidMessage("no text", FrontCodec.call(2, valid, new byte[] {-1}), 2));
        out.add(new InvalidMessage("just over the limit", FrontCodec.call(2, valid, new byte[70_000]), 2));
        out.add(new InvalidMessage("far over the limit", FrontCodec.call(2, valid, new byte[3 << 20]), 2));
        out.add(new InvalidMessage("number used before", frame(1, valid), 0));
        out.add(new InvalidMessage("another protocol", new byte[] {0, 0, 0, 4, 1, 2, 3, 4}, 0));
        out.add(new InvalidMessage("empty", new byte[4], 0));
        byte[] unknownMethod = FrontCodec.healthCall(2);
        unknownMethod[12] = 'w';
        out.add(new InvalidMessage("unknown method", unknownMethod, 2));
        byte[] reply = frame(2, valid);
        reply[7] = 2;
        out.add(new InvalidMessage("a reply", reply, 2));
        byte[] cut = Arrays.copyOfRange(frame(2, valid), 0, 60);
        System.arraycopy(ByteBuffer.allocate(4).putInt(cut.length - 4).array(), 0, cut, 0, 4);
        out.add(new InvalidMessage("cut arguments", cut, 2));
        return out;
    }

    private static byte[] concat(byte[] first, byte[] second) {
        byte[] both = Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, both, first.length, second.length);
        return both;
    }

    private void assertServed(ScriptedPeers.Client c, int seqid, String verb, int number) throws Exception {
        c.call(seqid, request(verb, number));
        answerDone(engine.next("serve"));
        assertThat(c.answer()).isEqualTo(ScriptedPeers.Kind.SERVED);
    }

    /** Guards against requests that get no answer because another one on their connection is invalid. */
    @Test
    void anInvalidMessageSilencesNoOtherRequestOnItsConnection() throws Exception {
        start(NO_IDLE_TIMEOUT, engine.server.getLocalPort(), "\"cancelling\":true", LOAD, LOOKUP);
        int number = 0;
        for (InvalidMessage invalid : invalidMessages()) {
            ScriptedPeers.Client c = client();
            c.call(1, request("load", ++number));
            ScriptedPeers.Engine.Command open = engine.next("serve");
            c.raw(concat(invalid.bytes(), frame(3, request("lookup", ++number))));
            assertThat(ScriptedPeers.exceptionSeqid(c.frame())).as(invalid.name()).isEqualTo(invalid.answeredSeqid());
            answerDone(engine.next("serve"));
            assertThat(c.answer()).as("beside " + invalid.name()).isEqualTo(ScriptedPeers.Kind.SERVED);
            assertServed(c, 4, "lookup", ++number);
            answerDone(open);
            assertThat(c.answer()).isEqualTo(ScriptedPeers.Kind.SERVED);
            assertThat(c.healthy()).isTrue();
            c.close();
        }
    }

    /** Guards against the same where the connection has nothing open: a request that has been sent meanwhile would be lost. */
    @Test
    void aConnectionGoesOnAfterAnInvalidMessageThoughNothingIsOpen() throws Exception {
        start(NO_IDLE_TIMEOUT, engine.server.getLocalPort(), "\"cancelling\":true", LOOKUP);
        ScriptedPeers.Client c = client();
        for (int seqid = 1; seqid < 200; seqid += 2) {
            c.call(seqid, Map.of("verb", "odd"));
            assertThat(ScriptedPeers.exceptionSeqid(c.frame())).isEqualTo(seqid);
            assertServed(c, seqid + 1, "lookup", seqid);
        }
    }

    /** Clients may still name a class that a new configuration has dropped. */
    @Test
    void aRequestOfADroppedClassSilencesNoOtherOnItsConnection() throws Exception {
        start(NO_IDLE_TIMEOUT, engine.server.getLocalPort(), "\"cancelling\":true", LOOKUP, LOAD);
        ScriptedPeers.Client c = client();
        ScriptedPeers.Client watch = client();
        c.call(1, request("load", 1));
        ScriptedPeers.Engine.Command open = engine.next("serve");
        c.call(2, request("lookup", 2));
        ScriptedPeers.Engine.Command openOfDropped = engine.next("serve");
        String taken = Integer.toString(Integer.parseInt(watch.counters().get("configurations.taken")) + 1);
        configure(engine.server.getLocalPort(), "\"cancelling\":true", LOAD);
        frontEnd.requestReload();
        awaitCounter(watch, "configurations.taken", taken);
        c.call(3, request("lookup", 3));
        assertThat(ScriptedPeers.exceptionSeqid(c.frame())).isEqualTo(3);
        assertServed(c, 4, "load", 4);
        c.call(5, request("load", 5));
        String cancelled = engine.next("serve").id();
        c.raw(ScriptedPeers.cancel(5));
        assertThat(engine.next("cancel").id()).isEqualTo(cancelled);
        answerDone(openOfDropped);
        assertThat(c.answer()).isEqualTo(ScriptedPeers.Kind.SERVED);
        answerDone(open);
        assertThat(c.answer()).isEqualTo(ScriptedPeers.Kind.SERVED);
    }

    /** Frames that leave open where the next one begins; the second is longer than its client can have written at once. */
    private static List<byte[]> lostMessageBoundaries() {
        byte[] huge = FrontCodec.call(2, request("lookup", 99), new byte[1000]);
        huge[0] = 0x7f;
        return List.of(new byte[] {-1, -1, -1, -1}, huge);
    }

    /** Requests received before that are still answered, and then the connection ends. */
    @Test
    void aLostMessageBoundaryClosesTheConnectionOnceItsOpenRequestsAreAnswered() throws Exception {
        start(NO_IDLE_TIMEOUT, engine.server.getLocalPort(), "\"cancelling\":true", LOAD);
        int number = 0;
        for (byte[] lost : lostMessageBoundaries()) {
            ScriptedPeers.Client c = client();
            c.call(1, request("load", ++number));
            ScriptedPeers.Engine.Command out = engine.next("serve");
            c.raw(lost);
            assertThat(c.answer()).isEqualTo(ScriptedPeers.Kind.EXCEPTION);
            answerDone(out);
            assertThat(c.answer()).isEqualTo(ScriptedPeers.Kind.SERVED);
            assertThat(c.awaitEnd()).isTrue();
        }
    }

    /** Which of two engines' connections delivers first is open, so the key rests from the cancel on. */
    @Test
    void theNextLoadOfAKeyFollowsACancelledOneAfterTheSettlePeriod() throws Exception {
        furtherSettings = "\"rules\":{\"settleAfterDoubt\":300},";
        start(NO_IDLE_TIMEOUT, engine.server.getLocalPort(), "\"cancelling\":true",
                LOAD.replace("\"unsafe\"", "\"unsafe\",\"keepOrder\":true"));
        ScriptedPeers.Client leaves = client();
        ScriptedPeers.Client stays = client();
        Map<String, String> first = request("load", 1);
        Map<String, String> second = request("load", 2);
        first.put("item", "7f3a9c21e0b4d655");
        second.put("item", "7f3a9c21e0b4d655");
        leaves.call(1, first);
        assertThat(engine.next("serve").id()).isEqualTo(first.get("txn"));
        stays.call(1, second);
        awaitCounter(stays, "requests.open", "2");
        leaves.close();
        ScriptedPeers.Engine.Command cancel = engine.next("cancel");
        ScriptedPeers.Engine.Command next = engine.next("serve");
        assertThat(next.id()).isEqualTo(second.get("txn"));
        assertThat(next.receivedAtNanos() - cancel.receivedAtNanos()).isGreaterThan(TimeUnit.MILLISECONDS.toNanos(300));
        answerDone(next);
        assertThat(stays.answer()).isEqualTo(ScriptedPeers.Kind.SERVED);
    }

    /** Only its class needs the key, and only that request is rejected. */
    @Test
    void aRequestWithoutAUsableOrderingKeyIsRejectedAndTheOpenOneIsServed() throws Exception {
        start(NO_IDLE_TIMEOUT, engine.server.getLocalPort(), "\"cancelling\":true",
                LOAD.replace("\"unsafe\"", "\"unsafe\",\"keepOrder\":true"), LOOKUP);
        for (String key : List.of("", "a".repeat(257), "a\nb", "a\u0085")) {
            ScriptedPeers.Client c = client();
            c.call(1, request("lookup", 1));
            ScriptedPeers.Engine.Command out = engine.next("serve");
            Map<String, String> load = request("load", 2);
            load.put("item", key);
            c.call(2, load);
            assertThat(c.answer()).as("key '" + key + "'").isEqualTo(ScriptedPeers.Kind.EXCEPTION);
            answerDone(out);
            assertThat(c.answer()).isEqualTo(ScriptedPeers.Kind.SERVED);
            assertServed(c, 3, "lookup", 3);
            c.close();
        }
    }

    /** However much it sends, its open requests are answered, or cancelled if it leaves; other clients are served meanwhile. */
    @Test
    void aClientThatSendsOnAfterALostMessageBoundaryKeepsItsOpenRequests() throws Exception {
        start(NO_IDLE_TIMEOUT, engine.server.getLocalPort(), "\"cancelling\":true", LOAD);
        ScriptedPeers.Client other = client();
        int discarded = 0;
        for (boolean leaves : new boolean[] {false, true}) {
            ScriptedPeers.Client c = client();
            c.call(1, request("load", leaves ? 3 : 1));
            ScriptedPeers.Engine.Command out = engine.next("serve");
            c.raw(new byte[] {-1, -1, -1, -1});
            assertThat(c.answer()).isEqualTo(ScriptedPeers.Kind.EXCEPTION);
            c.raw(new byte[1 << 20]);
            assertServed(other, leaves ? 2 : 1, "load", leaves ? 4 : 2);
            discarded += 1 << 20;
            awaitCounter(other, "callers.discarded.bytes", Integer.toString(discarded));
            if (leaves) {
                c.close();
                assertThat(engine.next("cancel").id()).isEqualTo(out.id());
            } else {
                answerDone(out);
                assertThat(c.answer()).isEqualTo(ScriptedPeers.Kind.SERVED);
                assertThat(c.awaitEnd()).isTrue();
            }
        }
    }

    /** No client waits for it any more, whether or not the site allows cancelling attempts. */
    @Test
    void aRequestWaitingForAConnectionIsNotSentOnceItsClientHasLeft() throws Exception {
        ScriptedPeers.UnconnectableEngine held = unconnectable();
        ScriptedPeers.Client leaves = clientWaitingFor(held, false);
        ScriptedPeers.Client watch = client();
        leaves.close();
        awaitCounter(watch, "requests.open", "0");
        held.release();
        awaitDisconnectedWithoutRequests(watch, held);
    }

    /** Engines deduplicate retries within the window only, so a connection that is established later must not carry one. */
    @Test
    void aRetryThatWaitsForAConnectionBeyondItsWindowIsNotSent() throws Exception {
        ScriptedPeers.UnconnectableEngine held = unconnectable();
        long windowMs = 2000;
        start(NO_IDLE_TIMEOUT, engine.server.getLocalPort(), "\"cancelling\":true,\"connectTimeout\":30000",
                LOAD.replace("\"unsafe\"", "\"keyed\",\"keyScope\":\"all\",\"repeatWindow\":" + windowMs));
        ScriptedPeers.Client watch = client();
        ScriptedPeers.Client c = client();
        long from = System.nanoTime();
        c.call(1, request("load", 1));
        ScriptedPeers.Engine.Command first = engine.next("serve");
        changes.answers.add(changes(2, member("s-1", "draining", engine.server.getLocalPort()),
                member("s-2", "up", held.server.getLocalPort())));
        awaitCounter(watch, "held.engines", "2");
        first.answer(first.id(), "BROKE", "-", "");
        awaitCounter(watch, "engines.connected", "2"); // the retry waits for its connection
        while (System.nanoTime() - from < TimeUnit.MILLISECONDS.toNanos(windowMs + 100)) {
            ScriptedPeers.spin();
        }
        held.release();
        awaitDisconnectedWithoutRequests(watch, held);
        assertThat(c.answer()).isEqualTo(ScriptedPeers.Kind.REFUSED); // by the deduplication scope a retry is harmless
    }

    /** Waits until the front end has no engine connection any more, and checks that none carried a request to this engine. */
    private static void awaitDisconnectedWithoutRequests(ScriptedPeers.Client watch,
            ScriptedPeers.UnconnectableEngine held) throws IOException {
        while (!watch.counters().get("engines.connected").equals("0")) {
            assertThat(held.received()).doesNotContain("serve");
        }
        assertThat(held.received()).doesNotContain("serve");
    }

    private static String changes(int seq, String... members) {
        return "{\"seq\":%d,\"results\":[{\"seq\":%d,\"fleet\":{\"revision\":%d,\"complete\":false,\"members\":[%s]}}]}"
                .formatted(seq, seq, seq, String.join(",", members));
    }

    /** Engines recognize a retry by the client's idempotency key: without it each attempt would run as a new request. */
    @Test
    void aRetryCarriesTheIdempotencyKeyOfItsRequest() throws Exception {
        start(NO_IDLE_TIMEOUT, engine.server.getLocalPort(), "\"cancelling\":true",
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
        answerDone(again);
        assertThat(c.answer()).isEqualTo(ScriptedPeers.Kind.SERVED);
        request.put("unique", "a,budget=1"); // would be parsed as another field
        c.call(2, request);
        assertThat(c.answer()).isEqualTo(ScriptedPeers.Kind.EXCEPTION);
    }

    /** The only class has the highest index, so its requests go first where engines know priorities. */
    @Test
    void anAttemptCarriesThePriorityThatTheModuleSets() throws Exception {
        furtherSettings = "\"extra\":{\"lanesCount\":true},";
        start(NO_IDLE_TIMEOUT, engine.server.getLocalPort(), "\"cancelling\":true", LOOKUP);
        ScriptedPeers.Client c = client();
        c.call(1, request("lookup", 1));
        ScriptedPeers.Engine.Command first = engine.next("serve");
        assertThat(first.words().get(2)).matches("queue=lookup,budget=\\d+,order=3");
        first.answer(first.id(), "BROKE", "-", "");
        ScriptedPeers.Engine.Command again = engine.next("serve");
        assertThat(again.words().get(2)).matches("queue=lookup,budget=\\d+,order=3");
        answerDone(again);
        assertThat(c.answer()).isEqualTo(ScriptedPeers.Kind.SERVED);
    }

    /** The drain is reported after the engine was chosen and before the first byte was written. */
    @Test
    void aRequestWaitingForAConnectionToADrainingEngineIsSentToAnother() throws Exception {
        ScriptedPeers.UnconnectableEngine held = unconnectable();
        ScriptedPeers.Client c = clientWaitingFor(held, true);
        ScriptedPeers.Client watch = client();
        changes.answers.add(changes(2, member("s-1", "draining", held.server.getLocalPort()),
                member("s-2", "up", engine.server.getLocalPort())));
        answerDone(engine.next("serve"));
        assertThat(c.answer()).isEqualTo(ScriptedPeers.Kind.SERVED);
        held.release();
        awaitDisconnectedWithoutRequests(watch, held);
    }

    /** An engine may send its final message twice: the second one must not end the next attempt, which is still running. */
    @Test
    void aRepeatedFinalMessageDoesNotEndTheNextAttempt() throws Exception {
        start(NO_IDLE_TIMEOUT, engine.server.getLocalPort(), "\"cancelling\":true", LOAD);
        ScriptedPeers.Client c = client();
        c.call(1, request("load", 1));
        ScriptedPeers.Engine.Command first = engine.next("serve");
        first.answer(first.id(), "WAIT", "-", "");
        ScriptedPeers.Engine.Command second = engine.next("serve");
        first.answer(first.id(), "WAIT", "-", "");
        ScriptedPeers.Client other = client();
        other.call(1, request("load", 2)); // shares the first one's connection, so its answer follows that message
        ScriptedPeers.Engine.Command behind = engine.next("serve");
        assertThat(behind.id()).as("nothing is sent twice").isNotEqualTo(first.id());
        first.answer(behind.id(), "BROKE", "-", "");
        assertThat(other.answer()).isNotEqualTo(ScriptedPeers.Kind.SERVED);
        answerDone(second);
        assertThat(c.answer()).isEqualTo(ScriptedPeers.Kind.SERVED);
        assertThat(engine.commands).noneMatch(x -> x.words().get(0).equals("serve"));
    }

    /** The load may have run, so it is not sent again, and the client is not told that a retry is harmless. */
    @Test
    void aLoadWhoseConnectionIsLostIsFailedAndNotSentAgain() throws Exception {
        start(NO_IDLE_TIMEOUT, engine.server.getLocalPort(), "\"cancelling\":true", LOAD);
        ScriptedPeers.Client c = client();
        c.call(1, request("load", 1));
        engine.next("serve").from().close();
        assertThat(c.answer()).isEqualTo(ScriptedPeers.Kind.FAILED);
        c.call(2, request("load", 2));
        ScriptedPeers.Engine.Command next = engine.next("serve");
        assertThat(next.id()).isEqualTo(request("load", 2).get("txn"));
        answerDone(next);
        assertThat(c.answer()).isEqualTo(ScriptedPeers.Kind.SERVED);
    }

    @Test
    void allOpenRequestsOfAClientAreCancelledWhenItDisconnects() throws Exception {
        start(NO_IDLE_TIMEOUT, engine.server.getLocalPort(), "\"cancelling\":true", LOOKUP);
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

    /** A poll of the change log that is never answered is replaced, and the next one reports the events it missed. */
    @Test
    void anUnansweredPollIsReplacedAndTheDrainIsLearned() throws Exception {
        ScriptedPeers.Engine old = new ScriptedPeers.Engine();
        start(NO_IDLE_TIMEOUT + "change-log {\n wait 200ms\n slack 100ms\n}\n", old.server.getLocalPort(),
                "\"cancelling\":true", LOAD);
        ScriptedPeers.Client c = client();
        assertThat(changes.polls.take()).startsWith("GET /changes?since=1&");
        assertThat(changes.polls.take()).startsWith("GET /changes?since=1&"); // the first is never answered
        String drain = changes(2, member("s-1", "draining", old.server.getLocalPort()),
                member("s-2", "up", engine.server.getLocalPort()));
        for (int i = 0; i < 3; i++) {
            changes.answers.add(drain); // the abandoned polls are answered too, when nobody reads them any more
        }
        assertNewWorkGoesToTheNewEngine(c, old);
    }

    /** Guards against a change log that is never heard because each of its answers comes later than a poll is waited for. */
    @Test
    void aDrainIsLearnedThoughEachAnswerOfTheChangeLogComesLate() throws Exception {
        ScriptedPeers.Engine old = new ScriptedPeers.Engine();
        start(NO_IDLE_TIMEOUT + "change-log {\n wait 200ms\n slack 100ms\n}\n", old.server.getLocalPort(),
                "\"cancelling\":true", LOAD);
        ScriptedPeers.Client c = client();
        changes.answerDelayMs = 900; // three times what a poll is waited for
        String drain = changes(2, member("s-1", "draining", old.server.getLocalPort()),
                member("s-2", "up", engine.server.getLocalPort()));
        for (int i = 0; i < 50; i++) { // for each poll
            changes.answers.add(drain);
        }
        assertNewWorkGoesToTheNewEngine(c, old);
    }

    private void assertNewWorkGoesToTheNewEngine(ScriptedPeers.Client c, ScriptedPeers.Engine old) throws Exception {
        awaitCounter(c, "held.engines", "2");
        c.call(1, request("load", 1));
        answerDone(engine.next("serve"));
        assertThat(c.answer()).isEqualTo(ScriptedPeers.Kind.SERVED);
        assertThat(old.commands).noneMatch(x -> x.words().get(0).equals("serve"));
    }

    /** Nothing ran on a refused connection: the client is told that a retry is harmless, even for a load. */
    @Test
    void aLoadWithOnlyRefusedConnectionsIsRefusedAndNotFailed() throws Exception {
        start(NO_IDLE_TIMEOUT, ScriptedPeers.freePort(), "\"cancelling\":true", LOAD);
        ScriptedPeers.Client c = client();
        c.call(1, request("load", 1));
        assertThat(c.answer()).isEqualTo(ScriptedPeers.Kind.REFUSED);
    }

    /** The old engine's connection is not used for the new one, and its open request is answered on it. */
    @Test
    void aNewEngineAtTheAddressOfARemovedOneGetsANewConnection() throws Exception {
        start(NO_IDLE_TIMEOUT, engine.server.getLocalPort(), "\"cancelling\":true", LOAD);
        ScriptedPeers.Client watch = client();
        ScriptedPeers.Client c = client();
        c.call(1, request("load", 1));
        ScriptedPeers.Engine.Command old = engine.next("serve");
        changes.answers.add(changes(2, member("s-1", "removed", engine.server.getLocalPort()),
                member("s-2", "up", engine.server.getLocalPort())));
        awaitCounter(watch, "held.engines", "2"); // the old one is kept for its open request
        c.call(2, request("load", 2));
        ScriptedPeers.Engine.Command next = engine.next("serve");
        assertThat(next.from()).isNotSameAs(old.from());
        answerDone(next);
        assertThat(c.answer()).isEqualTo(ScriptedPeers.Kind.SERVED);
        answerDone(old);
        assertThat(c.answer()).isEqualTo(ScriptedPeers.Kind.SERVED);
    }

    /** Guards against work for an engine that has gone on a new connection to the engine that has its address now. */
    @Test
    void anEngineWhoseAddressANewOneHasGetsNoWorkThoughItsEndIsNotReported() throws Exception {
        start(NO_IDLE_TIMEOUT, engine.server.getLocalPort(), "\"cancelling\":true", LOOKUP);
        ScriptedPeers.Client watch = client();
        ScriptedPeers.Client c = client();
        changes.answers.add(changes(2, member("s-2", "up", engine.server.getLocalPort())));
        awaitCounter(watch, "held.engines", "2");
        for (int call = 1; call <= LOOKUPS; call += 2) {
            c.call(call, request("lookup", call));
            c.call(call + 1, request("lookup", call + 1)); // two at once, so that each engine that takes work gets one
            for (int answer = 0; answer < 2; answer++) {
                answerDone(engine.next("serve"));
                assertThat(c.answer()).isEqualTo(ScriptedPeers.Kind.SERVED);
            }
        }
        assertThat(frontEnd.engineCounters()).containsEntry("s-2.sent", (long) LOOKUPS).doesNotContainKey("s-1.sent");
    }

    /** An engine missing from a complete list is gone, as if its removal had been reported. */
    @Test
    void aRequestWaitingForAnEngineMissingFromACompleteListIsSentToAnother() throws Exception {
        ScriptedPeers.UnconnectableEngine held = unconnectable();
        ScriptedPeers.Client c = clientWaitingFor(held, true);
        ScriptedPeers.Client watch = client();
        changes.answers.add(changes(2, member("s-2", "up", engine.server.getLocalPort())).replace("\"complete\":false",
                "\"complete\":true"));
        answerDone(engine.next("serve"));
        assertThat(c.answer()).isEqualTo(ScriptedPeers.Kind.SERVED);
        held.release();
        awaitDisconnectedWithoutRequests(watch, held);
    }

    /** A second answer, or one with an unknown id, is not delivered for this request or the next. */
    @Test
    void superfluousAnswersOfAnEngineReachNoClient() throws Exception {
        start(NO_IDLE_TIMEOUT, engine.server.getLocalPort(), "\"cancelling\":true", LOAD);
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

    /** After a partial answer the load may have run, so it is not sent again. A partial answer that stalls times out. */
    @Test
    void aLoadWithAPartialAnswerIsFailedWhenItsConnectionEndsOrStalls() throws Exception {
        start(NO_IDLE_TIMEOUT + "links {\n midway 100ms\n}\n", engine.server.getLocalPort(), "\"cancelling\":true", LOAD);
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

    /** The engine does not answer in time: the client gets one answer before its deadline, and the later one is dropped. */
    @Test
    void aShortDeadlineIsKeptAndALateAnswerIsDropped() throws Exception {
        start(NO_IDLE_TIMEOUT, engine.server.getLocalPort(), "\"cancelling\":true", LOAD);
        ScriptedPeers.Client c = client();
        Map<String, String> brief = request("load", 1);
        brief.put("limit", "1000");
        c.call(1, brief);
        ScriptedPeers.Engine.Command late = engine.next("serve");
        assertThat(c.answer()).isEqualTo(ScriptedPeers.Kind.FAILED);
        answerDone(late);
        c.call(2, request("load", 2));
        ScriptedPeers.Engine.Command next = engine.next("serve");
        next.answer(next.id(), "DONE", "count=1", "next\ta\tb\n");
        assertThat(new String(c.frame(), StandardCharsets.ISO_8859_1)).contains("next\ta\tb\n");
    }
}
