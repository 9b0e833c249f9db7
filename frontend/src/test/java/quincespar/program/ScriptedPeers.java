package quincespar.program;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import quincespar.protocol.thrift.FrontCodec;

/** Scripted peers on loopback (an engine, a change log, a client), and the program as a process. */
final class ScriptedPeers {
    private ScriptedPeers() { }

    /** A port that is free now. */
    static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    /** Waits until the front end at this port reports healthy; it binds its address only shortly before. */
    static void awaitHealthy(int port) {
        while (true) {
            try (Client c = new Client(port)) {
                if (c.healthy()) {
                    return;
                }
            } catch (IOException e) { // not yet bound
                Thread.onSpinWait();
            }
            spin();
        }
    }

    /** Called between two checks of a condition; fails once the test's timeout has interrupted the thread. */
    static void spin() {
        if (Thread.currentThread().isInterrupted()) {
            throw new AssertionError("interrupted by the test's timeout while waiting for a condition");
        }
        Thread.onSpinWait();
    }

    /** The HTTP status that the status server at this port answers; 0 without an answer. */
    static int status(int port) {
        try (Socket s = new Socket(InetAddress.getLoopbackAddress(), port)) {
            s.setSoTimeout(10_000);
            s.getOutputStream().write("GET /status HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            String text = new String(s.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            return text.startsWith("HTTP/1.1 ") ? Integer.parseInt(text.substring(9, 12)) : 0;
        } catch (IOException e) {
            return 0;
        }
    }

    /** Waits until the status server at this port reports ready. */
    static void awaitReady(int port) {
        while (status(port) != 200) {
            spin();
        }
    }

    /** Request classes in the form of the configuration. */
    static final String LOOKUP = "{\"name\":\"lookup\",\"slo\":2000,\"hardLimit\":4000,\"effect\":\"safe\"}";
    static final String LOAD = LOOKUP.replace("lookup", "load").replace("safe", "unsafe");

    /** A configuration with one engine and these classes. */
    static String configuration(int port, ChangeLog changes, Engine engine, String... classes) {
        return """
            {"name":"n1","listen":"127.0.0.1:%d","seed":"1","limits":{"sockets":64},"changelog":"127.0.0.1:%d",
             "known":{"seq":1,"results":[{"seq":1,"fleet":{"revision":1,"complete":true,
             "members":[{"id":"s-1","host_port":"127.0.0.1:%d","phase":"up","size":4}]}}]},
             "settings":{"tick":5,"limits":{"cancelling":true,"maxAttempts":3,"maxStreams":100},
             "projects":[{"name":"acme","quotaPerS":50,"share":1}],"requestClasses":[%s]}}
            """.formatted(port, changes.server.getLocalPort(), engine.server.getLocalPort(), String.join(",", classes));
    }

    /** The fields of a request of this class. */
    static Map<String, String> fields(String verb, String txn) {
        return Map.of("verb", verb, "txn", txn, "limit", "3000", "team", "acme", "cpu", "10.0", "heap_mb", "1");
    }

    /** A task that may block. */
    interface Task {
        void run() throws IOException, InterruptedException;
    }

    /** Runs a task on a new thread. */
    static CompletableFuture<Void> runAsync(Task task) {
        return CompletableFuture.runAsync(() -> {
            try {
                task.run();
            } catch (IOException | InterruptedException e) {
                throw new CompletionException(e);
            }
        }, r -> new Thread(r).start());
    }

    /** Runs the command line of the deploy file from the root of the repository, after the shell commands {@code first}. */
    static Process startProcess(String first, Path configuration, int admin, Path tmp, Path log) throws IOException {
        Path root = Path.of("").toAbsolutePath().getParent();
        String run = Files.readAllLines(root.resolve("deploy/balancer.toml")).stream().filter(l -> l.startsWith("run = "))
                .map(l -> l.substring(l.indexOf('"') + 1, l.lastIndexOf('"'))).findFirst().orElseThrow();
        ProcessBuilder b = new ProcessBuilder("/bin/sh", "-c", first + run).directory(root.toFile());
        b.environment().putAll(Map.of("GW_CONFIG", configuration.toString(), "GW_ADMIN_ADDR", "127.0.0.1:" + admin, "TMPDIR",
                tmp.toString()));
        return b.redirectErrorStream(true).redirectOutput(log.toFile()).start();
    }

    /** Sends SIGTERM. */
    static void terminate(Process p) {
        p.destroy();
    }

    /** The command line ends with exec, so the signal reaches the program; the exit code is ignored as it may just have ended. */
    static void signal(Process p, String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(p.pid())).redirectErrorStream(true).start().waitFor();
    }

