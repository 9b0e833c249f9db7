package quincespar.faultbench.world;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import quincespar.faultbench.check.History;
import quincespar.protocol.resp.RespDecoder;

/**
 * A stand-in for an engine: answers each query with one row after a delay and records the loads that reach it. After a power
 * loss it restarts cold, and fails permanently if it gets more queries than a cold engine sustains.
 */
public final class StandInEngine implements AutoCloseable {
    private static final int READ_BUFFER_BYTES = 65_536;

    /**
     * The load that a cold engine sustains.
     *
     * @param coldMs how long it is cold after a restart, in milliseconds
     * @param windowMs length of the sliding window, in milliseconds
     * @param maxQueries queries that it sustains within a window
     */
    public record ColdLimits(int coldMs, int windowMs, int maxQueries) { }

    private final ColdLimits cold;
    private final History history;
    private final Set<Socket> links = ConcurrentHashMap.newKeySet();
    private final Deque<Long> recent = new ArrayDeque<>();
    private final AtomicLong lastAt = new AtomicLong();
    private final int port;
    private volatile ServerSocket server = Sockets.listen();
    private volatile long powerBackAt = Long.MIN_VALUE;
    private volatile boolean failed;
    private volatile boolean powered = true;
    private final ScheduledExecutorService delayed = Executors.newScheduledThreadPool(1, r -> {
        Thread t = new Thread(r, "engine-later");
        t.setDaemon(true);
        return t;
    });
    private final ConcurrentLinkedQueue<String> loads = new ConcurrentLinkedQueue<>();
    private final int lookupMs;
    private final int loadMs;

    /** An engine with these query durations; {@code cold} is null if it never fails. */
    public StandInEngine(int lookupMs, int loadMs, ColdLimits cold, History history) throws IOException {
        this.lookupMs = lookupMs;
        this.loadMs = loadMs;
        this.cold = cold;
        this.history = history;
        port = server.getLocalPort();
        Sockets.serve(server, "engine", this::serveConnection);
    }

    /** The port that it listens on. */
    public int port() {
        return port;
    }

    /** Its id in the engine list. */
    public String id() {
        return "s-" + port;
    }

    /** When a query last reached it, as {@link System#nanoTime()}. */
    public long lastQueryAt() {
        return lastAt.get();
    }

    /** Cuts its power, which closes all connections, or restores it, after which it is cold. */
    public synchronized void setPowered(boolean on) throws IOException {
        if (on == powered || failed) {
            return;
        }
        powered = on;
        history.add(id(), on ? "power back" : "power lost", "");
        if (on) {
            powerBackAt = System.nanoTime();
            server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            Sockets.serve(server, "engine", this::serveConnection);
        } else {
            closeSockets();
        }
    }

    private void closeSockets() throws IOException {
        server.close();
        for (Socket s : links) {
            s.close();
        }
    }

    /** Counts a query; false if it exceeds what the cold engine sustains. */
    private synchronized boolean acceptsQuery() {
        long now = System.nanoTime();
        lastAt.set(now);
        if (cold == null || powerBackAt == Long.MIN_VALUE || now - powerBackAt > TimeUnit.MILLISECONDS.toNanos(cold.coldMs())) {
            return true;
        }
        recent.add(now);
        while (recent.peek() < now - TimeUnit.MILLISECONDS.toNanos(cold.windowMs())) {
            recent.poll();
        }
        if (recent.size() > cold.maxQueries() && !failed) {
            failed = true;
            history.add(id(), "fell", recent.size() + " queries within " + cold.windowMs() + " ms");
        }
        return !failed;
    }

    /** Ids of all loads received, with repetitions. */
    public List<String> receivedLoads() {
        return List.copyOf(loads);
    }

    private void serveConnection(Socket s) throws IOException {
        links.add(s);
        if (!powered) { // connected during the power cut
            s.close();
        }
        RespDecoder decoder = new RespDecoder();
        InputStream in = s.getInputStream();
        byte[] bytes = new byte[READ_BUFFER_BYTES];
        for (int n = in.read(bytes); n >= 0; n = in.read(bytes)) {
            decoder.feed(bytes, n, words -> handleCommand(s, words));
        }
        links.remove(s);
    }

    private void handleCommand(Socket s, List<byte[]> words) {
        String word = text(words.get(0));
        String id = words.size() > 1 ? text(words.get(1)) : "";
        if (word.equals("serve") && !acceptsQuery()) {
            try {
                closeSockets();
            } catch (IOException e) { // the engine is down in any case
                return;
            }
        } else if (word.equals("serve")) {
            boolean load = text(words.get(2)).startsWith("queue=load");
            if (load) {
                loads.add(id);
            }
            delayed.schedule(() -> send(s, id, "DONE", "count=1", id + "\ta\tb\n"), load ? loadMs : lookupMs,
                    TimeUnit.MILLISECONDS);
        } else if (word.equals("health") || word.equals("gauges")) {
            send(s, id, "FIT", "-");
        }
    }

    private static String text(byte[] b) {
        return new String(b, StandardCharsets.ISO_8859_1);
    }

    private static void send(Socket s, String... words) {
        StringBuilder out = new StringBuilder("*" + words.length + "\r\n");
        for (String w : words) {
            out.append('$').append(w.length()).append("\r\n").append(w).append("\r\n");
        }
        try {
            OutputStream to = s.getOutputStream();
            synchronized (s) {
                to.write(out.toString().getBytes(StandardCharsets.ISO_8859_1));
            }
        } catch (IOException e) { // the requester has disconnected
            return;
        }
    }

    @Override
    public void close() throws IOException {
        delayed.shutdownNow();
        server.close();
    }
}
