package quincespar.transport;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** System calls of a start, which may fail for a moment while nothing else can be done: tried again before the start fails. */
public final class Retry {
    private static final long PAUSE_MS = 20;
    private static final long LONGEST_MS = 2000;

    /** Something that calls the system. */
    public interface Call<T> {
        T run() throws IOException;
    }

    private Retry() { }

    /** Its result; throws what it threw last, where it has failed for two seconds. */
    public static <T> T atStartup(Call<T> call) throws IOException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LONGEST_MS);
        while (true) {
            try {
                return call.run();
            } catch (IOException e) {
                if (System.nanoTime() - until >= 0) {
                    throw e;
                }
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(PAUSE_MS));
            }
        }
    }
}
