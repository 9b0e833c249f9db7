package quincespar.capture;

import java.io.IOException;
import java.util.List;
import java.util.function.Consumer;

/**
 * Writes a capture to a store: each segment begins with the opening, what was lost before it, and the module's state, and
 * goes on with calls. What fails ends the segment; from there on all is lost, and counted, until a segment begins anew.
 * One thread calls it, the one that may wait for the store.
 */
public final class CaptureWriter {
    /** What has been done since the start. */
    public record Counts(long calls, long lostCalls, long bytes, long segments, long deletedSegments, long failures) { }

    private final EntryCodec codec = new EntryCodec();
    private final Entry.Opening opening;
    private final SegmentPolicy segments;
    private final SegmentStore store;
    private final Consumer<String> tell;
    private SegmentStore.SegmentOutput sink;
    private long lost;
    private String why = "";
    private long calls;
    private long lostInAll;
    private long bytes;
    private long begun;
    private long dropped;
    private long failures;
    private boolean failing;

    /** {@code tell} hears of each failure after a success, and of the success after failures, in one line. */
    public CaptureWriter(Entry.Opening opening, SegmentPolicy segments, SegmentStore store, Consumer<String> tell) {
        this.opening = opening;
        this.segments = segments;
        this.store = store;
        this.tell = tell;
    }

    /** Whether a new segment is to begin, with the module's state as it is then. */
    public boolean due(double now) {
        return segments.due(now);
    }

    /** Whether calls are written; else they are lost until a segment begins. */
    public boolean open() {
        return sink != null;
    }

    /**
     * Begins a segment: {@code state} is null for a module that was just made; so many calls were {@code lost} before it
     * came here, for that cause.
     */
    public void begin(double now, Entry.State state, long lostBefore, String cause) {
        lose(lostBefore, cause);
        if (segments.phase() == SegmentPolicy.Phase.PAUSED && !segments.due(now)) {
            return; // taken before the failure was known: another state is asked for once the pause is over
        }
        try {
            closeSink();
            sink = store.create(segments.begin(now));
            append(now, Frames.header(codec.schema()));
            append(now, frame(opening));
            if (lost > 0) {
                append(now, frame(new Entry.Gap(state == null ? opening.time() : state.time(), lost, why)));
            }
            if (state != null) {
                append(now, frame(state));
            }
            sink.flush();
            begun++;
            if (begun == 1 || lost > 0) {
                tell.accept("capture: a segment has begun" + (lost > 0 ? ", " + lost + " calls were lost: " + why : ""));
            }
            failing = false;
            lost = 0;
        } catch (IOException e) {
            failed(now, e);
        }
    }

    /** Writes a call, or counts it as lost. */
    public void call(double now, Entry.Call call) {
        if (sink == null) {
            lose(1, why);
            return;
        }
        try {
            append(now, frame(call));
            calls++;
        } catch (IOException e) {
            lose(1, String.valueOf(e.getMessage()));
            failed(now, e);
        }
    }

    /** The module failed: what follows can't be played on. */
    public void gap(double now, Entry.Gap gap) {
        if (sink != null) {
            try {
                append(now, frame(gap));
            } catch (IOException e) {
                failed(now, e);
            }
        }
    }

    /** Has all that was written survive the end of this process. */
    public void flush(double now) {
        if (sink != null) {
            try {
                sink.flush();
            } catch (IOException e) {
                failed(now, e);
            }
        }
    }

    /** Ends the last segment. */
    public void close(double now) {
        flush(now);
        try {
            closeSink();
        } catch (IOException e) {
            failed(now, e);
        }
        segments.end(now);
    }

    /** What has been done so far. */
    public Counts counts() {
        return new Counts(calls, lostInAll, bytes, begun, dropped, failures);
    }

    private void closeSink() throws IOException {
        SegmentStore.SegmentOutput closing = sink;
        sink = null;
        if (closing != null) {
            closing.close();
        }
    }

    private void lose(long more, String cause) {
        lost += more;
        lostInAll += more;
        why = more > 0 ? cause : why;
    }

    private byte[] frame(Entry e) {
        return Frames.frame(codec.write(e));
    }

    private void append(double now, byte[] frame) throws IOException {
        List<String> drop = segments.roomFor(frame.length, now);
        if (drop == null) {
            throw new IOException(frame.length + " bytes more are over the bound on all segments");
        }
        for (String name : drop) {
            store.delete(name);
            segments.dropped();
            dropped++;
        }
        segments.writing(frame.length);
        sink.write(frame);
        segments.wrote();
        bytes += frame.length;
    }

    private void failed(double now, IOException e) {
        if (!failing) {
            tell.accept("capture: " + e.getMessage() + "; calls are lost until it can be written again");
        }
        failing = true;
        failures++;
        why = String.valueOf(e.getMessage());
        segments.failed(now);
        try {
            closeSink();
        } catch (IOException x) {
            why += "; and at its close: " + x.getMessage();
        }
    }
}
