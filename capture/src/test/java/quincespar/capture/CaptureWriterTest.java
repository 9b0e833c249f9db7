package quincespar.capture;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import quincespar.decision.Scheduler;

/** Segments on a store that works, fails or fills up, deletion of old segments, and replay of what is stored. */
class CaptureWriterTest {
    private static final SegmentPolicy.Limits LIMITS = new SegmentPolicy.Limits(12_000, 1_000, 80_000, 1e9, 100, 800);

    private final MemoryStore store = new MemoryStore();
    private final List<String> logLines = new ArrayList<>();
    /** Calls reported as lost before they reached the writer. */
    private long lost;

    /** Writes on the module's thread, in virtual time. */
    private final class SynchronousRecorder implements CapturedScheduler.Listener {
        private final CaptureWriter writer;
        private double now;

        SynchronousRecorder(long seed, SegmentPolicy.Limits limits) {
            writer = new CaptureWriter(SimulatedCluster.opening(seed),
                    new SegmentPolicy(limits, new SegmentName("w", 1, 0), store.list(), 0), store, logLines::add);
            writer.beginSegment(0, null, 0, "");
        }

        @Override
        public void onCall(Entry.Call call) {
            now = call.time();
            writer.writeCall(now, call);
        }

        @Override
        public void onFailure(Entry.Gap gap) {
            writer.writeGap(now, gap);
        }

        @Override
        public boolean wantsState() {
            return writer.segmentDue(now);
        }

        @Override
        public void onState(double time, byte[] bytes) {
            writer.beginSegment(time, new Entry.State(time, bytes), lost, "the queue was full");
            lost = 0;
        }
    }

    private CaptureWriter.Counts capture(long seed, SegmentPolicy.Limits limits, int requests) {
        SynchronousRecorder recorder = new SynchronousRecorder(seed, limits);
        new SimulatedCluster(seed, recorder).run(requests);
        recorder.writer.close(recorder.now);
        return recorder.writer.counts();
    }

    private Replay.Result replay(List<SegmentName> names) throws IOException {
        Replay replay = new Replay(new CurrentModuleFactory());
        new CaptureReader(store).forEachEntry(names, (name, e) -> replay.play(e));
        return replay.result();
    }

    @Test
    @Timeout(120)
    void aRunInSegmentsReplaysFromItsStartAndFromAnySegment() throws IOException {
        CaptureWriter.Counts counts = capture(41, new SegmentPolicy.Limits(100_000, 1e9, 100_000_000, 1e9, 100, 800), 4000);
        List<SegmentName> all = new CaptureReader(store).segmentNames();
        assertThat(all).hasSizeGreaterThan(4).hasSize((int) counts.segments());
        Replay.Result whole = replay(all);
        assertThat(whole.divergence()).isNull();
        assertThat(whole.lostCalls()).isZero();
        assertThat(whole.calls()).isEqualTo(counts.calls());
        assertThat(whole.matchingStates()).isEqualTo(all.size() - 1); // the replay reaches each captured state
        assertThat(whole.differingStates()).isZero();
        assertThat(replay(all)).isEqualTo(whole);
        long calls = whole.calls();
        for (int from = 1; from < all.size(); from++) {
            Replay.Result part = replay(all.subList(from, all.size()));
            assertThat(part.divergence()).isNull();
            assertThat(part.lostCalls()).isZero();
            assertThat(part.matchingStates()).isEqualTo(all.size() - 1 - from);
            assertThat(part.calls()).isLessThan(calls);
            calls = part.calls();
            assertThat(replay(all.subList(from, all.size()))).isEqualTo(part);
        }
    }

    /** Deleted segments are no loss to a replay, as the oldest one left starts with a state. */
    @Test
    @Timeout(120)
    void theOldestSegmentsAreDeletedAndTheTotalSizeStaysWithinItsLimit() throws IOException {
        CaptureWriter.Counts counts = capture(42, LIMITS, 3000);
        assertThat(counts.deletedSegments()).isPositive();
        assertThat(counts.lostCalls()).isZero();
        assertThat(store.peakBytes).isLessThanOrEqualTo(LIMITS.totalBytes()).isGreaterThan(LIMITS.totalBytes() / 2);
        List<SegmentName> remaining = new CaptureReader(store).segmentNames();
        assertThat(remaining.get(0).number()).isGreaterThan(1);
        assertThat(remaining.get(remaining.size() - 1).number()).isEqualTo((int) counts.segments());
        Replay.Result r = replay(remaining);
        assertThat(r.divergence()).isNull();
        assertThat(r.lostCalls()).isZero();
        assertThat(r.calls()).isPositive();
    }

