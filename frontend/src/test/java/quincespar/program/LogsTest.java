package quincespar.program;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import quincespar.settings.ConfException;
import quincespar.settings.ConfReader;
import quincespar.settings.Settings;

@Timeout(60)
class LogsTest {
    private final PrintStream before = System.err;
    private final ByteArrayOutputStream written = new ByteArrayOutputStream();
    private final Logger log = LoggerFactory.getLogger(LogsTest.class);

    @AfterEach
    void restore() {
        System.setErr(before);
        Logs.start(Settings.defaults());
    }

    private String lines(String conf, Runnable body) throws ConfException {
        System.setErr(new PrintStream(written, true, StandardCharsets.UTF_8));
        Logs logs = Logs.start(ConfReader.read("f", conf));
        body.run();
        logs.stop();
        return written.toString(StandardCharsets.UTF_8);
    }

    @Test
    void linesAreTextWithFieldsOrJsonObjects() throws ConfException {
        Runnable body = () -> {
            log.atInfo().addKeyValue("engine", "s-1").log("a link is {}", "up");
            log.debug("below the level");
        };
        assertThat(lines("", body)).matches("(?s)[0-9:.]{12} INFO  a link is up engine=\"s-1\"\n");
        written.reset();
        String json = lines("log {\n format json\n level debug\n}\n", body);
        assertThat(json.lines()).hasSize(2).allMatch(l -> l.startsWith("{") && l.endsWith("}"));
        assertThat(json).contains("\"a link is up\"", "{\"engine\":\"s-1\"}", "\"DEBUG\"");
    }

    /** The reader of standard error may stop reading: log calls do not block, and dropped lines are counted. */
    @Test
    void aBlockedStandardErrorDoesNotBlockLogCalls() throws Exception {
        CountDownLatch reading = new CountDownLatch(1);
        CountDownLatch blocked = new CountDownLatch(1);
        System.setErr(new PrintStream(new OutputStream() {
            @Override
            public void write(int b) {
                boolean interrupted = false;
                blocked.countDown();
                while (reading.getCount() > 0) { // like a full pipe: an interrupt does not end the write
                    try {
                        reading.await();
                    } catch (InterruptedException e) {
                        interrupted = true;
                    }
                }
                if (interrupted) {
                    Thread.currentThread().interrupt();
                }
                written.write(b);
            }
        }, true, StandardCharsets.UTF_8));
        Logs logs = Logs.start(ConfReader.read("f", "log {\n queue 16\n}\n"));
        log.info("the first line");
        blocked.await(); // the writer drains the whole queue when it wakes: the queue stays full only once it is blocked
        for (int i = 0; i < 100; i++) {
            log.info("line {}", i);
        }
        assertThat(logs.dropped()).isEqualTo(100 - 16);
        reading.countDown();
        logs.stop();
        String lines = written.toString(StandardCharsets.UTF_8);
        assertThat(lines).contains("the first line\n", "line 15\n").doesNotContain("line 16\n", "line 99\n");
        assertThat(lines.lines().count() + logs.dropped()).isEqualTo(101);
    }

    @Test
    void anErrorIsLoggedWithItsStackTrace() throws ConfException {
        assertThat(lines("", () -> log.error("in the reducer", new UncheckedIOException(new IOException("disk")))))
                .contains("in the reducer", "UncheckedIOException", "LogsTest");
    }
}
