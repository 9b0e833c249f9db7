package quincespar.program;

/** Unix milliseconds with fractions that never run backwards, whatever is done to the system's clock. */
final class Clock {
    private final double offset = System.currentTimeMillis() - System.nanoTime() / 1e6;

    double now() {
        return offset + System.nanoTime() / 1e6;
    }
}
