package quincespar.program.captures;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import quincespar.capture.CurrentModuleFactory;
import quincespar.capture.CaptureReader;
import quincespar.capture.CaptureReader.SegmentSummary;
import quincespar.capture.Entry;
import quincespar.capture.EntryCodec;
import quincespar.capture.Explainer;
import quincespar.capture.Frames;
import quincespar.capture.ModuleDigest;
import quincespar.capture.Replay;
import quincespar.capture.RuleChecker;
import quincespar.capture.SegmentName;
import quincespar.capture.SegmentStore;
import quincespar.decision.GcMuScheduler;
import quincespar.decision.Scheduler;
import quincespar.routing.EngineNumber;

/** The commands on captures. All of them print lines that scripts can parse. */
@Command(name = "capture", description = "Inspect captures: the events and decisions of the decision module.",
        mixinStandardHelpOptions = true)
public final class CaptureCommands {
    private static final double MS_PER_SECOND = 1000;

    @Command(name = "list", description = "One line for each segment: name, bytes, calls, times, state, damage.")
    int list(@Parameters(paramLabel = "DIR") Path folder) throws IOException {
        CaptureReader captures = new CaptureReader(new CaptureFolder(folder));
        for (SegmentName name : captures.segmentNames()) {
            SegmentSummary s = captures.summarize(name);
            System.out.printf(Locale.ROOT, "%s bytes=%d calls=%d from=%s to=%s state=%s%s%n", name.fileName(), s.bytes(),
                    s.calls(), formatTime(s.from()), formatTime(s.to()), s.hasState() ? "yes" : "no",
                    s.damage() == null ? "" : " damage=\"" + s.damage() + "\"");
        }
        return 0;
    }

    @Command(name = "info", description = "Instance, build, module and classes of each process; totals over segments.")
    int info(@Parameters(paramLabel = "DIR") Path folder) throws IOException {
        CaptureReader captures = new CaptureReader(new CaptureFolder(folder));
        Map<String, List<SegmentSummary>> segmentsByProcess = new LinkedHashMap<>();
        for (SegmentName name : captures.segmentNames()) {
            String process = name.instance() + " started " + Instant.ofEpochMilli(name.processStart());
            segmentsByProcess.computeIfAbsent(process, n -> new ArrayList<>()).add(captures.summarize(name));
        }
        String ownDigest = ModuleDigest.of(GcMuScheduler.class);
        segmentsByProcess.forEach((process, segments) -> {
            System.out.println(process + ": segments=" + segments.size()
                    + " bytes=" + segments.stream().mapToLong(SegmentSummary::bytes).sum()
                    + " calls=" + segments.stream().mapToLong(SegmentSummary::calls).sum());
            segments.stream().map(SegmentSummary::opening).filter(o -> o != null).findFirst().ifPresent(o -> {
                System.out.println("  build=\"" + o.build() + "\" module=" + o.moduleDigest()
                        + (o.moduleDigest().equals(ownDigest) ? " (this build's)" : " (this build's is " + ownDigest + ")")
                        + " seed=" + Long.toHexString(o.seed()));
                System.out.println("  classes=" + o.settings().classes().stream().map(Scheduler.ClassSpec::name).toList());
            });
        });
        return 0;
    }

    @Command(name = "verify", description = "Read every record: exit code 0 if nothing is missing, else 1 and a line"
            + " for each gap.")
    int verify(@Parameters(paramLabel = "DIR") Path folder) throws IOException {
        CaptureReader captures = new CaptureReader(new CaptureFolder(folder));
        long[] records = {0};
        List<String> gaps = new ArrayList<>();
        captures.forEachEntry(captures.segmentNames(), (name, e) -> {
            records[0]++;
            if (e instanceof Entry.Gap g) {
                gaps.add("gap in or before " + name.fileName() + " at " + formatTime(g.time()) + ": " + g.reason()
                        + (g.lostCalls() > 0 ? ", calls lost: " + g.lostCalls() : ""));
            }
            return true;
        });
        gaps.forEach(System.out::println);
        System.out.println(records[0] + " records, " + gaps.size() + " gaps");
        return gaps.isEmpty() ? 0 : 1;
    }

    @Command(name = "cut", description = "Write the calls between two times, with the state before them, to a new segment.")
    int cut(@Parameters(paramLabel = "DIR") Path folder,
            @Option(names = "--from", required = true, paramLabel = "S", description = "Seconds since 1970.") double from,
            @Option(names = "--to", required = true, paramLabel = "S", description = "Seconds since 1970.") double to,
            @Option(names = "--out", required = true, paramLabel = "DIR") Path out) throws IOException {
        CaptureReader captures = new CaptureReader(new CaptureFolder(folder));
        List<SegmentName> names = captures.segmentNames();
        if (names.stream().map(n -> n.instance() + n.processStart()).distinct().count() > 1) {
            throw new IOException(folder + " holds captures of several processes; use a folder with one");
        }
        List<Entry> entries = captures.cut(names, from * MS_PER_SECOND, to * MS_PER_SECOND);
        if (entries.isEmpty()) {
            throw new IOException("no call between " + formatTime(from * MS_PER_SECOND) + " and "
                    + formatTime(to * MS_PER_SECOND));
        }
        EntryCodec codec = new EntryCodec();
        SegmentName name = new SegmentName(names.get(0).instance(), names.get(0).processStart(), 1);
        Files.createDirectories(out);
        if (Files.exists(out.resolve(name.fileName()))) {
            throw new IOException(out.resolve(name.fileName()) + " already exists");
        }
        try (SegmentStore.SegmentOutput sink = new CaptureFolder(out).create(name.fileName())) {
            sink.write(Frames.header(codec.schema()));
            for (Entry e : entries) {
                sink.write(Frames.frame(codec.write(e)));
            }
        }
        System.out.println(out.resolve(name.fileName()) + ": " + entries.size() + " records");
        return 0;
    }

