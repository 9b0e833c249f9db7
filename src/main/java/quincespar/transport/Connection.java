package quincespar.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * One TCP connection: a thread that reads, a thread that writes, and a bounded outbox between the writer and
 * whoever sends, so that a peer that does not read holds up its own writer only. It knows bytes and nothing else.
 * The writer starts with the first frame: hundreds of peers that connect and say nothing must not have one each.
 */
public final class Connection {
    /** What the owner is told, on this connection's threads. */
    public interface Handler {
        /** A connection that was dialled is up. */
        default void opened() { }

        /** Bytes came; the array is used again after the call. */
        void received(byte[] bytes, int count);

        /** The connection is over, nothing more goes out and nothing more is handed on; told once, last of all. */
        void closed(String cause);
    }

    private record Frame(byte[] bytes, Passage passage, Runnable written) { }

    private static final int CHUNK = 8 * 1024;

    private final Socket socket;
    private final String name;
    private final OutboxBound bound;
    private final ArrayDeque<Frame> outbox = new ArrayDeque<>();
    private final AtomicBoolean shut = new AtomicBoolean();
    private Handler handler;
    private int pending;
    /** Threads of this connection that have not ended; the last one tells of the end. */
    private int running;
    private boolean ready;
    private boolean writing;
    private boolean finishing;
    private boolean over;
    private String cause = "closed here";

    private Connection(Socket socket, String name, OutboxBound bound) {
        this.socket = socket;
        this.name = name;
        this.bound = bound;
    }

    /** Takes over a socket that was accepted; nothing is read before {@link #start}. */
    public static Connection accepted(Socket socket, String name, OutboxBound bound) {
        return new Connection(socket, name, bound);
    }

    /** A connection that is not yet dialled; what is sent before it is up waits in the outbox. */
    public static Connection dialled(String name, OutboxBound bound) {
        return new Connection(new Socket(), name, bound);
    }

    /** Begins to connect on a thread of its own; the handler hears {@code opened} or {@code closed}. */
    public void dial(InetSocketAddress address, Handler to) {
        handler = to;
        begin(() -> connect(address));
    }

    /** Starts to read an accepted connection. */
    public void start(Handler to) {
        handler = to;
        begin(this::readAll);
    }

    private void begin(Runnable reading) {
        synchronized (outbox) {
            running++;
        }
        try {
            thread("read", () -> {
                try {
                    reading.run();
                } finally {
                    left();
                }
            }).start();
        } catch (OutOfMemoryError e) { // no thread is to be had: as good as a connection that broke
            close("no thread: " + e.getMessage());
            left();
        }
    }

    /** Queues a frame; false where the outbox is full or the connection over, and then nothing goes out. */
    public boolean send(byte[] bytes) {
        return send(bytes, null, null);
    }

    /** As {@link #send(byte[])}: only if {@code passage} still stands at the first byte; {@code written} follows. */
    public boolean send(byte[] bytes, Passage passage, Runnable written) {
        synchronized (outbox) {
            if (over || finishing || !bound.take(pending, bytes.length)) {
                return false;
            }
            pending += bytes.length;
            outbox.add(new Frame(bytes, passage, written));
            write();
            return true;
        }
    }

    /** Wakes the writer, or starts it where the socket is up and there is none yet. Called with the lock. */
    private void write() {
        if (writing) {
            outbox.notifyAll();
        } else if (ready && !over) {
            try {
                thread("write", () -> {
                    try {
                        writeAll();
                    } finally {
                        left();
                    }
                }).start();
                writing = true;
                running++;
            } catch (OutOfMemoryError e) {
                close("no thread: " + e.getMessage());
            }
        }
    }

    /** The socket is up: what waits may go out. */
    private void up() {
        synchronized (outbox) {
            ready = true;
            if (finishing || !outbox.isEmpty()) {
                write();
            }
        }
    }

    /** Closes at once; what is queued is dropped. */
    public void close(String why) {
        if (!shut.compareAndSet(false, true)) {
            return;
        }
        synchronized (outbox) {
            cause = why;
            over = true;
            outbox.notifyAll();
        }
        closeSocket();
    }

    /** Closes once all that is queued has been written. */
    public void finish() {
        synchronized (outbox) {
            finishing = true;
            write();
        }
    }

    private void closeSocket() {
        try {
            socket.close();
        } catch (IOException e) {
            System.err.println(name + ": closing: " + e.getMessage());
        }
    }

    private Thread thread(String role, Runnable body) {
        return Threads.daemon(name + "-" + role, body);
    }

    private void connect(InetSocketAddress address) {
        try {
            socket.setTcpNoDelay(true);
            socket.connect(address);
        } catch (IOException e) {
            close("connect: " + e.getMessage());
            return;
        }
        handler.opened();
        readAll();
    }

    private void readAll() {
        up();
        try {
            byte[] chunk = new byte[CHUNK];
            int n = socket.getInputStream().read(chunk);
            while (n >= 0) {
                handler.received(chunk, n);
                n = socket.getInputStream().read(chunk);
            }
            close("closed by the peer");
        } catch (IOException e) {
            close("read: " + e.getMessage());
        } catch (RuntimeException | OutOfMemoryError | StackOverflowError e) {
            // what a peer sends must end its own connection at most
            System.err.println(name + ": " + e);
            close("handling: " + e.getMessage());
        }
    }

    private Frame next() throws InterruptedException {
        synchronized (outbox) {
            while (outbox.isEmpty() && !over && !finishing) {
                outbox.wait();
            }
            return over ? null : outbox.poll();
        }
    }

    private void writeAll() {
        try {
            for (Frame f = next(); f != null; f = next()) {
                if (f.passage() == null || f.passage().begin()) {
                    socket.getOutputStream().write(f.bytes());
                    if (f.written() != null) {
                        f.written().run();
                    }
                }
                synchronized (outbox) {
                    pending -= f.bytes().length;
                    bound.give(f.bytes().length);
                }
            }
            close("finished");
        } catch (IOException e) {
            close("write: " + e.getMessage());
        } catch (OutOfMemoryError e) {
            close("writing: " + e.getMessage());
        } catch (InterruptedException e) {
            close("interrupted");
        }
    }

    /**
     * A thread has ended. With the last one, however far it came, what is still queued frees its room in the bound
     * that others share, and the owner is told. Not before: a reader may still be handing on what it read.
     */
    private void left() {
        synchronized (outbox) {
            running--;
            if (running > 0) {
                return;
            }
            over = true;
            outbox.clear();
            bound.give(pending);
            pending = 0;
        }
        handler.closed(cause);
    }
}
