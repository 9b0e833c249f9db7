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

/** What can be asked of captures; every answer is lines that scripts can read. */
@Command(name = "capture", description = "Inspect captures: the events and decisions of the decision module.",
        mixinStandardHelpOptions = true)
public final class CaptureCommands {
    private static final double SECOND = 1000;

    @Command(name = "list", description = "One line for each segment: name, bytes, calls, times, state, damage.")
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

    @Command(name = "info", description = "Instance, build, module and classes of each process; totals over segments.")
    int info(@Parameters(paramLabel = "DIR") Path folder) throws IOException {
        CaptureReader captures = new CaptureReader(new CaptureFolder(folder));
        Map<String, List<SegmentSummary>> segmentsByProcess = new LinkedHashMap<>();
        for (SegmentName name : captures.segmentNames()) {
            String process = name.instance() + " started " + Instant.ofEpochMilli(name.processStart());
            segmentsByProcess.computeIfAbsent(process, n -> new ArrayList<>()).add(captures.summarize(name));
        }
        String own = ModuleDigest.of(GcMuScheduler.class);
        segmentsByProcess.forEach((process, all) -> {
            System.out.println(process + ": segments=" + all.size()
                    + " bytes=" + all.stream().mapToLong(SegmentSummary::bytes).sum()
                    + " calls=" + all.stream().mapToLong(SegmentSummary::calls).sum());
            all.stream().map(SegmentSummary::opening).filter(o -> o != null).findFirst().ifPresent(o -> {
                System.out.println("  build=\"" + o.build() + "\" module=" + o.moduleDigest()
                        + (o.moduleDigest().equals(own) ? " (this build's)" : " (this build's is " + own + ")") + " seed="
                        + Long.toHexString(o.seed()));
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
        List<String> wrong = new ArrayList<>();
        captures.forEachEntry(captures.segmentNames(), (name, e) -> {
            records[0]++;
            if (e instanceof Entry.Gap g) {
                wrong.add("gap in or before " + name.fileName() + " at " + time(g.time()) + ": " + g.reason()
                        + (g.lostCalls() > 0 ? ", calls lost: " + g.lostCalls() : ""));
            }
            return true;
        });
        wrong.forEach(System.out::println);
        System.out.println(records[0] + " records, " + wrong.size() + " gaps");
        return wrong.isEmpty() ? 0 : 1;
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
        List<Entry> entries = captures.cut(names, from * SECOND, to * SECOND);
        if (entries.isEmpty()) {
            throw new IOException("no call between " + time(from * SECOND) + " and " + time(to * SECOND));
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

    /** Tells the story of a request, or what was known of an engine; answers the exit code. */
    public static int explain(Path folder, Long request, String engine, Double at) throws IOException {
        CaptureReader captures = new CaptureReader(new CaptureFolder(folder));
        Explainer explain = new Explainer(captures, System.out::println);
        boolean told = request != null ? explain.explainRequest(captures.segmentNames(), request)
                : explain.explainEngine(captures.segmentNames(), number(engine), at == null ? Double.MAX_VALUE : at * SECOND);
        if (!told) {
            throw new IOException("no segment in " + folder + " contains " + (request != null ? "request " + request
                    : "engine " + engine));
        }
        return 0;
    }

    /** An engine by its id in the list, or by the number that a story gives it. */
    private static long number(String engine) {
        return engine.matches("[0-9]{1,18}") ? Long.parseLong(engine) : EngineNumber.of(engine);
    }

    /** Plays captures again on this build's module; answers the exit code. */
    public static int replay(Path folder, int from, Path decisions) throws IOException {
        CaptureReader captures = new CaptureReader(new CaptureFolder(folder));
        List<SegmentName> names = captures.segmentNames().stream().filter(n -> n.number() >= from).toList();
        if (names.isEmpty()) {
            throw new IOException("no segments in " + folder + (from > 1 ? " from number " + from + " on" : ""));
        }
        EntryCodec codec = new EntryCodec(); // prints records by their stored names, so that builds can be compared
        Replay replay = new Replay(new CurrentModuleFactory());
        RuleChecker rules = new RuleChecker();
        double[] span = {Double.NaN, Double.NaN};
        long began = System.nanoTime();
        try (PrintStream out = decisions == null ? null : new PrintStream(Files.newOutputStream(decisions), false,
                StandardCharsets.UTF_8)) {
            captures.forEachEntry(names, (name, e) -> {
                if (e instanceof Entry.Call c) {
                    span[0] = Double.isNaN(span[0]) ? c.time() : span[0];
                    span[1] = c.time();
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
        double took = (System.nanoTime() - began) / 1e6;
        Replay.Result r = replay.result();
        System.out.printf(Locale.ROOT, "calls=%d events=%d decisions=%d sha256=%s%n", r.calls(), r.events(), r.decisions(),
                r.digest());
        System.out.printf(Locale.ROOT, "states=%d other-states=%d lost=%d%n", r.matchingStates(), r.differingStates(),
                r.lostCalls());
        System.out.printf(Locale.ROOT, "replayed %.1f s in %.2f s, %.0f times as fast%n", (span[1] - span[0]) / SECOND,
                took / SECOND, (span[1] - span[0]) / took);
        System.out.println("broken-rules=" + rules.violationCount());
        rules.violations().forEach(b -> System.out.println("  " + b));
        if (r.divergence() != null) {
            parted(codec, r.divergence());
        }
        return r.divergence() == null && r.differingStates() == 0 && rules.violationCount() == 0 ? 0 : 1;
    }

    /**
     * As {@link #replay}, by another build: with its own reader and module, apart from this one's classes. Answers its
     * exit code; throws where it is no build that can.
     */
    public static int replayWithJar(Path jar, Path folder, int from, Path decisions) throws IOException {
        List<String> words = new ArrayList<>(List.of("replay", folder.toString(), "--from", Integer.toString(from)));
        if (decisions != null) {
            words.addAll(List.of("--decisions", decisions.toString()));
        }
        try (URLClassLoader other = new URLClassLoader(new URL[] {jar.toUri().toURL()},
                ClassLoader.getPlatformClassLoader())) {
            return (int) other.loadClass("quincespar.program.Main").getMethod("run", String[].class).invoke(null,
                    (Object) words.toArray(String[]::new));
        } catch (ReflectiveOperationException e) {
            throw new IOException(jar + " cannot replay captures: " + e, e);
        }
    }

    private static void parted(EntryCodec codec, Replay.Divergence p) {
        System.out.println("decisions differ at call " + p.call() + ", " + time(p.time()) + "; the calls before:");
        p.before().forEach(c -> System.out.println("  " + time(c.time()) + " " + codec.toText(c.events()) + " -> "
                + codec.toText(c.actions())));
        System.out.println("  " + time(p.time()) + " " + codec.toText(p.expected().events()));
        System.out.println("expected " + ordered(codec, p.expected().actions()));
        System.out.println("got      " + ordered(codec, p.got()));
    }

    private static String ordered(EntryCodec codec, List<Scheduler.Action> actions) {
        return actions.stream().map(codec::toText).reduce((a, b) -> a + " " + b).orElse("nothing");
    }

    private static String time(double ms) {
        return Double.isNaN(ms) ? "none" : String.format(Locale.ROOT, "%.6f", ms / SECOND);
    }
}
