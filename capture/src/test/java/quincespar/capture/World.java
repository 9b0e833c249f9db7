package quincespar.capture;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import quincespar.decision.GcMuScheduler;
import quincespar.decision.Gateway;
import quincespar.decision.Gateway.EngineState;
import quincespar.decision.Gateway.Outcome;
import quincespar.decision.SettingsParser;

/**
 * Engines, clients and a clock in virtual time, enough to have a module meet what it meets in service: engines that die
 * and come back cold under their id, hang, slow down, drain and are replaced; bad plans, loads that hold tables, clients
 * that leave, figures that are none. One seed decides all.
 */
final class World {
    private static final String SETTINGS = """
            tick = 5
            limits.cancelling = true
            limits.maxAttempts = 5
            rules.drainGrace = 1000
            rules.cold = 10000
            rules.coldShare = 0.3
            rules.fall = 1000
            requestClasses.count = 3
            requestClasses.0.name = lookup
            requestClasses.0.slo = 300
            requestClasses.0.hardLimit = 1300
            requestClasses.0.effect = safe
            requestClasses.0.points = 1
            requestClasses.1.name = report
            requestClasses.1.slo = 1000
            requestClasses.1.hardLimit = 5000
            requestClasses.1.effect = safe
            requestClasses.1.points = 7.5
            requestClasses.2.name = load
            requestClasses.2.slo = 1000
            requestClasses.2.hardLimit = 8000
            requestClasses.2.effect = unsafe
            requestClasses.2.points = 10
            """;
    private static final int ENGINES = 6;

    /** What happens besides: by chance, or one trouble at its time, counted in requests. */
    enum Scene {
        CHANCE, DIES_AND_RETURNS_COLD, HANGS, SLOWS_DOWN, DRAINS_UNDER_LOADS, CLOCK_STEPS, LIST_COMES_LATE;

        /** The requests that a scene takes. */
        static final int REQUESTS = 240;
        private static final int BEGINS = 80;
        private static final int ENDS = 160;
    }

    private record Due(double at, long order, Gateway.Event event) { }

    private record Out(long id, int attempt, long engine) { }

    private final SplittableRandom random;
    private final PriorityQueue<Due> due = new PriorityQueue<>(
            Comparator.comparingDouble(Due::at).thenComparingLong(Due::order));
    private final Map<Long, Integer> attempts = new LinkedHashMap<>();
    private final Map<Long, Gateway.Engine> engines = new LinkedHashMap<>();
    private final List<Entry> entries = new ArrayList<>();
    private final EntryCodec codec = new EntryCodec();
    private final CapturedGateway module;
    private double now = 1000;
    private long order;
    private long id;
    private Scene scene = Scene.CHANCE;
    private long hung = -1;
    private long slow = 3;
    private long calls;

    World(long seed) {
        random = new SplittableRandom(seed);
        entries.add(opening(seed));
        module = new CapturedGateway(new GcMuScheduler(settings(), seed), entries::add);
    }

    /** As above, told to someone else. */
    World(long seed, CapturedGateway.Listener to) {
        random = new SplittableRandom(seed);
        module = new CapturedGateway(new GcMuScheduler(settings(), seed), to, new StateCodec(GcMuScheduler.class)::write);
    }

    /** A scene that is the same each time. */
    static List<Entry> scene(Scene s) {
        World w = new World(100 + s.ordinal());
        w.scene = s;
        w.slow = -1;
        return w.play(Scene.REQUESTS);
    }

    static Entry.Opening opening(long seed) {
        return new Entry.Opening("w" + seed, 1000, seed, "test", ModuleDigest.of(GcMuScheduler.class), settings());
    }

    static Gateway.Settings settings() {
        return SettingsParser.parse(SETTINGS);
    }

    /** Plays so many requests, and answers all that was captured. */
    List<Entry> play(int requests) {
        for (long e = 1; e <= ENGINES; e++) {
            engines.put(e, new Gateway.Engine(e, 0, 0, (int) e % 2, EngineState.READY, 1, 0));
        }
        if (scene != Scene.LIST_COMES_LATE) {
            tell(new Gateway.Listed(Gateway.ListKind.CACHED, 1, List.copyOf(engines.values())));
        }
        while (id < requests || !due.isEmpty()) {
            if (id < requests && (due.isEmpty() || random.nextInt(3) == 0)) {
                now += random.nextDouble() * 6;
                trouble();
                int cls = random.nextInt(10) < 7 ? 0 : 1 + random.nextInt(2);
                double work = switch (random.nextInt(20)) {
                    case 0 -> Double.NaN;
                    case 1 -> Double.POSITIVE_INFINITY;
                    case 2 -> -0.0;
                    default -> random.nextDouble() * (cls == 0 ? 80 : 900);
                };
                tell(new Gateway.Request(++id, cls, -1, cls == 0 ? 1300 : 5000, work, random.nextInt(100),
                        random.nextInt(4), 0, random.nextInt(20) == 0, cls == 2));
            } else {
                Due d = due.poll();
                now = Math.max(now, d.at());
                tell(d.event());
            }
        }
        return entries;
    }

    /** Goes on with timers only, for as long as the test says. */
    void settle(java.util.function.BooleanSupplier goOn) {
        while (goOn.getAsBoolean()) {
            now += 1;
            tell(new Gateway.Timer(1));
        }
    }

    /** Calls of the module so far. */
    long calls() {
        return calls;
    }

