package quincespar.program.runtime;

/**
 * Unix time in fractional milliseconds. It is monotonic: it takes the system clock's time once, at the start, and later
 * changes to the system clock do not affect it.
 */
public final class Clock {
    private final double offset = System.currentTimeMillis() - System.nanoTime() / 1e6;

    /** The current time in milliseconds. */
    public double now() {
        return offset + System.nanoTime() / 1e6;
    }
}
