import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** A client's connection, as PROTOCOL describes it: framed Thrift, strict binary, numbers from 1. */
final class Client {
    /** One request of a client. */
    static final class Call {
        final String client;
        final String txn;
        final String verb;
        final double limitMs;
        final double sentAt;
        final CountDownLatch done = new CountDownLatch(1);
        /** Served, refused, failed or exception; or how its connection ended. */
        volatile String answer = "";
        volatile byte[] body;
        volatile double answeredAt = -1;
        /** When its connection ended without its answer; negative if it did not. */
        volatile double cutAt = -1;

        Call(String client, String txn, String verb, double limitMs) {
            this.client = client;
            this.txn = txn;
            this.verb = verb;
            this.limitMs = limitMs;
            this.sentAt = Record.now();
        }

        boolean answered() {
            return answeredAt >= 0;
        }

        void await(double ms) throws InterruptedException {
            done.await((long) ms, TimeUnit.MILLISECONDS);
        }
    }

    /** What one of the pages' clients has at most open on a connection. */
    static final int MOST_OPEN = 32;
    private static final AtomicLong TXN = new AtomicLong(System.nanoTime() & 0xffffffffL);
    final String name;
    final Socket socket;
    final Map<Integer, Call> open = new ConcurrentHashMap<>();
    /** Why the connection has ended; null while it is open. */
    volatile String ended;
    private int seqid;

    /** Connects, and reads answers from now on. */
    Client(String name, InetSocketAddress at) throws IOException {
        this.name = name;
        socket = new Socket();
        socket.connect(at, 5000);
        socket.setTcpNoDelay(true);
        Record.line("client " + name + ": connected");
        Engine.thread("client-" + name, this::read);
    }

    static String nextTxn() {
        return String.format("%016x", TXN.incrementAndGet());
    }

    /** Sends a request; {@code extra} are fields beside the usual ones. */
    synchronized Call call(String verb, String team, double limitMs, double cpu, String statement, Map<String, String> extra)
            throws IOException {
        Call call = new Call(name, nextTxn(), verb, limitMs);
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("verb", verb);
        fields.put("txn", call.txn);
        fields.put("limit", Long.toString(Math.round(limitMs)));
        fields.put("team", team);
        fields.put("cpu", String.format(Locale.ROOT, "%.1f", cpu));
        fields.put("heap_mb", "16");
        fields.putAll(extra);
        int number = ++seqid;
        open.put(number, call);
        byte[] frame = frame(number, fields, statement.getBytes(StandardCharsets.UTF_8));
        Record.line("client " + name + ": call " + number + " " + call.txn + " " + verb + " " + extra);
        try {
            socket.getOutputStream().write(frame);
        } catch (IOException e) {
            open.remove(number);
            throw e;
        }
        return call;
    }

    private static byte[] frame(int seqid, Map<String, String> fields, byte[] body) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeInt(0);
        out.writeInt(0x80010001);
        text(out, "call");
        out.writeInt(seqid);
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
        out.writeInt(body.length);
        out.write(body);
        out.writeByte(0);
        byte[] all = bytes.toByteArray();
        ByteBuffer.wrap(all).putInt(all.length - 4);
        return all;
    }

    private static void text(DataOutputStream out, String s) throws IOException {
        byte[] b = s.getBytes(StandardCharsets.UTF_8);
        out.writeInt(b.length);
        out.write(b);
    }

    private void read() {
        String why = "closed by the front end";
        try {
            DataInputStream in = new DataInputStream(new java.io.BufferedInputStream(socket.getInputStream(), 65536));
            while (true) {
                byte[] frame = new byte[in.readInt()];
                in.readFully(frame);
                answer(ByteBuffer.wrap(frame));
            }
        } catch (java.io.EOFException e) {
            why = "closed by the front end";
        } catch (IOException e) {
            why = "ended: " + e.getMessage();
        }
        ended = why;
        String text = why;
        Record.line("client " + name + ": connection " + why + ", open " + open.size());
        open.values().forEach(c -> {
            c.cutAt = Record.now();
            c.answer = "no answer, connection " + text;
            c.done.countDown();
        });
    }

    /** Takes one answer off the wire. */
    private void answer(ByteBuffer in) {
        int type = in.getInt() & 0xff;
        byte[] method = new byte[in.getInt()];
        in.get(method);
        int number = in.getInt();
        Call call = open.get(number);
        if (call == null) {
            Record.line("client " + name + ": an answer to call " + number + ", which is not open");
            return;
        }
        String what = "unreadable";
        if (type == 3) {
            what = "exception";
        } else if (in.get() == 12) {
            int id = in.getShort();
            what = id == 1 ? "refused" : id == 2 ? "failed" : "unreadable";
            if (id == 0 && in.get() == 11 && in.getShort() == 1) {
                byte[] body = new byte[in.getInt()];
                in.get(body);
                call.body = body;
                what = "served";
            }
        }
        call.answer = what;
        call.answeredAt = Record.now();
        open.remove(number);
        Record.line("client " + name + ": answer to call " + number + " " + call.txn + ": " + what);
        call.done.countDown();
    }
}
