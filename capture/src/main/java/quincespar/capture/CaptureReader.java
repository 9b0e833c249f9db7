package quincespar.capture;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.NoSuchFileException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/** Reads the captures in a store: which there are, and their entries in order, with gaps where something is missing. */
public final class CaptureReader {
    /** One segment, read to its end; {@code damage} tells what was lost there, null where it is whole. */
    public record SegmentSummary(SegmentName name, long bytes, Entry.Opening opening, long records, long calls, double from,
            double to, boolean state, String damage) { }

    /** Takes entries; false ends the reading. */
    public interface EntryVisitor {
        boolean visit(SegmentName segment, Entry entry) throws IOException;
    }

    private final SegmentStore store;
    private final EntryCodec codec = new EntryCodec();

    /** Reads from that store. */
    public CaptureReader(SegmentStore store) {
        this.store = store;
    }

    /** The names of all segments, by name, start and number. */
    public List<SegmentName> segmentNames() throws IOException {
        return store.list().stream().map(h -> SegmentName.parse(h.name())).flatMap(Optional::stream).sorted().toList();
    }

    /** Reads one segment to its end; throws {@link MalformedCaptureException} where it is none, or of another schema. */
    public SegmentSummary summarize(SegmentName name) throws IOException {
        Look look = new Look();
        End end = each(name, e -> {
            look.at(e);
            return true;
        });
        return new SegmentSummary(name, end.offset(), look.opening, end.records(), look.calls, look.from, look.to, look.state,
                end.damage());
    }

    /** Entries of these segments in their order; a gap stands where a segment is missing or lost its tail. */
    public void forEachEntry(List<SegmentName> names, EntryVisitor visitor) throws IOException {
        SegmentName before = null;
        boolean[] more = {true};
        double[] time = {0};
        for (SegmentName name : names) {
            if (before != null && before.instance().equals(name.instance()) && before.processStart() == name.processStart() && !before.isFollowedBy(name)) {
                more[0] = visitor.visit(name, new Entry.Gap(time[0], 0, "segments before " + name.fileName() + " are missing"));
            }
            if (!more[0]) {
                return;
            }
            End end;
            try {
                end = each(name, e -> {
                    time[0] = e instanceof Entry.Call c ? c.time() : time[0];
                    more[0] = visitor.visit(name, e);
                    return more[0];
                });
            } catch (NoSuchFileException e) { // its writer goes on, and drops what is old while this one reads
                end = new End(0, 0, "it has gone");
            }
            if (more[0] && end.damage() != null) {
                more[0] = visitor.visit(name, new Entry.Gap(time[0], 0, name.fileName() + ": " + end.damage()));
            }
            before = name;
        }
    }

    private interface Each {
        boolean take(Entry e) throws IOException;
    }

    private record End(long offset, long records, String damage) { }

    private End each(SegmentName name, Each taker) throws IOException {
        try (InputStream from = new BufferedInputStream(store.open(name.fileName()), 1 << 16)) {
            byte[] head = Frames.header(codec.schema());
            from.mark(head.length);
            byte[] found = from.readNBytes(head.length);
            if (found.length < head.length && Arrays.equals(found, Arrays.copyOf(head, found.length))) {
                return new End(0, 0, "it is cut off within its head"); // its writer was killed or could not go on
            }
            from.reset();
            Frames.Reader in = new Frames.Reader(from, codec.schema());
            for (byte[] r = in.next(); r != null; r = in.next()) {
                if (!taker.take(codec.read(r))) {
                    break;
                }
            }
            return new End(in.offset(), in.records(), in.damage());
        }
    }

    /** The entries of some segments whose calls lie within a time, from the last state before it on, as a list. */
    public List<Entry> cut(List<SegmentName> names, double from, double to) throws IOException {
        List<Entry> out = new ArrayList<>();
        boolean[] within = {false};
        forEachEntry(names, (name, e) -> {
            if (e instanceof Entry.Opening && !within[0]) {
                out.clear(); // nothing of the segments before was asked for
            }
            if (e instanceof Entry.Call c) {
                within[0] |= c.time() >= from && c.time() <= to;
                if (c.time() > to) {
                    return false;
                }
            }
            out.add(e);
            return true;
        });
        return within[0] ? out : List.of();
    }

    /** What is told of a segment, gathered on the way through it. */
    private static final class Look {
        private Entry.Opening opening;
        private long calls;
        private double from = Double.NaN;
        private double to = Double.NaN;
        private boolean state;

        void at(Entry e) {
            if (e instanceof Entry.Opening o) {
                opening = o;
            } else if (e instanceof Entry.State) {
                state = true;
            } else if (e instanceof Entry.Call c) {
                calls++;
                from = Double.isNaN(from) ? c.time() : from;
                to = c.time();
            }
        }
    }
}
