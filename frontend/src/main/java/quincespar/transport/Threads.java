package quincespar.transport;

/** The program's own threads: daemons with a small stack. */
public final class Threads {
    private static final long STACK = 160 * 1024;

    private Threads() { }

    /** A thread that is not yet started. */
    public static Thread daemon(String name, Runnable body) {
        Thread t = new Thread(null, body, name, STACK);
        t.setDaemon(true);
        return t;
    }
}
