package quincespar.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * One TCP connection: a thread that reads, a thread that writes, and a bounded outbox between the writer and
 * whoever sends, so that a peer that does not read holds up its own writer only. It knows bytes and nothing else.
 */
public final class Connection {
    /** What the owner is told, on this connection's threads. */
    public interface Handler {
        /** A connection that was dialled is up. */
        default void opened() { }

        /** Bytes came; the array is used again after the call. */
        void received(byte[] bytes, int count);

        /** The connection is over and nothing more goes out; told once, last of all. */
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

    /** Begins to connect on a thread of its own; the handler hears {@code opened} or {@code closed}. */
    public static Connection dial(InetSocketAddress address, String name, OutboxBound bound, Handler handler) {
        Connection c = new Connection(new Socket(), name, bound);
        c.handler = handler;
        c.thread("read", () -> c.connect(address)).start();
        return c;
    }

    /** Starts both threads of an accepted connection. */
    public void start(Handler to) {
        handler = to;
        thread("write", this::writeAll).start();
        thread("read", this::readAll).start();
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
            outbox.notifyAll();
            return true;
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
            outbox.notifyAll();
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
            ended();
            return;
        }
        handler.opened();
        thread("write", this::writeAll).start();
        readAll();
    }

    private void readAll() {
        byte[] chunk = new byte[CHUNK];
        try {
            int n = socket.getInputStream().read(chunk);
            while (n >= 0) {
                handler.received(chunk, n);
                n = socket.getInputStream().read(chunk);
            }
            close("closed by the peer");
        } catch (IOException e) {
            close("read: " + e.getMessage());
        } catch (RuntimeException e) { // what a peer sends must end its own connection at most
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
        } catch (InterruptedException e) {
            close("interrupted");
        }
        ended();
    }

    /** The end, however far it came: what is still queued frees its room in the bound that others share. */
    private void ended() {
        synchronized (outbox) {
            outbox.clear();
            bound.give(pending);
        }
        handler.closed(cause);
    }
}
