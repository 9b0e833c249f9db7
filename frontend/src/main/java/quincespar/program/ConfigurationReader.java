package quincespar.program;

import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import quincespar.program.runtime.Clock;
import quincespar.program.runtime.Timers;
import quincespar.routing.Input;
import quincespar.transport.Threads;

/**
 * Reads the configuration's file again when the operators say that it was replaced. Where the system fails to read it for a
 * moment it is tried again: guards against following the old change log for good, which tells nothing more.
 */
final class ConfigurationReader {
    private static final double RETRY_MS = 50;
    private static final double RETRY_FOR_MS = 10_000;

    private final Logger log = LoggerFactory.getLogger(ConfigurationReader.class);
    private final Map<String, String> environment;
    private final Clock clock;
    private final Timers timers;
    private final Consumer<Input> post;

    ConfigurationReader(Map<String, String> environment, Clock clock, Timers timers, Consumer<Input> post) {
        this.environment = environment;
        this.clock = clock;
        this.timers = timers;
        this.post = post;
    }

    /** Reads it on a thread of its own, and holds it against the document in force; the outcome is posted. */
    void read(long serial, Map<String, Object> inForce) {
        tryUntil(clock.now() + RETRY_FOR_MS, serial, inForce);
    }

    private void tryUntil(double end, long serial, Map<String, Object> inForce) {
        Threads.daemon("configuration", () -> {
            try {
                ConfigurationCheck.Good read = Configuration.read(environment, inForce);
                post.accept(new Input.ConfigurationLoaded(serial, read.configuration().changeLog(), read.configuration().site(),
                        read.document()));
            } catch (UnreadableException e) {
                if (clock.now() < end) {
                    log.warn("configuration: tried again in {} ms: {}", RETRY_MS, e.getMessage());
                    timers.schedule(RETRY_MS, () -> tryUntil(end, serial, inForce));
                } else {
                    post.accept(new Input.ConfigurationRejected(serial, e.getMessage()));
                }
            } catch (RuntimeException e) { // whatever is wrong with the new file, the old one stays in force
                post.accept(new Input.ConfigurationRejected(serial, e.getMessage()));
            }
        }).start();
    }
}