    /** What a scripted peer does with one connection. */
    interface Script {
        void play(Socket socket) throws IOException;
    }

    /** Listens on an ephemeral port and plays the script for each connection. */
    static ServerSocket listen(Script script) throws IOException {
        ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        thread(() -> {
            while (true) {
                Socket s = server.accept();
                thread(() -> script.play(s));
            }
        });
        return server;
    }

    private interface Body {
        void run() throws IOException;
    }

    private static void thread(Body body) {
        Thread t = new Thread(() -> {
            try {
                body.run();
            } catch (IOException e) {
                return; // the connection has ended, and with it the script
            }
        });
        t.setDaemon(true);
        t.start();
    }

    /** An engine that reads RESP commands; the test answers each. */
    static final class Engine {
        final BlockingQueue<Command> commands = new LinkedBlockingQueue<>();
        final ServerSocket server = listen(this::play);

        Engine() throws IOException { }

        record Command(List<String> words, Socket from, long receivedAtNanos) {
            String id() {
                return words.get(1);
            }

            void answer(String... words) {
                StringBuilder out = new StringBuilder("*" + words.length + "\r\n");
                for (String w : words) {
                    out.append("$" + w.length() + "\r\n" + w + "\r\n");
                }
                raw(out.toString());
            }

            void raw(String text) {
                try {
                    from.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            }
        }

        private void play(Socket s) throws IOException {
            DataInputStream in = new DataInputStream(new BufferedInputStream(s.getInputStream()));
            while (true) {
                List<String> words = new ArrayList<>();
                int n = Integer.parseInt(line(in).substring(1));
                for (int i = 0; i < n; i++) {
                    byte[] word = new byte[Integer.parseInt(line(in).substring(1))];
                    in.readFully(word);
                    line(in);
                    words.add(new String(word, StandardCharsets.UTF_8));
                }
                commands.add(new Command(words, s, System.nanoTime()));
            }
        }

        /** Waits for the next command of this name; drops the commands before it. */
        Command next(String word) throws InterruptedException {
            Command c;
            do {
                c = commands.poll(10, TimeUnit.SECONDS);
            } while (c != null && !c.words().get(0).equals(word));
            if (c == null) {
                throw new AssertionError("no command " + word + " received");
            }
            return c;
        }
    }

    /**
     * An engine that can't be connected to: the backlog of its listener is full, so connects stay pending and are not refused.
     */
    static final class UnconnectableEngine implements AutoCloseable {
        private static final int BACKLOG = 1;
        final ServerSocket server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        private final List<Socket> fillers = new ArrayList<>();
        private final List<Socket> accepted = new ArrayList<>();
        private final StringBuilder received = new StringBuilder();

        UnconnectableEngine() throws IOException {
            for (int i = 0; i <= BACKLOG; i++) { // Linux accepts one more than the backlog
                fillers.add(new Socket(server.getInetAddress(), server.getLocalPort()));
            }
            server.setSoTimeout(1);
        }

        /** Accepts connections from now on: pending connects succeed at their next SYN. */
        void release() throws IOException {
            for (Socket filler : fillers) {
                server.accept().close();
                filler.close();
            }
        }

        /** All data received so far. */
        String received() throws IOException {
            try {
                accepted.add(server.accept());
            } catch (SocketTimeoutException e) {
                Thread.onSpinWait();
            }
            for (Socket s : accepted) {
                received.append(new String(s.getInputStream().readNBytes(s.getInputStream().available()),
                        StandardCharsets.ISO_8859_1));
            }
            return received.toString();
        }

        @Override
        public void close() throws IOException {
            server.close();
            for (Socket s : fillers) {
                s.close();
            }
            for (Socket s : accepted) {
                s.close();
            }
        }
    }

    /**
     * A change log that answers each poll with the next text given by the test. The short polls of a start are answered with an
     * empty result if the test has given no text, and are then not recorded in {@code polls}.
     */
    static final class ChangeLog {
        private static final int MIN_LONG_POLL_MS = 200;
        final BlockingQueue<String> answers = new LinkedBlockingQueue<>();
        final BlockingQueue<String> polls = new LinkedBlockingQueue<>();
        final ServerSocket server = listen(this::play);
        /** How much later each answer leaves. */
        volatile long answerDelayMs;

        ChangeLog() throws IOException { }

