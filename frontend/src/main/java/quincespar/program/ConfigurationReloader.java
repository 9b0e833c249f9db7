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
 * Reads the configuration file again when an operator has replaced it. I/O errors are retried: after a single failed read the
 * front end would otherwise keep polling the old change log, which may have no new events any more.
 */
final class ConfigurationReloader {
    private static final double RETRY_DELAY_MS = 50;
    private static final double RETRY_TIMEOUT_MS = 10_000;

    private final Logger log = LoggerFactory.getLogger(ConfigurationReloader.class);
    private final Map<String, String> environment;
    private final Clock clock;
    private final Timers timers;
    private final Consumer<Input> post;

    ConfigurationReloader(Map<String, String> environment, Clock clock, Timers timers, Consumer<Input> post) {
        this.environment = environment;
        this.clock = clock;
        this.timers = timers;
        this.post = post;
    }

    /** Reads the file on another thread, checks it against the current document, and posts the outcome with this reload id. */
    void reload(long reloadId, Map<String, Object> current) {
        tryUntil(clock.now() + RETRY_TIMEOUT_MS, reloadId, current);
    }

    private void tryUntil(double deadline, long reloadId, Map<String, Object> current) {
        Threads.daemon("configuration", () -> {
            try {
                ConfigurationCheck.Valid read = Configuration.read(environment, current);
                post.accept(new Input.ConfigurationLoaded(reloadId, read.configuration().changeLog(), read.configuration().site(),
                        read.document()));
            } catch (ConfigurationIOException e) {
                if (clock.now() < deadline) {
                    log.warn("configuration could not be read, retrying in {} ms: {}", RETRY_DELAY_MS, e.getMessage());
                    timers.schedule(RETRY_DELAY_MS, () -> tryUntil(deadline, reloadId, current));
                } else {
                    post.accept(new Input.ConfigurationRejected(reloadId, e.getMessage()));
                }
            } catch (RuntimeException e) { // an invalid file is rejected, the current configuration stays in use
                post.accept(new Input.ConfigurationRejected(reloadId, e.getMessage()));
            }
        }).start();
    }
}
