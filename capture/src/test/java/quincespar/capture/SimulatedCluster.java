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
import java.util.function.BooleanSupplier;
import quincespar.decision.GcMuScheduler;
import quincespar.decision.Scheduler;
import quincespar.decision.Scheduler.EngineState;
import quincespar.decision.Scheduler.Outcome;
import quincespar.decision.SettingsParser;

/**
 * Simulates engines and clients in virtual time, with the conditions that a decision module meets in production: engines that
 * fail and return cold under the same id, hang, slowEngine down, drain and are replaced; wrong estimates, loads that lock tables,
 * clients that leave, and figures that are NaN or infinite. Deterministic for a seed.
 */
final class SimulatedCluster {
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

    /** The faults of a run: random ones, or one fault between two requests. Each name is that of a resource file too. */
    enum Scenario {
        CHANCE, DIES_AND_RETURNS_COLD, HANGS, SLOWS_DOWN, DRAINS_UNDER_LOADS, CLOCK_STEPS, LIST_COMES_LATE;

        /** The number of requests in a run. */
        static final int REQUESTS = 240;
        private static final int FAULT_STARTS_AT_REQUEST = 80;
        private static final int FAULT_ENDS_AT_REQUEST = 160;
    }

    private record ScheduledEvent(double at, long order, Scheduler.Event event) { }

    private record Attempt(long id, int attempt, long engine) { }

    private final SplittableRandom random;
    private final PriorityQueue<ScheduledEvent> scheduled = new PriorityQueue<>(
            Comparator.comparingDouble(ScheduledEvent::at).thenComparingLong(ScheduledEvent::order));
    private final Map<Long, Integer> attemptCounts = new LinkedHashMap<>();
    private final Map<Long, Scheduler.Engine> engines = new LinkedHashMap<>();
    private final List<Entry> entries = new ArrayList<>();
    private final EntryCodec codec = new EntryCodec();
    private final CapturedScheduler module;
    private double now = 1000;
    private long order;
    private long lastRequest;
    private Scenario scenario = Scenario.CHANCE;
    /** -1 for none. */
    private long hangingEngine = -1;
    /** -1 for none. */
    private long slowEngine = 3;
    private long calls;

    SimulatedCluster(long seed) {
        random = new SplittableRandom(seed);
        entries.add(opening(seed));
        module = new CapturedScheduler(new GcMuScheduler(settings(), seed), entries::add);
    }

    /** Reports the module's calls to {@code listener} instead of collecting entries. */
    SimulatedCluster(long seed, CapturedScheduler.Listener listener) {
        random = new SplittableRandom(seed);
        module = new CapturedScheduler(new GcMuScheduler(settings(), seed), listener, new StateCodec(GcMuScheduler.class)::write);
    }

    /** Runs a scenario; the entries are the same each time. */
    static List<Entry> runScenario(Scenario s) {
        SimulatedCluster cluster = new SimulatedCluster(100 + s.ordinal());
        cluster.scenario = s;
        cluster.slowEngine = -1;
        return cluster.run(Scenario.REQUESTS);
    }

    static Entry.Opening opening(long seed) {
        return new Entry.Opening("w" + seed, 1000, seed, "test", ModuleDigest.of(GcMuScheduler.class), settings());
    }

    static Scheduler.Settings settings() {
        return SettingsParser.parse(SETTINGS);
    }

    /** Sends this many requests, runs until all have ended, and returns the captured entries. */
    List<Entry> run(int requests) {
        for (long e = 1; e <= ENGINES; e++) {
            engines.put(e, new Scheduler.Engine(e, 0, 0, (int) e % 2, EngineState.READY, 1, 0));
        }
        if (scenario != Scenario.LIST_COMES_LATE) {
            deliver(new Scheduler.EngineList(Scheduler.ListKind.CACHED, 1, List.copyOf(engines.values())));
        }
        while (lastRequest < requests || !scheduled.isEmpty()) {
            if (lastRequest < requests && (scheduled.isEmpty() || random.nextInt(3) == 0)) {
                now += random.nextDouble() * 6;
                injectFault();
                int cls = random.nextInt(10) < 7 ? 0 : 1 + random.nextInt(2);
                double work = switch (random.nextInt(20)) {
                    case 0 -> Double.NaN;
                    case 1 -> Double.POSITIVE_INFINITY;
                    case 2 -> -0.0;
                    default -> random.nextDouble() * (cls == 0 ? 80 : 900);
                };
                deliver(new Scheduler.Request(++lastRequest, cls, -1, cls == 0 ? 1300 : 5000, work, random.nextInt(100),
                        random.nextInt(4), 0, random.nextInt(20) == 0, cls == 2));
            } else {
                ScheduledEvent next = scheduled.poll();
                now = Math.max(now, next.at());
                deliver(next.event());
            }
        }
        return entries;
    }

    /** Delivers timers only, one a millisecond, while the condition holds. */
    void runTimers(BooleanSupplier condition) {
        while (condition.getAsBoolean()) {
            now += 1;
            deliver(new Scheduler.TimerFired(1));
        }
    }

    /** The number of calls of the module so far. */
    long calls() {
        return calls;
    }

