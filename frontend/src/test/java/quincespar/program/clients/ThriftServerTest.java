package quincespar.program.clients;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import quincespar.program.runtime.Clock;
import quincespar.program.runtime.Counters;
import quincespar.protocol.thrift.FrontCodec;
import quincespar.routing.Input;
import quincespar.routing.RoutingSettings;
import quincespar.transport.EventLoop;
import quincespar.transport.Listener;

/**
 * Everything that one read of a client's connection finds is posted as one batch. Each test starts the loop only after the client
 * has sent all of its data, so that the server reads it at once.
 */
@Timeout(30)
class ThriftServerTest {
    private final BlockingQueue<List<Input>> posted = new LinkedBlockingQueue<>();
    private EventLoop loop;
    private Listener listener;

    @BeforeEach
    void bind() throws IOException {
        loop = new EventLoop("test");
        listener = new Listener(loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), false);
        listener.bind();
        RoutingSettings settings = RoutingSettings.of(Map.of("tick", "5", "requestClasses.count", "1",
                "requestClasses.0.name", "lookup", "requestClasses.0.slo", "800", "requestClasses.0.hardLimit", "4000"));
        new ThriftServer(loop, listener, settings, 100, 2000, new Clock(), new Counters(), posted::add, HashMap::new).start();
    }

    @AfterEach
    void stop() {
        listener.close(() -> { });
        loop.stop();
    }

    private Socket connect() throws IOException {
        return new Socket(InetAddress.getLoopbackAddress(), listener.port());
    }

    private static byte[] call(int seqid) {
        return FrontCodec.call(seqid, Map.of("verb", "lookup", "txn", String.format("%016x", seqid), "limit", "3000",
                "cpu", "10.0", "heap_mb", "1"), "SELECT 1 FROM sales_3.t".getBytes(StandardCharsets.US_ASCII));
    }

    /** A one-way call of cancel in the strict binary protocol. */
    private static byte[] cancel(int seqid) {
        byte[] frame = {0, 0, 0, 0, (byte) 0x80, 1, 0, 4, 0, 0, 0, 6, 'c', 'a', 'n', 'c', 'e', 'l', 0, 0, 0, 99,
            8, 0, 1, 0, 0, 0, (byte) seqid, 0};
        frame[3] = (byte) (frame.length - 4);
        return frame;
    }

    /** The next batch after the one that reports the connection. */
    private List<Input> nextBatch() throws InterruptedException {
        List<Input> batch = posted.take();
        return batch.get(0) instanceof Input.CallerConnected ? posted.take() : batch;
    }

    /** If requests were posted as they are read, they would reach engines before the server sees that the client has closed. */
    @Test
    void postsNoRequestsOfAClientThatHasClosedItsConnection() throws Exception {
        try (Socket client = connect()) {
            for (int i = 1; i <= 20; i++) {
                client.getOutputStream().write(call(i));
            }
        }
        loop.start();
        assertThat(nextBatch()).singleElement().isInstanceOf(Input.CallerDisconnected.class);
    }

    /** The same for a reset connection. */
    @Test
    void postsNoRequestsOfAClientThatHasResetItsConnection() throws Exception {
        Socket client = connect();
        client.getOutputStream().write(call(1));
        client.setSoLinger(true, 0);
        client.close();
        loop.start();
        assertThat(nextBatch()).singleElement().isInstanceOf(Input.CallerDisconnected.class);
    }

    /** If they were posted in two batches, the request could be sent to an engine before its cancellation is seen. */
    @Test
    void postsARequestAndItsCancellationInOneBatchIfTheyAreReadTogether() throws Exception {
        try (Socket client = connect()) {
            byte[] call = call(1);
            byte[] cancel = cancel(1);
            byte[] both = Arrays.copyOf(call, call.length + cancel.length);
            System.arraycopy(cancel, 0, both, call.length, cancel.length);
            client.getOutputStream().write(both);
            loop.start();
            assertThat(nextBatch()).hasSize(2).first().isInstanceOf(Input.RequestReceived.class);
        }
    }
}