    /** After random failures of the store, what was written replays without a divergence, and what is missing is counted. */
    @Property(tries = 40, seed = "20261201")
    void afterStoreFailuresEveryCallIsReplayableOrCountedAsLost(@ForAll long seed) throws IOException {
        store.files.clear();
        SplittableRandom random = new SplittableRandom(seed);
        store.createSucceeds = () -> random.nextInt(6) > 0;
        store.writeSucceeds = () -> random.nextInt(150) > 0;
        store.deleteSucceeds = () -> random.nextInt(4) > 0;
        store.closeSucceeds = () -> random.nextInt(10) > 0;
        store.peakBytes = 0;
        SynchronousRecorder recorder = new SynchronousRecorder(43, LIMITS);
        List<Entry> calls = new SimulatedCluster(43).run(400);
        SimulatedCluster again = new SimulatedCluster(43, recorder);
        again.run(400);
        recorder.writer.close(recorder.now);
        CaptureWriter.Counts counts = recorder.writer.counts();
        assertThat(counts.calls() + counts.lostCalls()).isEqualTo(calls.size() - 1);
        assertThat(counts.failures()).isPositive();
        assertThat(store.peakBytes).isLessThanOrEqualTo(LIMITS.totalBytes());
        Replay.Result r = replay(new CaptureReader(store).segmentNames());
        assertThat(r.divergence()).isNull();
        assertThat(r.differingStates()).isZero();
        if (counts.deletedSegments() == 0) {
            assertThat(r.calls()).isEqualTo(counts.calls());
        }
    }

    @Test
    void aFullDiskIsLoggedOnceAndSoIsTheRecovery() {
        boolean[] full = {false};
        store.writeSucceeds = () -> !full[0];
        CaptureWriter writer = new CaptureWriter(SimulatedCluster.opening(1),
                new SegmentPolicy(LIMITS, new SegmentName("w", 1, 0), List.of(), 0), store, logLines::add);
        writer.beginSegment(0, null, 0, "");
        Entry.Call call = new Entry.Call(1, List.of(), List.of());
        writer.writeCall(1, call);
        full[0] = true;
        writer.writeCall(2, call);
        for (double now = 3; now < 2000; now++) { // retries after 100, 200, 400, 800 and 800 ms
            if (writer.segmentDue(now)) {
                writer.beginSegment(now, new Entry.State(now, new byte[1]), 0, "");
            }
            writer.writeCall(now, call);
        }
        full[0] = false;
        writer.beginSegment(5000, new Entry.State(5000, new byte[1]), 7, "the queue was full");
        writer.writeCall(5001, call);
        assertThat(writer.counts().failures()).isEqualTo(5);
        assertThat(writer.counts().calls()).isEqualTo(2);
        assertThat(writer.counts().lostCalls()).isEqualTo(1 + 1997 + 7);
        assertThat(logLines).containsExactly("capture: new segment started",
                "capture: disk full; calls are lost until writing succeeds again",
                "capture: new segment started; 2005 calls lost before it: the queue was full");
    }

    /** A missing or truncated segment is a gap, and replay resumes after it from a state. */
    @Test
    @Timeout(120)
    void missingAndTruncatedSegmentsAreGaps() throws IOException {
        CaptureWriter.Counts counts = capture(44, new SegmentPolicy.Limits(20_000, 1e9, 100_000_000, 1e9, 100, 800), 1000);
        List<SegmentName> all = new ArrayList<>(new CaptureReader(store).segmentNames());
        assertThat(all).hasSizeGreaterThan(4);
        store.files.remove(all.get(2).fileName());
        byte[] tail = store.files.get(all.get(3).fileName()).toByteArray();
        store.files.get(all.get(3).fileName()).reset();
        store.files.get(all.get(3).fileName()).write(tail, 0, tail.length - 3);
        CaptureReader captures = new CaptureReader(store);
        assertThat(captures.summarize(all.get(3)).damage()).contains("cut off");
        assertThat(captures.summarize(all.get(3)).hasState()).isTrue();
        Replay.Result r = replay(captures.segmentNames());
        assertThat(r.divergence()).isNull();
        assertThat(r.calls()).isLessThan(counts.calls());
        assertThat(r.matchingStates()).isEqualTo(all.size() - 1 - 3); // segment 2 is missing; 3 and 4 start from their states
    }

