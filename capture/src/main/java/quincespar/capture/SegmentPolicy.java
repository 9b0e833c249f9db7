package quincespar.capture;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.List;

/**
 * Decides about segments: when the next one begins, which old ones go so that all together stay within their bound, and
 * when to try again after a failure. It reads and writes nothing; times are milliseconds on one clock.
 */
public final class SegmentPolicy {
    /**
     * {@code segmentBytes}, {@code segmentMs}: where a segment ends; {@code totalBytes}: what all hold together, never more;
     * {@code keepMs}: how long one is kept after its end; pauses after failures double from the first to the longest.
     */
    public record Limits(long segmentBytes, double segmentMs, long totalBytes, double keepMs, double firstPauseMs,
            double longestPauseMs) {
        /** Throws {@link IllegalArgumentException} where a new segment would have to take the place of the only one. */
        public Limits {
            if (segmentBytes < 1 || totalBytes < 2 * segmentBytes) {
                throw new IllegalArgumentException("the total must hold two segments at the least");
            }
        }
    }

    /** Where capturing stands. */
    public enum Phase {
        /** Nothing is open: a segment may begin with the module's state as it is. */
        NONE,
        /** A segment is open. */
        WRITING,
        /** Something failed: nothing is written for a while. */
        PAUSED
    }

    private record Ended(String name, long bytes, double at) { }

    private final Limits limits;
    private final Deque<Ended> kept = new ArrayDeque<>();
    private SegmentName name;
    private Phase phase = Phase.NONE;
    private long keptBytes;
    private long openBytes;
    private double begunAt;
    private double pauseMs;
    private double pausedUntil;

    /** Begins beside what is kept already, the oldest first; {@code before} is the name before the first one. */
    public SegmentPolicy(Limits limits, SegmentName before, Collection<SegmentStore.StoredSegment> found, double now) {
        this.limits = limits;
        name = before;
        found.forEach(f -> keep(f.name(), f.bytes(), now));
    }

    private void keep(String file, long bytes, double now) {
        kept.addLast(new Ended(file, bytes, now));
        keptBytes += bytes;
    }

    public Phase phase() {
        return phase;
    }

    /** What is held, closed and open, in bytes. */
    public long bytes() {
        return keptBytes + openBytes;
    }

    /** Whether a new segment is to begin, with the module's state as it is then. */
    public boolean due(double now) {
        return switch (phase) {
            case NONE -> true;
            case WRITING -> openBytes >= limits.segmentBytes() || now - begunAt >= limits.segmentMs();
            case PAUSED -> now >= pausedUntil;
        };
    }

    /** The name of the segment that begins now; one that was open has ended. */
    public String begin(double now) {
        end(now);
        name = name.next();
        phase = Phase.WRITING;
        begunAt = now;
        return name.fileName();
    }

    /** What has to go, the oldest first, so that these bytes more may be written now; null where they can't be. */
    public List<String> roomFor(long more, double now) {
        List<String> out = new ArrayList<>();
        long left = keptBytes;
        for (Ended e : kept) {
            boolean old = e.at() + limits.keepMs() <= now;
            if (!old && left + openBytes + more <= limits.totalBytes()) {
                break;
            }
            out.add(e.name());
            left -= e.bytes();
        }
        return left + openBytes + more <= limits.totalBytes() ? out : null;
    }

    /** The oldest one is gone. */
    public void dropped() {
        keptBytes -= kept.removeFirst().bytes();
    }

    /** So many bytes may have been written to the open segment: told before it is tried, as a failure leaves that open. */
    public void writing(long bytes) {
        openBytes += bytes;
    }

    /** A write was whole: whatever failed before is over. */
    public void wrote() {
        pauseMs = 0;
    }

    /** Something failed; nothing more is written to what was open. */
    public void failed(double now) {
        end(now);
        pauseMs = pauseMs == 0 ? limits.firstPauseMs() : Math.min(2 * pauseMs, limits.longestPauseMs());
        pausedUntil = now + pauseMs;
        phase = Phase.PAUSED;
    }

    /** Nothing more is written to what is open. */
    public void end(double now) {
        if (phase == Phase.WRITING) {
            keep(name.fileName(), openBytes, now);
            openBytes = 0;
        }
        phase = Phase.NONE;
    }
}
