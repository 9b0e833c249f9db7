import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** A stand-in engine: RESP arrays of bulk strings, as the protocol page has them. A handler decides what each request gets. */
final class Engine {
    /** Decides what becomes of a request that has arrived whole. */
    interface Handler {
        void serve(Request request);
    }

    /** A request that has arrived whole, and its connection. */
    final class Request {
        final Connection connection;
        final String id;
        final Map<String, String> fields;
        final String statement;
        final double arrivedAt;

        Request(Connection connection, String id, Map<String, String> fields, String statement) {
            this.connection = connection;
            this.id = id;
            this.fields = fields;
            this.statement = statement;
            arrivedAt = rig.now();
        }

        String queue() {
            return fields.getOrDefault("queue", "");
        }

        /** Answers after a time, unless the request was cancelled or its connection has gone. */
        void answer(long afterMs, String word, String fieldText, String body) {
            timer.schedule(() -> {
                if (!connection.open.remove(id, this)) {
                    return;
                }
                rig.log(name + " " + word + " " + id);
                connection.send(id, word, fieldText, body);
            }, afterMs, TimeUnit.MILLISECONDS);
        }

        /** A result of one page. */
        void done(long afterMs) {
            answer(afterMs, "DONE", "count=1", name + "\t" + id + "\t1\n");
        }
    }

    final class Connection {
        String engine() {
            return id;
        }

        final Socket socket;
        final Map<String, Request> open = new ConcurrentHashMap<>();

        Connection(Socket socket) {
            this.socket = socket;
        }

        synchronized void send(String... items) {
            try {
                ByteArrayOutputStream out = new ByteArrayOutputStream();
                out.write(("*" + items.length + "\r\n").getBytes(StandardCharsets.US_ASCII));
                for (String item : items) {
                    byte[] b = item.getBytes(StandardCharsets.UTF_8);
                    out.write(("$" + b.length + "\r\n").getBytes(StandardCharsets.US_ASCII));
                    out.write(b);
                    out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
                }
                socket.getOutputStream().write(out.toByteArray());
            } catch (IOException e) {
                rig.log(name + " could not write: " + e.getMessage());
            }
        }

        void read() {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                while (true) {
                    List<String> items = readArray(in);
                    if (items == null) {
                        break;
                    }
                    handle(items);
                }
            } catch (IOException e) {
                rig.log(name + " connection ended: " + e.getMessage());
            }
            connections.remove(this);
            open.clear();
        }

        private void handle(List<String> items) {
            switch (items.get(0)) {
                case "serve" -> {
                    Request r = new Request(this, items.get(1), fields(items.get(2)), items.get(3));
                    open.put(r.id, r);
                    rig.log(name + " got " + r.id + " " + items.get(2) + " " + r.statement);
                    handler.serve(r);
                }
                case "cancel" -> {
                    rig.log(name + " cancel " + items.get(1));
                    open.remove(items.get(1));
                }
                case "health", "gauges" -> send(items.get(1), "FIT", "-", "");
                default -> { }
            }
        }
    }

    final String id;
    final String name;
    final Rig rig;
    final ServerSocket server;
    volatile Handler handler;
    final Set<Connection> connections = ConcurrentHashMap.newKeySet();
    final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2, r -> {
        Thread t = new Thread(r, "engine-timer");
        t.setDaemon(true);
        return t;
    });

    Engine(Rig rig, String id, Handler handler) throws IOException {
        this.rig = rig;
        this.id = id;
        name = id;
        this.handler = handler;
        server = new ServerSocket(0, 200, Rig.LOOPBACK);
        Thread t = new Thread(() -> {
            while (!server.isClosed()) {
                try {
                    Socket s = server.accept();
                    s.setTcpNoDelay(true);
                    Connection c = new Connection(s);
                    connections.add(c);
                    Thread reader = new Thread(c::read, name);
                    reader.setDaemon(true);
                    reader.start();
                } catch (IOException e) {
                    return;
                }
            }
        }, name);
        t.setDaemon(true);
        t.start();
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** The engine's entry in the list. */
    String member(String zone, String kind, int cell, String phase) {
        return "{\"id\":\"" + id + "\",\"host_port\":\"" + address() + "\",\"locality\":\"" + zone + "\",\"flavor\":\"" + kind
                + "\",\"cell\":" + cell + ",\"phase\":\"" + phase + "\",\"size\":4,\"up_since_ms\":0}";
    }

    private static List<String> readArray(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        int n = Integer.parseInt(line.substring(1));
        List<String> out = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            int length = Integer.parseInt(readLine(in).substring(1));
            out.add(new String(Rig.readExactly(in, length), StandardCharsets.UTF_8));
            Rig.readExactly(in, 2);
        }
        return out;
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder out = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                return null;
            }
            if (c != '\r') {
                out.append((char) c);
            }
        }
        return out.toString();
    }

    static Map<String, String> fields(String text) {
        Map<String, String> out = new ConcurrentHashMap<>();
        for (String pair : text.equals("-") ? new String[0] : text.split(",")) {
            int at = pair.indexOf('=');
            out.put(pair.substring(0, at), pair.substring(at + 1));
        }
        return out;
    }
}
