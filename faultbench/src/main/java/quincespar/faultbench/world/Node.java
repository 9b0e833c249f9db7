package quincespar.faultbench.world;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import quincespar.faultbench.check.History;

/** One instance: its state folder, configuration files, and current process, if any. */
public final class Node {
    private static final List<String> JVM_OPTIONS = List.of("-Djava.net.preferIPv4Stack=true", "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1", "-XX:-UsePerfData", "-Xshare:auto", "-Xms48m", "-Xmx96m", "-Xss256k",
            "-XX:CICompilerCount=1");

    /** While this file exists, the clock of a process with the {@code clock} plant runs one hour ahead. */
    static final String CLOCK_AHEAD_FILE = "hour";
    /** While one of these files exists, state file writes of a process with the {@code disk} plant are slow or fail. */
    static final String DISK_SLOW_FILE = "late", DISK_READ_ONLY_FILE = "readonly";
    private static final List<String> STATE_FILE_PREFIXES = List.of("facts", "mark", "log_inprogress", "kept");

    static final int VOTE_PORT = 7000;
    private static final int LISTEN_PORT = 8080, ADMIN_PORT = 9090;

    private final String name;
    private final Path folder;
    private final Path jar;
    private final Path plant;
    private final String host;
    private volatile int adminPort = ADMIN_PORT;
    private final History history;
    private Process process;
    private int starts;
    private boolean paused;

    Node(String name, Path folder, Path jar, Path plant, String host, History history) {
        this.name = name;
        this.folder = folder;
        this.jar = jar;
        this.plant = plant;
        this.host = host;
        this.history = history;
    }

    /** The instance name. */
    public String name() {
        return name;
    }

    /** The address of its admin interface. */
    public InetSocketAddress adminAddress() {
        return new InetSocketAddress(host, adminPort);
    }

    /** The address for clients. */
    public InetSocketAddress listenAddress() {
        return new InetSocketAddress(host, LISTEN_PORT);
    }

    /** The address of its consensus protocol. */
    InetSocketAddress voteAddress() {
        return new InetSocketAddress(host, VOTE_PORT);
    }

    /** The folder of its durable state. */
    public Path stateFolder() {
        return folder.resolve("state");
    }

    /** The concatenated logs of all its processes. */
    public String log() throws IOException {
        StringBuilder out = new StringBuilder();
        for (int i = 1; i <= starts; i++) {
            out.append(Files.readString(folder.resolve("log-" + i)));
        }
        return out.toString();
    }

    void write(String configuration, String conf) throws IOException {
        Files.createDirectories(folder.resolve("tmp"));
        Files.writeString(folder.resolve("config.json"), configuration);
        Files.writeString(folder.resolve("quincespar.conf"), conf);
    }

    /** Starts a process if none runs. */
    public synchronized void start() throws IOException {
        if (process == null || !process.isAlive()) {
            process = launch();
        }
    }

