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
 * The log: lines as text or JSON on standard error, written by a thread of their own behind a bounded queue. No log call
 * waits: guards against a reader of the log that stops, which would hold up the reducer. What finds the queue full is
 * dropped and counted.
 */
public final class Logs extends ContextAwareBase implements Configurator {
    private static final String TEXT = "%d{HH:mm:ss.SSS} %-5level %msg%replace( %kvp){'^ $', ''}%n%ex";
    /** At the end, what is queued has so long to be written. */
    private static final int FLUSH_MS = 500;

    private final AtomicLong dropped = new AtomicLong();
    private AsyncAppender queue;

    /** The loggers of the agreement's library, where one is opened. */
    private static final String AGREEMENT = "org.apache.ratis";

    /** The library makes one at the first log call, before any settings are read. */
    public Logs() { }

    @Override
    public ExecutionStatus configure(LoggerContext context) {
        to(context, Settings.defaults());
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }

    /** Has all loggers write as the settings say. */
    static Logs start(Settings settings) {
        Logs logs = new Logs();
        logs.to((LoggerContext) LoggerFactory.getILoggerFactory(), settings);
        return logs;
    }

    private void to(LoggerContext context, Settings settings) {
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
                    super.append(event); // one that finds the queue filled meanwhile is not counted, and does not wait
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
        context.getLogger(AGREEMENT).setLevel(Level.ERROR); // it tells each lost message; what matters is told by the fleet's own lines
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

    /** Lines that were not written as too many waited. */
    long dropped() {
        return dropped.get();
    }

    /** Writes what is queued, and then no more. */
    void stop() {
        queue.stop();
    }
}
