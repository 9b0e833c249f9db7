package quincespar.program;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import ch.qos.logback.core.spi.ContextAwareBase;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.LoggerFactory;
import quincespar.settings.Keyword;
import quincespar.settings.Settings;

/**
 * Configures logging: lines as text or JSON on standard error, written by a separate thread from a bounded queue. Log calls never
 * block, so that the reducer goes on when the reader of standard error does not. Lines are dropped and counted while the queue is
 * full.
 */
public final class Logs extends ContextAwareBase implements Configurator {
    private static final String TEXT = "%d{HH:mm:ss.SSS} %-5level %msg%replace( %kvp){'^ $', ''}%n%ex";
    /** Time limit for writing the queued lines at the end. */
    private static final int FLUSH_MS = 500;

    private final AtomicLong dropped = new AtomicLong();
    private AsyncAppender queue;

    /** Parent of the loggers of the Raft library, which the agreement module uses. */
    private static final String RAFT_LOGGER = "org.apache.ratis";

    /** Called by the logging library at the first log call, before any settings are read. */
    public Logs() { }

    @Override
    public ExecutionStatus configure(LoggerContext context) {
        install(context, Settings.defaults());
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }

    /** Configures all loggers by the settings. */
    static Logs start(Settings settings) {
        Logs logs = new Logs();
        logs.install((LoggerContext) LoggerFactory.getILoggerFactory(), settings);
        return logs;
    }

    private void install(LoggerContext context, Settings settings) {
        context.reset();
        ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
        console.setContext(context);
        console.setTarget("System.err");
        console.setEncoder(encoder(context, settings.text(Keyword.LOG_FORMAT).equals("json")));
        console.start();
        queue = new AsyncAppender() {
            @Override
            protected void append(ILoggingEvent event) {
                if (getRemainingCapacity() == 0) {
                    dropped.incrementAndGet();
                } else {
                    super.append(event); // does not block; a line dropped because the queue has just filled is not counted
                }
            }
        };
        queue.setContext(context);
        queue.setQueueSize(settings.count(Keyword.LOG_QUEUE_LENGTH));
        queue.setDiscardingThreshold(0);
        queue.setNeverBlock(true);
        queue.setMaxFlushTime(FLUSH_MS);
        queue.addAppender(console);
        queue.start();
        ch.qos.logback.classic.Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.toLevel(settings.text(Keyword.LOG_LEVEL)));
        root.addAppender(queue);
        // the Raft library logs each lost message; the fleet's own lines report what matters
        context.getLogger(RAFT_LOGGER).setLevel(Level.ERROR);
    }

    private static Encoder<ILoggingEvent> encoder(LoggerContext context, boolean json) {
        if (json) {
            JsonEncoder e = new JsonEncoder();
            e.setContext(context);
            e.setWithMessage(false);
            e.setWithFormattedMessage(true);
            e.setWithSequenceNumber(false);
            e.setWithNanoseconds(false);
            e.setWithContext(false);
            e.setWithMDC(false);
            e.setWithMarkers(false);
            e.setWithArguments(false);
            e.start();
            return e;
        }
        PatternLayoutEncoder e = new PatternLayoutEncoder();
        e.setContext(context);
        e.setPattern(TEXT);
        e.start();
        return e;
    }

    /** The number of lines dropped because the queue was full. */
    long dropped() {
        return dropped.get();
    }

    /** Writes the queued lines and stops. */
    void stop() {
        queue.stop();
    }
}
