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

/** A running capture: records the calls of one decision module, and writes them to a folder on a thread of its own. */
public final class CaptureSession {
    private static final double FIRST_RETRY_DELAY_MS = 500, MAX_RETRY_DELAY_MS = 30_000;
    /** Time to write the queued entries at the end. */
    private static final long STOP_TIMEOUT_MS = 2000;

    private final Recorder recorder;
    private final Thread writer;
    private final Scheduler module;

    private CaptureSession(Recorder recorder, Scheduler module) {
        this.recorder = recorder;
        this.module = module;
        writer = Threads.daemon("capture", recorder);
    }

    /**
     * Creates a decision module and its capture; {@link #start} starts to write.
     *
     * @param options the operators' file
     * @param name the instance, part of the file names
     * @param now the time on the module's clock
     * @param log receives a line when writing fails and when it works again
     * @throws IOException if the folder can't be read
     */
    public static CaptureSession open(Path folder, Settings options, String name, double now, long seed,
            Scheduler.Settings settings, Clock clock, Consumer<String> log) throws IOException {
        CaptureFolder store = new CaptureFolder(folder);
        SegmentPolicy.Limits limits = new SegmentPolicy.Limits((long) options.number(Keyword.CAPTURE_SEGMENT_SIZE),
                options.number(Keyword.CAPTURE_SEGMENT_DURATION), (long) options.number(Keyword.CAPTURE_TOTAL_SIZE),
                options.number(Keyword.CAPTURE_RETENTION),
                FIRST_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS);
        SegmentName previous = new SegmentName(name, System.currentTimeMillis(), 0);
        List<SegmentStore.StoredSegment> own = store.list().stream().filter(file -> SegmentName.parse(file.name()).stream()
                .anyMatch(n -> n.instance().equals(previous.instance()))).toList(); // the folder may be shared
        SegmentPolicy segments = new SegmentPolicy(limits, previous, own, clock.now());
        Entry.Opening opening = new Entry.Opening(name, now, seed, Version.text(),
                ModuleDigest.of(GcMuScheduler.class), settings);
        Recorder recorder = new Recorder(new CaptureWriter(opening, segments, store, log),
                options.count(Keyword.CAPTURE_QUEUE_LENGTH), options.number(Keyword.CAPTURE_FLUSH_INTERVAL), clock::now);
        return new CaptureSession(recorder, new CapturedScheduler(new GcMuScheduler(settings, seed), recorder,
                new StateCodec(GcMuScheduler.class)::write));
    }

    /** The module, wrapped so that its calls are recorded. */
    public Scheduler module() {
        return module;
    }

    /** Starts to write. */
    public void start() {
        writer.start();
    }

    /** Writes the recorded calls and stops; does not wait long for a folder that blocks. */
    public void stop() throws InterruptedException {
        if (writer.isAlive()) {
            if (!recorder.stop()) {
                writer.interrupt();
            }
            writer.join(STOP_TIMEOUT_MS);
        }
    }

    /** The counters of the capture by key. */
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
