package quincespar.faultbench.world;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The link from one instance to another: passes bytes on, or does to them what it is told. */
public final class Relay implements AutoCloseable {
    private static final int BUFFER_BYTES = 8192;

    /** What is done to the bytes of one direction. */
    public enum Mode {
        /** Passed on. */
        PASS,
        /** Held back without a word, until it passes again. */
        HOLD,
        /** Held back from the middle of a chunk on: what has begun does not end. */
        STALL,
        /** Passed on late by the amount, in milliseconds. */
        SLOW,
        /** Passed on late by up to the amount, by turns. */
        JITTER,
        /** At most the amount in bytes a second. */
        THROTTLE,
        /** One bit of the next chunk is turned, and then it passes. */
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

    /** From an address of its own to this one. */
    public Relay(InetSocketAddress to) throws IOException {
        this.to = to;
        Sockets.serve(server, "relay", this::serveConnection);
    }

    /** Where it listens. */
    public int port() {
        return server.getLocalPort();
    }

    /** Sets what is done to bytes on their fault there ({@code forward}) or back, from now on. */
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

    /** Resets all connections, and refuses new ones for as long as it is cut. */
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
        } catch (IOException e) { // closed already
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

    /** Does what is asked for, and returns how much of the chunk has gone out with that. */
    private int applyFault(byte[] bytes, int n, OutputStream to, boolean forward, int chunkNumber) throws InterruptedException, IOException {
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