        private void play(Socket s) throws IOException {
            DataInputStream in = new DataInputStream(new BufferedInputStream(s.getInputStream()));
            while (true) {
                String poll = line(in);
                while (!line(in).isEmpty()) {
                    continue;
                }
                try {
                    byte[] body = answer(poll).getBytes(StandardCharsets.US_ASCII);
                    Thread.sleep(answerDelayMs);
                    OutputStream out = s.getOutputStream();
                    out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n").getBytes(
                            StandardCharsets.US_ASCII));
                    out.write(body);
                } catch (InterruptedException e) {
                    return;
                }
            }
        }

        private String answer(String poll) throws InterruptedException {
            long waitMs = number(poll, "timeout");
            String given = waitMs < MIN_LONG_POLL_MS ? answers.poll() : null;
            if (given == null && waitMs < MIN_LONG_POLL_MS) {
                return "{\"seq\":" + number(poll, "since") + ",\"results\":[]}";
            }
            polls.add(poll);
            return given != null ? given : answers.take();
        }

        private static long number(String poll, String name) {
            return Long.parseLong(poll.replaceAll(".*[?&]" + name + "=([0-9]+).*", "$1"));
        }
    }

    private static String line(DataInputStream in) throws IOException {
        StringBuilder out = new StringBuilder();
        for (int c = in.readUnsignedByte(); c != '\n'; c = in.readUnsignedByte()) {
            out.append(c == '\r' ? "" : String.valueOf((char) c));
        }
        return out.toString();
    }

    /** The sequence number of an application exception; -1 if the frame is another message. */
    static int exceptionSeqid(byte[] frame) {
        ByteBuffer message = ByteBuffer.wrap(frame);
        int nameLength = message.getInt(Integer.BYTES);
        return frame[3] == 3 ? message.getInt(2 * Integer.BYTES + nameLength) : -1;
    }

    /** A one-way call of cancel in the strict binary protocol. */
    static byte[] cancel(int seqid) {
        byte[] frame = {0, 0, 0, 26, (byte) 0x80, 1, 0, 4, 0, 0, 0, 6, 'c', 'a', 'n', 'c', 'e', 'l', 0, 0, 0, 99,
            8, 0, 1, 0, 0, 0, (byte) seqid, 0};
        return frame;
    }

    /** Kind of an answer to a client. */
    enum Kind { SERVED, REFUSED, FAILED, EXCEPTION }

    /** A client with one connection. */
    static final class Client implements AutoCloseable {
        final Socket socket = new Socket();
        private final DataOutputStream out;
        private final DataInputStream in;

        Client(int port) throws IOException {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            socket.setSoTimeout(10_000);
            out = new DataOutputStream(socket.getOutputStream());
            in = new DataInputStream(socket.getInputStream());
        }

        void call(int seqid, Map<String, String> fields) throws IOException {
            out.write(FrontCodec.call(seqid, fields, "SELECT 1 FROM sales_3.t".getBytes(StandardCharsets.UTF_8)));
        }

        void raw(byte[] bytes) throws IOException {
            out.write(bytes);
        }

        /** Reads the next frame and returns its kind. */
        Kind answer() throws IOException {
            byte[] f = frame();
            int name = f[4] << 24 | (f[5] & 255) << 16 | (f[6] & 255) << 8 | f[7] & 255;
            int field = (f[8 + name + 4 + 1] & 255) << 8 | f[8 + name + 4 + 2] & 255;
            return f[3] == 3 ? Kind.EXCEPTION : field == 0 ? Kind.SERVED : field == 1 ? Kind.REFUSED : Kind.FAILED;
        }

        boolean healthy() throws IOException {
            out.write(FrontCodec.healthCall(999));
            return FrontCodec.readAnswer(frame()).good();
        }

        /** The counters in the answer to a health call. */
        Map<String, String> counters() throws IOException {
            out.write(FrontCodec.healthCall(999));
            return FrontCodec.readAnswer(frame()).fields();
        }

        /** Reads the next frame; the message type is its fourth byte, and strings in it are readable as text. */
        byte[] frame() throws IOException {
            byte[] all = new byte[in.readInt()];
            in.readFully(all);
            return all;
        }

        /** Whether the other side has closed the connection, as far as is known here. */
        boolean ended() throws IOException {
            socket.setSoTimeout(1);
            try {
                return in.read() < 0;
            } catch (SocketTimeoutException e) {
                return false;
            } catch (SocketException e) {
                return true;
            } finally {
                socket.setSoTimeout(10_000);
            }
        }

        /** Waits until the other side closes the connection; false if data arrives instead. */
        boolean awaitEnd() throws IOException {
            return in.read() < 0;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
