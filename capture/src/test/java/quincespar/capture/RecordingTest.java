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
import quincespar.decision.Gateway;

/** Segments on a store that works, fails, fills up and drops what is old, and their replay. */
class RecordingTest {
    private static final SegmentPolicy.Limits LIMITS = new SegmentPolicy.Limits(12_000, 1_000, 80_000, 1e9, 100, 800);

    private final MemoryStore store = new MemoryStore();
    private final List<String> told = new ArrayList<>();
    /** Lost on the way to the recording, where a test says so. */
    private long lost;

    /** The module's thread and the writer's in one, in virtual time. */
    private final class Together implements CapturedGateway.Listener {
        private final CaptureWriter recording;
        private double now;

        Together(long seed, SegmentPolicy.Limits limits) {
            recording = new CaptureWriter(World.opening(seed), new SegmentPolicy(limits, new SegmentName("w", 1, 0), store.list(), 0),
                    store, told::add);
            recording.beginSegment(0, null, 0, "");
        }

        @Override
        public void onCall(Entry.Call call) {
            now = call.time();
            recording.writeCall(now, call);
        }

        @Override
        public void onFailure(Entry.Gap gap) {
            recording.writeGap(now, gap);
        }

        @Override
        public boolean wantsState() {
            return recording.segmentDue(now);
        }

        @Override
        public void onState(double time, byte[] bytes) {
            recording.beginSegment(time, new Entry.State(time, bytes), lost, "the queue was full");
            lost = 0;
        }
    }

    private CaptureWriter.Counts play(long seed, SegmentPolicy.Limits limits, int requests) {
        Together t = new Together(seed, limits);
        new World(seed, t).play(requests);
        t.recording.close(t.now);
        return t.recording.counts();
    }

    private Replay.Result replay(List<SegmentName> names) throws IOException {
        Replay replay = new Replay(new CurrentModuleFactory());
        new CaptureReader(store).forEachEntry(names, (name, e) -> replay.play(e));
        return replay.result();
    }

