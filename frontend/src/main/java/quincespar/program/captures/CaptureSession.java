package quincespar.program.captures;

import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import quincespar.capture.CapturedScheduler;
import quincespar.capture.Entry;
import quincespar.capture.ModuleDigest;
import quincespar.capture.Recorder;
import quincespar.capture.CaptureWriter;
import quincespar.capture.SegmentName;
import quincespar.capture.SegmentPolicy;
import quincespar.capture.StateCodec;
import quincespar.capture.SegmentStore;
import quincespar.decision.GcMuScheduler;
import quincespar.decision.Scheduler;
import quincespar.program.runtime.Clock;
import quincespar.program.runtime.Version;
import quincespar.settings.Keyword;
import quincespar.settings.Settings;
import quincespar.transport.Threads;

/** The capture of one module into a folder, as the operators' file says. */
public final class CaptureSession {
    private static final double FIRST_PAUSE_MS = 500, LONGEST_PAUSE_MS = 30_000;
    /** At the end, what is queued has so long to be written. */
    private static final long LAST_MS = 2000;

    private final Recorder recorder;
    private final Thread writer;
    private final Scheduler module;

    private CaptureSession(Recorder recorder, Scheduler module) {
        this.recorder = recorder;
        this.module = module;
        writer = Threads.daemon("capture", recorder);
    }

    /**
     * Captures a module that is made here, from {@code now} on its clock; {@code tell} hears of failures and their end.
     * Throws {@link IOException} where the folder can't be read.
     */
    public static CaptureSession open(Path folder, Settings s, String name, double now, long seed, Scheduler.Settings settings,
            Clock clock, Consumer<String> tell) throws IOException {
        CaptureFolder store = new CaptureFolder(folder);
        SegmentPolicy.Limits limits = new SegmentPolicy.Limits((long) s.number(Keyword.CAPTURE_SEGMENT_SIZE),
                s.number(Keyword.CAPTURE_SEGMENT_DURATION), (long) s.number(Keyword.CAPTURE_TOTAL_SIZE),
                s.number(Keyword.CAPTURE_RETENTION),
                FIRST_PAUSE_MS, LONGEST_PAUSE_MS);
        SegmentName before = new SegmentName(name, System.currentTimeMillis(), 0);
        List<SegmentStore.StoredSegment> own = store.list().stream().filter(h -> SegmentName.parse(h.name()).stream()
                .anyMatch(n -> n.instance().equals(before.instance()))).toList(); // others may write to the same folder
        SegmentPolicy segments = new SegmentPolicy(limits, before, own, clock.now());
        Entry.Opening opening = new Entry.Opening(name, now, seed, Version.text(),
                ModuleDigest.of(GcMuScheduler.class), settings);
        Recorder recorder = new Recorder(new CaptureWriter(opening, segments, store, tell), s.count(Keyword.CAPTURE_QUEUE_LENGTH),
                s.number(Keyword.CAPTURE_FLUSH_INTERVAL), clock::now);
        return new CaptureSession(recorder, new CapturedScheduler(new GcMuScheduler(settings, seed), recorder,
                new StateCodec(GcMuScheduler.class)::write));
    }

    /** The module, captured. */
    public Scheduler module() {
        return module;
    }

    public void start() {
        writer.start();
    }

    /** Writes what was taken, and ends; waits for that, but not for a folder that stands still. */
    public void stop() throws InterruptedException {
        if (writer.isAlive()) {
            if (!recorder.stop()) {
                writer.interrupt();
            }
            writer.join(LAST_MS);
        }
    }

    /** What has been captured, for the counters. */
    public Map<String, Long> counts() {
        CaptureWriter.Counts c = recorder.counts();
        Map<String, Long> out = new LinkedHashMap<>();
        out.put("capture.calls", c.calls());
        out.put("capture.lost", c.lostCalls() + recorder.pendingLostCalls());
        out.put("capture.bytes", c.bytes());
        out.put("capture.segments", c.segments());
        out.put("capture.dropped", c.deletedSegments());
        out.put("capture.failures", c.failures());
        return out;
    }
}
