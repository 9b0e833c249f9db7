package quincespar.faultbench.world;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** TCP proxy for the link from one instance to another; forwards bytes and injects network faults. */
public final class Relay implements AutoCloseable {
    private static final int BUFFER_BYTES = 8192;

    /** The fault of one direction. */
    public enum Mode {
        /** No fault. */
        PASS,
        /** Bytes are held back until the mode changes; connections stay open. */
        HOLD,
        /** Bytes are held back from the middle of a chunk on, which leaves a frame incomplete. */
        STALL,
        /** Each chunk is delayed by the amount, in milliseconds. */
        SLOW,
        /** Each chunk is delayed by a varying time up to the amount, in milliseconds. */
        JITTER,
        /** Throughput is limited to the amount, in bytes per second. */
        THROTTLE,
        /** One bit of the next chunk is flipped; the mode then returns to {@link #PASS}. */
        FLIP
    }

    private record DirectionFault(Mode mode, int amount) { }

    private final ServerSocket server = Sockets.listen();
    private final InetSocketAddress to;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final Object changed = new Object();
    private volatile boolean cut;
    private DirectionFault forwardFault = new DirectionFault(Mode.PASS, 0);
    private DirectionFault backwardFault = new DirectionFault(Mode.PASS, 0);

    /** A relay from a new loopback port to this address. */
    public Relay(InetSocketAddress to) throws IOException {
        this.to = to;
        Sockets.serve(server, "relay", this::serveConnection);
    }

    /** The port that it listens on. */
    public int port() {
        return server.getLocalPort();
    }

    /** Sets the fault of the forward or backward direction. */
    public void setMode(boolean forward, Mode mode, int amount) {
        synchronized (changed) {
            if (forward) {
                forwardFault = new DirectionFault(mode, amount);
            } else {
                backwardFault = new DirectionFault(mode, amount);
            }
            changed.notifyAll();
        }
    }

    /** Resets all connections and rejects new ones while the link is cut. */
    public void setCut(boolean now) {
        cut = now;
        if (now) {
            open.forEach(Relay::reset);
        }
    }

    private static void reset(Socket s) {
        try {
            s.setSoLinger(true, 0);
            s.close();
        } catch (IOException e) { // already closed
            return;
        }
    }

    private void serveConnection(Socket from) throws IOException {
        if (cut) {
            reset(from);
            return;
        }
        try (Socket there = new Socket(to.getAddress(), to.getPort())) {
            there.setTcpNoDelay(true);
            open.add(from);
            open.add(there);
            Thread other = Sockets.startDaemon("relay-back", () -> pump(there, from, false));
            pump(from, there, true);
            other.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            open.remove(from);
        }
    }

    private void pump(Socket from, Socket into, boolean forward) {
        byte[] bytes = new byte[BUFFER_BYTES];
        try {
            InputStream in = from.getInputStream();
            OutputStream to = into.getOutputStream();
            int chunkNumber = 0;
            for (int n = in.read(bytes); n >= 0; n = in.read(bytes)) {
                int sent = applyFault(bytes, n, to, forward, chunkNumber++);
                to.write(bytes, sent, n - sent);
            }
            into.shutdownOutput();
        } catch (IOException e) {
            reset(from);
            reset(into);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            open.remove(into);
        }
    }

    /** Applies the current fault to a chunk and returns how many of its bytes have been written already. */
    private int applyFault(byte[] bytes, int n, OutputStream to, boolean forward, int chunkNumber)
            throws InterruptedException, IOException {
        int sent = 0;
        while (true) {
            DirectionFault fault;
            synchronized (changed) {
                fault = forward ? forwardFault : backwardFault;
                if (fault.mode() == Mode.HOLD || fault.mode() == Mode.STALL && sent > 0) {
                    changed.wait();
                    continue;
                }
            }
            if (fault.mode() == Mode.STALL) {
                sent = n / 2;
                to.write(bytes, 0, sent);
                continue;
            }
            if (fault.mode() == Mode.SLOW) {
                Thread.sleep(fault.amount());
            } else if (fault.mode() == Mode.JITTER) {
                Thread.sleep((long) fault.amount() * (chunkNumber * 7919L % 10) / 10);
            } else if (fault.mode() == Mode.THROTTLE) {
                Thread.sleep(1000L * n / Math.max(1, fault.amount()));
            } else if (fault.mode() == Mode.FLIP) {
                bytes[sent + (n - sent) / 2] ^= 0x10;
                setMode(forward, Mode.PASS, 0);
            }
            return sent;
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        open.forEach(Relay::reset);
    }
}
