package quincespar.transport;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** The total and the longest of the durations of a repeated activity. Safe for use by several threads. */
public final class DurationStats {
    private final AtomicLong totalNanos = new AtomicLong();
    private final AtomicLong longestNanos = new AtomicLong();

    /** Adds the time from {@code startNanos} until now; {@link System#nanoTime}. */
    public void addSince(long startNanos) {
        long nanos = System.nanoTime() - startNanos;
        totalNanos.addAndGet(nanos);
        longestNanos.accumulateAndGet(nanos, Math::max);
    }

    /** The sum of all durations, in microseconds. */
    public long totalUs() {
        return TimeUnit.NANOSECONDS.toMicros(totalNanos.get());
    }

    /** The longest duration, in microseconds. */
    public long longestUs() {
        return TimeUnit.NANOSECONDS.toMicros(longestNanos.get());
    }
}
