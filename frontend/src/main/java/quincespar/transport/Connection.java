package quincespar.transport;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.nio.channels.UnresolvedAddressException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One TCP connection on an {@link EventLoop}, with a bounded outbox, so that a peer that does not read holds up
 * nobody. It knows bytes and nothing else. Whoever sends writes at once as far as the system takes it; the loop
 * writes the rest. All that the owner is told comes on the loop's thread, but {@code written}, which comes on the
 * thread that wrote.
 */
public final class Connection {
    private final Logger log = LoggerFactory.getLogger(Connection.class);
    /** What the owner is told. */
    public interface Handler {
        /** A connection that was dialled is up. */
        default void opened() { }

        /** Bytes came; the array is used again after the call. */
        void received(byte[] bytes, int count);

        /** All that lay there has been received, and the peer has not ended the connection behind it. */
        default void readComplete() { }

        /** Whether something is open on it, as far as the owner has read. */
        default boolean busy() {
            return false;
        }

        /** It was to be closed if quiet and was not: it is busy, or bytes lay unread and are received next. */
        default void idleCloseDeclined() { }

        /** The connection is over, nothing more goes out and nothing more is handed on; told once, last of all. */
        void closed(String cause);
    }

    private static final class Frame {
        final ByteBuffer bytes;
        final WithdrawableWrite write;
        final Runnable written;

        Frame(byte[] bytes, WithdrawableWrite write, Runnable written) {
            this.bytes = ByteBuffer.wrap(bytes);
            this.write = write;
            this.written = written;
        }

        /** Writes as much as the channel takes; false where it was withdrawn. */
        boolean write(SocketChannel to) throws IOException {
            if (write == null) {
                to.write(bytes);
                return true;
            }
            return write.write(() -> {
                to.write(bytes);
                return bytes.position() > 0;
            });
        }

        int size() {
            return bytes.capacity();
        }
    }

    private enum Phase { NEW, DIALLING, OPEN, FINISHING, FINISHED, CLOSED }

    /** What a read returns at the peer's end; other negative numbers stand for a call that a signal interrupted. */
    private static final int END_OF_STREAM = -1;
    /** Reads of one connection in a pass: one that sends at full speed must not keep others waiting. */
    private static final int READS = 4;
    /** A peer that has taken nothing of what is queued for so long does not read. */
    private static final long UNREAD_MS = 5000;
    /** How long the peer may take to read what was written last, before the close. */
    private static final long LINGER_MS = 200;
    /** What is still read and dropped meanwhile. */
    private static final int LINGER_BYTES = 64 * 1024;

    /** The cause of the end of a connection that was given so long to come up. */
    public static final String CONNECT_TIMEOUT = "connect: not up in time";

    private final EventLoop loop;
    private final String name;
    private final OutboxLimit bound;
    private final ArrayDeque<Frame> outbox = new ArrayDeque<>();
    private final EventLoop.Ready ready = new EventLoop.Ready() {
        @Override
        public void ready(SelectionKey k) {
            Connection.this.ready(k);
        }

        @Override
        public void failed(Throwable error) {
            close("handling: " + error.getMessage());
        }
    };
    private SocketChannel channel;
    private SelectionKey key;
    private Handler handler;
    private Phase phase = Phase.NEW;
    private boolean gone;
    private volatile boolean failedLocally;
    private int pending;
    private int dropped;
    /** When the peer last took something of what is queued, or the first of it was queued. */
    private long takenAt;
    private String cause = "closed here";

    private Connection(EventLoop loop, SocketChannel channel, String name, OutboxLimit bound) {
        this.loop = loop;
        this.channel = channel;
        this.name = name;
        this.bound = bound;
    }

    /** Takes over a channel that was accepted; nothing is read or written before {@link #start}. */
    public static Connection accepted(EventLoop loop, SocketChannel channel, String name, OutboxLimit bound) {
        return new Connection(loop, channel, name, bound);
    }

    /** A connection that is not yet dialled; what is sent before it is up waits in the outbox. */
    public static Connection outbound(EventLoop loop, String name, OutboxLimit bound) {
        return new Connection(loop, null, name, bound);
    }

    /** Begins to connect; the handler hears {@code opened} or {@code closed}. */
    public void connect(InetSocketAddress address, Handler to) {
        handler = to;
        loop.execute(() -> beginConnect(address));
    }

    /** The same; one that is not up after so long is closed. */
    public void connect(InetSocketAddress address, Handler to, long upWithinMs) {
        handler = to;
        loop.execute(() -> {
            beginConnect(address);
            loop.after(upWithinMs, () -> {
                if (phase() == Phase.DIALLING) {
                    close(CONNECT_TIMEOUT);
                }
            });
        });
    }

