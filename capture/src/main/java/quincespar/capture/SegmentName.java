package quincespar.capture;

import java.util.Comparator;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The name of a segment file, {@code INSTANCE-START-NUMBER.qcap}.
 *
 * @param instance the instance that was captured
 * @param processStart when its process started, in Unix milliseconds
 * @param number the segment's number within that process, from 1
 */
public record SegmentName(String instance, long processStart, int number) implements Comparable<SegmentName> {
    private static final Pattern FORMAT = Pattern.compile("(.+)-([0-9]{13})-([0-9]{6})\\.qcap");
    private static final Comparator<SegmentName> ORDER = Comparator.comparing(SegmentName::instance)
            .thenComparingLong(SegmentName::processStart).thenComparingInt(SegmentName::number);

    /** Replaces characters in the instance's name that could lead out of the folder. */
    public SegmentName {
        instance = instance.replaceAll("[^A-Za-z0-9_.-]", "_");
    }

    /** Parses a file name; empty if it is not that of a segment. */
    public static Optional<SegmentName> parse(String fileName) {
        Matcher m = FORMAT.matcher(fileName);
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

    /** Whether {@code other} is the next segment of the same process. */
    boolean isFollowedBy(SegmentName other) {
        return next().equals(other);
    }

    @Override
    public int compareTo(SegmentName other) {
        return ORDER.compare(this, other);
    }
}