    @Test
    @Timeout(120)
    void aDayInSegmentsPlaysTheSameFromItsStartAndFromAnySegment() throws IOException {
        CaptureWriter.Counts counts = play(41, new SegmentPolicy.Limits(100_000, 1e9, 100_000_000, 1e9, 100, 800), 4000);
        List<SegmentName> all = new CaptureReader(store).segmentNames();
        assertThat(all).hasSizeGreaterThan(4).hasSize((int) counts.segments());
        Replay.Result whole = replay(all);
        assertThat(whole.divergence()).isNull();
        assertThat(whole.lostCalls()).isZero();
        assertThat(whole.calls()).isEqualTo(counts.calls());
        assertThat(whole.matchingStates()).isEqualTo(all.size() - 1); // played on, it comes into each state that was captured
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

    /** What came before the oldest that is left is no loss to replay: it begins with a state. */
    @Test
    @Timeout(120)
    void theOldestGoAndTogetherTheyNeverPassTheirBound() throws IOException {
        CaptureWriter.Counts counts = play(42, LIMITS, 3000);
        assertThat(counts.deletedSegments()).isPositive();
        assertThat(counts.lostCalls()).isZero();
        assertThat(store.most).isLessThanOrEqualTo(LIMITS.totalBytes()).isGreaterThan(LIMITS.totalBytes() / 2);
        List<SegmentName> left = new CaptureReader(store).segmentNames();
        assertThat(left.get(0).number()).isGreaterThan(1);
        assertThat(left.get(left.size() - 1).number()).isEqualTo((int) counts.segments());
        Replay.Result r = replay(left);
        assertThat(r.divergence()).isNull();
        assertThat(r.lostCalls()).isZero();
        assertThat(r.calls()).isPositive();
    }

    /** Whatever fails and when, what is read back plays without a divergence, and all that is not there is counted. */
    @Property(tries = 40, seed = "20261201")
    void whateverFailsWhatIsThereIsTrueAndWhatIsNotIsCounted(@ForAll long seed) throws IOException {
        store.files.clear();
        SplittableRandom random = new SplittableRandom(seed);
        store.creates = () -> random.nextInt(6) > 0;
        store.writes = () -> random.nextInt(150) > 0;
        store.deletes = () -> random.nextInt(4) > 0;
        store.closes = () -> random.nextInt(10) > 0;
        store.most = 0;
        Together t = new Together(43, LIMITS);
        List<Entry> calls = new World(43).play(400);
        World again = new World(43, t);
        again.play(400);
        t.recording.close(t.now);
        CaptureWriter.Counts counts = t.recording.counts();
        assertThat(counts.calls() + counts.lostCalls()).isEqualTo(calls.size() - 1);
        assertThat(counts.failures()).isPositive();
        assertThat(store.most).isLessThanOrEqualTo(LIMITS.totalBytes());
        Replay.Result r = replay(new CaptureReader(store).segmentNames());
        assertThat(r.divergence()).isNull();
        assertThat(r.differingStates()).isZero();
        if (counts.deletedSegments() == 0) {
            assertThat(r.calls()).isEqualTo(counts.calls());
        }
    }

    @Test
    void aFullDiskIsToldOnceAndAgainWhenItIsOver() {
        boolean[] full = {false};
        store.writes = () -> !full[0];
        CaptureWriter r = new CaptureWriter(World.opening(1), new SegmentPolicy(LIMITS, new SegmentName("w", 1, 0), List.of(), 0), store,
                told::add);
        r.beginSegment(0, null, 0, "");
        Entry.Call call = new Entry.Call(1, List.of(), List.of());
        r.writeCall(1, call);
        full[0] = true;
        r.writeCall(2, call);
        for (double now = 3; now < 2000; now++) { // tried again after 100, 200, 400, 800 and 800 ms
            if (r.segmentDue(now)) {
                r.beginSegment(now, new Entry.State(now, new byte[1]), 0, "");
            }
            r.writeCall(now, call);
        }
        full[0] = false;
        r.beginSegment(5000, new Entry.State(5000, new byte[1]), 7, "the queue was full");
        r.writeCall(5001, call);
        assertThat(r.counts().failures()).isEqualTo(5);
        assertThat(r.counts().calls()).isEqualTo(2);
        assertThat(r.counts().lostCalls()).isEqualTo(1 + 1997 + 7);
        assertThat(told).containsExactly("capture: new segment started",
                "capture: disk full; calls are lost until writing succeeds again",
                "capture: new segment started; 2005 calls lost before it: the queue was full");
    }

    /** A segment that someone took away, or that lost its tail, is a gap: nothing is played over it. */
    @Test
    @Timeout(120)
    void whatIsMissingInTheMiddleIsAGap() throws IOException {
        CaptureWriter.Counts counts = play(44, new SegmentPolicy.Limits(20_000, 1e9, 100_000_000, 1e9, 100, 800), 1000);
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
        assertThat(r.matchingStates()).isEqualTo(all.size() - 1 - 3); // 2 is missing, 3 and 4 are restored anew
    }

    /** The writer goes on while someone reads: what it drops meanwhile is a gap, and what is left plays. */
    @Test
    @Timeout(120)
    void whatIsDroppedWhileItIsReadIsAGap() throws IOException {
        play(47, new SegmentPolicy.Limits(20_000, 1e9, 100_000_000, 1e9, 100, 800), 1000);
        CaptureReader captures = new CaptureReader(store);
        List<SegmentName> all = captures.segmentNames();
        Replay replay = new Replay(new CurrentModuleFactory());
        List<Entry.Gap> gaps = new ArrayList<>();
        captures.forEachEntry(all, (name, e) -> {
            store.files.remove(all.get(1).fileName()); // and the first one, which is open already, is read to its end
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
    void aCutHoldsTheStateBeforeItAndPlays() throws IOException {
        play(45, new SegmentPolicy.Limits(20_000, 1e9, 100_000_000, 1e9, 100, 800), 1000);
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

    /** The module's thread and the writer's apart: a store that stands still holds up nobody, and is caught up with. */
    @Test
    @Timeout(60)
    void aStoreThatStandsStillLosesCallsAndTheCaptureGoesOnWithAState() throws Exception {
        CountDownLatch moves = new CountDownLatch(1);
        CountDownLatch standing = new CountDownLatch(1);
        boolean[] stands = {false};
        store.writes = () -> {
            try {
                if (stands[0]) {
                    standing.countDown();
                    moves.await();
                }
                return true;
            } catch (InterruptedException e) {
                return false;
            }
        };
        CaptureWriter recording = new CaptureWriter(World.opening(46), new SegmentPolicy(
                new SegmentPolicy.Limits(1 << 30, 1e9, 1L << 32, 1e9, 100, 800), new SegmentName("w", 1, 0), List.of(), 0), store,
                told::add);
        Recorder recorder = new Recorder(recording, 64, 5, () -> System.nanoTime() / 1e6);
        Thread writer = new Thread(recorder);
        writer.start();
        World w = new World(46, recorder);
        while (recorder.counts().segments() == 0) {
            Thread.onSpinWait();
        }
        stands[0] = true;
        w.play(600); // far more calls than the ring holds; none of them waits
        standing.await();
        assertThat(recorder.pendingLostCalls()).isPositive();
        moves.countDown();
        w.settle(() -> recorder.counts().segments() < 2);
        assertThat(recorder.stop()).isTrue();
        writer.join();
        CaptureWriter.Counts counts = recorder.counts();
        assertThat(counts.lostCalls()).isPositive();
        assertThat(counts.calls() + counts.lostCalls() + recorder.pendingLostCalls()).isEqualTo(w.calls());
        Replay.Result r = replay(new CaptureReader(store).segmentNames());
        assertThat(r.divergence()).isNull();
        assertThat(r.calls()).isEqualTo(counts.calls());
        assertThat(r.lostCalls()).isEqualTo(counts.lostCalls());
    }

    @Test
    void namesComeBackAsTheyWereAndNothingElseIsOne() {
        SegmentName n = new SegmentName("n-1", 1_764_000_000_000L, 12);
        assertThat(n.fileName()).isEqualTo("n-1-1764000000000-000012.qcap");
        assertThat(SegmentName.parse(n.fileName())).contains(n);
        assertThat(new SegmentName("../n 1", 0, 1).fileName()).isEqualTo(".._n_1-0000000000000-000001.qcap");
        assertThat(SegmentName.parse("n-1764000000000-12.qcap")).isEmpty();
        assertThatThrownBy(() -> new SegmentPolicy.Limits(100, 1, 199, 1, 1, 1)).hasMessageContaining("two segments");
    }
}