    /** Starts to read and write an accepted connection. */
    public void start(Handler to) {
        handler = to;
        loop.execute(() -> {
            try {
                prepare();
                key = loop.register(channel, SelectionKey.OP_READ, ready);
                up();
            } catch (IOException e) {
                close("start: " + e.getMessage());
            }
        });
    }

    private void prepare() throws IOException {
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    }

    private void beginConnect(InetSocketAddress address) {
        synchronized (outbox) {
            if (phase != Phase.NEW) {
                return;
            }
            phase = Phase.DIALLING;
        }
        try {
            channel = SocketChannel.open();
            prepare();
            boolean at = channel.connect(address);
            key = loop.register(channel, at ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT, ready);
            if (at) {
                handler.opened();
                up();
            }
        } catch (ConnectException | NoRouteToHostException e) {
            close("connect: " + e.getMessage());
        } catch (IOException | UnresolvedAddressException e) {
            failedLocally = true;
            close("connect: " + e.getMessage());
        }
    }

    /** Whether it is over because this machine could not even begin to connect, as where it has no address or descriptor left. */
    public boolean failedLocally() {
        return failedLocally;
    }

    /** Queues a frame; false where the outbox is full or the connection over, and then nothing goes out. */
    public boolean send(byte[] bytes) {
        return send(bytes, null, null);
    }

    /** As {@link #send(byte[])}: only if {@code write} was not withdrawn at the first byte; {@code written} follows. */
    public boolean send(byte[] bytes, WithdrawableWrite write, Runnable written) {
        List<Runnable> told = new ArrayList<>(1);
        synchronized (outbox) {
            if (phase.compareTo(Phase.FINISHING) >= 0 || !bound.reserve(pending, bytes.length)) {
                return false;
            }
            pending += bytes.length;
            boolean first = outbox.isEmpty();
            outbox.add(new Frame(bytes, write, written));
            takenAt = first ? System.nanoTime() : takenAt;
            if (first && phase == Phase.OPEN) {
                write(told);
            }
        }
        told.forEach(Runnable::run); // without the lock: who is told may wait for room, and others send here
        return true;
    }

    /** Writes as much as the system takes; the loop goes on with the rest. Called with the lock. */
    private void write(List<Runnable> told) {
        try {
            while (!outbox.isEmpty()) {
                Frame f = outbox.peek();
                int before = f.bytes.position();
                if (f.write(channel)) {
                    takenAt = f.bytes.position() > before ? System.nanoTime() : takenAt;
                    if (f.bytes.hasRemaining()) {
                        loop.execute(() -> interest(SelectionKey.OP_WRITE, true));
                        return;
                    }
                    if (f.written != null) {
                        told.add(f.written);
                    }
                }
                outbox.poll();
                pending -= f.size();
                bound.release(f.size());
            }
            if (phase == Phase.FINISHING) {
                phase = Phase.FINISHED;
                loop.now(this::linger);
            }
        } catch (IOException e) {
            gone("write: " + e.getMessage());
        } catch (OutOfMemoryError e) {
            close("writing: " + e.getMessage());
        }
    }

    private void interest(int op, boolean on) {
        if (key != null && key.isValid()) {
            key.interestOps(on ? key.interestOps() | op : key.interestOps() & ~op);
        }
    }

    /** All is written: tells the peer so, and gives it a moment to read that; a close at once might destroy it. */
    private void linger() {
        try {
            channel.shutdownOutput();
            loop.after(LINGER_MS, () -> close("finished"));
        } catch (IOException e) {
            close("finishing: " + e.getMessage());
        }
    }

    private void up() {
        synchronized (outbox) {
            if (phase == Phase.NEW || phase == Phase.DIALLING) {
                phase = Phase.OPEN;
            }
        }
        flush();
    }

    private void flush() {
        List<Runnable> told = new ArrayList<>(1);
        synchronized (outbox) {
            if (phase == Phase.OPEN || phase == Phase.FINISHING) {
                write(told);
            }
        }
        told.forEach(Runnable::run);
    }

    private void gone(String why) {
        synchronized (outbox) {
            gone |= phase != Phase.CLOSED;
            close(why);
        }
    }

    /** Closes; what is queued is dropped. */
    public void close(String why) {
        if (closing(why)) {
            loop.execute(this::over);
        }
    }

    /** False where it was closed before. */
    private boolean closing(String why) {
        synchronized (outbox) {
            if (phase == Phase.CLOSED) {
                return false;
            }
            phase = Phase.CLOSED;
            cause = why;
            outbox.clear();
            bound.release(pending); // with the end, what is still queued frees its room in the bound that others share
            pending = 0;
            return true;
        }
    }

    /**
     * Closes where the connection is quiet, and says {@link Handler#idleCloseDeclined} otherwise. Guards against closing for
     * idleness what has just been asked on: on a busy core a request may have come and not have been read yet, or may
     * still be on its way to whoever decides on the close; and an answer may lie here until the peer has read what is
     * before it. The peer is told in the same task: what comes between the look and the end goes unanswered, and other
     * connections' tasks would make that longer.
     */
    public void closeIfIdle(String why) {
        loop.execute(() -> {
            if (quiet(true) && closing(why)) {
                over();
            }
        });
    }

