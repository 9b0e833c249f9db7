package quincespar.faultbench.world;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Random;

/** What all stand-ins need of sockets: loopback addresses and a thread for each connection. */
final class Sockets {
    private static final int BACKLOG = 128;

    /** Plays one connection; its end is told by the exception. */
    interface ConnectionHandler {
        void handle(Socket s) throws IOException;
    }

    private Sockets() { }

    /**
     * A net of loopback addresses that nobody listens in, as {@code 127.A.B.}: ports of the one common address may be taken by
     * any connection that goes out between the look and the use.
     */
    static String freeAddressPrefix(int port) throws IOException {
        Random random = new Random();
        while (true) {
            String prefix = "127." + (10 + random.nextInt(240)) + "." + random.nextInt(250) + ".";
            try (ServerSocket free = new ServerSocket()) {
                free.bind(new InetSocketAddress(prefix + "1", port));
                return prefix;
            } catch (BindException e) { // another run's
                Thread.onSpinWait();
            }
        }
    }

    static ServerSocket listen() throws IOException {
        return new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    }

    /** Accepts until the listener is closed, and plays each connection on a thread of its own. */
    static void serve(ServerSocket server, String name, ConnectionHandler handler) {
        startDaemon(name, () -> {
            while (!server.isClosed()) {
                try {
                    Socket s = server.accept();
                    s.setTcpNoDelay(true);
                    startDaemon(name + "-link", () -> {
                        try (s) {
                            handler.handle(s);
                        } catch (IOException e) { // the end of this connection, whichever side ended it
                            return;
                        }
                    });
                } catch (IOException e) { // closed, or a peer that went before it was taken
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
