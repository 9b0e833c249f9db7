import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** One front end, started by the command {@code run} of deploy/balancer.toml as a process of its own. */
final class FrontEnd {
    private static final List<Process> STARTED = new CopyOnWriteArrayList<>();
    final String name;
    final Path log;
    final InetSocketAddress address;
    final Process process;

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> STARTED.forEach(Process::destroyForcibly)));
    }

    private FrontEnd(String name, Path log, InetSocketAddress address, Process process) {
        this.name = name;
        this.log = log;
        this.address = address;
        this.process = process;
    }

    static int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return s.getLocalPort();
        }
    }

    /** Starts a front end, with the folder {@code tmpdir} in {@code folder} as its $TMPDIR, and waits for its yes. */
    static FrontEnd start(Path root, Path folder, String name, Path config, int port, int adminPort) throws IOException {
        String run = Files.readAllLines(root.resolve("deploy/balancer.toml")).stream().filter(l -> l.startsWith("run = "))
                .findFirst().orElseThrow();
        run = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'));
        Path log = folder.resolve(name + ".log");
        ProcessBuilder b = new ProcessBuilder("/bin/sh", "-c", run);
        b.directory(root.toFile());
        b.environment().putAll(Map.of("GW_NAME", "n1", "GW_CONFIG", config.toString(), "GW_LISTEN", "127.0.0.1:" + port,
                "GW_ADMIN_ADDR", "127.0.0.1:" + adminPort, "TMPDIR", folder.resolve("tmpdir").toString()));
        b.redirectErrorStream(true).redirectOutput(new File(log.toString()));
        b.redirectInput(new File("/dev/null"));
        Process p = b.start();
        STARTED.add(p);
        Record.line("front end " + name + ": started as process " + p.pid());
        return new FrontEnd(name, log, new InetSocketAddress("127.0.0.1", port), p).ready(adminPort);
    }

    /** Waits for its yes at the second address. */
    private FrontEnd ready(int adminPort) throws IOException {
        for (int i = 0; i < 600 && process.isAlive(); i++) {
            try (java.net.Socket s = new java.net.Socket("127.0.0.1", adminPort)) {
                s.setSoTimeout(1000);
                s.getOutputStream().write("GET /status HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                byte[] head = s.getInputStream().readNBytes(12);
                if (new String(head, StandardCharsets.US_ASCII).endsWith(" 200")) {
                    Record.line("front end " + name + ": ready");
                    return this;
                }
            } catch (IOException e) { // not up yet
                Record.line("front end " + name + ": " + e.getMessage());
            }
            pause(50);
        }
        recordLog();
        throw new IOException("the front end did not become ready");
    }

    /** Sends it a signal: TERM, HUP, KILL, STOP or CONT. */
    void signal(String which) throws IOException, InterruptedException {
        Record.line("front end " + name + ": SIG" + which);
        new ProcessBuilder("kill", "-" + which, Long.toString(process.pid())).inheritIO().start().waitFor(5, TimeUnit.SECONDS);
    }

    boolean alive() {
        return process.isAlive();
    }

    /** The lines that it has logged, for the record. */
    void recordLog() throws IOException {
        Record.line("---- log of front end " + name + (alive() ? "" : ", which has ended with " + process.exitValue()));
        List<String> lines = Files.readAllLines(log, StandardCharsets.ISO_8859_1);
        lines.stream().skip(Math.max(0, lines.size() - 40)).forEach(l -> Record.line("| " + l));
    }

    static void endAll() {
        STARTED.forEach(p -> {
            p.destroyForcibly();
            try {
                p.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    static void pause(double ms) {
        try {
            Thread.sleep((long) ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
