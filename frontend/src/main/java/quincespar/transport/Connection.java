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
 * A TCP connection on an {@link EventLoop}. It transports bytes and knows nothing of their meaning. The outbox is
 * bounded, so that a peer that does not read blocks no other work. {@link #send} writes as much as the socket buffer
 * takes on the caller's thread; the loop writes the rest. Callbacks run on the loop's thread, except {@code written},
 * which runs on the thread that completed the write.
 */
public final class Connection {
    private final Logger log = LoggerFactory.getLogger(Connection.class);
    /** Callbacks to the owner of the connection. */
    public interface Handler {
        /** An outbound connection has been established. */
        default void opened() { }

        /** Bytes were received; the array is reused after the call. */
        void received(byte[] bytes, int count);

        /**
         * What was read in this pass has been delivered, and no end of the connection was found after it.
         *
         * @param allRead whether nothing more was readable; otherwise more input may follow, and the peer's end behind it
         */
        default void readComplete(boolean allRead) { }

        /** A pause in reading is over, and reading goes on unless it is paused again. */
        default void pauseEnded() { }

        /** A pause in reading ends early, as the connection is to be closed if nothing more is there; it may be paused again. */
        default void pauseCutShort() { }

        /** Whether a request is open on the connection, as far as the owner has decoded what it received. */
        default boolean busy() {
            return false;
        }

        /** {@link #closeIfIdle} left it open: it is busy, or there were unread bytes, which are delivered next. */
        default void idleCloseDeclined() { }

        /** The connection is closed; called once, as the last callback. */
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

        /** Writes as much as the channel takes; false if the frame was withdrawn. */
        boolean write(SocketChannel channel) throws IOException {
            if (write == null) {
                channel.write(bytes);
                return true;
            }
            return write.write(() -> {
                channel.write(bytes);
                return bytes.position() > 0;
            });
        }

        int size() {
            return bytes.capacity();
        }
    }

    private enum Phase { NEW, CONNECTING, OPEN, FINISHING, FINISHED, CLOSED }

    /** Result of a read at the end of the stream; other negative results mean that a signal interrupted the call. */
    private static final int END_OF_STREAM = -1;
    /** Limits the reads per pass, so that a peer that sends at full speed does not starve the other connections. */
    private static final int MAX_READS_PER_PASS = 4;
    /** A peer that has taken none of the queued bytes for this long is considered not to read. */
    private static final long WRITE_STALL_TIMEOUT_MS = 5000;
    /** Delay between the end of the output and the close, in which the peer can read the last bytes. */
    private static final long LINGER_MS = 200;
    /** Limit on the bytes that are read and discarded during a graceful close. */
    private static final int MAX_LINGER_BYTES = 64 * 1024;

    /**
     * Close cause of a connection that was not established within its timeout. The text is fixed: the program's counters
     * derive the key {@code failures.SIDE.connect.not_up_in_time} from it.
     */
    public static final String CONNECT_TIMEOUT = "connect: not up in time";

    private final EventLoop loop;
    private final String name;
    private final OutboxLimit limit;
    private final ArrayDeque<Frame> outbox = new ArrayDeque<>();
    private final EventLoop.ChannelHandler channelHandler = new EventLoop.ChannelHandler() {
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
    private boolean endedByPeer;
    private volatile boolean failedLocally;
    private boolean readingPaused;
    /** Number of the last pause; the end of an earlier one, which was cut short, is ignored. */
    private long lastPause;
    /** Whether the next round of the loop reads on, whether or not the selector reports the channel. */
    private boolean restScheduled;
    private int queuedBytes;
    private int discardedBytes;
    /** When the peer last took queued bytes, or when the first frame was queued; {@link System#nanoTime}. */
    private long lastWriteProgressAt;
    private String cause = "closed here";

    private Connection(EventLoop loop, SocketChannel channel, String name, OutboxLimit limit) {
        this.loop = loop;
        this.channel = channel;
        this.name = name;
        this.limit = limit;
    }

    /** Wraps an accepted channel; nothing is read or written before {@link #start}. */
    public static Connection accepted(EventLoop loop, SocketChannel channel, String name, OutboxLimit limit) {
        return new Connection(loop, channel, name, limit);
    }

    /** An outbound connection that is not yet connecting; frames sent before it is established wait in the outbox. */
    public static Connection outbound(EventLoop loop, String name, OutboxLimit limit) {
        return new Connection(loop, null, name, limit);
    }

    /** Begins to connect; the handler gets {@code opened} or {@code closed}. */
    public void connect(InetSocketAddress address, Handler handler) {
        this.handler = handler;
        loop.execute(() -> beginConnect(address));
    }

    /** Begins to connect, and closes the connection with {@link #CONNECT_TIMEOUT} if it is not established in time. */
    public void connect(InetSocketAddress address, Handler handler, long timeoutMs) {
        this.handler = handler;
        loop.execute(() -> {
            beginConnect(address);
            loop.after(timeoutMs, () -> {
                if (phase() == Phase.CONNECTING) {
                    close(CONNECT_TIMEOUT);
                }
            });
        });
    }

    /** Starts reading and writing an accepted connection. */
    public void start(Handler handler) {
        this.handler = handler;
        loop.execute(() -> {
            try {
                configureChannel();
                key = loop.register(channel, SelectionKey.OP_READ, channelHandler);
                markOpen();
            } catch (IOException e) {
                close("start: " + e.getMessage());
            }
        });
    }

    private void configureChannel() throws IOException {
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    }

    private void beginConnect(InetSocketAddress address) {
        synchronized (outbox) {
            if (phase != Phase.NEW) {
                return;
            }
            phase = Phase.CONNECTING;
        }
        try {
            channel = SocketChannel.open();
            configureChannel();
            boolean connected = channel.connect(address);
            key = loop.register(channel, connected ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT, channelHandler);
            if (connected) {
                handler.opened();
                markOpen();
            }
        } catch (ConnectException | NoRouteToHostException e) {
            close("connect: " + e.getMessage());
        } catch (IOException | UnresolvedAddressException e) {
            failedLocally = true;
            close("connect: " + e.getMessage());
        }
    }

    /** Whether connecting failed on this machine, before reaching the peer: for example no free descriptor or local port. */
    public boolean failedLocally() {
        return failedLocally;
    }

    /** Queues a frame; false if the outbox is full or the connection is closing, in which case nothing is sent. */
    public boolean send(byte[] bytes) {
        return send(bytes, null, null);
    }

    /**
     * As {@link #send(byte[])}, but skips the frame if {@code write} is withdrawn before its first byte is written.
     * {@code written} runs after the last byte.
     */
    public boolean send(byte[] bytes, WithdrawableWrite write, Runnable written) {
        OutboxLimit.Reservation reservation = trySend(bytes, write, written);
        while (reservation == OutboxLimit.Reservation.TOTAL_FULL && limit.makeRoom(this)) {
            reservation = trySend(bytes, write, written);
        }
        return reservation == OutboxLimit.Reservation.RESERVED;
    }

    private OutboxLimit.Reservation trySend(byte[] bytes, WithdrawableWrite write, Runnable written) {
        List<Runnable> callbacks = new ArrayList<>(1);
        synchronized (outbox) {
            if (phase.compareTo(Phase.FINISHING) >= 0) {
                return OutboxLimit.Reservation.OUTBOX_FULL;
            }
            OutboxLimit.Reservation reservation = limit.reserve(queuedBytes, bytes.length);
            if (reservation != OutboxLimit.Reservation.RESERVED) {
                return reservation;
            }
            queuedBytes += bytes.length;
            boolean first = outbox.isEmpty();
            outbox.add(new Frame(bytes, write, written));
            lastWriteProgressAt = first ? System.nanoTime() : lastWriteProgressAt;
            if (first && phase == Phase.OPEN) {
                write(callbacks);
            }
            if (!outbox.isEmpty()) {
                limit.addHolder(this);
            }
        }
        callbacks.forEach(Runnable::run); // outside the lock: a callback may block, and other threads send here
        return OutboxLimit.Reservation.RESERVED;
    }

    /** The queued bytes, multiplied by the time since the peer last took some of them. */
    double heldByteNanos(long nowNanos) {
        synchronized (outbox) {
            return (double) queuedBytes * (nowNanos - lastWriteProgressAt);
        }
    }

    /** Writes as much as the socket buffer takes; the loop writes the rest. Called with the lock on the outbox held. */
    private void write(List<Runnable> callbacks) {
        try {
            while (!outbox.isEmpty()) {
                Frame f = outbox.peek();
                int before = f.bytes.position();
                if (f.write(channel)) {
                    lastWriteProgressAt = f.bytes.position() > before ? System.nanoTime() : lastWriteProgressAt;
                    if (f.bytes.hasRemaining()) {
                        loop.execute(() -> setInterest(SelectionKey.OP_WRITE, true));
                        return;
                    }
                    if (f.written != null) {
                        callbacks.add(f.written);
                    }
                }
                outbox.poll();
                queuedBytes -= f.size();
                limit.release(f.size());
            }
            limit.removeHolder(this);
            if (phase == Phase.FINISHING) {
                phase = Phase.FINISHED;
                loop.executeInLoop(this::shutDownOutput);
            }
        } catch (IOException e) {
            closeBecauseOfPeer("write: " + e.getMessage());
        } catch (OutOfMemoryError e) {
            close("writing: " + e.getMessage());
        }
    }

    private void setInterest(int op, boolean on) {
        if (key != null && key.isValid()) {
            key.interestOps(on ? key.interestOps() | op : key.interestOps() & ~op);
        }
    }

    /**
     * Reads nothing more for a while, with 0 until the other channels had their turn, so that a peer that sends too much costs
     * little. Call on the loop's thread only.
     */
    public void pauseReading(long pauseMs) {
        readingPaused = true;
        setInterest(SelectionKey.OP_READ, false);
        long number = ++lastPause;
        loop.after(pauseMs, () -> {
            if (number == lastPause) {
                resumeReading();
            }
        });
    }

    private void cutPauseShort() {
        readingPaused = false;
        lastPause++;
        handler.pauseCutShort();
        if (!readingPaused) {
            setInterest(SelectionKey.OP_READ, true);
        }
    }

    private void resumeReading() {
        readingPaused = false;
        if (phase() == Phase.OPEN) {
            handler.pauseEnded();
        }
        if (!readingPaused) {
            setInterest(SelectionKey.OP_READ, true);
            if (!restScheduled) {
                receiveRest();
            }
        }
    }

    /** Ends the output after the last byte and closes after a delay: an immediate close could discard unread bytes. */
    private void shutDownOutput() {
        try {
            channel.shutdownOutput();
            loop.after(LINGER_MS, () -> close("finished"));
        } catch (IOException e) {
            close("finishing: " + e.getMessage());
        }
    }

    private void markOpen() {
        synchronized (outbox) {
            if (phase == Phase.NEW || phase == Phase.CONNECTING) {
                phase = Phase.OPEN;
            }
        }
        flush();
    }

    private void flush() {
        List<Runnable> callbacks = new ArrayList<>(1);
        synchronized (outbox) {
            if (phase == Phase.OPEN || phase == Phase.FINISHING) {
                write(callbacks);
            }
        }
        callbacks.forEach(Runnable::run);
    }

    /** Closes the connection after the peer closed or reset it. */
    private void closeBecauseOfPeer(String why) {
        synchronized (outbox) {
            endedByPeer |= phase != Phase.CLOSED;
            close(why);
        }
    }

    /** Closes the connection and drops the queued frames. */
    public void close(String why) {
        if (markClosed(why)) {
            loop.execute(this::release);
        }
    }

    /** Marks the connection as closed; false if it already was. */
    private boolean markClosed(String why) {
        synchronized (outbox) {
            if (phase == Phase.CLOSED) {
                return false;
            }
            phase = Phase.CLOSED;
            cause = why;
            outbox.clear();
            limit.release(queuedBytes); // dropped frames no longer count against the shared limit
            queuedBytes = 0;
            limit.removeHolder(this);
            return true;
        }
    }

    /**
     * Closes the connection if it is idle, and calls {@link Handler#idleCloseDeclined} otherwise. A connection can look
     * idle to the caller and not be: on a busy core a request may have arrived without having been read or processed
     * yet, and an answer may wait in the outbox for a slow peer. Check and close run in one task, because a request
     * that arrives between them is lost, and tasks of other connections in between would widen that window.
     */
    public void closeIfIdle(String why) {
        loop.execute(() -> {
            if (receiveAndCheckIdle(true) && markClosed(why)) {
                release();
            }
        });
    }

    /** Calls {@link #finish} if the connection is idle, in the same task as the check; otherwise does nothing. */
    public void finishIfIdle() {
        loop.execute(() -> {
            if (receiveAndCheckIdle(false)) {
                finish();
            }
        });
    }

    /**
     * Whether no request is open and nothing is unread or unsent. Unread bytes are delivered to the handler. With
     * {@code notify} the handler gets {@link Handler#idleCloseDeclined} if the connection is not idle.
     */
    private boolean receiveAndCheckIdle(boolean notify) {
        if (phase() != Phase.OPEN) {
            return false; // already closing, or not yet open
        }
        if (notify && readingPaused) {
            cutPauseShort();
        }
        if (handler.busy() || hasUnsentData() || readingPaused) {
            if (notify) {
                handler.idleCloseDeclined();
            }
            return false;
        }
        return !receive(notify) && phase() == Phase.OPEN;
    }

    /** Whether bytes are queued for a peer that still takes some. */
    private boolean hasUnsentData() {
        synchronized (outbox) {
            return !outbox.isEmpty() && System.nanoTime() - lastWriteProgressAt
                    < TimeUnit.MILLISECONDS.toNanos(WRITE_STALL_TIMEOUT_MS);
        }
    }

    private Phase phase() {
        synchronized (outbox) {
            return phase;
        }
    }

    /** Whether the peer closed or reset the connection, as opposed to a close from this side. */
    public boolean closedByPeer() {
        synchronized (outbox) {
            return phase == Phase.CLOSED && endedByPeer;
        }
    }

    /** Closes gracefully: once all queued frames are written and the peer has had a short time to read them. */
    public void finish() {
        synchronized (outbox) {
            if (phase.compareTo(Phase.FINISHING) >= 0) {
                return;
            }
            boolean open = phase == Phase.OPEN;
            phase = Phase.FINISHING;
            if (open && outbox.isEmpty()) {
                write(new ArrayList<>(0)); // no frames are queued, so there are no callbacks
                return;
            }
        }
        loop.execute(this::checkWriteProgress);
    }

    /** Closes a finishing connection once the peer stops taking queued bytes. */
    private void checkWriteProgress() {
        if (phase() == Phase.FINISHING) {
            if (hasUnsentData()) {
                loop.after(WRITE_STALL_TIMEOUT_MS / 10, this::checkWriteProgress);
            } else {
                close("the peer does not read");
            }
        }
    }

    private void release() {
        try {
            if (key != null) {
                key.cancel();
            }
            if (channel != null) {
                channel.close();
            }
        } catch (IOException e) {
            log.atWarn().addKeyValue("connection", name).log("error while closing the channel: {}", e.getMessage());
        }
        if (handler != null) {
            handler.closed(cause);
        }
    }

    private void ready(SelectionKey k) {
        if (k.isConnectable()) {
            finishConnect();
        }
        if (k.isValid() && k.isWritable()) {
            setInterest(SelectionKey.OP_WRITE, false);
            flush();
        }
        if (k.isValid() && k.isReadable() && !restScheduled) {
            receive(false);
        }
    }

    /**
     * Reads until the socket buffer is empty, up to the limit per pass, and delivers the bytes; true if some were read or
     * may still be unread. Reading on to the end of the stream in the same pass tells the owner at once if the peer has
     * closed the connection, which avoids work for a peer that is gone, for example after a pause of this process.
     */
    private boolean receive(boolean notify) {
        boolean received = false;
        boolean interrupted = false;
        boolean allRead = false;
        for (int i = 0; i < MAX_READS_PER_PASS && !readingPaused; i++) {
            int n;
            try {
                n = channel.read(loop.buffer());
            } catch (IOException e) {
                closeBecauseOfPeer("read: " + e.getMessage());
                return received;
            }
            if (n == END_OF_STREAM) {
                closeBecauseOfPeer("closed by the peer");
                return received;
            }
            if (n == 0) {
                allRead = true;
                break;
            }
            interrupted |= n < 0;
            if (n > 0) {
                if (notify && !received) {
                    handler.idleCloseDeclined();
                }
                received = true;
                deliver(n);
            }
        }
        if (!allRead && !restScheduled) {
            restScheduled = true;
            loop.after(0, this::receiveRest);
        }
        if (received || allRead) {
            handler.readComplete(allRead);
        }
        if (received) {
            return true;
        }
        if (interrupted && notify) {
            handler.idleCloseDeclined(); // there may be unread bytes
        }
        return interrupted;
    }

    /**
     * Reads on where a pass ended at its limit. The selector reports only a channel that is readable, and it may be that nothing
     * is left, which the owner must know.
     */
    private void receiveRest() {
        restScheduled = false;
        if (phase() == Phase.OPEN && !readingPaused) {
            receive(false);
        }
    }

    private void finishConnect() {
        try {
            if (!channel.finishConnect()) {
                return; // interrupted by a signal: the selector reports the key again
            }
        } catch (IOException e) {
            close("connect: " + e.getMessage());
            return;
        }
        setInterest(SelectionKey.OP_CONNECT, false);
        setInterest(SelectionKey.OP_READ, true);
        handler.opened();
        markOpen();
    }

    private void deliver(int n) {
        boolean closed;
        synchronized (outbox) {
            closed = phase == Phase.CLOSED;
            if (phase == Phase.FINISHING || phase == Phase.FINISHED) {
                closed = true;
                discardedBytes += n;
            }
        }
        if (!closed) {
            handler.received(loop.bufferedBytes(), n);
        } else if (discardedBytes > MAX_LINGER_BYTES) {
            setInterest(SelectionKey.OP_READ, false);
        }
    }
}
