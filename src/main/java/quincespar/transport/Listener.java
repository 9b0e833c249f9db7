package quincespar.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.function.Consumer;

/** Accepts connections on one address until it is closed. */
public final class Listener {
    private static final int BACKLOG = 1024;
    private static final long PAUSE_MS = 20;

    private final ServerSocket socket = new ServerSocket();

    /** Binds the address; nothing is accepted before {@link #start}. */
    public Listener(InetSocketAddress address) throws IOException {
        socket.setReuseAddress(true); // a planned restart binds the same address again at once
        socket.bind(address, BACKLOG);
    }

    /** The port that is bound. */
    public int port() {
        return socket.getLocalPort();
    }

    /** Accepts on a thread of its own. */
    public void start(Consumer<Socket> taker) {
        Threads.daemon("listener", () -> accept(taker)).start();
    }

    private void accept(Consumer<Socket> taker) {
        while (!socket.isClosed()) {
            try {
                Socket s = socket.accept();
                s.setTcpNoDelay(true);
                taker.accept(s);
            } catch (IOException | RuntimeException | OutOfMemoryError e) {
                // out of descriptors or threads, or a client gone before it was accepted: none ends the listener
                if (!socket.isClosed()) {
                    System.err.println("listener: " + e.getMessage());
                    pause();
                }
            }
        }
    }

    private void pause() {
        try {
            Thread.sleep(PAUSE_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Stops accepting. */
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            System.err.println("listener: closing: " + e.getMessage());
        }
    }
}
