package quincespar.program.clients;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
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

/** What one look at a client's connection finds is posted together: the loop is started when all of it lies there. */
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
        RoutingSettings site = RoutingSettings.of(Map.of("tick", "5", "requestClasses.count", "1", "requestClasses.0.name", "lookup",
                "requestClasses.0.slo", "800", "requestClasses.0.hardLimit", "4000"));
        new ThriftServer(loop, listener, site, 100, 2000, new Clock(), new Counters(), posted::add, HashMap::new).start();
    }

    @AfterEach
    void end() {
        listener.close(() -> { });
        loop.stop();
    }

    private Socket client() throws IOException {
        return new Socket(InetAddress.getLoopbackAddress(), listener.port());
    }

    private static byte[] call(int seqid) {
        return FrontCodec.call(seqid, Map.of("verb", "lookup", "txn", String.format("%016x", seqid), "limit", "3000", "cpu", "10.0",
                "heap_mb", "1"), "SELECT 1 FROM sales_3.t".getBytes(StandardCharsets.US_ASCII));
    }

    /** A strict binary one-way call of cancel. */
    private static byte[] cancel(int seqid) {
        byte[] frame = {0, 0, 0, 0, (byte) 0x80, 1, 0, 4, 0, 0, 0, 6, 'c', 'a', 'n', 'c', 'e', 'l', 0, 0, 0, 99,
            8, 0, 1, 0, 0, 0, (byte) seqid, 0};
        frame[3] = (byte) (frame.length - 4);
        return frame;
    }

    private List<Input> next() throws InterruptedException {
        List<Input> together = posted.take();
        return together.get(0) instanceof Input.CallerConnected ? posted.take() : together;
    }

    /** Read one after the other, its requests would be sent on before it is seen that it has gone. */
    @Test
    void nothingIsAskedForAClientThatHasGoneByTheTimeItIsRead() throws Exception {
        try (Socket c = client()) {
            for (int i = 1; i <= 20; i++) {
                c.getOutputStream().write(call(i));
            }
        }
        loop.start();
        assertThat(next()).singleElement().isInstanceOf(Input.CallerDisconnected.class);
    }

    /** The same with a reset in place of an end. */
    @Test
    void nothingIsAskedForAClientThatHasResetItsConnection() throws Exception {
        Socket c = client();
        c.getOutputStream().write(call(1));
        c.setSoLinger(true, 0);
        c.close();
        loop.start();
        assertThat(next()).singleElement().isInstanceOf(Input.CallerDisconnected.class);
    }

    /** Taken in two batches, the request could be sent on in between. */
    @Test
    void aRequestAndItsCancelThatAreReadTogetherAreDecidedOnTogether() throws Exception {
        try (Socket c = client()) {
            byte[] call = call(1);
            byte[] cancel = cancel(1);
            byte[] both = java.util.Arrays.copyOf(call, call.length + cancel.length);
            System.arraycopy(cancel, 0, both, call.length, cancel.length);
            c.getOutputStream().write(both);
            loop.start();
            assertThat(next()).hasSize(2).first().isInstanceOf(Input.RequestReceived.class);
        }
    }
}
