package quincespar.program.clients;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import quincespar.program.runtime.Clock;
import quincespar.program.runtime.Counters;
import quincespar.protocol.thrift.FrontCodec;
import quincespar.routing.Caller;
import quincespar.routing.Effect;
import quincespar.routing.Input;
import quincespar.routing.Reply;
import quincespar.routing.RoutingSettings;
import quincespar.transport.EventLoop;
import quincespar.transport.Listener;

/**
 * Everything that one read of a client's connection finds is posted as one batch. Each test starts the loop only after the client
 * has sent all of its data, so that the server reads it at once.
 */
@Timeout(30)
class ThriftServerTest {
    private static final int CONNECTION_LIMIT = 100;

    private final BlockingQueue<List<Input>> posted = new LinkedBlockingQueue<>();
    private EventLoop loop;
    private Listener listener;
    private ThriftServer server;

    @BeforeEach
    void bind() throws IOException {
        loop = new EventLoop("test");
        listener = new Listener(loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), false);
        listener.bind();
        RoutingSettings settings = RoutingSettings.of(Map.of("tick", "5", "requestClasses.count", "1",
                "requestClasses.0.name", "lookup", "requestClasses.0.slo", "800", "requestClasses.0.hardLimit", "4000"));
        server = new ThriftServer(loop, listener, settings, CONNECTION_LIMIT, 2000, 50, 1000, new Clock(), new Counters(), posted::add,
                HashMap::new, txn -> false);
        server.start();
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

    /** Guards against input that counts as unread for ever because the last read of a pass took all of it. */
    @Test
    void inputThatEndsWithTheLastReadOfAPassIsReportedAsRead() throws Exception {
        try (Socket client = connect()) {
            client.getOutputStream().write(FrontCodec.call(1, Map.of("verb", "lookup", "txn", "0000000000000001", "limit", "3000",
                    "cpu", "10.0", "heap_mb", "1"), "x".repeat(60_000).getBytes(StandardCharsets.US_ASCII)));
            loop.start();
            Input last = null;
            while (!(last instanceof Input.CallerInputRead)) {
                List<Input> batch = posted.take();
                last = batch.get(batch.size() - 1);
            }
        }
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

    /**
     * The loop's thread must not close the connection between the moment at which another thread takes the last request as
     * answered and the moment at which it queues the answer. The answer's delay is varied so that it meets the malformed data at
     * each point of their handling.
     */
    @Test
    void malformedDataDoesNotCloseTheConnectionBeforeAnAnswerThatIsBeingSent() throws Exception {
        loop.start();
        for (int i = 0; i < 4000; i++) {
            try (Socket client = connect()) {
                client.getOutputStream().write(call(1));
                Caller caller = nextRequest();
                client.getOutputStream().write(new byte[] {-1, -1, -1, -1});
                long answerAt = System.nanoTime() + i % 200 * 1000L;
                while (System.nanoTime() < answerAt) {
                    Thread.onSpinWait();
                }
                server.reply(caller, new Reply.Served(new byte[] {'x'}));
                DataInputStream in = new DataInputStream(client.getInputStream());
                List<Integer> seqids = List.of(readSeqid(in), readSeqid(in));
                assertThat(seqids).as("answers on connection " + i).containsExactlyInAnyOrder(0, 1);
            }
        }
    }

    /** Guards against a close between a health call and its answer, whether the connection looks idle or its input is lost. */
    @Test
    void aConnectionIsNotClosedBeforeItsHealthCallIsAnswered() throws Exception {
        loop.start();
        List<Consumer<Caller>> ends = List.of(
                caller -> server.closeCaller(new Effect.CloseCaller(caller.connection(), "nothing open")),
                caller -> server.closeIdleConnections());
        for (Consumer<Caller> end : ends) {
            try (Socket client = connect()) {
                client.getOutputStream().write(FrontCodec.healthCall(1));
                Caller caller = nextHealthCall();
                end.accept(caller);
                CountDownLatch handled = new CountDownLatch(1);
                loop.execute(handled::countDown); // behind the task that closes
                handled.await();
                server.health(List.of(caller), true);
                assertThat(readSeqid(new DataInputStream(client.getInputStream()))).isEqualTo(1);
            }
        }
        try (Socket client = connect()) {
            client.getOutputStream().write(FrontCodec.healthCall(1));
            Caller caller = nextHealthCall();
            client.getOutputStream().write(new byte[] {-1, -1, -1, -1});
            DataInputStream in = new DataInputStream(client.getInputStream());
            assertThat(readSeqid(in)).isZero();
            server.health(List.of(caller), true);
            assertThat(readSeqid(in)).isEqualTo(1);
            assertThat(readSeqid(in)).isEqualTo(-1); // it ends after that
        }
    }

    private Caller nextHealthCall() throws InterruptedException {
        while (true) {
            if (posted.take().get(0) instanceof Input.HealthRequested request) {
                return request.caller();
            }
        }
    }

    private Caller nextRequest() throws InterruptedException {
        while (true) {
            if (posted.take().get(0) instanceof Input.RequestReceived request) {
                return request.caller();
            }
        }
    }

    /** Reads a frame of the strict binary protocol and returns its sequence number; -1 at the end of the stream. */
    private static int readSeqid(DataInputStream in) throws IOException {
        byte[] frame;
        try {
            frame = in.readNBytes(in.readInt());
        } catch (EOFException e) {
            return -1;
        }
        ByteBuffer message = ByteBuffer.wrap(frame);
        int nameLength = message.getInt(Integer.BYTES);
        return message.getInt(2 * Integer.BYTES + nameLength);
    }
}
