package quincespar.transport;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Retries system calls at startup that fail for a short time, for example while descriptors are exhausted. */
public final class Retry {
    private static final long DELAY_MS = 20;
    private static final long TIMEOUT_MS = 2000;

    /** A call that may fail with an {@link IOException}. */
    public interface Call<T> {
        T run() throws IOException;
    }

    private Retry() { }

    /** Returns the result of the call, or throws its last exception after two seconds of failures. */
    public static <T> T atStartup(Call<T> call) throws IOException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        while (true) {
            try {
                return call.run();
            } catch (IOException e) {
                if (System.nanoTime() - deadlineNanos >= 0) {
                    throw e;
                }
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(DELAY_MS));
            }
        }
    }
}
