package quincespar.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Accepts connections on one address, on an {@link EventLoop}. */
public final class Listener {
    private final Logger log = LoggerFactory.getLogger(Listener.class);
    /** Receives accepted connections, on the loop's thread. */
    public interface Acceptor {
        /** Whether one more connection can be accepted; if not, others wait in the accept queue until {@link #resume}. */
        boolean hasCapacity();

        /** No connection is accepted from now on, for lack of capacity. */
        default void acceptingPaused() { }

        /** Connections are accepted again. */
        default void acceptingResumed() { }

        /** Takes ownership of an accepted channel. */
        void accept(SocketChannel channel);
    }

    private static final int BACKLOG = 1024;
    /** Limits the accepts per pass, so that many new connections do not delay requests on existing ones. */
    private static final int MAX_ACCEPTS_PER_PASS = 16;
    private static final long RETRY_DELAY_MS = 20;
    /** How long the close retries an accept that fails. */
    private static final long CLOSE_RETRY_MS = 1000;
    /** How often the close must find the accept queue empty: an accept interrupted by a signal looks the same. */
    private static final int EMPTY_CHECKS = 5;

    private enum AcceptResult { ACCEPTED, QUEUE_EMPTY, FAILED }

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final ServerSocketChannel channel;
    private final EventLoop.ChannelHandler channelHandler = new EventLoop.ChannelHandler() {
        @Override
        public void ready(SelectionKey k) {
            accept(MAX_ACCEPTS_PER_PASS);
        }

        @Override
        public void failed(Throwable error) {
            pauseAccepting();
        }
    };
    private SelectionKey key;
    private Acceptor acceptor;
    private boolean paused;

    /** Creates an unbound listener; with {@code shared} other processes of this user may listen on the address too. */
    public Listener(EventLoop loop, InetSocketAddress address, boolean shared) throws IOException {
        this.loop = loop;
        this.address = address;
        channel = Retry.atStartup(ServerSocketChannel::open);
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true); // allows a planned restart to bind the address at once
        try {
            channel.setOption(StandardSocketOptions.SO_REUSEPORT, shared);
        } catch (IOException | UnsupportedOperationException e) { // without it only sharing the address is impossible
            log.info("listener: {} can't be shared with other processes: {}", address, e.getMessage());
        }
    }

    /**
     * Binds the address. From here on the kernel queues connections for this listener, and of a shared address it takes
     * its share from the other processes, so bind only when everything else is ready. Nothing is accepted before
     * {@link #start}. Throws {@link IOException} if the address can't be bound.
     */
    public void bind() throws IOException {
        Retry.atStartup(() -> channel.bind(address, BACKLOG));
    }

    /** The bound port. */
    public int port() throws IOException {
        return ((InetSocketAddress) channel.getLocalAddress()).getPort();
    }

    /** Starts accepting. */
    public void start(Acceptor target) {
        loop.execute(() -> {
            acceptor = target;
            try {
                key = loop.register(channel, SelectionKey.OP_ACCEPT, channelHandler);
            } catch (IOException e) {
                log.warn("listener: can't register with the event loop: {}", e.getMessage());
            }
        });
    }

    /** Resumes accepting if the acceptor has capacity again. */
    public void resume() {
        loop.execute(() -> {
            if (key != null && key.isValid() && acceptor.hasCapacity()) {
                key.interestOps(SelectionKey.OP_ACCEPT);
                if (paused) {
                    paused = false;
                    acceptor.acceptingResumed();
                }
            }
        });
    }

    private void accept(int max) {
        for (int i = 0; i < max; i++) {
            if (!acceptor.hasCapacity()) {
                key.interestOps(0);
                paused = true;
                acceptor.acceptingPaused();
                return;
            }
            AcceptResult result = acceptOne();
            if (result == AcceptResult.FAILED) {
                pauseAccepting();
            }
            if (result != AcceptResult.ACCEPTED) {
                return;
            }
        }
    }

    private AcceptResult acceptOne() {
        try {
            SocketChannel accepted = channel.accept();
            if (accepted == null) {
                return AcceptResult.QUEUE_EMPTY;
            }
            acceptor.accept(accepted);
            return AcceptResult.ACCEPTED;
        } catch (IOException e) { // out of descriptors, or the client left before it was accepted
            log.warn("listener: accept failed: {}", e.getMessage());
            return AcceptResult.FAILED;
        }
    }

    /** Pauses accepting, so that the loop does not spin while accepts fail, for example without free descriptors. */
    private void pauseAccepting() {
        if (key != null && key.isValid()) {
            key.interestOps(0);
            loop.after(RETRY_DELAY_MS, this::resume);
        }
    }

    /**
     * Accepts all connections in the accept queue regardless of capacity, closes the listener and runs {@code closed}. An
     * accept that fails is retried for a while, because closing resets every connection in the queue. The channel is
     * deregistered first: a registered channel is only closed by the next select, and connections that arrive between
     * the last accept and the close are reset.
     */
    public void close(Runnable closed) {
        loop.execute(() -> {
            log.info("closing the listener at {}", address);
            try {
                if (key != null) {
                    loop.deregister(key);
                }
            } catch (IOException e) {
                log.warn("listener: can't deregister from the event loop: {}", e.getMessage());
            }
            closeOnceEmpty(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CLOSE_RETRY_MS), 1, closed);
        });
    }

    private AcceptResult acceptAll() {
        AcceptResult last = key == null ? AcceptResult.QUEUE_EMPTY : acceptOne();
        while (last == AcceptResult.ACCEPTED) {
            last = acceptOne();
        }
        return last;
    }

    private void closeOnceEmpty(long retryUntilNanos, int emptyChecks, Runnable closed) {
        AcceptResult last = acceptAll();
        boolean retry = last == AcceptResult.FAILED ? System.nanoTime() - retryUntilNanos < 0 : emptyChecks < EMPTY_CHECKS;
        if (retry && key != null) {
            int nextCheck = last == AcceptResult.FAILED ? 1 : emptyChecks + 1;
            loop.after(RETRY_DELAY_MS, () -> closeOnceEmpty(retryUntilNanos, nextCheck, closed));
            return;
        }
        try {
            channel.close();
        } catch (IOException e) {
            log.warn("listener: close failed: {}", e.getMessage());
        }
        closed.run();
    }
}
