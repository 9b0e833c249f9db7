package quincespar.program;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.FileSystem;
import java.nio.file.FileSystems;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.jar.JarOutputStream;
import java.util.stream.Stream;
import java.util.zip.ZipEntry;
import java.util.zip.ZipException;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import quincespar.capture.CaptureReader;
import quincespar.capture.Entry;
import quincespar.capture.Replay;
import quincespar.capture.SegmentName;
import quincespar.decision.Scheduler;
import quincespar.program.captures.CaptureFolder;
import quincespar.settings.ConfReader;
import quincespar.settings.Settings;

/** The whole program with a capture, and the commands that read the capture. */
@Timeout(60)
class CaptureReplayTest {
    @TempDir
    private Path folder;
    private Path captures;
    private ScriptedPeers.Engine engine;
    private int port;
    private int requests;
    private CompletableFuture<Void> running;

    @BeforeEach
    void createPeers() throws IOException {
        engine = new ScriptedPeers.Engine();
        ScriptedPeers.ChangeLog changes = new ScriptedPeers.ChangeLog();
        port = ScriptedPeers.freePort();
        captures = Files.createDirectory(folder.resolve("captures"));
        Files.writeString(folder.resolve("config.json"), ScriptedPeers.configuration(port, changes, engine,
                ScriptedPeers.LOOKUP, ScriptedPeers.LOAD));
    }

    private record Output(int code, String out) { }

