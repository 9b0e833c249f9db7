package quincespar.faultbench.world;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import quincespar.faultbench.check.History;
import quincespar.protocol.thrift.FrontCodec;

/** A client of one instance: sends requests at a fixed rate on one connection, and reconnects when that closes. */
public final class Client {
    /** Offset of the call id in a reply frame, after version, length and name. */
    private static final int CALL_ID_OFFSET = 12, TYPE_OFFSET = 3, REPLY_TYPE = 2, REQUEST_LIMIT_MS = 3000;
    private static final byte[] STATEMENT = "SELECT 1 FROM sales_3.t".getBytes(StandardCharsets.UTF_8);

    private record OpenRequest(String txn, long from, boolean load) { }

    private final String node;
    private final InetSocketAddress at;
    private final int number;
    private final int everyMs;
    private final History history;
    private volatile boolean stopping;
    private int asked;

    /** A client that sends nothing until {@link #start}. */
    public Client(String node, InetSocketAddress at, int number, int everyMs, History history) {
        this.node = node;
        this.at = at;
        this.number = number;
        this.everyMs = everyMs;
        this.history = history;
    }

    /** Starts sending; the thread ends after {@link #stop}, once all requests are answered. */
    public Thread start() {
        return Sockets.startDaemon("client-" + node, () -> {
            while (!stopping) {
                try {
                    runConnection();
                } catch (IOException e) { // the instance is not reachable
                    pause(everyMs);
                } catch (InterruptedException e) {
                    return;
                }
            }
        });
    }

    /** Stops sending new requests. */
    public void stop() {
        stopping = true;
    }

    private static void pause(int ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void runConnection() throws IOException, InterruptedException {
        Map<Integer, OpenRequest> open = new ConcurrentHashMap<>();
        long connectedAt = System.nanoTime();
        try (Socket s = new Socket(at.getAddress(), at.getPort())) {
            s.setTcpNoDelay(true);
            s.setSoTimeout(REQUEST_LIMIT_MS + 1000);
            Thread reader = Sockets.startDaemon("client-reader", () -> read(s, open, connectedAt));
            for (int call = 1; !stopping && reader.isAlive(); call++) {
                boolean load = call % 10 == 0;
                String txn = String.format("%08x%08x", number, ++asked);
                open.put(call, new OpenRequest(txn, System.nanoTime(), load));
                s.getOutputStream().write(FrontCodec.call(call, Map.of("verb", load ? "load" : "lookup", "txn", txn, "limit",
                        Integer.toString(REQUEST_LIMIT_MS), "team", "acme", "cpu", Integer.toString(Cluster.WORK_MS), "heap_mb",
                        "1"), STATEMENT));
                Thread.sleep(everyMs);
            }
            while (!open.isEmpty() && reader.isAlive()) {
                Thread.sleep(1);
            }
            s.close();
            reader.join();
        } finally {
            open.values().forEach(o -> history.add(new History.Request(node, o.txn(), connectedAt, o.from(), System.nanoTime(),
                    "", o.load())));
        }
    }

    private void read(Socket s, Map<Integer, OpenRequest> open, long connectedAt) {
        try {
            DataInputStream in = new DataInputStream(s.getInputStream());
            while (true) {
                byte[] frame = new byte[in.readInt()];
                in.readFully(frame);
                OpenRequest o = open.remove(ByteBuffer.wrap(frame).getInt(CALL_ID_OFFSET));
                if (o != null) {
                    String text = new String(frame, StandardCharsets.ISO_8859_1);
                    String answer = frame[TYPE_OFFSET] != REPLY_TYPE ? "exception"
                            : text.contains(o.txn() + "\ta\tb\n") ? "served" : "refused or failed";
                    history.add(new History.Request(node, o.txn(), connectedAt, o.from(), System.nanoTime(), answer, o.load()));
                } else {
                    history.add(node, "unasked", "a reply to no open request");
                }
            }
        } catch (IOException e) { // the connection was closed
            return;
        }
    }
}
