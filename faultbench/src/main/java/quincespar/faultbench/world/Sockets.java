package quincespar.faultbench.world;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Random;

/** Socket helpers of the stand-ins: loopback addresses, and a thread for each connection. */
final class Sockets {
    private static final int BACKLOG = 128;

    /** Serves one connection until it is closed, which may end in an {@link IOException}. */
    interface ConnectionHandler {
        void handle(Socket s) throws IOException;
    }

    private Sockets() { }

    /**
     * Finds an unused prefix of loopback addresses, as {@code 127.A.B.}. Free ports of 127.0.0.1 are unsuitable: an outgoing
     * connection may take a port between the check and its use.
     */
    static String freeAddressPrefix(int port) throws IOException {
        Random random = new Random();
        while (true) {
            String prefix = "127." + (10 + random.nextInt(240)) + "." + random.nextInt(250) + ".";
            try (ServerSocket free = new ServerSocket()) {
                free.bind(new InetSocketAddress(prefix + "1", port));
                return prefix;
            } catch (BindException e) { // in use by another run
                Thread.onSpinWait();
            }
        }
    }

    static ServerSocket listen() throws IOException {
        return new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    }

    /** Accepts connections until the listener is closed, and handles each on its own thread. */
    static void serve(ServerSocket server, String name, ConnectionHandler handler) {
        startDaemon(name, () -> {
            while (!server.isClosed()) {
                try {
                    Socket s = server.accept();
                    s.setTcpNoDelay(true);
                    startDaemon(name + "-link", () -> {
                        try (s) {
                            handler.handle(s);
                        } catch (IOException e) { // closed by either side
                            return;
                        }
                    });
                } catch (IOException e) { // listener closed, or the peer disconnected before the accept
                    Thread.onSpinWait();
                }
            }
        });
    }

    static Thread startDaemon(String name, Runnable body) {
        Thread t = new Thread(body, name);
        t.setDaemon(true);
        t.start();
        return t;
    }
}
