import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** What all cases share: the record, the processes that were started, free ports, and the verdict. */
final class Rig {
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    /** False with TROUBLE=0: the same run without the disruption. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    final Path root = Path.of(System.getenv("REVIEW_ROOT"));
    final Path tmp = Path.of(System.getenv("REVIEW_TMP"));
    private final PrintWriter record;
    private final long startedAt = System.nanoTime();
    private final List<Process> processes = new ArrayList<>();
    private final Map<Integer, Boolean> usedPorts = new ConcurrentHashMap<>();

    Rig() throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(System.getenv("REVIEW_CASE"), "record.txt")));
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        log("trouble " + (TROUBLE ? "on" : "off"));
        ChangeLog.daemon(() -> { // a case ends well before: this is for one that hangs
            try {
                Thread.sleep(110_000);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            end(2, "it took too long");
        });
    }

    /** Milliseconds since the start of the case. */
    double now() {
        return (System.nanoTime() - startedAt) / 1e6;
    }

    synchronized void log(String line) {
        record.printf("%9.1f %s%n", now(), line);
        record.flush();
    }

    void sleep(long ms) throws InterruptedException {
        Thread.sleep(ms);
    }

    /** Ends the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    void end(int code, String why) {
        log("verdict " + code + ": " + why);
        System.out.println((code == 1 ? "BROKEN: " : code == 0 ? "HELD: " : "COULD NOT RUN: ") + why);
        endProcesses();
        Runtime.getRuntime().halt(code);
    }

    private synchronized void endProcesses() {
        for (Process p : processes) {
            p.destroyForcibly();
            try {
                p.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        processes.clear();
    }

    synchronized int freePort() throws IOException {
        while (true) {
            try (ServerSocket s = new ServerSocket(0, 1, LOOPBACK)) {
                if (usedPorts.putIfAbsent(s.getLocalPort(), true) == null) {
                    return s.getLocalPort();
                }
            }
        }
    }

    /** A process of the front end, started with the command of the deploy file. */
    final class FrontEnd {
        final String name;
        final int port;
        final int adminPort;
        final Path config;
        final Process process;

        FrontEnd(String name, int port, Path config, String extraArguments) throws IOException {
            this.name = name;
            this.port = port;
            this.config = config;
            adminPort = freePort();
            String run = Files.readAllLines(root.resolve("deploy/balancer.toml")).stream().filter(l -> l.startsWith("run = \""))
                    .map(l -> l.substring(7, l.length() - 1)).findFirst().orElseThrow();
            ProcessBuilder b = new ProcessBuilder("sh", "-c", run + extraArguments);
            b.directory(root.toFile());
            b.environment().put("GW_CONFIG", config.toString());
            b.environment().put("GW_LISTEN", "127.0.0.1:" + port);
            b.environment().put("GW_ADMIN_ADDR", "127.0.0.1:" + adminPort);
            b.environment().put("GW_NAME", "n1");
            Path own = Files.createDirectories(tmp.resolve("tmpdir"));
            b.environment().put("TMPDIR", own.toString());
            Path out = tmp.resolve(name + ".log");
            b.redirectErrorStream(true).redirectOutput(out.toFile());
            process = b.start();
            synchronized (Rig.this) {
                processes.add(process);
            }
            log(name + " started on port " + port);
        }

        boolean ready() {
            try (Socket s = new Socket()) {
                s.connect(new InetSocketAddress(LOOPBACK, adminPort), 500);
                s.setSoTimeout(1000);
                s.getOutputStream().write("GET /status HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                return new String(s.getInputStream().readAllBytes(), StandardCharsets.US_ASCII).startsWith("HTTP/1.1 200");
            } catch (IOException e) {
                return false;
            }
        }

        String page(String path) throws IOException {
            try (Socket s = new Socket()) {
                s.connect(new InetSocketAddress(LOOPBACK, adminPort), 500);
                s.setSoTimeout(3000);
                s.getOutputStream().write(("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
                return new String(s.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            }
        }

        void awaitReady() throws InterruptedException {
            for (int i = 0; i < 300; i++) {
                if (ready()) {
                    log(name + " is ready");
                    return;
                }
                if (!process.isAlive()) {
                    end(2, name + " ended at its start");
                }
                sleep(100);
            }
            end(2, name + " did not become ready");
        }

        /** Sends a signal by its short name, such as HUP, to this process alone. */
        void signal(String signal) throws IOException, InterruptedException {
            log("signal " + signal + " to " + name);
            new ProcessBuilder("sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
        }
    }

    /** Replaces a file as operators are told to: written beside it, and moved over it. */
    void replace(Path file, String text) throws IOException {
        Path next = file.resolveSibling(file.getFileName() + ".next");
        Files.writeString(next, text);
        Files.move(next, file, java.nio.file.StandardCopyOption.ATOMIC_MOVE, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
    }

    static byte[] readExactly(InputStream in, int n) throws IOException {
        byte[] b = in.readNBytes(n);
        if (b.length < n) {
            throw new IOException("end of stream");
        }
        return b;
    }
}
