import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

/** What the cases share: a temporary folder, the engines, the change log, and how a run ends. */
final class Rig {
    /** A run that has not ended by then could not be judged. */
    private static final long LONGEST_RUN_MS = 110_000;

    final Path root;
    /** Whether the disruption takes place. */
    final boolean trouble;
    final List<Engine> engines = new ArrayList<>();
    private final Path folder;
    private final Path config;
    private final int port;
    private ChangeLog changeLog;

    /** What a case does. */
    interface Story {
        /** True if the rule held. */
        boolean play(Rig rig) throws Exception;
    }

    private Rig(Path root, boolean trouble) throws IOException {
        this.root = root;
        this.trouble = trouble;
        folder = Files.createTempDirectory("quincespar-review");
        config = folder.resolve("config.json");
        Files.createDirectory(folder.resolve("tmpdir"));
        port = FrontEnd.freePort();
    }

    /** Runs a case. Arguments: the repository's root and the case's folder. Exits with 1 if the rule was broken, 0 if it held. */
    static void run(String[] args, Story story) throws IOException {
        Record.open(Path.of(args[1]).resolve("record.txt"));
        Engine.thread("watchdog", () -> {
            Thread.sleep(LONGEST_RUN_MS);
            Record.say("the case did not end in time");
            end(2, null);
        });
        int code = 2;
        Rig rig = null;
        try {
            rig = new Rig(Path.of(args[0]).toAbsolutePath(), !"0".equals(System.getenv("TROUBLE")));
            Record.say("TROUBLE=" + (rig.trouble ? 1 : 0));
            boolean held = story.play(rig);
            Record.say(held ? "the rule held" : "the rule was broken");
            code = held ? 0 : 1;
        } catch (Exception e) {
            StringWriter trace = new StringWriter();
            e.printStackTrace(new PrintWriter(trace));
            Record.say("the case could not run: " + trace);
        }
        end(code, rig);
    }

    private static synchronized void end(int code, Rig rig) {
        FrontEnd.endAll();
        if (rig != null) {
            rig.deleteFolder();
        }
        Record.close();
        Runtime.getRuntime().halt(code);
    }

    /** Starts engines that do this work, and the change log that lists them. */
    void startEngines(int count, Engine.Work work) throws IOException {
        for (int i = 1; i <= count; i++) {
            engines.add(new Engine("s-" + i, work));
        }
        changeLog = new ChangeLog(engines);
    }

    /** Writes the configuration with these settings, or replaces it. */
    void configure(String settings) throws IOException {
        Site.write(config, port, changeLog, settings);
    }

    /** Starts a front end and waits for its yes. A second one starts beside the first, as in an upgrade. */
    FrontEnd startFrontEnd(String name) throws IOException {
        return FrontEnd.start(root, folder, name, config, port, FrontEnd.freePort());
    }

    /** All runs of a request, at any engine. */
    List<Engine.Run> runs(Client.Call call) {
        return engines.stream().flatMap(e -> e.runs.stream()).filter(r -> r.id.equals(call.txn)).toList();
    }

    /** Waits for a condition; returns whether it has come. */
    static boolean await(double ms, BooleanSupplier condition) {
        double end = Record.now() + ms;
        while (!condition.getAsBoolean() && Record.now() < end) {
            FrontEnd.pause(5);
        }
        return condition.getAsBoolean();
    }

    private void deleteFolder() {
        try (Stream<Path> all = Files.walk(folder)) {
            all.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
        } catch (IOException e) {
            System.err.println("left " + folder);
        }
    }
}
