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

/** SIGHUP at unusual moments: before the program serves, and after the start of the shutdown. */
@Timeout(60)
class ReloadSignalTest {
    @TempDir
    private Path folder;
    private ScriptedPeers.Engine engine;
    private ScriptedPeers.ChangeLog changes;
    private int port;
    private FrontEnd frontEnd;

    private void write(String... classes) throws IOException {
        Files.writeString(folder.resolve("config.json"), ScriptedPeers.configuration(port, changes, engine, classes));
    }

    @BeforeEach
    void createPeers() throws IOException {
        engine = new ScriptedPeers.Engine();
        changes = new ScriptedPeers.ChangeLog();
        port = ScriptedPeers.freePort();
        write(ScriptedPeers.LOAD);
        frontEnd = new FrontEnd(Map.of("GW_CONFIG", folder.resolve("config.json").toString()), Settings.defaults(),
                Logs.start(Settings.defaults()));
    }

    private void checkServed(ScriptedPeers.Client c, int call, String verb, String txn) throws Exception {
        c.call(call, ScriptedPeers.fields(verb, txn));
        engine.next("serve").answer(txn, "DONE", "count=1", verb + "\ta\tb\n");
        assertThat(new String(c.frame(), StandardCharsets.ISO_8859_1)).contains(verb + "\ta\tb\n");
    }

    private static void awaitReloaded(ScriptedPeers.Client c) throws IOException {
        while (!c.counters().get("configurations.taken").equals("1")) {
            ScriptedPeers.spin();
        }
    }

    /** The file has been read by then, so without a reload the old configuration would stay in use forever. */
    @Test
    void aSignalBeforeServingIsHandledOnceItServes() throws Exception {
        write(ScriptedPeers.LOAD, ScriptedPeers.LOOKUP);
        frontEnd.requestReload();
        CompletableFuture<Void> running = ScriptedPeers.runAsync(frontEnd::run);
        ScriptedPeers.awaitHealthy(port);
        try (ScriptedPeers.Client c = new ScriptedPeers.Client(port)) {
            awaitReloaded(c);
            checkServed(c, 1, "lookup", "00000000000000aa");
        }
        ScriptedPeers.runAsync(frontEnd::shutDown).join();
        running.join();
    }

    /** Requests accepted after the start of the shutdown follow the new file, open ones the old file. */
    @Test
    void aSignalDuringTheShutdownIsHandled() throws Exception {
        CompletableFuture<Void> running = ScriptedPeers.runAsync(frontEnd::run);
        ScriptedPeers.awaitHealthy(port);
        try (ScriptedPeers.Client c = new ScriptedPeers.Client(port);
                ScriptedPeers.Client open = new ScriptedPeers.Client(port)) {
            open.call(1, ScriptedPeers.fields("load", "00000000000000bb"));
            ScriptedPeers.Engine.Command out = engine.next("serve"); // the program can't end before this open request is answered
            CompletableFuture<Void> shutdown = ScriptedPeers.runAsync(frontEnd::shutDown);
            while (c.healthy()) {
                ScriptedPeers.spin();
            }
            write(ScriptedPeers.LOOKUP);
            frontEnd.requestReload();
            awaitReloaded(c);
            checkServed(c, 1, "lookup", "00000000000000cc");
            out.answer(out.id(), "DONE", "count=1", "row\ta\tb\n");
            assertThat(new String(open.frame(), StandardCharsets.ISO_8859_1)).contains("row\ta\tb\n");
            shutdown.join();
            running.join();
        }
        frontEnd.requestReload(); // after the end it has no effect and does not fail
    }
}