    private void injectScenarioFault() {
        boolean starts = lastRequest == Scenario.FAULT_STARTS_AT_REQUEST;
        boolean ends = lastRequest == Scenario.FAULT_ENDS_AT_REQUEST;
        Scheduler.Engine second = engines.get(2L);
        if (starts && scenario == Scenario.LIST_COMES_LATE) {
            deliver(new Scheduler.EngineList(Scheduler.ListKind.FULL, 1, List.copyOf(engines.values())));
        } else if (scenario == Scenario.DIES_AND_RETURNS_COLD && (starts || ends)) {
            hangingEngine = starts ? 2 : -1;
            announce(new Scheduler.Engine(2, 0, 0, second.cell(), starts ? EngineState.GONE : EngineState.READY, 1,
                    starts ? 0 : now));
        } else if (scenario == Scenario.HANGS && (starts || ends)) {
            hangingEngine = starts ? 2 : -1;
        } else if (scenario == Scenario.SLOWS_DOWN && (starts || ends)) {
            slowEngine = starts ? 2 : -1;
        } else if (scenario == Scenario.DRAINS_UNDER_LOADS && (starts || ends)) {
            announce(new Scheduler.Engine(2, 0, 0, second.cell(), starts ? EngineState.DRAINING : EngineState.GONE, 1, 0));
        } else if (scenario == Scenario.CLOCK_STEPS && starts) {
            now += 30_000;
        }
    }

    private void injectFault() {
        if (scenario != Scenario.CHANCE) {
            injectScenarioFault();
            return;
        }
        long e = 1 + random.nextInt(ENGINES);
        Scheduler.Engine old = engines.get(e);
        switch (random.nextInt(400)) {
            case 0 -> announce(new Scheduler.Engine(e, 0, 0, old.cell(), EngineState.READY, 1, now)); // restarted, and cold
            case 1 -> announce(new Scheduler.Engine(e, 0, 0, old.cell(), EngineState.DRAINING, 1, old.startedAt()));
            case 2 -> announce(new Scheduler.Engine(e, 0, 0, old.cell(), EngineState.READY, 1, old.startedAt()));
            case 3 -> hangingEngine = e;
            case 4 -> hangingEngine = -1;
            case 5 -> deliver(new Scheduler.ClientLeft(1 + random.nextLong(Math.max(1, lastRequest))));
            case 6 -> deliver(new Scheduler.ProbeResult(e, random.nextBoolean(), Double.NaN, List.of(1.0, Double.NaN)));
            default -> { }
        }
    }

    private void announce(Scheduler.Engine e) {
        engines.put(e.id(), e);
        deliver(new Scheduler.EngineList(Scheduler.ListKind.DELTA, ++order, List.of(e)));
    }

    private void deliver(Scheduler.Event event) {
        calls++;
        for (Scheduler.Action a : module.decide(now, List.of(event))) {
            if (a instanceof Scheduler.SendAttempt s) {
                startAttempt(new Attempt(s.id(), attemptCounts.merge(s.id(), 1, Integer::sum) - 1, s.engine()));
            } else if (a instanceof Scheduler.SetTimer t) {
                schedule(t.delay(), new Scheduler.TimerFired(t.token()));
            } else if (a instanceof Scheduler.CancelAttempt c) {
                schedule(1, end(new Attempt(c.id(), c.attempt(), 0), Outcome.CANCELLED, 1));
            }
        }
    }

    private void startAttempt(Attempt attempt) {
        double latency = 10 + random.nextDouble() * 90 * (attempt.engine() == slowEngine ? 8 : 1);
        if (random.nextInt(12) == 0) {
            schedule(2, new Scheduler.AttemptNote(attempt.id(), attempt.attempt(), attempt.engine(), Scheduler.NoteKind.WAIT, 2));
            latency += 400;
        }
        Outcome outcome = attempt.engine() == hangingEngine ? Outcome.TIMEOUT : switch (random.nextInt(40)) {
            case 0 -> Outcome.ERROR;
            case 1 -> Outcome.FULL;
            case 2 -> Outcome.RESET;
            default -> Outcome.OK;
        };
        schedule(attempt.engine() == hangingEngine ? 1300 : latency, end(attempt, outcome, latency));
    }

    private static Scheduler.AttemptEnded end(Attempt attempt, Outcome outcome, double latency) {
        return new Scheduler.AttemptEnded(attempt.id(), attempt.attempt(), attempt.engine(), outcome, latency,
                outcome == Outcome.OK, Double.NaN, Double.NaN, List.of());
    }

    private void schedule(double delay, Scheduler.Event e) {
        scheduled.add(new ScheduledEvent(now + delay, order++, e));
    }

    /** The bytes of a capture file with these entries. */
    byte[] captureFile(List<Entry> some) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(Frames.header(codec.schema()));
        some.forEach(e -> out.writeBytes(Frames.frame(codec.write(e))));
        return out.toByteArray();
    }

    /** Replays a file; {@code seedOffset} is added to the captured seed. */
    static Replay.Result replay(byte[] file, long seedOffset) throws IOException {
        EntryCodec codec = new EntryCodec();
        Frames.Reader in = new Frames.Reader(new ByteArrayInputStream(file), codec.schema());
        Replay.ModuleFactory factory = new CurrentModuleFactory();
        Replay replay = new Replay(new Replay.ModuleFactory() {
            @Override
            public Scheduler create(Entry.Opening o) {
                return new GcMuScheduler(o.settings(), o.seed() + seedOffset);
            }

            @Override
            public Scheduler restore(Entry.State s) throws IOException {
                return factory.restore(s);
            }

            @Override
            public byte[] stateOf(Scheduler module) {
                return factory.stateOf(module);
            }
        });
        for (byte[] r = in.next(); r != null && replay.play(codec.read(r)); r = in.next()) {
            continue;
        }
        return replay.result();
    }

    /** Prints the digest of the replay of a run, for a comparison between JVMs; arguments: seed and number of requests. */
    public static void main(String[] args) throws IOException {
        SimulatedCluster cluster = new SimulatedCluster(Long.parseLong(args[0]));
        System.out.println(replay(cluster.captureFile(cluster.run(Integer.parseInt(args[1]))), 0).digest());
    }
}
