package quincespar.program;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;

/** Tests of the jar, as a process with the heap of the deploy file and a stand-in engine, under clients that flood it. */
abstract class FloodedFrontEnd {
    private final AtomicBoolean over = new AtomicBoolean();
    private final List<CompletableFuture<Void>> floods = new ArrayList<>();
    @TempDir
    private Path folder;
    private Process process;

    @AfterEach
    final void stop() throws InterruptedException {
        over.set(true);
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
    }

    /** Starts the program with an engine that answers lookups only; returns its port. */
    final int start() throws Exception {
        return start("");
    }

    /** As {@link #start()}, after the shell commands {@code first}. */
    final int start(String first) throws Exception {
        ScriptedPeers.Engine engine = new ScriptedPeers.Engine();
        int port = ScriptedPeers.freePort();
        int admin = ScriptedPeers.freePort();
        Path file = Files.writeString(folder.resolve("config.json"), ScriptedPeers.configuration(port,
                new ScriptedPeers.ChangeLog(), engine, ScriptedPeers.LOOKUP, ScriptedPeers.LOAD)
                .replace("\"sockets\":64", "\"sockets\":4096,\"memory_mb\":192"));
        process = ScriptedPeers.startProcess(first, file, admin, Files.createDirectory(folder.resolve("tmp")),
                folder.resolve("log"));
        ScriptedPeers.awaitReady(admin);
        ScriptedPeers.runAsync(() -> answerLookups(engine));
        return port;
    }

    /** Starts a client of the flood. */
    final void startFlood(ScriptedPeers.Task client) {
        floods.add(ScriptedPeers.runAsync(client));
    }

    /** Whether the clients of the flood are to end. */
    final boolean floodIsOver() {
        return over.get();
    }

    final void assertAlive() {
        assertThat(process.isAlive()).isTrue();
    }

    /** The largest resident memory of the process so far. */
    final long peakMemoryMb() throws IOException {
        return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream().filter(l -> l.startsWith("VmHWM:"))
                .mapToLong(l -> Long.parseLong(l.replaceAll("[^0-9]", "")) / 1024).findFirst().orElseThrow();
    }

    final void assertEnoughMemory() throws Exception {
        over.set(true);
        process.destroyForcibly().waitFor(); // ends the clients that still wait for answers
        floods.forEach(f -> f.handle((ok, failure) -> null).join());
        assertThat(Files.readString(folder.resolve("log"))).doesNotContain("OutOfMemoryError");
    }

    /** Answers the lookups that an engine gets, and nothing else; does not end. */
    static void answerLookups(ScriptedPeers.Engine engine) throws InterruptedException {
        while (true) {
            ScriptedPeers.Engine.Command command = engine.commands.take();
            if (command.words().get(0).equals("serve") && command.words().get(2).startsWith("queue=lookup")) {
                command.answer(command.id(), "DONE", "count=1", "row\ta\tb\n");
            }
        }
    }
}
