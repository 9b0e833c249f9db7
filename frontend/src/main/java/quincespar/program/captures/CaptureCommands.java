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
import quincespar.decision.Gateway;
import quincespar.routing.EngineNumber;

/** Commands that read captures. They print lines that scripts can parse. */
@Command(name = "capture", description = "Inspect captures: the calls of the decision module and its decisions.",
        mixinStandardHelpOptions = true)
public final class CaptureCommands {
    private static final double MS_PER_SECOND = 1000;

    @Command(name = "list", description = "Print one line per segment: name, bytes, calls, times, state, damage.")
    int list(@Parameters(paramLabel = "DIR") Path folder) throws IOException {
        CaptureReader captures = new CaptureReader(new CaptureFolder(folder));
        for (SegmentName name : captures.segmentNames()) {
            SegmentSummary s = captures.summarize(name);
            System.out.printf(Locale.ROOT, "%s bytes=%d calls=%d from=%s to=%s state=%s%s%n", name.fileName(), s.bytes(),
                    s.calls(), time(s.from()), time(s.to()), s.hasState() ? "yes" : "no",
                    s.damage() == null ? "" : " damage=\"" + s.damage() + "\"");
        }
        return 0;
    }

    @Command(name = "info", description = "Print what made the captures: name, build, module, settings; sums over segments.")
    int info(@Parameters(paramLabel = "DIR") Path folder) throws IOException {
        CaptureReader captures = new CaptureReader(new CaptureFolder(folder));
        Map<String, List<SegmentSummary>> byProcess = new LinkedHashMap<>();
        for (SegmentName name : captures.segmentNames()) {
            byProcess.computeIfAbsent(name.instance() + " started " + Instant.ofEpochMilli(name.processStart()),
                    n -> new ArrayList<>()).add(captures.summarize(name));
        }
        String ownDigest = ModuleDigest.of(GcMuScheduler.class);
        byProcess.forEach((process, segments) -> {
            System.out.println(process + ": segments=" + segments.size()
                    + " bytes=" + segments.stream().mapToLong(SegmentSummary::bytes).sum()
                    + " calls=" + segments.stream().mapToLong(SegmentSummary::calls).sum());
            segments.stream().map(SegmentSummary::opening).filter(o -> o != null).findFirst().ifPresent(o -> {
                System.out.println("  build=\"" + o.build() + "\" module=" + o.moduleDigest()
                        + (o.moduleDigest().equals(ownDigest) ? " (this build's)" : " (this build's is " + ownDigest + ")")
                        + " seed=" + Long.toHexString(o.seed()));
                System.out.println("  classes=" + o.settings().classes().stream().map(Gateway.ClassSpec::name).toList());
            });
        });
        return 0;
    }

    @Command(name = "verify", description = "Read every record: exit code 0 if nothing is missing, otherwise 1 with a line"
            + " for each gap.")
    int verify(@Parameters(paramLabel = "DIR") Path folder) throws IOException {
        CaptureReader captures = new CaptureReader(new CaptureFolder(folder));
        long[] records = {0};
        List<String> gaps = new ArrayList<>();
        captures.forEachEntry(captures.segmentNames(), (name, e) -> {
            records[0]++;
            if (e instanceof Entry.Gap g) {
                gaps.add("gap in or before " + name.fileName() + " at " + time(g.time()) + ": " + g.reason()
                        + (g.lostCalls() > 0 ? ", calls lost: " + g.lostCalls() : ""));
            }
            return true;
        });
        gaps.forEach(System.out::println);
        System.out.println(records[0] + " records, " + gaps.size() + " gaps");
        return gaps.isEmpty() ? 0 : 1;
    }

    @Command(name = "cut", description = "Write the calls of a period, with the state before them, to a new segment.")
    int cut(@Parameters(paramLabel = "DIR") Path folder,
            @Option(names = "--from", required = true, paramLabel = "S", description = "Unix time in seconds.") double from,
            @Option(names = "--to", required = true, paramLabel = "S", description = "Unix time in seconds.") double to,
            @Option(names = "--out", required = true, paramLabel = "DIR") Path out) throws IOException {
        CaptureReader captures = new CaptureReader(new CaptureFolder(folder));
        List<SegmentName> names = captures.segmentNames();
        if (names.stream().map(n -> n.instance() + n.processStart()).distinct().count() > 1) {
            throw new IOException(folder + " has captures of several processes; cut needs a folder with captures of one");
        }
        List<Entry> entries = captures.cut(names, from * MS_PER_SECOND, to * MS_PER_SECOND);
        if (entries.isEmpty()) {
            throw new IOException("no call between " + time(from * MS_PER_SECOND) + " and " + time(to * MS_PER_SECOND));
        }
        EntryCodec codec = new EntryCodec();
        SegmentName name = new SegmentName(names.get(0).instance(), names.get(0).processStart(), 1);
        Files.createDirectories(out);
        if (Files.exists(out.resolve(name.fileName()))) {
            throw new IOException(out.resolve(name.fileName()) + " exists already");
        }
        try (SegmentStore.SegmentOutput output = new CaptureFolder(out).create(name.fileName())) {
            output.write(Frames.header(codec.schema()));
            for (Entry e : entries) {
                output.write(Frames.frame(codec.write(e)));
            }
        }
        System.out.println(out.resolve(name.fileName()) + ": " + entries.size() + " records");
        return 0;
    }

