import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** A stand-in client on one connection: framed Thrift, strict binary protocol, sequence numbers from 1 on. */
final class Client implements AutoCloseable {
    private static final int CALL = 1, REPLY = 2, EXCEPTION = 3, ONEWAY = 4;
    private static final AtomicLong TXNS = new AtomicLong(System.nanoTime());

    /** An answer: SERVED, REFUSED, FAILED, or LOST where the connection has ended without one. */
    record Answer(String kind, String body, double at) { }

    private final Rig rig;
    final String name;
    private final Socket socket = new Socket();
    private final Map<Integer, CompletableFuture<Answer>> open = new ConcurrentHashMap<>();
    private int lastSeqid;

    Client(Rig rig, String name, int port) throws IOException {
        this.rig = rig;
        this.name = name;
        socket.connect(new InetSocketAddress(Rig.LOOPBACK, port), 3000);
        socket.setTcpNoDelay(true);
        ChangeLog.daemon(this::read);
    }

    static String txn() {
        return String.format("%016x", TXNS.incrementAndGet());
    }

    /** The fields of a request, in the form of the protocol page. */
    static Map<String, String> fields(String verb, String team, long limitMs, double cpu) {
        Map<String, String> out = new LinkedHashMap<>();
        out.put("verb", verb);
        out.put("txn", txn());
        out.put("limit", Long.toString(limitMs));
        out.put("team", team);
        out.put("cpu", Double.toString(cpu));
        out.put("heap_mb", "16");
        return out;
    }

    /** Sends a request; the future has its answer. */
    CompletableFuture<Answer> call(Map<String, String> fields, String statement) throws IOException {
        CompletableFuture<Answer> result = new CompletableFuture<>();
        synchronized (this) {
            int seqid = ++lastSeqid;
            open.put(seqid, result);
            rig.log(name + " sends " + fields + " " + statement);
            result.thenAccept(a -> rig.log(name + " " + a.kind() + " " + fields.get("txn") + " " + a.body().strip()));
            write(callFrame(seqid, fields, statement));
        }
        return result;
    }

    static byte[] callFrame(int seqid, Map<String, String> fields, String statement) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        head(out, CALL, "call", seqid);
        out.writeByte(13);
        out.writeShort(1);
        out.writeByte(11);
        out.writeByte(11);
        out.writeInt(fields.size());
        for (Map.Entry<String, String> f : fields.entrySet()) {
            text(out, f.getKey());
            text(out, f.getValue());
        }
        out.writeByte(11);
        out.writeShort(2);
        text(out, statement);
        out.writeByte(0);
        return framed(bytes);
    }

    /** Takes a request back; no answer is owed from then on. */
    synchronized void cancel(int seqid) throws IOException {
        write(cancelFrame(++lastSeqid, seqid));
    }

    static byte[] cancelFrame(int seqid, int cancelled) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        head(out, ONEWAY, "cancel", seqid);
        out.writeByte(8);
        out.writeShort(1);
        out.writeInt(cancelled);
        out.writeByte(0);
        return framed(bytes);
    }

    synchronized int nextSeqid() {
        return ++lastSeqid;
    }

    synchronized void write(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
    }

    private static void head(DataOutputStream out, int type, String name, int seqid) throws IOException {
        out.writeInt(0x80010000 | type);
        text(out, name);
        out.writeInt(seqid);
    }

    private static void text(DataOutputStream out, String text) throws IOException {
        byte[] b = text.getBytes(StandardCharsets.UTF_8);
        out.writeInt(b.length);
        out.write(b);
    }

    private static byte[] framed(ByteArrayOutputStream bytes) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        new DataOutputStream(all).writeInt(bytes.size());
        bytes.writeTo(all);
        return all.toByteArray();
    }

    private void read() {
        try {
            DataInputStream in = new DataInputStream(new java.io.BufferedInputStream(socket.getInputStream()));
            while (true) {
                byte[] frame = new byte[in.readInt()];
                in.readFully(frame);
                handle(new DataInputStream(new java.io.ByteArrayInputStream(frame)));
            }
        } catch (IOException e) {
            open.values().forEach(f -> f.complete(new Answer("LOST", "connection ended: " + e.getMessage(), rig.now())));
        }
    }

    private void handle(DataInputStream in) throws IOException {
        int type = in.readInt() & 255;
        readText(in);
        int seqid = in.readInt();
        String kind = "FAILED";
        String body = "";
        if (type == REPLY) {
            int field = in.readByte() == 0 ? -1 : in.readShort();
            kind = field == 0 ? "SERVED" : field == 1 ? "REFUSED" : "FAILED";
            if (field == 0 && in.readByte() == 11 && in.readShort() == 1) {
                body = readText(in);
            }
        }
        CompletableFuture<Answer> waiting = open.get(seqid);
        if (waiting != null && !waiting.complete(new Answer(kind, body, rig.now()))) {
            rig.log(name + " got a second answer to number " + seqid);
        }
    }

    private static String readText(DataInputStream in) throws IOException {
        byte[] b = new byte[in.readInt()];
        in.readFully(b);
        return new String(b, StandardCharsets.UTF_8);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