    /** A segment that the writer deletes during a read is a gap, and the remaining ones replay. */
    @Test
    @Timeout(120)
    void aSegmentDeletedDuringAReadIsAGap() throws IOException {
        capture(47, new SegmentPolicy.Limits(20_000, 1e9, 100_000_000, 1e9, 100, 800), 1000);
        CaptureReader captures = new CaptureReader(store);
        List<SegmentName> all = captures.segmentNames();
        Replay replay = new Replay(new CurrentModuleFactory());
        List<Entry.Gap> gaps = new ArrayList<>();
        captures.forEachEntry(all, (name, e) -> {
            store.files.remove(all.get(1).fileName()); // the first one is open already, and is read to its end
            store.files.remove(all.get(0).fileName());
            if (e instanceof Entry.Gap g) {
                gaps.add(g);
            }
            return replay.play(e);
        });
        assertThat(gaps).hasSize(1);
        assertThat(gaps.get(0).reason()).isEqualTo(all.get(1).fileName() + ": deleted while reading");
        assertThat(replay.result().divergence()).isNull();
        assertThat(replay.result().lostCalls()).isZero();
        assertThat(replay.result().matchingStates()).isEqualTo(all.size() - 3);
    }

    @Test
    @Timeout(120)
    void aCutStartsWithTheStateBeforeItAndReplays() throws IOException {
        capture(45, new SegmentPolicy.Limits(20_000, 1e9, 100_000_000, 1e9, 100, 800), 1000);
        CaptureReader captures = new CaptureReader(store);
        CaptureReader.SegmentSummary third = captures.summarize(captures.segmentNames().get(2));
        List<Entry> cut = captures.cut(captures.segmentNames(), third.from() + 1, third.to());
        assertThat(cut.get(0)).isInstanceOf(Entry.Opening.class);
        assertThat(cut.get(1)).isInstanceOf(Entry.State.class);
        Replay replay = new Replay(new CurrentModuleFactory());
        for (Entry e : cut) {
            assertThat(replay.play(e)).isTrue();
        }
        long[] calls = {0};
        captures.forEachEntry(captures.segmentNames().subList(2, captures.segmentNames().size()), (name, e) -> {
            calls[0] += e instanceof Entry.Call c && c.time() <= third.to() ? 1 : 0;
            return true;
        });
        assertThat(replay.result().calls()).isEqualTo(calls[0]).isGreaterThanOrEqualTo(third.calls());
        assertThat(captures.cut(captures.segmentNames(), 1e9, 2e9)).isEmpty();
    }

    /** A blocked store does not block the module's thread: calls are lost until it moves again, and then a state is written. */
    @Test
    @Timeout(60)
    void aBlockedStoreLosesCallsAndTheCaptureResumesWithAState() throws Exception {
        CountDownLatch unblocked = new CountDownLatch(1);
        CountDownLatch blocked = new CountDownLatch(1);
        boolean[] block = {false};
        store.writeSucceeds = () -> {
            try {
                if (block[0]) {
                    blocked.countDown();
                    unblocked.await();
                }
                return true;
            } catch (InterruptedException e) {
                return false;
            }
        };
        CaptureWriter writer = new CaptureWriter(SimulatedCluster.opening(46), new SegmentPolicy(
                new SegmentPolicy.Limits(1 << 30, 1e9, 1L << 32, 1e9, 100, 800), new SegmentName("w", 1, 0), List.of(), 0), store,
                logLines::add);
        Recorder recorder = new Recorder(writer, 64, 5, () -> System.nanoTime() / 1e6);
        Thread writerThread = new Thread(recorder);
        writerThread.start();
        SimulatedCluster cluster = new SimulatedCluster(46, recorder);
        while (recorder.counts().segments() == 0) {
            Thread.onSpinWait();
        }
        block[0] = true;
        cluster.run(600); // far more calls than the queue holds; none of them waits
        blocked.await();
        assertThat(recorder.pendingLostCalls()).isPositive();
        unblocked.countDown();
        cluster.runTimers(() -> recorder.counts().segments() < 2);
        assertThat(recorder.stop()).isTrue();
        writerThread.join();
        CaptureWriter.Counts counts = recorder.counts();
        assertThat(counts.lostCalls()).isPositive();
        assertThat(counts.calls() + counts.lostCalls() + recorder.pendingLostCalls()).isEqualTo(cluster.calls());
        Replay.Result r = replay(new CaptureReader(store).segmentNames());
        assertThat(r.divergence()).isNull();
        assertThat(r.calls()).isEqualTo(counts.calls());
        assertThat(r.lostCalls()).isEqualTo(counts.lostCalls());
    }

    @Test
    void segmentNamesAreParsedAsFormattedAndOtherNamesAreRejected() {
        SegmentName n = new SegmentName("n-1", 1_764_000_000_000L, 12);
        assertThat(n.fileName()).isEqualTo("n-1-1764000000000-000012.qcap");
        assertThat(SegmentName.parse(n.fileName())).contains(n);
        assertThat(new SegmentName("../n 1", 0, 1).fileName()).isEqualTo(".._n_1-0000000000000-000001.qcap");
        assertThat(SegmentName.parse("n-1764000000000-12.qcap")).isEmpty();
        assertThatThrownBy(() -> new SegmentPolicy.Limits(100, 1, 199, 1, 1, 1)).hasMessageContaining("two segments");
    }
}
