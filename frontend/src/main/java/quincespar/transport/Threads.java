package quincespar.transport;

/** Creates the program's threads: daemons with a small stack. */
public final class Threads {
    private static final long STACK_BYTES = 160 * 1024;

    private Threads() { }

    /** A daemon thread that is not yet started. */
    public static Thread daemon(String name, Runnable body) {
        Thread thread = new Thread(null, body, name, STACK_BYTES);
        thread.setDaemon(true);
        return thread;
    }
}
