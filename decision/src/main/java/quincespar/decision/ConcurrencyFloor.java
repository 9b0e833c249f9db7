package quincespar.decision;

/**
 * The threads below which a concurrency limit is never cut, however long attempts take: with fewer, cores
 * would idle while queries wait.
 */
final class ConcurrencyFloor {
    /**
     * Threads per core of one engine's limit. A part of each query's time is spent on disks, so one thread
     * per core leaves cores idle; the work done falls only well beyond this level.
     */
    static final double THREADS_PER_CORE = 1.5;
    /** Threads per core of a limit over many engines: these threads may meet on a few of them. */
    static final double SHARED_THREADS_PER_CORE = 1;
    /** A limit always lets one query run. */
    private static final double LEAST_THREADS = 1;

    private ConcurrencyFloor() { }

    /**
     * The floor of one router's limit.
     *
     * @param coresPerRouter cores under the limit, divided by the number of routers
     * @param shared whether the limit covers many engines
     */
    static double threads(double coresPerRouter, boolean shared) {
        double threadsPerCore = shared ? SHARED_THREADS_PER_CORE : THREADS_PER_CORE;
        return Math.max(LEAST_THREADS, threadsPerCore * coresPerRouter);
    }
}