    /** Closes as {@link #finish} does where the connection is quiet; otherwise it stays. The peer is told in the same task. */
    public void finishIfIdle() {
        loop.execute(() -> {
            if (quiet(false)) {
                finish();
            }
        });
    }

    /**
     * Whether it may end at this moment: nothing is open, nothing lies unread and nothing is still to be written. What
     * lay unread is handed on. {@code told}: the owner hears where it may not.
     */
    private boolean quiet(boolean told) {
        if (phase() != Phase.OPEN) {
            return false; // its end is on its way
        }
        if (handler.busy() || unsent()) {
            if (told) {
                handler.idleCloseDeclined();
            }
            return false;
        }
        return !receive(told) && phase() == Phase.OPEN;
    }

    /** Whether something is still to be written, to a peer that reads. */
    private boolean unsent() {
        synchronized (outbox) {
            return !outbox.isEmpty() && System.nanoTime() - takenAt < TimeUnit.MILLISECONDS.toNanos(UNREAD_MS);
        }
    }

    private Phase phase() {
        synchronized (outbox) {
            return phase;
        }
    }

    /** Whether it is over because the peer closed or reset it, and not by a close from here. */
    public boolean closedByPeer() {
        synchronized (outbox) {
            return phase == Phase.CLOSED && gone;
        }
    }

    /** Closes once all that is queued has been written, and the peer has had a moment to read it. */
    public void finish() {
        synchronized (outbox) {
            if (phase.compareTo(Phase.FINISHING) >= 0) {
                return;
            }
            boolean open = phase == Phase.OPEN;
            phase = Phase.FINISHING;
            if (open && outbox.isEmpty()) {
                write(new ArrayList<>(0)); // nothing is queued, so nobody is told
                return;
            }
        }
        loop.execute(this::endUnread);
    }

    /** What is queued last goes out for as long as the peer takes some of it. */
    private void endUnread() {
        if (phase() == Phase.FINISHING) {
            if (unsent()) {
                loop.after(UNREAD_MS / 10, this::endUnread);
            } else {
                close("the peer does not read");
            }
        }
    }

    private void over() {
        try {
            if (key != null) {
                key.cancel();
            }
            if (channel != null) {
                channel.close();
            }
        } catch (IOException e) {
            log.atWarn().addKeyValue("connection", name).log("closing: {}", e.getMessage());
        }
        if (handler != null) {
            handler.closed(cause);
        }
    }

    private void ready(SelectionKey k) {
        if (k.isConnectable()) {
            connected();
        }
        if (k.isValid() && k.isWritable()) {
            interest(SelectionKey.OP_WRITE, false);
            flush();
        }
        if (k.isValid() && k.isReadable()) {
            receive(false);
        }
    }

    /**
     * Reads until nothing more lies there, within bounds, and hands it on; true where something came or may lie there. The owner hears at
     * once whether the peer has ended the connection behind it, and not in a later pass: guards against work for one who
     * has gone, as after a time in which nothing was read.
     */
    private boolean receive(boolean toClose) {
        boolean some = false;
        boolean interrupted = false;
        for (int i = 0; i < READS; i++) {
            int n;
            try {
                n = channel.read(loop.buffer());
            } catch (IOException e) {
                gone("read: " + e.getMessage());
                return some;
            }
            if (n == END_OF_STREAM) {
                gone("closed by the peer");
                return some;
            }
            if (n == 0) {
                break;
            }
            interrupted |= n < 0;
            if (n > 0) {
                if (toClose && !some) {
                    handler.idleCloseDeclined();
                }
                some = true;
                handle(n);
            }
        }
        if (some) {
            handler.readComplete();
        } else if (interrupted && toClose) {
            handler.idleCloseDeclined(); // something may lie there
        }
        return some || interrupted;
    }

    private void connected() {
        try {
            if (!channel.finishConnect()) {
                return; // a signal interrupted the look: the selector tells again
            }
        } catch (IOException e) {
            close("connect: " + e.getMessage());
            return;
        }
        interest(SelectionKey.OP_CONNECT, false);
        interest(SelectionKey.OP_READ, true);
        handler.opened();
        up();
    }

    private void handle(int n) {
        boolean over;
        synchronized (outbox) {
            over = phase == Phase.CLOSED;
            if (phase == Phase.FINISHING || phase == Phase.FINISHED) {
                over = true;
                dropped += n;
            }
        }
        if (!over) {
            handler.received(loop.bytes(), n);
        } else if (dropped > LINGER_BYTES) {
            interest(SelectionKey.OP_READ, false);
        }
    }
}