    /**
     * Upgrades under load: starts a second process with the same files and another admin address, stops the old process once the
     * new one answers {@code /status}, and waits for its exit. False if no process ran or a step timed out.
     */
    public boolean upgrade(long timeoutMs) throws IOException, InterruptedException {
        Process old;
        int newAdminPort = adminPort + 1;
        synchronized (this) {
            old = process;
            if (old == null || !old.isAlive()) {
                return false;
            }
            int before = adminPort;
            adminPort = newAdminPort;
            process = launch();
            adminPort = before;
        }
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        while (AdminClient.call(new InetSocketAddress(host, newAdminPort), "GET", "/status", 1000).status() != 200) {
            if (System.nanoTime() > end) {
                return false;
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
        history.add(name, "told to stop", "the new version serves");
        old.destroy();
        boolean ended = old.waitFor(timeoutMs, TimeUnit.MILLISECONDS);
        adminPort = newAdminPort;
        return ended;
    }

    private Process launch() throws IOException {
        List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
        command.addAll(JVM_OPTIONS);
        if (plant == null) {
            command.addAll(List.of("-jar", jar.toString()));
        } else {
            command.addAll(List.of("-cp", plant + ":" + jar, "quincespar.program.Main"));
        }
        command.addAll(List.of("serve", "--conf", folder.resolve("quincespar.conf").toString()));
        ProcessBuilder b = new ProcessBuilder(command);
        b.environment().putAll(Map.of("GW_CONFIG", folder.resolve("config.json").toString(), "TMPDIR",
                folder.resolve("tmp").toString(), "GW_ADMIN_ADDR", host + ":" + adminPort));
        history.add(name, "started", "");
        paused = false;
        return b.redirectErrorStream(true).redirectOutput(folder.resolve("log-" + ++starts).toFile()).start();
    }

    /** Initializes its folder as a voter's through the program's command line, as before the first start of a fleet. */
    void initFolder(ClassLoader program) throws IOException {
        int code;
        try {
            code = (int) program.loadClass("quincespar.program.Main").getMethod("run", String[].class).invoke(null,
                    (Object) new String[] {"fleet", "init", folder.resolve("quincespar.conf").toString(), "--name", name});
        } catch (ReflectiveOperationException e) {
            throw new IOException("cannot call the program's command line: " + e, e);
        }
        if (code != 0) {
            throw new IOException("cannot initialize the folder of " + name + ": exit code " + code);
        }
    }

    /** Whether its process is running. */
    public synchronized boolean alive() {
        return process != null && process.isAlive();
    }

    /** The id of its process, 0 if none is running. */
    public synchronized long pid() {
        return alive() ? process.pid() : 0;
    }

    /** Sends SIGKILL and waits for the exit. */
    public synchronized void kill() throws InterruptedException {
        if (alive()) {
            history.add(name, "killed", "");
            process.destroyForcibly().waitFor();
            history.add(name, "ended", "");
        }
    }

    /** Sends SIGTERM. */
    public synchronized void terminate() {
        if (alive()) {
            history.add(name, "told to stop", "");
            process.destroy();
        }
    }

    /** Waits for the exit of its process; false on timeout. */
    public boolean awaitEnd(long ms) throws InterruptedException {
        Process p;
        synchronized (this) {
            p = process;
        }
        return p == null || p.waitFor(ms, TimeUnit.MILLISECONDS);
    }

    /** Pauses (SIGSTOP) or resumes (SIGCONT) its process. */
    public synchronized void setPaused(boolean now) throws IOException, InterruptedException {
        if (alive() && now != paused) {
            paused = now;
            history.add(name, now ? "stopped" : "continued", "");
            run("kill", now ? "-STOP" : "-CONT", Long.toString(process.pid()));
        }
    }

    /** Makes its process write a thread dump to its log. */
    public synchronized void dumpThreads() throws IOException, InterruptedException {
        if (alive()) {
            run("kill", "-QUIT", Long.toString(process.pid()));
        }
    }

    /** Limits the size of files that its process writes, as on a full disk; negative for no limit. */
    public synchronized void limitFileSize(long bytes) throws IOException, InterruptedException {
        if (alive()) {
            history.add(name, bytes < 0 ? "disk has room" : "disk full", "");
            run("prlimit", "--pid", Long.toString(process.pid()), "--fsize=" + (bytes < 0 ? "unlimited" : bytes + ":unlimited"));
        }
    }

    private static void run(String... command) throws IOException, InterruptedException {
        new ProcessBuilder(command).redirectErrorStream(true).start().waitFor();
    }

    /** Moves its clock one hour ahead, or back; needs the {@code clock} plant. */
    public void shiftClock(boolean ahead) throws IOException {
        setFlagFile(CLOCK_AHEAD_FILE, ahead);
        history.add(name, ahead ? "clock steps ahead" : "clock steps back", "");
    }

    /** Makes state file writes slow or fail, or neither; needs the {@code disk} plant. */
    public void setDiskFault(boolean late, boolean readOnly) throws IOException {
        setFlagFile(DISK_SLOW_FILE, late);
        setFlagFile(DISK_READ_ONLY_FILE, readOnly);
        history.add(name, late ? "disk slow" : readOnly ? "disk read-only" : "disk sound", "");
    }

    private void setFlagFile(String file, boolean exists) throws IOException {
        Path at = folder.resolve("tmp").resolve(file);
        if (exists) {
            Files.writeString(at, "");
        } else {
            Files.deleteIfExists(at);
        }
    }

    /** Flips a bit in the middle of the facts (0), mark (1), consensus log (2) or load list (3) file; throws if there is none. */
    public void flipBit(int which) throws IOException {
        try (Stream<Path> all = Files.walk(stateFolder())) {
            Path p = all.filter(f -> f.getFileName().toString().startsWith(STATE_FILE_PREFIXES.get(which))).findFirst()
                    .orElseThrow(() -> new IOException(name + " has no " + STATE_FILE_PREFIXES.get(which)));
            byte[] bytes = Files.readAllBytes(p);
            int end = bytes.length;
            while (end > 0 && bytes[end - 1] == 0) { // preallocated space
                end--;
            }
            bytes[end / 2] ^= 1;
            Files.write(p, bytes);
        }
        history.add(name, "a bit turned", STATE_FILE_PREFIXES.get(which));
    }

    /** Replaces its state folder by a copy of another instance's. */
    void takeCopyOf(Node other) throws IOException {
        Folders.copy(other.stateFolder(), stateFolder());
    }

    /** Saves a copy of its state folder, for {@link #replaceFolder}. */
    public void copyFolder() throws IOException {
        Folders.copy(stateFolder(), folder.resolve("copy"));
        history.add(name, "folder copied", "");
    }

    /** Replaces its state folder by a copy of the given one, or deletes it if null; only while no process runs. */
    public void replaceFolder(Path from) throws IOException {
        Folders.delete(stateFolder());
        if (from != null && Files.exists(from)) {
            Folders.copy(from, stateFolder());
        }
        history.add(name, "folder replaced", from == null ? "by none" : "");
    }

    /** The copy made by {@link #copyFolder}. */
    public Path folderCopy() {
        return folder.resolve("copy");
    }

    /** Cuts bytes off the end of the consensus log, as if the last writes had not reached the disk. */
    public void truncateLog(int bytes) throws IOException {
        if (!Files.exists(stateFolder())) {
            return;
        }
        try (Stream<Path> all = Files.walk(stateFolder())) {
            for (Path p : all.filter(f -> f.getFileName().toString().startsWith("log_inprogress")).toList()) {
                byte[] whole = Files.readAllBytes(p);
                int end = whole.length;
                while (end > 0 && whole[end - 1] == 0) { // preallocated space
                    end--;
                }
                Files.write(p, java.util.Arrays.copyOf(whole, Math.max(0, end - bytes)));
            }
        }
        history.add(name, "log torn", bytes + " bytes");
    }
}
