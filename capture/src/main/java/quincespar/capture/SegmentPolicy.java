package quincespar.capture;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.List;

/**
 * Decides when the next segment begins, which old segments are deleted to keep the total size within its limit, and when to
 * retry after a failure. Does no I/O; all times are milliseconds on one clock.
 */
public final class SegmentPolicy {
    /**
     * The limits on segments.
     *
     * @param segmentBytes a segment ends at this size
     * @param segmentMs a segment ends at this age
     * @param totalBytes the maximum size of all segments together
     * @param retentionMs how long a segment is kept after its end
     * @param initialBackoffMs the wait after a first failure; it doubles with each further one
     * @param maxBackoffMs the longest such wait
     */
    public record Limits(long segmentBytes, double segmentMs, long totalBytes, double retentionMs, double initialBackoffMs,
            double maxBackoffMs) {
        /** Throws {@link IllegalArgumentException} if a new segment would require deleting the only other one. */
        public Limits {
            if (segmentBytes < 1 || totalBytes < 2 * segmentBytes) {
                throw new IllegalArgumentException("the total size must allow for two segments at least");
            }
        }
    }

    /** The phases of writing. */
    public enum Phase {
        /** No segment is open. */
        NONE,
        /** A segment is open. */
        WRITING,
        /** A write has failed: nothing is written until the backoff is over. */
        BACKING_OFF
    }

    private record ClosedSegment(String name, long bytes, double endedAt) { }

    private final Limits limits;
    /** Oldest first. */
    private final Deque<ClosedSegment> closed = new ArrayDeque<>();
    private SegmentName name;
    private Phase phase = Phase.NONE;
    private long closedBytes;
    private long openBytes;
    private double startedAt;
    private double backoffMs;
    private double retryAt;

    /** Starts with the segments that are stored already, oldest first; {@code previous} precedes the first name to be used. */
    public SegmentPolicy(Limits limits, SegmentName previous, Collection<SegmentStore.StoredSegment> stored, double now) {
        this.limits = limits;
        name = previous;
        stored.forEach(s -> addClosed(s.name(), s.bytes(), now));
    }

    private void addClosed(String fileName, long bytes, double now) {
        closed.addLast(new ClosedSegment(fileName, bytes, now));
        closedBytes += bytes;
    }

    public Phase phase() {
        return phase;
    }

    /** The size of all segments, closed and open, in bytes. */
    public long bytes() {
        return closedBytes + openBytes;
    }

    /** Whether a new segment should begin now, with a snapshot of the module's state. */
    public boolean segmentDue(double now) {
        return switch (phase) {
            case NONE -> true;
            case WRITING -> openBytes >= limits.segmentBytes() || now - startedAt >= limits.segmentMs();
            case BACKING_OFF -> now >= retryAt;
        };
    }

    /** Ends the open segment, if any, and returns the file name of the next one. */
    public String beginSegment(double now) {
        endSegment(now);
        name = name.next();
        phase = Phase.WRITING;
        startedAt = now;
        return name.fileName();
    }

    /** The segments to delete, oldest first, before this many bytes are written; null if the limit does not allow them. */
    public List<String> deletionsFor(long moreBytes, double now) {
        List<String> deletions = new ArrayList<>();
        long remaining = closedBytes;
        for (ClosedSegment segment : closed) {
            boolean expired = segment.endedAt() + limits.retentionMs() <= now;
            if (!expired && remaining + openBytes + moreBytes <= limits.totalBytes()) {
                break;
            }
            deletions.add(segment.name());
            remaining -= segment.bytes();
        }
        return remaining + openBytes + moreBytes <= limits.totalBytes() ? deletions : null;
    }

    /** The oldest closed segment has been deleted. */
    public void oldestDeleted() {
        closedBytes -= closed.removeFirst().bytes();
    }

    /** Counts bytes of the open segment before they are written, as a failed write may have stored any part of them. */
    public void writing(long bytes) {
        openBytes += bytes;
    }

    /** A write has succeeded: the next failure starts with the initial backoff. */
    public void writeSucceeded() {
        backoffMs = 0;
    }

    /** An operation has failed: the open segment ends and the backoff starts. */
    public void operationFailed(double now) {
        endSegment(now);
        backoffMs = backoffMs == 0 ? limits.initialBackoffMs() : Math.min(2 * backoffMs, limits.maxBackoffMs());
        retryAt = now + backoffMs;
        phase = Phase.BACKING_OFF;
    }

    /** Ends the open segment, if any. */
    public void endSegment(double now) {
        if (phase == Phase.WRITING) {
            addClosed(name.fileName(), openBytes, now);
            openBytes = 0;
        }
        phase = Phase.NONE;
    }
}
