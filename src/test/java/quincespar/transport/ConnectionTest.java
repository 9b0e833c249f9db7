package quincespar.transport;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class ConnectionTest {
    private final CountDownLatch closed = new CountDownLatch(1);
    private final Connection.Handler handler = new Connection.Handler() {
        @Override
        public void received(byte[] bytes, int count) { }

        @Override
        public void closed(String cause) {
            closed.countDown();
        }
    };

    /** Sends until the outbox is full, which no call waits for. */
    private static int fill(Connection c) {
        int n = 0;
        while (c.send(new byte[1 << 16])) {
            n++;
        }
        return n;
    }

    @Test
    void aPeerThatDoesNotReadFillsItsOutboxAndHoldsUpNobody() throws Exception {
        OutboxBound bound = new OutboxBound(1 << 20, 3 << 19);
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
                Socket one = new Socket(server.getInetAddress(), server.getLocalPort())) {
            Connection first = Connection.accepted(server.accept(), "first", bound);
            assertThat(fill(first)).isEqualTo(16);
            try (Socket two = new Socket(server.getInetAddress(), server.getLocalPort())) {
                assertThat(two.isConnected()).isTrue();
                Connection second = Connection.accepted(server.accept(), "second", bound);
                assertThat(fill(second)).isEqualTo(8); // what both hold together is bounded too
            }
            first.start(handler);
            int written = 0;
            while (written < 1 << 20) { // the peer reads at last, and room comes back
                written += one.getInputStream().read(new byte[1 << 16]);
            }
            assertThat(first.send(new byte[1 << 16])).isTrue();
            first.close("test");
            closed.await();
        }
    }

    @Test
    void aConnectThatFailsFreesTheRoomOfWhatWasQueued() throws Exception {
        OutboxBound bound = new OutboxBound(100, 100);
        int port;
        try (ServerSocket gone = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = gone.getLocalPort();
        }
        assertThat(bound.take(0, 60)).isTrue(); // so that a queued frame of 40 fills the bound
        CountDownLatch tried = new CountDownLatch(1);
        Connection c = Connection.dialled("c", bound);
        c.send(new byte[40]);
        c.dial(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), new Connection.Handler() {
            @Override
            public void received(byte[] bytes, int count) { }

            @Override
            public void closed(String cause) {
                tried.countDown();
            }
        });
        tried.await();
        assertThat(bound.take(0, 40)).isTrue();
    }

    @Test
    void aFrameWhoseLeaveWasTakenBackDoesNotGoOutAndOthersDo() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
                Socket peer = new Socket(server.getInetAddress(), server.getLocalPort())) {
            Connection c = Connection.accepted(server.accept(), "c", new OutboxBound(100, 100));
            Passage revoked = new Passage();
            Passage kept = new Passage();
            c.send(new byte[] {1}, revoked, null);
            c.send(new byte[] {2}, kept, null);
            assertThat(revoked.revoke()).isTrue();
            c.start(handler);
            c.finish();
            assertThat(peer.getInputStream().readAllBytes()).containsExactly(2);
            assertThat(kept.revoke()).isFalse();
        }
    }
}
