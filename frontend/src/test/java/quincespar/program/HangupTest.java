package quincespar.program;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import quincespar.settings.Settings;

/** SIGHUP at the moments at which it is least expected: before the program is ready, and after the word to stop. */
@Timeout(60)
class HangupTest {
    @TempDir
    private Path folder;
    private Peers.Engine engine;
    private Peers.Changes changes;
    private int port;
    private FrontEnd frontEnd;

    private void write(String... classes) throws IOException {
        Files.writeString(folder.resolve("config.json"), Peers.configuration(port, changes, engine, classes));
    }

    @BeforeEach
    void peers() throws IOException {
        engine = new Peers.Engine();
        changes = new Peers.Changes();
        port = Peers.freePort();
        write(Peers.LOAD);
        frontEnd = new FrontEnd(Map.of("GW_CONFIG", folder.resolve("config.json").toString()), Settings.defaults(),
                Logs.start(Settings.defaults()));
    }

    private void isServed(Peers.Client c, int call, String verb, String txn) throws Exception {
        c.call(call, Peers.fields(verb, txn));
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
        write(Peers.LOAD, Peers.LOOKUP);
        frontEnd.hangup();
        CompletableFuture<Void> running = Peers.beside(frontEnd::run);
        Peers.untilHealthy(port);
        try (Peers.Client c = new Peers.Client(port)) {
            untilTaken(c);
            isServed(c, 1, "lookup", "00000000000000aa");
        }
        Peers.beside(frontEnd::leave).join();
        running.join();
    }

    /** What is still taken after the word to stop goes by the new file; what is open by the old one. */
    @Test
    void aSignalAfterTheWordToStopStillBinds() throws Exception {
        CompletableFuture<Void> running = Peers.beside(frontEnd::run);
        Peers.untilHealthy(port);
        try (Peers.Client c = new Peers.Client(port); Peers.Client open = new Peers.Client(port)) {
            open.call(1, Peers.fields("load", "00000000000000bb"));
            Peers.Engine.Command out = engine.next("serve"); // open: the program can't end before it is answered
            CompletableFuture<Void> leaving = Peers.beside(frontEnd::leave);
            while (c.healthy()) {
                Peers.goOnWaiting();
            }
            write(Peers.LOOKUP);
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