    /** Prints the course of a request, or what was known of an engine at a time; returns the exit code. */
    public static int explain(Path folder, Long request, String engine, Double at) throws IOException {
        CaptureReader captures = new CaptureReader(new CaptureFolder(folder));
        Explainer explainer = new Explainer(captures, System.out::println);
        boolean found = request != null ? explainer.explainRequest(captures.segmentNames(), request)
                : explainer.explainEngine(captures.segmentNames(), engineNumber(engine),
                        at == null ? Double.MAX_VALUE : at * MS_PER_SECOND);
        if (!found) {
            throw new IOException("no segment in " + folder + " contains " + (request != null ? "request " + request
                    : "engine " + engine));
        }
        return 0;
    }

    /** The number of an engine that is given by its id in the list of engines, or by the number that {@code explain} prints. */
    private static long engineNumber(String engine) {
        return engine.matches("[0-9]{1,18}") ? Long.parseLong(engine) : EngineNumber.of(engine);
    }

    /** Replays captures on this build's module; returns the exit code. */
    public static int replay(Path folder, int from, Path decisions) throws IOException {
        CaptureReader captures = new CaptureReader(new CaptureFolder(folder));
        List<SegmentName> names = captures.segmentNames().stream().filter(n -> n.number() >= from).toList();
        if (names.isEmpty()) {
            throw new IOException("no segments in " + folder + (from > 1 ? " from number " + from + " on" : ""));
        }
        EntryCodec codec = new EntryCodec(); // prints stored names, so that the output of builds can be compared
        Replay replay = new Replay(new CurrentModuleFactory());
        RuleChecker rules = new RuleChecker();
        double[] firstAndLastMs = {Double.NaN, Double.NaN};
        long startNanos = System.nanoTime();
        try (PrintStream out = decisions == null ? null : new PrintStream(Files.newOutputStream(decisions), false,
                StandardCharsets.UTF_8)) {
            captures.forEachEntry(names, (name, e) -> {
                if (e instanceof Entry.Call c) {
                    firstAndLastMs[0] = Double.isNaN(firstAndLastMs[0]) ? c.time() : firstAndLastMs[0];
                    firstAndLastMs[1] = c.time();
                    if (out != null && !c.actions().isEmpty()) {
                        out.println(c.time() + " " + codec.toText(c.actions()));
                    }
                }
                rules.check(e);
                return replay.play(e);
            });
            if (out != null && out.checkError()) {
                throw new IOException("can't write " + decisions);
            }
        } catch (UncheckedIOException e) {
            throw e.getCause();
        }
        double elapsedMs = (System.nanoTime() - startNanos) / 1e6;
        double capturedMs = firstAndLastMs[1] - firstAndLastMs[0];
        Replay.Result result = replay.result();
        System.out.printf(Locale.ROOT, "calls=%d events=%d decisions=%d sha256=%s%n", result.calls(), result.events(),
                result.decisions(), result.digest());
        System.out.printf(Locale.ROOT, "states=%d other-states=%d lost=%d%n", result.matchingStates(), result.differingStates(),
                result.lostCalls());
        System.out.printf(Locale.ROOT, "replayed %.1f s in %.2f s, %.0f times as fast%n", capturedMs / MS_PER_SECOND,
                elapsedMs / MS_PER_SECOND, capturedMs / elapsedMs);
        System.out.println("broken-rules=" + rules.violationCount());
        rules.violations().forEach(v -> System.out.println("  " + v));
        if (result.divergence() != null) {
            printDivergence(codec, result.divergence());
        }
        return result.divergence() == null && result.differingStates() == 0 && rules.violationCount() == 0 ? 0 : 1;
    }

    /**
     * Like {@link #replay}, but with the reader and the module of another build, whose classes are loaded separately from this
     * build's. Returns its exit code; throws if that build cannot replay captures.
     */
    public static int replayWithJar(Path jar, Path folder, int from, Path decisions) throws IOException {
        List<String> arguments = new ArrayList<>(List.of("replay", folder.toString(), "--from", Integer.toString(from)));
        if (decisions != null) {
            arguments.addAll(List.of("--decisions", decisions.toString()));
        }
        try (URLClassLoader loader = new URLClassLoader(new URL[] {jar.toUri().toURL()},
                ClassLoader.getPlatformClassLoader())) {
            return (int) loader.loadClass("quincespar.program.Main").getMethod("run", String[].class).invoke(null,
                    (Object) arguments.toArray(String[]::new));
        } catch (ReflectiveOperationException e) {
            throw new IOException(jar + " cannot replay captures: " + e, e);
        }
    }

    private static void printDivergence(EntryCodec codec, Replay.Divergence divergence) {
        System.out.println("decisions differ at call " + divergence.call() + ", " + formatTime(divergence.time())
                + "; the calls before:");
        divergence.before().forEach(c -> System.out.println("  " + formatTime(c.time()) + " " + codec.toText(c.events()) + " -> "
                + codec.toText(c.actions())));
        System.out.println("  " + formatTime(divergence.time()) + " " + codec.toText(divergence.expected().events()));
        System.out.println("expected " + toText(codec, divergence.expected().actions()));
        System.out.println("got      " + toText(codec, divergence.got()));
    }

    private static String toText(EntryCodec codec, List<Scheduler.Action> actions) {
        return actions.stream().map(codec::toText).reduce((a, b) -> a + " " + b).orElse("nothing");
    }

    private static String formatTime(double ms) {
        return Double.isNaN(ms) ? "none" : String.format(Locale.ROOT, "%.6f", ms / MS_PER_SECOND);
    }
}