    /** Runs a command; captures standard output only, as the previous run may still be logging to standard error. */
    private static Output command(Object... words) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        PrintStream before = System.out;
        try (PrintStream to = new PrintStream(out, true, StandardCharsets.UTF_8)) {
            System.setOut(to);
            int code = Main.run(java.util.Arrays.stream(words).map(String::valueOf).toArray(String[]::new));
            return new Output(code, out.toString(StandardCharsets.UTF_8));
        } finally {
            System.setOut(before);
        }
    }

    /** Starts the program with a capture; its engine answers all requests. */
    private FrontEnd start() throws Exception {
        Settings settings = ConfReader.read("f", "capture {\n folder \"" + captures + "\"\n every 1s\n flush 10ms\n}\n");
        FrontEnd frontEnd = new FrontEnd(Map.of("GW_CONFIG", folder.resolve("config.json").toString()), settings,
                Logs.start(settings));
        running = ScriptedPeers.runAsync(frontEnd::run);
        ScriptedPeers.runAsync(() -> {
            while (!running.isDone()) {
                ScriptedPeers.Engine.Command c = engine.commands.poll(10, TimeUnit.MILLISECONDS);
                if (c != null && c.words().get(0).equals("serve")) {
                    c.answer(c.id(), "DONE", "count=1", "row\ta\tb\n");
                }
            }
        });
        ScriptedPeers.awaitHealthy(port);
        return frontEnd;
    }

    /** Sends requests until a counter reaches a value. */
    private void sendUntil(ScriptedPeers.Client c, String counter, long wanted) throws Exception {
        do {
            String txn = String.format("%016x", ++requests);
            c.call(requests, ScriptedPeers.fields(requests % 3 == 0 ? "load" : "lookup", txn));
            c.frame();
        } while (Long.parseLong(c.counters().get(counter)) < wanted);
    }

    /** Runs the program until it has captured this number of calls, and shuts it down. */
    private Map<String, String> runProgram(int calls) throws Exception {
        FrontEnd frontEnd = start();
        Map<String, String> counters;
        try (ScriptedPeers.Client c = new ScriptedPeers.Client(port)) {
            sendUntil(c, "capture.calls", calls);
            counters = c.counters();
        }
        ScriptedPeers.runAsync(frontEnd::shutDown).join();
        running.join();
        return counters;
    }

    /** The number of the first request that was sent, from the capture. */
    private long firstRequest(Output replay) throws IOException {
        long[] id = {0};
        CaptureReader all = new CaptureReader(new CaptureFolder(captures));
        all.forEachEntry(all.segmentNames(), (name, e) -> {
            if (e instanceof Entry.Call c) {
                c.actions().stream().filter(Scheduler.SendAttempt.class::isInstance).findFirst()
                        .ifPresent(a -> id[0] = ((Scheduler.SendAttempt) a).id());
            }
            return id[0] == 0;
        });
        assertThat(id[0]).as(replay.out()).isPositive();
        return id[0];
    }

    @Test
    void aReplayMakesTheSameDecisions() throws Exception {
        Map<String, String> counters = runProgram(24);
        assertThat(counters).containsEntry("capture.lost", "0").containsEntry("capture.failures", "0");
        Output replay = command("replay", captures);
        assertThat(replay.code()).as(replay.out()).isZero();
        assertThat(replay.out()).contains(" lost=0", "other-states=0").containsPattern("decisions=[1-9]");
        assertThat(replay.out()).contains("broken-rules=0");
        Output explain = command("explain", captures, "--request", firstRequest(replay));
        assertThat(explain.code()).as(explain.out()).isZero();
        assertThat(explain.out()).contains(" received: class ", "is sent to engine ", "* engine ", "ended after ");
        assertThat(command("explain", captures, "--engine", "s-1").out()).contains(" for lookup: takes work");
        assertThat(command("explain", captures).code()).isEqualTo(2);
        assertThat(command("explain", captures, "--request", 999_999).code()).isEqualTo(1);
        Path decisions = folder.resolve("decisions");
        assertThat(command("replay", captures, "--decisions", decisions).out().lines().findFirst())
                .isEqualTo(replay.out().lines().findFirst());
        assertThat(Files.readString(decisions)).contains("Send[id=").doesNotContain("SendAttempt");
        Output verify = command("capture", "verify", captures);
        assertThat(verify.code()).as(verify.out()).isZero();
        assertThat(command("capture", "info", captures).out()).contains("n1 started ", "(this build's)",
                "classes=[lookup, load]");
        assertThat(command("capture", "list", captures).out()).contains("-000001.qcap bytes=").contains("state=no");
    }

    @Test
    void aTruncatedCaptureIsReportedAndReplayedUpToItsEnd() throws Exception {
        runProgram(6);
        SegmentName first = new CaptureReader(new CaptureFolder(captures)).segmentNames().get(0);
        Path file = captures.resolve(first.fileName());
        byte[] whole = Files.readAllBytes(file);
        Files.write(file, java.util.Arrays.copyOf(whole, whole.length - 5));
        Output verify = command("capture", "verify", captures);
        assertThat(verify.code()).isEqualTo(1);
        assertThat(verify.out()).contains("gap in or before " + first.fileName()).contains("cut off within a record");
        assertThat(command("replay", captures).code()).isZero();
    }

    /** The program deletes only its own segments, even if those of others exceed the size limit. */
    @Test
    void segmentsOfOtherInstancesAreNotDeleted() throws Exception {
        Path other = captures.resolve("n2-0000000000001-000001.qcap");
        Path own = captures.resolve("n1-0000000000001-000001.qcap");
        Files.write(other, new byte[300_000_000]);
        Files.write(own, new byte[300_000_000]); // already exceeds the limit of 256 MB
        runProgram(6);
        assertThat(other).exists();
        assertThat(own).doesNotExist();
    }

    @Test
    void anotherBuildReplaysTheCapture() throws Exception {
        runProgram(6);
        Path jar = folder.resolve("other.jar"); // made of the classes of this build, as another build of the same module
        try (JarOutputStream out = new JarOutputStream(Files.newOutputStream(jar))) {
            for (Class<?> part : List.of(Main.class, Replay.class, Scheduler.class, quincespar.records.RecordCodec.class,
                    quincespar.fleet.FleetView.class, picocli.CommandLine.class,
                    com.fasterxml.jackson.dataformat.cbor.CBORFactory.class, com.fasterxml.jackson.core.JsonFactory.class,
                    org.objenesis.Objenesis.class, org.slf4j.Logger.class, ch.qos.logback.classic.Logger.class,
                    ch.qos.logback.core.Appender.class, org.antlr.v4.runtime.Token.class)) {
                copy(Path.of(part.getProtectionDomain().getCodeSource().getLocation().toURI()), out);
            }
        }
        Output here = command("replay", captures);
        Output there = command("replay", captures, "--against", jar);
        assertThat(there.code()).as(there.out()).isZero();
        assertThat(there.out().lines().findFirst()).isEqualTo(here.out().lines().findFirst());
        assertThat(command("replay", captures, "--against", folder.resolve("none.jar")).code()).isEqualTo(1);
    }

    private static void copy(Path from, JarOutputStream to) throws IOException {
        Path root = Files.isDirectory(from) ? from : null;
        try (FileSystem zip = root == null ? FileSystems.newFileSystem(from) : null;
                Stream<Path> all = Files.walk(root == null ? zip.getPath("/") : root)) {
            for (Path p : all.filter(f -> f.toString().endsWith(".class") && !f.toString().contains("module-info")).toList()) {
                String name = (root == null ? p.toString().substring(1) : root.relativize(p).toString());
                try {
                    to.putNextEntry(new ZipEntry(name));
                } catch (ZipException e) { // in two libraries: the first one is used
                    continue;
                }
                to.write(Files.readAllBytes(p));
            }
        }
    }

    @Test
    void aCutSegmentCanBeReplayedByItself() throws Exception {
        runProgram(12);
        CaptureReader reader = new CaptureReader(new CaptureFolder(captures));
        CaptureReader.SegmentSummary s = reader.summarize(reader.segmentNames().get(0));
        Path out = folder.resolve("cut");
        Output cut = command("capture", "cut", captures, "--from", s.from() / 1000, "--to", s.to() / 1000 + 60, "--out", out);
        assertThat(cut.code()).as(cut.out()).isZero();
        assertThat(command("replay", out).code()).isZero();
        assertThat(command("capture", "cut", captures, "--from", 1, "--to", 2, "--out", folder.resolve("none")).code())
                .isEqualTo(1);
        assertThat(command("replay", folder.resolve("cut-none")).code()).isEqualTo(1);
    }

    /** The folder is removed while the program runs: calls are lost and counted, and clients are served as before. */
    @Test
    void aMissingFolderDoesNotDelayRequests() throws Exception {
        FrontEnd frontEnd = start();
        Path aside = folder.resolve("aside");
        Files.move(captures, aside);
        try (ScriptedPeers.Client c = new ScriptedPeers.Client(port)) {
            sendUntil(c, "capture.failures", 1);
            Files.move(aside, captures);
            sendUntil(c, "capture.segments", 2);
            sendUntil(c, "capture.calls", 1 + Long.parseLong(c.counters().get("capture.calls")));
        }
        ScriptedPeers.runAsync(frontEnd::shutDown).join();
        running.get(30, TimeUnit.SECONDS);
        Output verify = command("capture", "verify", captures);
        assertThat(verify.code()).isEqualTo(1);
        assertThat(verify.out()).contains("calls lost: ");
        assertThat(command("replay", captures).code()).isZero();
    }
}
