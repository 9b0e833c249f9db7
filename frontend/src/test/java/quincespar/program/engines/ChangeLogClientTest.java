package quincespar.program.engines;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import quincespar.routing.Effect;
import quincespar.routing.Input;
import quincespar.transport.EventLoop;

/** Polls on real connections to a scripted change log. */
@Timeout(20)
class ChangeLogClientTest {
    private EventLoop loop;
    private ServerSocket changeLog;

    @BeforeEach
    void start() throws Exception {
        changeLog = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        loop = new EventLoop("test");
        loop.start();
    }

    @AfterEach
    void close() throws Exception {
        loop.stop();
        changeLog.close();
    }

    private Effect.PollChangeLog poll(long id) {
        return new Effect.PollChangeLog(id, "127.0.0.1:" + changeLog.getLocalPort(), 1, 1000, 5000);
    }

    /**
     * Guards against a deadlock: the thread that polls also makes room for inputs, so it must not wait for one that waits for
     * room.
     */
    @Test
    void aPollDoesNotWaitForAFailureThatWaitsForRoomInTheQueue() throws Exception {
        BlockingQueue<Input> posted = new LinkedBlockingQueue<>();
        CountDownLatch room = new CountDownLatch(1);
        ChangeLogClient client = new ChangeLogClient(loop, input -> {
            posted.add(input);
            awaitUninterruptibly(room);
        });
        client.poll(poll(1));
        try (Socket connection = changeLog.accept()) {
            connection.getOutputStream().write("no HTTP\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            assertThat(((Input.PollFailed) posted.take()).pollId()).isEqualTo(1);
            client.poll(poll(2));
            room.countDown();
        }
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