    private void staged() {
        boolean begins = id == Scene.BEGINS;
        boolean ends = id == Scene.ENDS;
        Gateway.Engine second = engines.get(2L);
        if (begins && scene == Scene.LIST_COMES_LATE) {
            tell(new Gateway.Listed(Gateway.ListKind.FULL, 1, List.copyOf(engines.values())));
        } else if (scene == Scene.DIES_AND_RETURNS_COLD && (begins || ends)) {
            hung = begins ? 2 : -1;
            list(new Gateway.Engine(2, 0, 0, second.cell(), begins ? EngineState.GONE : EngineState.READY, 1, begins ? 0 : now));
        } else if (scene == Scene.HANGS && (begins || ends)) {
            hung = begins ? 2 : -1;
        } else if (scene == Scene.SLOWS_DOWN && (begins || ends)) {
            slow = begins ? 2 : -1;
        } else if (scene == Scene.DRAINS_UNDER_LOADS && (begins || ends)) {
            list(new Gateway.Engine(2, 0, 0, second.cell(), begins ? EngineState.DRAINING : EngineState.GONE, 1, 0));
        } else if (scene == Scene.CLOCK_STEPS && begins) {
            now += 30_000;
        }
    }

    private void trouble() {
        if (scene != Scene.CHANCE) {
            staged();
            return;
        }
        long e = 1 + random.nextInt(ENGINES);
        Gateway.Engine old = engines.get(e);
        switch (random.nextInt(400)) {
            case 0 -> list(new Gateway.Engine(e, 0, 0, old.cell(), EngineState.READY, 1, now)); // back, and cold
            case 1 -> list(new Gateway.Engine(e, 0, 0, old.cell(), EngineState.DRAINING, 1, old.startedAt()));
            case 2 -> list(new Gateway.Engine(e, 0, 0, old.cell(), EngineState.READY, 1, old.startedAt()));
            case 3 -> hung = e;
            case 4 -> hung = -1;
            case 5 -> tell(new Gateway.Left(1 + random.nextLong(Math.max(1, id))));
            case 6 -> tell(new Gateway.Probed(e, random.nextBoolean(), Double.NaN, List.of(1.0, Double.NaN)));
            default -> { }
        }
    }

    private void list(Gateway.Engine e) {
        engines.put(e.id(), e);
        tell(new Gateway.Listed(Gateway.ListKind.DELTA, ++order, List.of(e)));
    }

    private void tell(Gateway.Event event) {
        calls++;
        for (Gateway.Action a : module.decide(now, List.of(event))) {
            if (a instanceof Gateway.Send s) {
                sent(new Out(s.id(), attempts.merge(s.id(), 1, Integer::sum) - 1, s.engine()));
            } else if (a instanceof Gateway.SetTimer t) {
                later(t.delay(), new Gateway.Timer(t.token()));
            } else if (a instanceof Gateway.Cancel c) {
                later(1, end(new Out(c.id(), c.attempt(), 0), Outcome.CANCELLED, 1));
            }
        }
    }

    private void sent(Out o) {
        double took = 10 + random.nextDouble() * 90 * (o.engine() == slow ? 8 : 1);
        if (random.nextInt(12) == 0) {
            later(2, new Gateway.Note(o.id(), o.attempt(), o.engine(), Gateway.NoteKind.WAIT, 2));
            took += 400;
        }
        Outcome outcome = o.engine() == hung ? Outcome.TIMEOUT : switch (random.nextInt(40)) {
            case 0 -> Outcome.ERROR;
            case 1 -> Outcome.FULL;
            case 2 -> Outcome.RESET;
            default -> Outcome.OK;
        };
        later(o.engine() == hung ? 1300 : took, end(o, outcome, took));
    }

    private static Gateway.Ended end(Out o, Outcome outcome, double took) {
        return new Gateway.Ended(o.id(), o.attempt(), o.engine(), outcome, took, outcome == Outcome.OK, Double.NaN,
                Double.NaN, List.of());
    }

    private void later(double delay, Gateway.Event e) {
        due.add(new Due(now + delay, order++, e));
    }

    /** Entries as a file. */
    byte[] file(List<Entry> some) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(Frames.header(codec.schema()));
        some.forEach(e -> out.writeBytes(Frames.frame(codec.write(e))));
        return out.toByteArray();
    }

    /** Plays a file again on a module of its own. */
    static Replay.Result replay(byte[] file, long seedAside) throws IOException {
        EntryCodec codec = new EntryCodec();
        Frames.Reader in = new Frames.Reader(new ByteArrayInputStream(file), codec.schema());
        Replay.ModuleFactory own = new CurrentModuleFactory();
        Replay replay = new Replay(new Replay.ModuleFactory() {
            @Override
            public Gateway create(Entry.Opening o) {
                return new GcMuScheduler(o.settings(), o.seed() + seedAside);
            }

            @Override
            public Gateway restore(Entry.State s) throws IOException {
                return own.restore(s);
            }

            @Override
            public byte[] stateOf(Gateway module) {
                return own.stateOf(module);
            }
        });
        for (byte[] r = in.next(); r != null && replay.play(codec.read(r)); r = in.next()) {
            continue;
        }
        return replay.result();
    }

    /** Prints the digest of a replay of a fixed day, for a comparison between JVMs. */
    public static void main(String[] args) throws IOException {
        World w = new World(Long.parseLong(args[0]));
        System.out.println(replay(w.file(w.play(Integer.parseInt(args[1]))), 0).digest());
    }
}
