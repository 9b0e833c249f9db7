package quincespar.capture;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import quincespar.decision.GcMuScheduler;
import quincespar.decision.Scheduler;

@Timeout(120)
class CaptureTest {
    private final EntryCodec codec = new EntryCodec();

    private List<Entry> read(byte[] file) throws IOException {
        Frames.Reader in = new Frames.Reader(new ByteArrayInputStream(file), codec.schema());
        List<Entry> out = new ArrayList<>();
        for (byte[] r = in.next(); r != null; r = in.next()) {
            out.add(codec.read(r));
        }
        return out;
    }

    @Test
    void replayingARunGivesTheSameDecisionsByteForByte() throws IOException {
        SimulatedCluster cluster = new SimulatedCluster(7);
        List<Entry> entries = cluster.run(4000);
        byte[] file = cluster.captureFile(entries);
        Replay.Result one = SimulatedCluster.replay(file, 0);
        assertThat(one.divergence()).isNull();
        assertThat(one.calls()).isEqualTo(entries.size() - 1);
        assertThat(one.decisions()).isGreaterThan(4000);
        assertThat(SimulatedCluster.replay(file, 0)).isEqualTo(one);
        Set<Class<?>> kinds = new HashSet<>();
        entries.forEach(e -> {
            if (e instanceof Entry.Call c) {
                c.events().forEach(x -> kinds.add(x.getClass()));
            }
        });
        assertThat(kinds).contains(Scheduler.Request.class, Scheduler.EngineList.class, Scheduler.AttemptEnded.class,
                Scheduler.AttemptNote.class, Scheduler.ClientLeft.class, Scheduler.TimerFired.class, Scheduler.ProbeResult.class);
    }

    /** Existing captures stay readable: a renamed record, component or constant needs its stored name in the codec's table. */
    @Test
    void entriesAreStoredUnderTheNamesOfEarlierCaptures() throws IOException {
        try (InputStream pinned = CaptureTest.class.getResourceAsStream("/schemas/capture.txt")) {
            assertThat(codec.schemaText()).isEqualTo(new String(pinned.readAllBytes(), StandardCharsets.UTF_8));
        }
        assertThat(codec.schema()).isEqualTo("a9078bed7521642a");
    }

    @Test
    void entriesAreDecodedAsEncoded() throws IOException {
        SimulatedCluster cluster = new SimulatedCluster(8);
        List<Entry> entries = cluster.run(500);
        assertThat(read(cluster.captureFile(entries))).isEqualTo(entries);
    }

    @Test
    void anotherModuleDivergesAtItsFirstDifferentDecision() throws IOException {
        SimulatedCluster cluster = new SimulatedCluster(9);
        Replay.Result r = SimulatedCluster.replay(cluster.captureFile(cluster.run(500)), 1); // with another seed
        assertThat(r.divergence()).isNotNull();
        assertThat(r.divergence().call()).isEqualTo(r.calls());
        assertThat(r.divergence().before()).hasSizeLessThanOrEqualTo(10);
        assertThat(r.divergence().got()).isNotEqualTo(r.divergence().expected().actions());
    }

    @Test
    void afterAGapNothingIsReplayedUntilTheNextOpening() throws IOException {
        SimulatedCluster cluster = new SimulatedCluster(10);
        List<Entry> entries = new ArrayList<>(cluster.run(200));
        entries.add(100, new Entry.Gap(0, 3, "the disk was full"));
        Replay.Result r = SimulatedCluster.replay(cluster.captureFile(entries), 0);
        assertThat(r.divergence()).isNull();
        assertThat(r.calls()).isEqualTo(99);
    }

