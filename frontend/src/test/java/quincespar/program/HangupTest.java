package quincespar.program;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import quincespar.settings.Settings;

/** SIGHUP at the moments at which it is least expected: before the program is ready, and after the word to stop. */
@Timeout(60)
class HangupTest {
    private static final String LOOKUP = "{\"name\":\"lookup\",\"slo\":2000,\"hardLimit\":4000,\"effect\":\"safe\"}";
    private static final String LOAD = LOOKUP.replace("lookup", "load").replace("safe", "unsafe");

    @TempDir
    private Path folder;
    private Peers.Engine engine;
    private Peers.Changes changes;
    private int port;
    private FrontEnd frontEnd;

    private interface Part {
        void run() throws IOException, InterruptedException;
    }

    private static CompletableFuture<Void> beside(Part part) {
        return CompletableFuture.runAsync(() -> {
            try {
                part.run();
            } catch (IOException | InterruptedException e) {
                throw new CompletionException(e);
            }
        }, r -> new Thread(r).start());
    }

    private void write(String... classes) throws IOException {
        Files.writeString(folder.resolve("config.json"), """
            {"name":"n1","listen":"127.0.0.1:%d","seed":"1","limits":{"sockets":64},"changelog":"127.0.0.1:%d",
             "known":{"seq":1,"results":[{"seq":1,"fleet":{"revision":1,"complete":true,
             "members":[{"id":"s-1","host_port":"127.0.0.1:%d","phase":"up","size":4}]}}]},
             "settings":{"tick":5,"limits":{"cancelling":true,"maxAttempts":3,"maxStreams":100},
             "projects":[{"name":"acme","quotaPerS":50,"share":1}],"requestClasses":[%s]}}
            """.formatted(port, changes.server.getLocalPort(), engine.server.getLocalPort(), String.join(",", classes)));
    }

    @BeforeEach
    void peers() throws IOException {
        engine = new Peers.Engine();
        changes = new Peers.Changes();
        port = Peers.freePort();
        write(LOAD);
        frontEnd = new FrontEnd(Map.of("GW_CONFIG", folder.resolve("config.json").toString()), Settings.defaults(),
                Logs.start(Settings.defaults()));
    }

    private static Map<String, String> fields(String verb, String txn) {
        return Map.of("verb", verb, "txn", txn, "limit", "3000", "team", "acme", "cpu", "10.0", "heap_mb", "1");
    }

    private void isServed(Peers.Client c, int call, String verb, String txn) throws Exception {
        c.call(call, fields(verb, txn));
        engine.next("serve").answer(txn, "DONE", "count=1", verb + "\ta\tb\n");
        assertThat(new String(c.frame(), StandardCharsets.ISO_8859_1)).contains(verb + "\ta\tb\n");
    }

    private static void untilTaken(Peers.Client c) throws IOException {
        while (!c.counters().get("configurations.taken").equals("1")) {
            Peers.goOnWaiting();
        }
    }

    /** It was read before, so without a second look the old file would be in force for good. */
    @Test
    void aSignalBeforeItServesIsHeardOnceItDoes() throws Exception {
        write(LOAD, LOOKUP);
        frontEnd.hangup();
        CompletableFuture<Void> running = beside(frontEnd::run);
        Peers.untilHealthy(port);
        try (Peers.Client c = new Peers.Client(port)) {
            untilTaken(c);
            isServed(c, 1, "lookup", "00000000000000aa");
        }
        beside(frontEnd::leave).join();
        running.join();
    }

    /** What is still taken after the word to stop goes by the new file; what is open by the old one. */
    @Test
    void aSignalAfterTheWordToStopStillBinds() throws Exception {
        CompletableFuture<Void> running = beside(frontEnd::run);
        Peers.untilHealthy(port);
        try (Peers.Client c = new Peers.Client(port); Peers.Client open = new Peers.Client(port)) {
            open.call(1, fields("load", "00000000000000bb"));
            Peers.Engine.Command out = engine.next("serve"); // open: the program can't end before it is answered
            CompletableFuture<Void> leaving = beside(frontEnd::leave);
            while (c.healthy()) {
                Peers.goOnWaiting();
            }
            write(LOOKUP);
            frontEnd.hangup();
            untilTaken(c);
            isServed(c, 1, "lookup", "00000000000000cc");
            out.answer(out.id(), "DONE", "count=1", "row\ta\tb\n");
            assertThat(new String(open.frame(), StandardCharsets.ISO_8859_1)).contains("row\ta\tb\n");
            leaving.join();
            running.join();
        }
        frontEnd.hangup(); // after the end nobody hears it, and nothing fails
    }
}
