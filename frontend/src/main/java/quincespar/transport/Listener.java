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

/** Accepts connections on one address, on an {@link EventLoop}, until it is closed. */
public final class Listener {
    private final Logger log = LoggerFactory.getLogger(Listener.class);
    /** Takes what is accepted, on the loop's thread. */
    public interface Acceptor {
        /** Whether there is a place for one more; else new ones wait in the system's queue until {@link #resume}. */
        boolean hasCapacity();

        /** Takes one over. */
        void accept(SocketChannel channel);
    }

    private static final int BACKLOG = 1024;
    /** Accepted in a pass, so that a crowd that connects does not keep those waiting that have asked. */
    private static final int ACCEPTS = 16;
    private static final long PAUSE_MS = 20;
    /** At the close, accepting is tried again for so long where it fails. */
    private static final long CLOSE_RETRY_MS = 1000;
    /** At the close the queue has to look empty so often: a call that a signal interrupted looks the same. */
    private static final int EMPTY_LOOKS = 5;

    private enum Accepted { TAKEN, NONE_WAITS, FAILED }

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final ServerSocketChannel channel;
    private final EventLoop.Ready ready = new EventLoop.Ready() {
        @Override
        public void ready(SelectionKey k) {
            accept(ACCEPTS);
        }

        @Override
        public void failed(Throwable error) {
            pause();
        }
    };
    private SelectionKey key;
    private Acceptor acceptor;

    /** A listener for an address, not yet bound; {@code shared}: other processes of this user may listen there too. */
    public Listener(EventLoop loop, InetSocketAddress address, boolean shared) throws IOException {
        this.loop = loop;
        this.address = address;
        channel = Retry.atStartup(ServerSocketChannel::open);
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true); // a planned restart binds it again at once
        try {
            channel.setOption(StandardSocketOptions.SO_REUSEPORT, shared);
        } catch (IOException | UnsupportedOperationException e) { // then the address can't be shared, all else goes on
            log.info("listener: {} will not be shared: {}", address, e.getMessage());
        }
    }

    /**
     * Binds the address. From here on the system takes connections and they wait: another process that shares the
     * address gets no more than its part, so this is done only when all is ready. Nothing is accepted before
     * {@link #start}. Throws {@link IOException} where the address can't be bound.
     */
    public void bind() throws IOException {
        Retry.atStartup(() -> channel.bind(address, BACKLOG));
    }

    /** The port that is bound. */
    public int port() throws IOException {
        return ((InetSocketAddress) channel.getLocalAddress()).getPort();
    }

    /** Begins to accept. */
    public void start(Acceptor to) {
        loop.execute(() -> {
            acceptor = to;
            try {
                key = loop.register(channel, SelectionKey.OP_ACCEPT, ready);
            } catch (IOException e) {
                log.warn("listener: {}", e.getMessage());
            }
        });
    }

    /** There may be room again. */
    public void resume() {
        loop.execute(() -> {
            if (key != null && key.isValid() && acceptor.hasCapacity()) {
                key.interestOps(SelectionKey.OP_ACCEPT);
            }
        });
    }

    private void accept(int most) {
        for (int i = 0; i < most; i++) {
            if (!acceptor.hasCapacity()) {
                key.interestOps(0);
                return;
            }
            Accepted one = acceptOne();
            if (one == Accepted.FAILED) {
                pause();
            }
            if (one != Accepted.TAKEN) {
                return;
            }
        }
    }

    private Accepted acceptOne() {
        try {
            SocketChannel c = channel.accept();
            if (c == null) {
                return Accepted.NONE_WAITS;
            }
            acceptor.accept(c);
            return Accepted.TAKEN;
        } catch (IOException e) { // out of descriptors, or a client gone before it was accepted
            log.warn("listener: {}", e.getMessage());
            return Accepted.FAILED;
        }
    }

    /** Guards against a loop that spins on a queue that it can't empty, as where descriptors have run out. */
    private void pause() {
        if (key != null && key.isValid()) {
            key.interestOps(0);
            loop.after(PAUSE_MS, this::resume);
        }
    }

    /**
     * Accepts all that wait in the system's queue, room or not, and then no more; {@code closed} follows. Where accepting
     * fails for a moment it is tried again for a while, as the close resets whatever waits. What comes
     * between the last accept and the close is reset by the system: guards against more than a moment there. A channel
     * that is still on the loop is closed by the loop's next look only, so it is taken off first.
     */
    public void close(Runnable closed) {
        loop.execute(() -> {
            log.info("closing the listener at {}", address);
            try {
                if (key != null) {
                    loop.forget(key);
                }
            } catch (IOException e) {
                log.warn("listener: closing: {}", e.getMessage());
            }
            closeOnceEmpty(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CLOSE_RETRY_MS), 1, closed);
        });
    }

    private Accepted acceptAll() {
        Accepted last = key == null ? Accepted.NONE_WAITS : acceptOne();
        while (last == Accepted.TAKEN) {
            last = acceptOne();
        }
        return last;
    }

    private void closeOnceEmpty(long until, int looks, Runnable closed) {
        Accepted last = acceptAll();
        boolean again = last == Accepted.FAILED ? System.nanoTime() - until < 0 : looks < EMPTY_LOOKS;
        if (again && key != null) {
            loop.after(PAUSE_MS, () -> closeOnceEmpty(until, last == Accepted.FAILED ? 1 : looks + 1, closed));
            return;
        }
        try {
            channel.close();
        } catch (IOException e) {
            log.warn("listener: closing: {}", e.getMessage());
        }
        closed.run();
    }
}
