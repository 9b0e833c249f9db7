package quincespar.capture;

import java.util.Comparator;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A segment's name, {@code NAME-START-SERIAL.qcap}: whose capture it is, when that process began, in milliseconds since
 * 1970, and its number among that process's segments, from 1.
 */
public record SegmentName(String instance, long processStart, int number) implements Comparable<SegmentName> {
    private static final Pattern FORM = Pattern.compile("(.+)-([0-9]{13})-([0-9]{6})\\.qcap");
    private static final Comparator<SegmentName> ORDER = Comparator.comparing(SegmentName::instance)
            .thenComparingLong(SegmentName::processStart).thenComparingInt(SegmentName::number);

    /** What would lead out of a folder is replaced in {@code of}. */
    public SegmentName {
        instance = instance.replaceAll("[^A-Za-z0-9_.-]", "_");
    }

    /** Reads a file's name; nothing where it is no segment's. */
    public static Optional<SegmentName> parse(String file) {
        Matcher m = FORM.matcher(file);
        return m.matches() ? Optional.of(new SegmentName(m.group(1), Long.parseLong(m.group(2)),
                Integer.parseInt(m.group(3)))) : Optional.empty();
    }

    /** The file's name. */
    public String fileName() {
        return String.format(Locale.ROOT, "%s-%013d-%06d.qcap", instance, processStart, number);
    }

    SegmentName next() {
        return new SegmentName(instance, processStart, number + 1);
    }

    /** Whether the other one follows this one with nothing between them. */
    boolean leadsTo(SegmentName other) {
        return next().equals(other);
    }

    @Override
    public int compareTo(SegmentName other) {
        return ORDER.compare(this, other);
    }
}
