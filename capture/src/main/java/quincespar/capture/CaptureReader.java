package quincespar.capture;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.NoSuchFileException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/** Reads the captures in a store: lists the segments, and reads their entries in order, with gaps where data is missing. */
public final class CaptureReader {
    private static final int READ_BUFFER_BYTES = 1 << 16;

    /**
     * One segment, read to its end.
     *
     * @param from the time of the first call, NaN if there is none
     * @param to the time of the last call, NaN if there is none
     * @param hasState whether it holds a snapshot of the module's state
     * @param damage where and why its tail is lost; null if it is intact
     */
    public record SegmentSummary(SegmentName name, long bytes, Entry.Opening opening, long records, long calls, double from,
            double to, boolean hasState, String damage) { }

    /** Receives entries in order. */
    public interface EntryVisitor {
        /** Receives one entry; returns false to stop reading. */
        boolean visit(SegmentName segment, Entry entry) throws IOException;
    }

    private final SegmentStore store;
    private final EntryCodec codec = new EntryCodec();

    /** Reads from this store. */
    public CaptureReader(SegmentStore store) {
        this.store = store;
    }

    /** The names of all segments, ordered by instance, process start and number. */
    public List<SegmentName> segmentNames() throws IOException {
        return store.list().stream().map(s -> SegmentName.parse(s.name())).flatMap(Optional::stream).sorted().toList();
    }

    /** Reads one segment to its end; throws {@link MalformedCaptureException} if it is not one, or of another schema. */
    public SegmentSummary summarize(SegmentName name) throws IOException {
        SummaryBuilder summary = new SummaryBuilder();
        ReadEnd end = readSegment(name, e -> {
            summary.add(e);
            return true;
        });
        return new SegmentSummary(name, end.offset(), summary.opening, end.records(), summary.calls, summary.from, summary.to,
                summary.hasState, end.damage());
    }

    /** Reads the entries of these segments in order, with a gap for each segment that is missing or damaged. */
    public void forEachEntry(List<SegmentName> names, EntryVisitor visitor) throws IOException {
        SegmentName before = null;
        boolean[] more = {true};
        double[] time = {0};
        for (SegmentName name : names) {
            if (before != null && isSameProcess(before, name) && !before.isFollowedBy(name)) {
                more[0] = visitor.visit(name, new Entry.Gap(time[0], 0, "segments before " + name.fileName() + " are missing"));
            }
            if (!more[0]) {
                return;
            }
            ReadEnd end;
            try {
                end = readSegment(name, e -> {
                    time[0] = e instanceof Entry.Call c ? c.time() : time[0];
                    more[0] = visitor.visit(name, e);
                    return more[0];
                });
            } catch (NoSuchFileException e) { // the writer is still running, and has deleted it as the oldest segment
                end = new ReadEnd(0, 0, "deleted while reading");
            }
            if (more[0] && end.damage() != null) {
                more[0] = visitor.visit(name, new Entry.Gap(time[0], 0, name.fileName() + ": " + end.damage()));
            }
            before = name;
        }
    }

    private static boolean isSameProcess(SegmentName a, SegmentName b) {
        return a.instance().equals(b.instance()) && a.processStart() == b.processStart();
    }

    private interface EntryConsumer {
        boolean accept(Entry e) throws IOException;
    }

    private record ReadEnd(long offset, long records, String damage) { }

    private ReadEnd readSegment(SegmentName name, EntryConsumer consumer) throws IOException {
        try (InputStream in = new BufferedInputStream(store.open(name.fileName()), READ_BUFFER_BYTES)) {
            byte[] header = Frames.header(codec.schema());
            in.mark(header.length);
            byte[] found = in.readNBytes(header.length);
            if (found.length < header.length && Arrays.equals(found, Arrays.copyOf(header, found.length))) {
                return new ReadEnd(0, 0, "cut off within the file header"); // the writer was killed, or its write failed
            }
            in.reset();
            Frames.Reader frames = new Frames.Reader(in, codec.schema());
            for (byte[] record = frames.next(); record != null; record = frames.next()) {
                if (!consumer.accept(codec.read(record))) {
                    break;
                }
            }
            return new ReadEnd(frames.offset(), frames.records(), frames.damage());
        }
    }

    /** The entries whose calls lie between two times, preceded by the entries back to the start of their first segment. */
    public List<Entry> cut(List<SegmentName> names, double from, double to) throws IOException {
        List<Entry> entries = new ArrayList<>();
        boolean[] within = {false};
        forEachEntry(names, (name, e) -> {
            if (e instanceof Entry.Opening && !within[0]) {
                entries.clear(); // the segments before are not needed
            }
            if (e instanceof Entry.Call c) {
                within[0] |= c.time() >= from && c.time() <= to;
                if (c.time() > to) {
                    return false;
                }
            }
            entries.add(e);
            return true;
        });
        return within[0] ? entries : List.of();
    }

    private static final class SummaryBuilder {
        private Entry.Opening opening;
        private long calls;
        private double from = Double.NaN;
        private double to = Double.NaN;
        private boolean hasState;

        void add(Entry e) {
            if (e instanceof Entry.Opening o) {
                opening = o;
            } else if (e instanceof Entry.State) {
                hasState = true;
            } else if (e instanceof Entry.Call c) {
                calls++;
                from = Double.isNaN(from) ? c.time() : from;
                to = c.time();
            }
        }
    }
}
