package quincespar.capture;

import java.io.IOException;
import java.util.List;
import java.util.function.Consumer;

/**
 * Writes a capture to a store. Each segment starts with the opening, a gap for calls lost before it, and the module's state;
 * calls follow. A failure ends the segment; calls are then lost, and counted, until the next segment begins. Confined to the
 * one thread that may wait for the store.
 */
public final class CaptureWriter {
    /** Totals since the start. */
    public record Counts(long calls, long lostCalls, long bytes, long segments, long deletedSegments, long failures) { }

    private final EntryCodec codec = new EntryCodec();
    private final Entry.Opening opening;
    private final SegmentPolicy policy;
    private final SegmentStore store;
    private final Consumer<String> log;
    /** The open segment; null if there is none. */
    private SegmentStore.SegmentOutput output;
    /** Calls lost since the last segment began. */
    private long pendingLostCalls;
    private String lossReason = "";
    private long calls;
    private long lostCalls;
    private long bytes;
    private long segments;
    private long deletedSegments;
    private long failures;
    private boolean failing;

    /** {@code log} takes one line for the first failure after a success, and one for the recovery from failures. */
    public CaptureWriter(Entry.Opening opening, SegmentPolicy policy, SegmentStore store, Consumer<String> log) {
        this.opening = opening;
        this.policy = policy;
        this.store = store;
        this.log = log;
    }

    /** Whether a new segment should begin now, with a snapshot of the module's state. */
    public boolean segmentDue(double now) {
        return policy.segmentDue(now);
    }

    /** Whether a segment is open; otherwise calls are lost. */
    public boolean isOpen() {
        return output != null;
    }

    /**
     * Begins a segment.
     *
     * @param state the module's state; null for a module that was just created
     * @param lostBefore calls lost before they reached this writer, for {@code reason}
     */
    public void beginSegment(double now, Entry.State state, long lostBefore, String reason) {
        addLost(lostBefore, reason);
        if (policy.phase() == SegmentPolicy.Phase.BACKING_OFF && !policy.segmentDue(now)) {
            return; // the state was taken before the failure was known; another one is requested after the backoff
        }
        try {
            closeOutput();
            output = store.create(policy.beginSegment(now));
            append(now, Frames.header(codec.schema()));
            append(now, frame(opening));
            if (pendingLostCalls > 0) {
                append(now, frame(new Entry.Gap(state == null ? opening.time() : state.time(), pendingLostCalls, lossReason)));
            }
            if (state != null) {
                append(now, frame(state));
            }
            output.flush();
            segments++;
            if (segments == 1 || pendingLostCalls > 0) {
                log.accept("capture: new segment started"
                        + (pendingLostCalls > 0 ? "; " + pendingLostCalls + " calls lost before it: " + lossReason : ""));
            }
            failing = false;
            pendingLostCalls = 0;
        } catch (IOException e) {
            failed(now, e);
        }
    }

    /** Writes a call, or counts it as lost. */
    public void writeCall(double now, Entry.Call call) {
        if (output == null) {
            addLost(1, lossReason);
            return;
        }
        try {
            append(now, frame(call));
            calls++;
        } catch (IOException e) {
            addLost(1, String.valueOf(e.getMessage()));
            failed(now, e);
        }
    }

    /** Writes a gap after a failure of the module. */
    public void writeGap(double now, Entry.Gap gap) {
        if (output != null) {
            try {
                append(now, frame(gap));
            } catch (IOException e) {
                failed(now, e);
            }
        }
    }

    /** Flushes the open segment, so that everything written survives the end of this process. */
    public void flush(double now) {
        if (output != null) {
            try {
                output.flush();
            } catch (IOException e) {
                failed(now, e);
            }
        }
    }

    /** Flushes and closes the last segment. */
    public void close(double now) {
        flush(now);
        try {
            closeOutput();
        } catch (IOException e) {
            failed(now, e);
        }
        policy.endSegment(now);
    }

    /** The totals so far. */
    public Counts counts() {
        return new Counts(calls, lostCalls, bytes, segments, deletedSegments, failures);
    }

    private void closeOutput() throws IOException {
        SegmentStore.SegmentOutput closing = output;
        output = null;
        if (closing != null) {
            closing.close();
        }
    }

    private void addLost(long more, String reason) {
        pendingLostCalls += more;
        lostCalls += more;
        lossReason = more > 0 ? reason : lossReason;
    }

    private byte[] frame(Entry entry) {
        return Frames.frame(codec.write(entry));
    }

    private void append(double now, byte[] frame) throws IOException {
        List<String> deletions = policy.deletionsFor(frame.length, now);
        if (deletions == null) {
            throw new IOException("writing " + frame.length + " bytes would exceed the limit on the size of all segments");
        }
        for (String name : deletions) {
            store.delete(name);
            policy.oldestDeleted();
            deletedSegments++;
        }
        policy.writing(frame.length);
        output.write(frame);
        policy.writeSucceeded();
        bytes += frame.length;
    }

    private void failed(double now, IOException e) {
        if (!failing) {
            log.accept("capture: " + e.getMessage() + "; calls are lost until writing succeeds again");
        }
        failing = true;
        failures++;
        lossReason = String.valueOf(e.getMessage());
        policy.operationFailed(now);
        try {
            closeOutput();
        } catch (IOException closeFailure) {
            lossReason += "; closing the segment failed: " + closeFailure.getMessage();
        }
    }
}
