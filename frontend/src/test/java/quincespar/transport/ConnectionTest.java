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
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class ConnectionTest {
    private final CountDownLatch closed = new CountDownLatch(1);
    private final BlockingQueue<String> callbacks = new LinkedBlockingQueue<>();
    private final Connection.Handler handler = new Connection.Handler() {
        @Override
        public void received(byte[] bytes, int count) {
            callbacks.add("received " + count);
        }

        @Override
        public boolean busy() {
            return busy;
        }

        @Override
        public void idleCloseDeclined() {
            callbacks.add("idle close declined");
        }

        @Override
        public void closed(String cause) {
            callbacks.add("closed: " + cause);
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

    private Connection accepted(OutboxLimit limit) throws IOException {
        return Connection.accepted(loop, server.accept(), "c", limit);
    }

    /** Sends frames until the outbox is full, and returns their number. */
    private static int fill(Connection c) {
        int n = 0;
        while (c.send(new byte[1 << 16])) {
            n++;
        }
        return n;
    }

    @Test
    void aPeerThatDoesNotReadFillsItsOutboxAndHasSpaceAgainOnceItReads() throws Exception {
        OutboxLimit limit = new OutboxLimit(1 << 20, 3 << 19);
        try (Socket one = peer()) {
            Connection first = accepted(limit);
            assertThat(fill(first)).isEqualTo(16);
            first.start(handler);
            int written = 0;
            while (written < 1 << 20) { // once the peer reads, there is space again
                written += one.getInputStream().read(new byte[1 << 16]);
            }
            assertThat(first.send(new byte[1 << 16])).isTrue();
            first.close("test");
            closed.await();
        }
    }

    /** Guards against closing a connection whose peer reads because of others whose peers do not. */
    @Test
    void whenAllOutboxesTogetherAreFullTheOneThatHeldMostForLongestIsClosed() throws Exception {
        OutboxLimit limit = new OutboxLimit(1 << 20, 3 << 19);
        try (Socket one = peer(); Socket two = peer(); Socket three = peer()) {
            assertThat(List.of(one, two, three)).allMatch(Socket::isConnected);
            Connection first = accepted(limit);
            Connection second = accepted(limit);
            Connection third = accepted(limit);
            assertThat(fill(first)).isEqualTo(16);
            for (int i = 0; i < 8; i++) { // all together hold as much as they may
                assertThat(second.send(new byte[1 << 16])).isTrue();
            }
            assertThat(third.send(new byte[1 << 16])).isTrue();
            assertThat(first.send(new byte[1])).isFalse();
            assertThat(second.send(new byte[1])).isTrue();
            assertThat(limit.reserve(0, (15 << 16) - 1)).isEqualTo(OutboxLimit.Reservation.RESERVED); // what the first one held
            assertThat(limit.reserve(0, 1)).isEqualTo(OutboxLimit.Reservation.TOTAL_FULL);
        }
    }

    /** The connection that holds most is refused further frames, as it would only give way to itself. */
    @Test
    void theConnectionThatHoldsMostGetsNoSpaceOnceAllOutboxesTogetherAreFull() throws Exception {
        OutboxLimit limit = new OutboxLimit(1 << 20, 1 << 19);
        try (Socket one = peer(); Socket two = peer()) {
            assertThat(List.of(one, two)).allMatch(Socket::isConnected);
            Connection other = accepted(limit);
            assertThat(other.send(new byte[1])).isTrue();
            Connection first = accepted(limit);
            assertThat(first.send(new byte[(1 << 19) - 1])).isTrue();
            assertThat(first.send(new byte[1 << 16])).isFalse();
            assertThat(other.send(new byte[0])).isTrue();
        }
    }

    /** finishIfIdle must not close a connection that is busy or has unread bytes. */
    @Test
    void finishIfIdleClosesAnIdleConnectionAndItsLastFrameArrives() throws Exception {
        try (Socket s = peer()) {
            Connection c = accepted(new OutboxLimit(100, 100));
            busy = true;
            c.start(handler);
            c.finishIfIdle();
            CountDownLatch checked = new CountDownLatch(1);
            loop.execute(checked::countDown);
            checked.await();
            s.getOutputStream().write(1);
            assertThat(callbacks.take()).isEqualTo("received 1"); // busy: it stays open and is read
            busy = false;
            CountDownLatch blocked = new CountDownLatch(1);
            CountDownLatch unblock = new CountDownLatch(1);
            loop.execute(() -> { // blocks the loop, so that nothing is read before finishIfIdle runs
                blocked.countDown();
                await(unblock);
            });
            blocked.await();
            s.getOutputStream().write(2); // unread when finishIfIdle runs
            c.finishIfIdle();
            unblock.countDown();
            assertThat(callbacks.take()).isEqualTo("received 1");
            c.send(new byte[] {7});
            c.finishIfIdle();
            assertThat(s.getInputStream().readAllBytes()).containsExactly(7);
            closed.await();
        }
    }

    /** SO_REUSEPORT lets two listeners of one user bind one address; without it the second bind fails. */
    @Test
    void aSharedAddressIsBoundTwiceAndAnUnsharedOneOnce() throws Exception {
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
    void aFailedConnectReleasesTheQueuedBytes() throws Exception {
        OutboxLimit limit = new OutboxLimit(100, 100);
        int port;
        try (ServerSocket closedServer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = closedServer.getLocalPort();
        }
        assertThat(limit.reserve(0, 60)).isEqualTo(OutboxLimit.Reservation.RESERVED); // leaves space for one frame of 40 bytes
        Connection c = Connection.outbound(loop, "c", limit);
        c.send(new byte[40]);
        c.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), handler);
        closed.await();
        assertThat(limit.reserve(0, 40)).isEqualTo(OutboxLimit.Reservation.RESERVED);
    }

    @Test
    void aWithdrawnFrameIsNotSentAndOthersAre() throws Exception {
        try (Socket peer = peer()) {
            Connection c = accepted(new OutboxLimit(100, 100));
            WithdrawableWrite withdrawn = new WithdrawableWrite();
            WithdrawableWrite notWithdrawn = new WithdrawableWrite();
            c.send(new byte[] {1}, withdrawn, null);
            c.send(new byte[] {2}, notWithdrawn, null);
            assertThat(withdrawn.withdraw()).isTrue();
            c.start(handler);
            c.finish();
            assertThat(peer.getInputStream().readAllBytes()).containsExactly(2);
            assertThat(notWithdrawn.withdraw()).isFalse();
        }
    }

    @Test
    void writtenIsCalledAfterTheLastByteAndFinishLetsThePeerReadBeforeTheClose() throws Exception {
        try (Socket peer = peer()) {
            Connection c = accepted(new OutboxLimit(1 << 25, 1 << 25));
            peer.getOutputStream().write(new byte[100]); // unread bytes would turn a close into a reset
            c.start(handler);
            assertThat(callbacks.take()).isEqualTo("received 100");
            c.send(new byte[1 << 25], null, () -> callbacks.add("written"));
            assertThat(callbacks).isEmpty(); // more than the socket buffer takes at once
            c.finish();
            peer.getOutputStream().write(new byte[100]);
            assertThat(peer.getInputStream().readAllBytes()).hasSize(1 << 25);
            assertThat(callbacks.take()).isEqualTo("written");
            assertThat(c.send(new byte[1])).isFalse();
        }
        assertThat(callbacks.take()).startsWith("closed: ");
    }

    /** On a busy core a request can be unread, or not yet processed by the reducer, when its connection is closed as idle. */
    @Test
    void aConnectionWithUnreadBytesIsNotClosedAsIdle() throws Exception {
        try (Socket peer = peer()) {
            Connection c = accepted(new OutboxLimit(100, 100));
            CountDownLatch arrived = new CountDownLatch(1);
            c.start(handler);
            CountDownLatch blocked = new CountDownLatch(1);
            loop.execute(() -> { // blocks the loop until bytes have arrived, as a busy core does
                c.closeIfIdle("idle");
                blocked.countDown();
                await(arrived);
            });
            blocked.await();
            peer.getOutputStream().write(new byte[3]);
            arrived.countDown();
            assertThat(callbacks.take()).isEqualTo("idle close declined");
            assertThat(callbacks.take()).isEqualTo("received 3");
            busy = true;
            c.closeIfIdle("idle");
            assertThat(callbacks.take()).isEqualTo("idle close declined");
            busy = false;
            c.closeIfIdle("idle");
            assertThat(callbacks.take()).isEqualTo("closed: idle");
            assertThat(peer.getInputStream().read()).isEqualTo(-1);
        }
    }

    /** Answers to a peer that reads slowly must not be dropped because no request is open any more. */
    @Test
    void aConnectionWithUnsentBytesIsNotClosedAsIdleAndAllOfThemArrive() throws Exception {
        try (Socket peer = peer()) {
            Connection c = accepted(new OutboxLimit(1 << 25, 1 << 25));
            c.start(handler);
            c.send(new byte[1 << 25]); // more than the socket buffer takes at once
            c.closeIfIdle("idle");
            assertThat(callbacks.take()).isEqualTo("idle close declined");
            c.finishIfIdle();
            peer.getInputStream().readNBytes(1 << 25);
            c.closeIfIdle("idle");
            assertThat(callbacks.take()).isEqualTo("closed: idle");
            assertThat(peer.getInputStream().read()).isEqualTo(-1);
        }
    }

    /** The owner must learn in the same read pass that the peer has closed the connection, after the bytes sent before. */
    @Test
    void theEndOfStreamAfterTheLastBytesIsSeenInTheSamePass() throws Exception {
        try (Socket peer = peer()) {
            Connection c = accepted(new OutboxLimit(100, 100));
            peer.getOutputStream().write(new byte[3]);
            peer.shutdownOutput(); // bytes and end of stream are there before the first read
            c.start(new Connection.Handler() {
                @Override
                public void received(byte[] bytes, int count) {
                    callbacks.add("received " + count);
                }

                @Override
                public void readComplete(boolean allRead) {
                    callbacks.add("read complete");
                }

                @Override
                public void closed(String cause) {
                    callbacks.add("closed: " + cause);
                }
            });
            assertThat(callbacks.take()).isEqualTo("received 3");
            assertThat(callbacks.take()).isEqualTo("closed: closed by the peer");
        }
    }

    /** Guards against pauses that end ever more often, because each one that was cut short still ends a later one. */
    @Test
    void aPauseLastsThoughEarlierOnesWereCutShort() throws Exception {
        long pauseMs = 100;
        BlockingQueue<Long> pauseEnds = new LinkedBlockingQueue<>();
        try (Socket peer = peer()) {
            Connection c = accepted(new OutboxLimit(100, 100));
            c.start(new Connection.Handler() {
                @Override
                public void received(byte[] bytes, int count) {
                    c.pauseReading(pauseMs);
                    callbacks.add("received");
                }

                @Override
                public void pauseCutShort() {
                    c.pauseReading(pauseMs);
                }

                @Override
                public void pauseEnded() {
                    pauseEnds.add(System.nanoTime());
                    c.pauseReading(pauseMs);
                }

                @Override
                public void closed(String cause) {
                    callbacks.add("closed: " + cause);
                }
            });
            peer.getOutputStream().write(1);
            assertThat(callbacks.take()).isEqualTo("received");
            c.closeIfIdle("idle");
            c.closeIfIdle("idle");
            long before = pauseEnds.take();
            for (int i = 0; i < 3; i++) {
                long end = pauseEnds.take();
                assertThat(TimeUnit.NANOSECONDS.toMillis(end - before)).isGreaterThanOrEqualTo(pauseMs - 1);
                before = end;
            }
        }
    }

    /** Idle check and close run in one task: with tasks of other connections in between, more requests could be lost. */
    @Test
    void noTaskRunsBetweenTheIdleCheckAndTheClose() throws Exception {
        for (boolean finish : new boolean[] {true, false}) {
            try (Socket peer = peer()) {
                Connection c = accepted(new OutboxLimit(100, 100));
                c.start(handler);
                CountDownLatch blocked = new CountDownLatch(1);
                CountDownLatch unblock = new CountDownLatch(1);
                loop.execute(() -> { // so that both tasks are queued when the loop continues
                    blocked.countDown();
                    await(unblock);
                });
                blocked.await();
                peer.setSoTimeout(5_000);
                if (finish) {
                    c.finishIfIdle();
                } else {
                    c.closeIfIdle("idle");
                }
                CompletableFuture<Integer> received = new CompletableFuture<>();
                loop.execute(() -> {
                    try {
                        received.complete(peer.getInputStream().read());
                    } catch (IOException e) {
                        received.completeExceptionally(e);
                    }
                });
                unblock.countDown();
                assertThat(received.get()).isEqualTo(-1);
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

    /** An OutOfMemoryError may come as another error, as the JDK wraps it in an InternalError while it links a call. */
    @Test
    void aHandlerThatFailsWithAnErrorOfTheMachineClosesItsOwnConnectionOnly() throws Exception {
        aFailingHandlerClosesItsOwnConnectionOnly(() -> {
            throw new InternalError("unforeseen");
        });
    }

    @Test
    void aHandlerThatFailsWithAnExceptionClosesItsOwnConnectionOnly() throws Exception {
        aFailingHandlerClosesItsOwnConnectionOnly(() -> {
            throw new IllegalStateException("unforeseen");
        });
    }

    private void aFailingHandlerClosesItsOwnConnectionOnly(Runnable failure) throws Exception {
        try (Socket bad = peer(); Socket good = peer()) {
            accepted(new OutboxLimit(100, 100)).start(new Connection.Handler() {
                @Override
                public void received(byte[] bytes, int count) {
                    failure.run();
                }

                @Override
                public void closed(String cause) {
                    callbacks.add("closed: " + cause);
                }
            });
            accepted(new OutboxLimit(100, 100)).start(handler);
            bad.getOutputStream().write(1);
            assertThat(callbacks.take()).isEqualTo("closed: handling: unforeseen");
            good.getOutputStream().write(1);
            assertThat(callbacks.take()).isEqualTo("received 1");
        }
    }

    /** Without capacity connections wait in the accept queue; closing the listener accepts those too. */
    @Test
    void aListenerWithoutCapacityLeavesClientsInTheQueueAndAcceptsThemBeforeItCloses() throws Exception {
        List<SocketChannel> acceptedChannels = new ArrayList<>();
        BlockingQueue<Integer> sizes = new LinkedBlockingQueue<>();
        Listener listener = new Listener(loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), false);
        listener.bind();
        listener.start(new Listener.Acceptor() {
            @Override
            public boolean hasCapacity() {
                return acceptedChannels.size() < 1;
            }

            @Override
            public void accept(SocketChannel channel) {
                acceptedChannels.add(channel);
                sizes.add(acceptedChannels.size());
            }
        });
        InetSocketAddress at = new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.port());
        try (SocketChannel one = SocketChannel.open(at); SocketChannel two = SocketChannel.open(at);
                SocketChannel three = SocketChannel.open(at)) {
            assertThat(sizes.take()).isEqualTo(1);
            CountDownLatch readsDone = new CountDownLatch(1);
            loop.executeAfterReads(readsDone::countDown);
            readsDone.await();
            assertThat(sizes).isEmpty();
            CountDownLatch listenerClosed = new CountDownLatch(1);
            listener.close(listenerClosed::countDown);
            listenerClosed.await();
            assertThat(sizes).containsExactly(2, 3);
            assertThat(one.isConnected() && two.isConnected() && three.isConnected()).isTrue();
        }
        for (SocketChannel c : acceptedChannels) {
            c.close();
        }
    }

    /** With a thread per connection, many idle connections used up half a core. */
    @Test
    void idleConnectionsNeedNoThreads() throws Exception {
        List<Socket> peers = new ArrayList<>();
        int before = Thread.activeCount();
        for (int i = 0; i < 200; i++) {
            peers.add(peer());
            accepted(new OutboxLimit(100, 100)).start(handler);
        }
        peers.get(199).getOutputStream().write(1);
        assertThat(callbacks.take()).isEqualTo("received 1");
        assertThat(Thread.activeCount()).isLessThan(before + 20);
        for (Socket s : peers) {
            s.close();
        }
    }

    /** A task of executeAfterReads runs after everything that was readable before has been delivered. */
    @Test
    void executeAfterReadsRunsAfterUnreadBytesAreDelivered() throws Exception {
        try (Socket peer = peer()) {
            accepted(new OutboxLimit(100, 100)).start(handler);
            CountDownLatch arrived = new CountDownLatch(1);
            loop.execute(() -> await(arrived));
            try (OutputStream out = peer.getOutputStream()) {
                out.write(new byte[5]);
                arrived.countDown();
                loop.executeAfterReads(() -> callbacks.add("read complete"));
                assertThat(callbacks.take()).isEqualTo("received 5");
                assertThat(callbacks.take()).isEqualTo("read complete");
            }
        }
    }
}