    /** Prints the history of a request, or the state of an engine at a time; returns the exit code. */
    public static int explain(Path folder, Long request, String engine, Double at) throws IOException {
        CaptureReader captures = new CaptureReader(new CaptureFolder(folder));
        Explainer explainer = new Explainer(captures, System.out::println);
        boolean found = request != null ? explainer.explainRequest(captures.segmentNames(), request)
                : explainer.explainEngine(captures.segmentNames(), engineNumber(engine),
                        at == null ? Double.MAX_VALUE : at * MS_PER_SECOND);
        if (!found) {
            throw new IOException("no segment in " + folder + " has " + (request != null ? "request " + request
                    : "engine " + engine));
        }
        return 0;
    }

    /** The number of an engine, given by its id in the list or by the number that a history prints. */
    private static long engineNumber(String engine) {
        return engine.matches("[0-9]{1,18}") ? Long.parseLong(engine) : EngineNumber.of(engine);
    }

    /** Replays captures on this build's decision module; returns the exit code. */
    public static int replay(Path folder, int from, Path decisions) throws IOException {
        CaptureReader captures = new CaptureReader(new CaptureFolder(folder));
        List<SegmentName> names = captures.segmentNames().stream().filter(n -> n.number() >= from).toList();
        if (names.isEmpty()) {
            throw new IOException("no segments in " + folder + (from > 1 ? " from number " + from + " on" : ""));
        }
        Replay replay = new Replay(new CurrentModuleFactory());
        RuleChecker rules = new RuleChecker();
        double[] firstAndLast = {Double.NaN, Double.NaN};
        long startedAtNs = System.nanoTime();
        try (PrintStream out = decisions == null ? null : new PrintStream(Files.newOutputStream(decisions), false,
                StandardCharsets.UTF_8)) {
            captures.forEachEntry(names, (name, e) -> {
                if (e instanceof Entry.Call c) {
                    firstAndLast[0] = Double.isNaN(firstAndLast[0]) ? c.time() : firstAndLast[0];
                    firstAndLast[1] = c.time();
                    if (out != null && !c.actions().isEmpty()) {
                        out.println(c.time() + " " + c.actions());
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
        double tookMs = (System.nanoTime() - startedAtNs) / 1e6;
        Replay.Result result = replay.result();
        System.out.printf(Locale.ROOT, "calls=%d events=%d decisions=%d sha256=%s%n", result.calls(), result.events(),
                result.decisions(), result.digest());
        System.out.printf(Locale.ROOT, "states=%d other-states=%d lost=%d%n", result.matchingStates(),
                result.differingStates(), result.lostCalls());
        double spanMs = firstAndLast[1] - firstAndLast[0];
        System.out.printf(Locale.ROOT, "played %.1f s in %.2f s, %.0f times as fast%n", spanMs / MS_PER_SECOND,
                tookMs / MS_PER_SECOND, spanMs / tookMs);
        System.out.println("broken-rules=" + rules.violationCount());
        rules.violations().forEach(violation -> System.out.println("  " + violation));
        if (result.divergence() != null) {
            printDivergence(result.divergence());
        }
        return result.divergence() == null && result.differingStates() == 0 && rules.violationCount() == 0 ? 0 : 1;
    }

    /**
     * Replays captures as {@link #replay} does, with the reader and the decision module of another build, which is loaded
     * separately from this one's classes. Returns its exit code; throws {@link IOException} if the jar can't replay.
     */
    public static int replayWithJar(Path jar, Path folder, int from, Path decisions) throws IOException {
        List<String> arguments = new ArrayList<>(List.of("replay", folder.toString(), "--from", Integer.toString(from)));
        if (decisions != null) {
            arguments.addAll(List.of("--decisions", decisions.toString()));
        }
        try (URLClassLoader other = new URLClassLoader(new URL[] {jar.toUri().toURL()},
                ClassLoader.getPlatformClassLoader())) {
            return (int) other.loadClass("quincespar.program.Main").getMethod("run", String[].class).invoke(null,
                    (Object) arguments.toArray(String[]::new));
        } catch (ReflectiveOperationException e) {
            throw new IOException(jar + " is not a build of this program that can replay: " + e, e);
        }
    }

    private static void printDivergence(Replay.Divergence divergence) {
        System.out.println("parted at call " + divergence.call() + ", " + time(divergence.time()) + "; the calls before:");
        divergence.before().forEach(c -> System.out.println("  " + time(c.time()) + " " + c.events() + " -> " + c.actions()));
        System.out.println("  " + time(divergence.time()) + " " + divergence.expected().events());
        System.out.println("expected " + text(divergence.expected().actions()));
        System.out.println("got      " + text(divergence.got()));
    }

    private static String text(List<Gateway.Action> actions) {
        return actions.stream().map(String::valueOf).reduce((a, b) -> a + " " + b).orElse("nothing");
    }

    private static String time(double ms) {
        return Double.isNaN(ms) ? "none" : String.format(Locale.ROOT, "%.6f", ms / MS_PER_SECOND);
    }
}
