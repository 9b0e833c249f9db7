package quincespar.transport;

/** Lets tests of other packages begin a passage as the writer does. */
public final class PassageAccess {
    private PassageAccess() { }

    /** Begins it, as with the first byte. */
    public static void begin(Passage passage) {
        if (!passage.begin()) {
            throw new AssertionError("the passage was taken back");
        }
    }
}
