import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A stand-in for an engine, as PROTOCOL describes it: it runs all that it is sent at once, answers when the work is done, keeps the
 * further pages of a result until they are released, and stops work that is cancelled, timed out or whose connection has closed.
 */
final class Engine {
    /** One request that has reached this engine. */
    static final class Run {
        final String engine;
        final String id;
        final String queue;
        final double startedAt = Record.now();
        /** Negative while it runs. */
        volatile double endedAt = -1;
        volatile String end = "";
        volatile byte[][] pages;

        Run(String engine, String id, String queue) {
            this.engine = engine;
            this.id = id;
            this.queue = queue;
        }
    }

    /** What the engine's queries take and bring. */
    interface Work {
        /** How long a query of this class runs, in milliseconds; negative: it is never answered. */
        double millis(String id, String queue, String statement);

        /** The pages of its result. */
        byte[][] pages(String id, String queue, String statement);
    }

    final String id;
    final List<Run> runs = new CopyOnWriteArrayList<>();
    private final Work work;
    private final ServerSocket server;
    private final Set<Socket> links = ConcurrentHashMap.newKeySet();
    private final ScheduledExecutorService later = Executors.newScheduledThreadPool(2, daemon("engine-later"));

    Engine(String id, Work work) throws IOException {
        this.id = id;
        this.work = work;
        server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 512);
        thread("engine-" + id, () -> {
            while (true) {
                Socket s = server.accept();
                s.setTcpNoDelay(true);
                links.add(s);
                thread("link-" + id, () -> serve(s));
            }
        });
    }

    int port() {
        return server.getLocalPort();
    }

    String address() {
        return "127.0.0.1:" + port();
    }

    private void serve(Socket s) throws IOException {
        Map<String, Run> open = new ConcurrentHashMap<>();
        try (s) {
            DataInputStream in = new DataInputStream(new java.io.BufferedInputStream(s.getInputStream(), 65536));
            while (true) {
                List<byte[]> words = command(in);
                String verb = text(words.get(0));
                String name = words.size() > 1 ? text(words.get(1)) : "";
                switch (verb) {
                    case "serve" -> start(s, open, name, text(words.get(2)), text(words.get(3)));
                    case "cancel" -> finish(open.remove(name), "cancelled");
                    case "read" -> page(s, open.get(name), name, Integer.parseInt(text(words.get(2))));
                    case "release" -> open.computeIfPresent(name, (n, r) -> r.endedAt < 0 ? r : null);
                    case "health", "gauges" -> reply(s, name, "FIT", "use=inflight:" + running() + ";util:0.1;x1:0.1", "");
                    default -> { }
                }
            }
        } catch (EOFException | java.net.SocketException e) {
            open.values().forEach(r -> finish(r, "connection closed")); // closing the connection gives up everything open on it
        } finally {
            links.remove(s);
        }
    }

    private long running() {
        return runs.stream().filter(r -> r.endedAt < 0).count();
    }

    private void start(Socket s, Map<String, Run> open, String name, String fields, String statement) {
        Map<String, String> f = new LinkedHashMap<>();
        for (String pair : fields.split(",")) {
            f.put(pair.substring(0, pair.indexOf('=')), pair.substring(pair.indexOf('=') + 1));
        }
        Run run = new Run(id, name, f.get("queue"));
        runs.add(run);
        open.put(name, run);
        Record.line("engine " + id + ": serve " + name + " " + fields);
        double ms = work.millis(name, run.queue, statement);
        double budget = Double.parseDouble(f.get("budget"));
        if (ms < 0 || ms > budget) { // work stops when its request is timed out
            later.schedule(() -> finish(open.remove(name), "timed out"), (long) budget, TimeUnit.MILLISECONDS);
            return;
        }
        later.schedule(() -> {
            if (finish(run, "done")) {
                run.pages = work.pages(name, run.queue, statement);
                if (run.pages.length == 1) {
                    open.remove(name, run);
                }
                int took = (int) Math.round(Record.now() - run.startedAt);
                reply(s, name, "DONE", "count=" + run.pages.length + ",ticks=" + took + ",footprint=10,use=inflight:" + running()
                        + ";util:0.3;x1:0.2", text(run.pages[0]));
            }
        }, (long) ms, TimeUnit.MILLISECONDS);
    }

    private boolean finish(Run run, String how) {
        if (run == null) {
            return false;
        }
        synchronized (run) {
            if (run.endedAt >= 0) {
                return false;
            }
            run.endedAt = Record.now();
            run.end = how;
        }
        Record.line("engine " + id + ": " + run.id + " " + how);
        return true;
    }

    private void page(Socket s, Run run, String name, int number) {
        if (run == null || run.pages == null || number >= run.pages.length) {
            reply(s, name, "BROKE", "-", "");
        } else {
            reply(s, name, "MORE", "pos=" + number, text(run.pages[number]));
        }
    }

    private static void reply(Socket s, String... words) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(("*" + words.length + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        for (String w : words) {
            byte[] b = w.getBytes(StandardCharsets.ISO_8859_1);
            out.writeBytes(("$" + b.length + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.writeBytes(b);
            out.writeBytes("\r\n".getBytes(StandardCharsets.ISO_8859_1));
        }
        try {
            OutputStream to = s.getOutputStream();
            synchronized (s) {
                to.write(out.toByteArray());
            }
        } catch (IOException e) { // the front end has closed the connection
            return;
        }
    }

    private static List<byte[]> command(DataInputStream in) throws IOException {
        int n = Integer.parseInt(line(in).substring(1));
        List<byte[]> words = new ArrayList<>(n);
        for (int i = 0; i < n; i++) {
            byte[] word = new byte[Integer.parseInt(line(in).substring(1))];
            in.readFully(word);
            in.readFully(new byte[2]);
            words.add(word);
        }
        return words;
    }

    private static String line(DataInputStream in) throws IOException {
        StringBuilder out = new StringBuilder();
        for (int c = in.readUnsignedByte(); c != '\n'; c = in.readUnsignedByte()) {
            if (c != '\r') {
                out.append((char) c);
            }
        }
        return out.toString();
    }

    static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    interface Body {
        void run() throws Exception;
    }

    static Thread thread(String name, Body body) {
        Thread t = new Thread(null, () -> {
            try {
                body.run();
            } catch (IOException | InterruptedException e) {
                return;
            } catch (Exception e) {
                Record.line(name + ": " + e);
            }
        }, name, 256 * 1024);
        t.setDaemon(true);
        t.start();
        return t;
    }

    static java.util.concurrent.ThreadFactory daemon(String name) {
        return r -> {
            Thread t = new Thread(r, name);
            t.setDaemon(true);
            return t;
        };
    }
}
