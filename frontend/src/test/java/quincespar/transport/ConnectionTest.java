package quincespar.transport;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class ConnectionTest {
    private final CountDownLatch closed = new CountDownLatch(1);
    private final BlockingQueue<String> told = new LinkedBlockingQueue<>();
    private final Connection.Handler handler = new Connection.Handler() {
        @Override
        public void received(byte[] bytes, int count) {
            told.add("received " + count);
        }

        @Override
        public boolean busy() {
            return busy;
        }

        @Override
        public void idleCloseDeclined() {
            told.add("not quiet");
        }

        @Override
        public void closed(String cause) {
            told.add("closed: " + cause);
            closed.countDown();
        }
    };
    private volatile boolean busy;
    private EventLoop loop;
    private ServerSocketChannel server;

    @BeforeEach
    void open() throws IOException {
        loop = new EventLoop("test");
        loop.start();
        server = ServerSocketChannel.open().bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    @AfterEach
    void close() throws IOException {
        loop.stop();
        server.close();
    }

    private Socket peer() throws IOException {
        return new Socket(server.socket().getInetAddress(), server.socket().getLocalPort());
    }

    private Connection accepted(OutboxLimit bound) throws IOException {
        return Connection.accepted(loop, server.accept(), "c", bound);
    }

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
        OutboxLimit bound = new OutboxLimit(1 << 20, 3 << 19);
        try (Socket one = peer()) {
            Connection first = accepted(bound);
            assertThat(fill(first)).isEqualTo(16);
            try (Socket two = peer()) {
                assertThat(two.isConnected()).isTrue();
                Connection second = accepted(bound);
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

    /** Ended at a quiet moment only: not while something is open, nor where something lies unread. */
    @Test
    void aConnectionIsFinishedOnceItIsQuietAndItsLastWordArrives() throws Exception {
        try (Socket s = peer()) {
            Connection c = accepted(new OutboxLimit(100, 100));
            busy = true;
            c.start(handler);
            c.finishIfIdle();
            CountDownLatch looked = new CountDownLatch(1);
            loop.execute(looked::countDown);
            looked.await();
            s.getOutputStream().write(1);
            assertThat(told.take()).isEqualTo("received 1"); // it was busy and is still read
            busy = false;
            CountDownLatch held = new CountDownLatch(1);
            CountDownLatch hold = new CountDownLatch(1);
            loop.execute(() -> { // one task, so that nothing is read between the two
                held.countDown();
                await(hold);
            });
            held.await();
            s.getOutputStream().write(2); // lies unread when the close is to be judged
            c.finishIfIdle();
            hold.countDown();
            assertThat(told.take()).isEqualTo("received 1");
            c.send(new byte[] {7});
            c.finishIfIdle();
            assertThat(s.getInputStream().readAllBytes()).containsExactly(7);
            closed.await();
        }
    }

    /** Two listeners of one user on one address: the system shares connections out; else the second can't bind. */
    @Test
    void aSharedAddressIsBoundTwiceAndAnotherOnlyOnce() throws Exception {
        for (boolean shared : new boolean[] {true, false}) {
            Listener first = new Listener(loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), shared);
            first.bind();
            Listener second = new Listener(loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), first.port()),
                    shared);
            if (shared) {
                second.bind();
            } else {
                assertThatThrownBy(second::bind).isInstanceOf(IOException.class);
            }
            first.close(() -> { });
            second.close(() -> { });
        }
    }

    @Test
    void aConnectThatFailsFreesTheRoomOfWhatWasQueued() throws Exception {
        OutboxLimit bound = new OutboxLimit(100, 100);
        int port;
        try (ServerSocket gone = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = gone.getLocalPort();
        }
        assertThat(bound.reserve(0, 60)).isTrue(); // so that a queued frame of 40 fills the bound
        Connection c = Connection.outbound(loop, "c", bound);
        c.send(new byte[40]);
        c.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), handler);
        closed.await();
        assertThat(bound.reserve(0, 40)).isTrue();
    }

    @Test
    void aFrameWhoseLeaveWasTakenBackDoesNotGoOutAndOthersDo() throws Exception {
        try (Socket peer = peer()) {
            Connection c = accepted(new OutboxLimit(100, 100));
            WithdrawableWrite withdrawn = new WithdrawableWrite();
            WithdrawableWrite kept = new WithdrawableWrite();
            c.send(new byte[] {1}, withdrawn, null);
            c.send(new byte[] {2}, kept, null);
            assertThat(withdrawn.withdraw()).isTrue();
            c.start(handler);
            c.finish();
            assertThat(peer.getInputStream().readAllBytes()).containsExactly(2);
            assertThat(kept.withdraw()).isFalse();
        }
    }

    @Test
    void whatIsWrittenIsToldOnceItIsAndAFinishedConnectionLetsThePeerReadBeforeTheClose() throws Exception {
        try (Socket peer = peer()) {
            Connection c = accepted(new OutboxLimit(1 << 25, 1 << 25));
            peer.getOutputStream().write(new byte[100]); // unread, it would turn a close into a reset
            c.start(handler);
            assertThat(told.take()).isEqualTo("received 100");
            c.send(new byte[1 << 25], null, () -> told.add("written"));
            assertThat(told).isEmpty(); // more than the system takes at once
            c.finish();
            peer.getOutputStream().write(new byte[100]);
            assertThat(peer.getInputStream().readAllBytes()).hasSize(1 << 25);
            assertThat(told.take()).isEqualTo("written");
            assertThat(c.send(new byte[1])).isFalse();
        }
        assertThat(told.take()).startsWith("closed: ");
    }

    /** Seen on a busy core: a request lay unread, or unseen by the reducer, when its connection went as idle. */
    @Test
    void aConnectionOnWhichSomethingCameIsNotClosedAsIdle() throws Exception {
        try (Socket peer = peer()) {
            Connection c = accepted(new OutboxLimit(100, 100));
            CountDownLatch arrived = new CountDownLatch(1);
            c.start(handler);
            CountDownLatch held = new CountDownLatch(1);
            loop.execute(() -> { // holds the loop up, as a busy core does, until bytes have come
                c.closeIfIdle("idle");
                held.countDown();
                await(arrived);
            });
            held.await();
            peer.getOutputStream().write(new byte[3]);
            arrived.countDown();
            assertThat(told.take()).isEqualTo("not quiet");
            assertThat(told.take()).isEqualTo("received 3");
            busy = true;
            c.closeIfIdle("idle");
            assertThat(told.take()).isEqualTo("not quiet");
            busy = false;
            c.closeIfIdle("idle");
            assertThat(told.take()).isEqualTo("closed: idle");
            assertThat(peer.getInputStream().read()).isEqualTo(-1);
        }
    }

    /** A peer may read slowly: what it was answered must not be dropped because nothing else is open. */
    @Test
    void aConnectionWithSomethingToWriteIsNotClosedAsIdleAndAllOfItArrives() throws Exception {
        try (Socket peer = peer()) {
            Connection c = accepted(new OutboxLimit(1 << 25, 1 << 25));
            c.start(handler);
            c.send(new byte[1 << 25]); // more than the system takes at once
            c.closeIfIdle("idle");
            assertThat(told.take()).isEqualTo("not quiet");
            c.finishIfIdle();
            peer.getInputStream().readNBytes(1 << 25);
            c.closeIfIdle("idle");
            assertThat(told.take()).isEqualTo("closed: idle");
            assertThat(peer.getInputStream().read()).isEqualTo(-1);
        }
    }

    /** An owner that works for its peer must hear in one look that the peer has gone; what it said before is heard too. */
    @Test
    void theEndBehindTheLastBytesIsSeenInTheSameLook() throws Exception {
        try (Socket peer = peer()) {
            Connection c = accepted(new OutboxLimit(100, 100));
            peer.getOutputStream().write(new byte[3]);
            peer.shutdownOutput(); // both lie there before the first look
            c.start(new Connection.Handler() {
                @Override
                public void received(byte[] bytes, int count) {
                    told.add("received " + count);
                }

                @Override
                public void readComplete() {
                    told.add("passed");
                }

                @Override
                public void closed(String cause) {
                    told.add("closed: " + cause);
                }
            });
            assertThat(told.take()).isEqualTo("received 3");
            assertThat(told.take()).isEqualTo("closed: closed by the peer");
        }
    }

    /** The peer hears of the end within the task that looked: with more tasks between, a request could cross it for long. */
    @Test
    void nothingComesBetweenTheLookAtAQuietConnectionAndItsEnd() throws Exception {
        for (boolean finish : new boolean[] {true, false}) {
            try (Socket peer = peer()) {
                Connection c = accepted(new OutboxLimit(100, 100));
                c.start(handler);
                CountDownLatch held = new CountDownLatch(1);
                CountDownLatch hold = new CountDownLatch(1);
                loop.execute(() -> { // so that both tasks are there when the loop goes on
                    held.countDown();
                    await(hold);
                });
                held.await();
                peer.setSoTimeout(5_000);
                if (finish) {
                    c.finishIfIdle();
                } else {
                    c.closeIfIdle("idle");
                }
                CompletableFuture<Integer> heard = new CompletableFuture<>();
                loop.execute(() -> {
                    try {
                        heard.complete(peer.getInputStream().read());
                    } catch (IOException e) {
                        heard.completeExceptionally(e);
                    }
                });
                hold.countDown();
                assertThat(heard.get()).isEqualTo(-1);
            }
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void aHandlerThatFailsEndsItsOwnConnectionOnly() throws Exception {
        try (Socket bad = peer(); Socket good = peer()) {
            accepted(new OutboxLimit(100, 100)).start(new Connection.Handler() {
                @Override
                public void received(byte[] bytes, int count) {
                    throw new IllegalStateException("unforeseen");
                }

                @Override
                public void closed(String cause) {
                    told.add("closed: " + cause);
                }
            });
            accepted(new OutboxLimit(100, 100)).start(handler);
            bad.getOutputStream().write(1);
            assertThat(told.take()).isEqualTo("closed: handling: unforeseen");
            good.getOutputStream().write(1);
            assertThat(told.take()).isEqualTo("received 1");
        }
    }

    /** With no place left new ones wait in the system's queue; at the end those that wait there are taken too. */
    @Test
    void aListenerWithoutRoomLeavesClientsWaitingAndTakesAllOfThemBeforeItCloses() throws Exception {
        List<SocketChannel> taken = new ArrayList<>();
        BlockingQueue<Integer> sizes = new LinkedBlockingQueue<>();
        Listener listener = new Listener(loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), false);
        listener.bind();
        listener.start(new Listener.Acceptor() {
            @Override
            public boolean hasCapacity() {
                return taken.size() < 1;
            }

            @Override
            public void accept(SocketChannel channel) {
                taken.add(channel);
                sizes.add(taken.size());
            }
        });
        InetSocketAddress at = new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.port());
        try (SocketChannel one = SocketChannel.open(at); SocketChannel two = SocketChannel.open(at);
                SocketChannel three = SocketChannel.open(at)) {
            assertThat(sizes.take()).isEqualTo(1);
            CountDownLatch passed = new CountDownLatch(1);
            loop.executeAfterReads(passed::countDown);
            passed.await();
            assertThat(sizes).isEmpty();
            CountDownLatch over = new CountDownLatch(1);
            listener.close(over::countDown);
            over.await();
            assertThat(sizes).containsExactly(2, 3);
            assertThat(one.isConnected() && two.isConnected() && three.isConnected()).isTrue();
        }
        for (SocketChannel c : taken) {
            c.close();
        }
    }

    /** A crowd that connects and says nothing: seen to use up half a core while each had a thread. */
    @Test
    void connectionsThatSayNothingNeedNoThreads() throws Exception {
        List<Socket> crowd = new ArrayList<>();
        int before = Thread.activeCount();
        for (int i = 0; i < 200; i++) {
            crowd.add(peer());
            accepted(new OutboxLimit(100, 100)).start(handler);
        }
        crowd.get(199).getOutputStream().write(1);
        assertThat(told.take()).isEqualTo("received 1");
        assertThat(Thread.activeCount()).isLessThan(before + 20);
        for (Socket s : crowd) {
            s.close();
        }
    }

    /** What is asked for after a pass comes after all that was readable before. */
    @Test
    void afterAPassAllThatLayUnreadIsHandled() throws Exception {
        try (Socket peer = peer()) {
            accepted(new OutboxLimit(100, 100)).start(handler);
            CountDownLatch arrived = new CountDownLatch(1);
            loop.execute(() -> await(arrived));
            try (OutputStream out = peer.getOutputStream()) {
                out.write(new byte[5]);
                arrived.countDown();
                loop.executeAfterReads(() -> told.add("passed"));
                assertThat(told.take()).isEqualTo("received 5");
                assertThat(told.take()).isEqualTo("passed");
            }
        }
    }
}
