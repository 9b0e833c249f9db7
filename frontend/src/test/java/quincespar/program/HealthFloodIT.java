package quincespar.program;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import quincespar.protocol.thrift.FrontCodec;

/** The jar under clients that make health calls at full speed: requests of others are answered beside them. */
@Timeout(120)
class HealthFloodIT {
    private static final int FLOODING_CONNECTIONS = 60, CALLS_AT_ONCE = 300, LOOKUPS = 50;
    /** How soon lookups should be answered. */
    private static final double LOOKUP_AIM_MS = 800;

    private final AtomicBoolean over = new AtomicBoolean();
    private final AtomicInteger bursts = new AtomicInteger();
    private final List<CompletableFuture<Void>> floods = new ArrayList<>();
    @TempDir
    private Path folder;
    private Process process;

    @AfterEach
    void stop() throws InterruptedException {
        over.set(true);
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
    }

    /** Guards against requests that wait until all health calls before them are answered. */
    @Test
    void lookupsAreAnsweredWithinTheirAimBesideAFloodOfHealthCalls() throws Exception {
        int port = start();
        for (int i = 0; i < FLOODING_CONNECTIONS; i++) {
            floods.add(ScriptedPeers.runAsync(() -> flood(port)));
        }
        while (bursts.get() < FLOODING_CONNECTIONS) {
            ScriptedPeers.spin();
        }
        assertThat(slowestLookupMs(port)).isLessThan(LOOKUP_AIM_MS);
        over.set(true);
        process.destroyForcibly().waitFor(); // ends the clients that still wait for answers
        floods.forEach(f -> f.handle((ok, failure) -> null).join());
        assertThat(Files.readString(folder.resolve("log"))).doesNotContain("OutOfMemoryError");
    }

    private int start() throws Exception {
        ScriptedPeers.Engine engine = new ScriptedPeers.Engine();
        int port = ScriptedPeers.freePort();
        int admin = ScriptedPeers.freePort();
        Path file = Files.writeString(folder.resolve("config.json"), ScriptedPeers.configuration(port,
                new ScriptedPeers.ChangeLog(), engine, ScriptedPeers.LOOKUP, ScriptedPeers.LOAD)
                .replace("\"sockets\":64", "\"sockets\":4096,\"memory_mb\":192"));
        process = ScriptedPeers.startProcess("", file, admin, Files.createDirectory(folder.resolve("tmp")),
                folder.resolve("log"));
        ScriptedPeers.awaitReady(admin);
        ScriptedPeers.runAsync(() -> answerLookups(engine));
        return port;
    }

    private static void answerLookups(ScriptedPeers.Engine engine) throws InterruptedException {
        while (true) {
            ScriptedPeers.Engine.Command command = engine.commands.take();
            if (command.words().get(0).equals("serve")) {
                command.answer(command.id(), "DONE", "count=1", "row\ta\tb\n");
            }
        }
    }

    /** Makes lookups one after the other, after one that is not counted, and returns how long the slowest took. */
    private static double slowestLookupMs(int port) throws IOException {
        double slowest = 0;
        try (ScriptedPeers.Client c = new ScriptedPeers.Client(port)) {
            for (int call = 0; call <= LOOKUPS; call++) {
                long sentAt = System.nanoTime();
                c.call(call + 1, ScriptedPeers.fields("lookup", String.format("%016x", call + 1)));
                assertThat(c.answer()).isEqualTo(ScriptedPeers.Kind.SERVED);
                double tookMs = (System.nanoTime() - sentAt) / (double) TimeUnit.MILLISECONDS.toNanos(1);
                slowest = call == 0 ? 0 : Math.max(slowest, tookMs);
            }
        }
        return slowest;
    }

    private void flood(int port) throws IOException {
        try (ScriptedPeers.Client c = new ScriptedPeers.Client(port)) {
            ByteArrayOutputStream calls = new ByteArrayOutputStream();
            for (int i = 1; i <= CALLS_AT_ONCE; i++) {
                calls.writeBytes(FrontCodec.healthCall(i));
            }
            while (!over.get()) {
                c.raw(calls.toByteArray());
                for (int i = 0; i < CALLS_AT_ONCE; i++) {
                    c.frame();
                }
                bursts.incrementAndGet();
            }
        }
    }
}