    /** The module is seeded and reads no clock: identity hash codes and the JVM's locale do not influence it. */
    @Test
    void decisionsDoNotDependOnHashCodesOrLocaleOfTheJvm() throws Exception {
        Set<String> digests = new HashSet<>();
        for (List<String> flags : List.of(List.of("-XX:hashCode=2"), List.of("-XX:hashCode=0", "-Duser.language=tr"),
                List.of("-XX:hashCode=3", "-Duser.language=ar", "-Duser.timezone=Asia/Karachi"))) {
            List<String> command = new ArrayList<>(List.of(
                    Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    "-XX:+UnlockExperimentalVMOptions", "-cp", System.getProperty("java.class.path")));
            command.addAll(flags);
            command.addAll(List.of(SimulatedCluster.class.getName(), "11", "1000"));
            Process p = new ProcessBuilder(command).redirectErrorStream(true).start();
            digests.add(new String(p.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip());
            assertThat(p.waitFor()).as(digests.toString()).isZero();
        }
        assertThat(digests).hasSize(1).allMatch(d -> d.matches("[0-9a-f]{64}"));
    }

    @Test
    void aFileCutOffWithinItsLastRecordLosesOnlyThatRecord() throws IOException {
        SimulatedCluster cluster = new SimulatedCluster(12);
        List<Entry> entries = cluster.run(50);
        byte[] whole = cluster.captureFile(entries);
        int last = cluster.captureFile(entries.subList(0, entries.size() - 1)).length;
        for (int cut = last; cut < whole.length; cut++) {
            Frames.Reader in = new Frames.Reader(new ByteArrayInputStream(whole, 0, cut), codec.schema());
            while (in.next() != null) {
                continue;
            }
            assertThat(in.records()).isEqualTo(entries.size() - 1);
            assertThat(in.offset()).isEqualTo(last);
            if (cut == last) {
                assertThat(in.damage()).isNull();
            } else {
                assertThat(in.damage()).contains("cut off").endsWith(", at byte " + last + ", record " + entries.size());
            }
        }
    }

    @Test
    void corruptedBytesLoseTheirRecordAndTheOnesAfterIt() throws IOException {
        SimulatedCluster cluster = new SimulatedCluster(13);
        List<Entry> entries = cluster.run(100);
        byte[] file = cluster.captureFile(entries);
        int at = cluster.captureFile(entries.subList(0, 40)).length;
        for (int corrupted = at; corrupted < at + 30; corrupted++) {
            byte[] bad = file.clone();
            bad[corrupted] ^= 0x55;
            bad[corrupted + 1] ^= 0x11;
            Frames.Reader in = new Frames.Reader(new ByteArrayInputStream(bad), codec.schema());
            while (in.next() != null) {
                continue;
            }
            assertThat(in.records()).isEqualTo(40);
            assertThat(in.damage()).endsWith("at byte " + at + ", record 41");
            assertThat(in.next()).isNull();
        }
    }

    @Test
    void filesOfAnotherFormatOrSchemaAreRejected() {
        for (byte[] other : List.of(new byte[0], "QCA".getBytes(StandardCharsets.US_ASCII), new byte[100])) {
            assertThatThrownBy(() -> new Frames.Reader(new ByteArrayInputStream(other), codec.schema()))
                    .isInstanceOf(MalformedCaptureException.class)
                    .hasMessage("not a capture: the file does not begin with 'QCAP1'");
        }
        assertThatThrownBy(() -> new Frames.Reader(new ByteArrayInputStream(Frames.header("0123456789abcdef")),
                codec.schema())).isInstanceOf(MalformedCaptureException.class).hasMessage(
                "the capture has schema 0123456789abcdef, and this program reads only " + codec.schema());
    }

    /** Any bytes decode to an entry or throw {@link MalformedCaptureException}; nothing else is thrown. */
    @Property(tries = 3000, seed = "20261201")
    void anyBytesAreAnEntryOrRejected(@ForAll byte[] bytes, @ForAll int at, @ForAll byte with) {
        byte[] record = codec.write(new Entry.Call(5,
                List.of(new Scheduler.TimerFired(3), new Scheduler.PeerMessage(1, new byte[9])),
                List.of(new Scheduler.SendAttempt(1, 2, 0))));
        record[Math.floorMod(at, record.length)] = with;
        for (byte[] some : List.of(bytes, record, Arrays.copyOf(record, Math.floorMod(at, record.length)))) {
            try {
                assertThat(codec.read(some)).isNotNull();
            } catch (MalformedCaptureException e) {
                assertThat(e.getMessage()).isNotBlank();
            }
        }
    }

    @Test
    void nonFiniteNumbersKeepTheirBits() throws IOException {
        Entry.Call c = new Entry.Call(Double.MAX_VALUE, List.of(new Scheduler.AttemptEnded(1, 0, 2, Scheduler.Outcome.OK,
                Double.NaN, true, Double.NEGATIVE_INFINITY, -0.0, List.of(Double.MIN_VALUE, Double.NaN))), List.of());
        byte[] bytes = codec.write(c);
        assertThat(codec.write(codec.read(bytes))).isEqualTo(bytes);
        assertThat(codec.read(bytes)).isEqualTo(c);
    }

    @Test
    void anExceptionOfTheModuleLeavesAGapAndIsRethrown() {
        List<Entry> captured = new ArrayList<>();
        CapturedScheduler module = new CapturedScheduler((now, events) -> {
            throw new IllegalStateException("unforeseen");
        }, captured::add);
        assertThatThrownBy(() -> module.decide(5, List.of())).hasMessage("unforeseen");
        assertThat(captured).containsExactly(
                new Entry.Gap(5, 1, "the module failed: java.lang.IllegalStateException: unforeseen"));
    }

    @Test
    void theModuleDigestIdentifiesTheModule() {
        assertThat(ModuleDigest.of(GcMuScheduler.class)).matches("[0-9a-f]{16}").isEqualTo(ModuleDigest.of(GcMuScheduler.class))
                .isNotEqualTo(ModuleDigest.of(Scheduler.class));
    }
}
