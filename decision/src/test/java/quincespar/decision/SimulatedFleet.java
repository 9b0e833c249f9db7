package quincespar.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static quincespar.decision.RouterHarness.classSpec;
import static quincespar.decision.RouterHarness.engine;
import static quincespar.decision.RouterHarness.readyEngines;
import static quincespar.decision.RouterHarness.safeClass;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import quincespar.decision.Scheduler.Action;
import quincespar.decision.Scheduler.AttemptEnded;
import quincespar.decision.Scheduler.CancelAttempt;
import quincespar.decision.Scheduler.DeduplicationScope;
import quincespar.decision.Scheduler.Engine;
import quincespar.decision.Scheduler.EngineList;
import quincespar.decision.Scheduler.EngineState;
import quincespar.decision.Scheduler.Event;
import quincespar.decision.Scheduler.FailRequest;
import quincespar.decision.Scheduler.Idempotency;
import quincespar.decision.Scheduler.ListKind;
import quincespar.decision.Scheduler.Outcome;
import quincespar.decision.Scheduler.ProbeEngine;
import quincespar.decision.Scheduler.RefuseRequest;
import quincespar.decision.Scheduler.Request;
import quincespar.decision.Scheduler.SendAttempt;
import quincespar.decision.Scheduler.TimerFired;

/**
 * A fleet of routers without messages between them, and engines of eight cores, in virtual time. Checks each
 * action against the rules over the whole fleet: no send to an engine listed as draining, no load sent twice,
 * no two attempts at once, no cold engine overloaded, no probe, and one final answer to each request.
 */
final class SimulatedFleet {
    private static final int STEP_MS = 20;
    /** Number of the class of loads. */
    private static final int LOAD = 2;
    /** Work by class, in ms. */
    private static final double[] WORK = {100, 900, 1500};
    private static final double[] CLIENT_TIMEOUT_MS = {4000, 12000, 20000};
    private static final double COLD_OVERLOAD_WORK = new RouterHarness().coldOverloadWork();

    final int routers;
    final int engines;
    /** Probability that a router gets a request in a step of 20 ms. */
    final double requestProbability;

    SimulatedFleet(int routers, int engines, double share) {
        this.routers = routers;
        this.engines = engines;
        this.requestProbability = share;
    }

    record RunningAttempt(long id, int cls, int number, long engine, double at, double due) { }

    /** One router, with its open requests and running attempts. */
    static final class Router {
        final RouterHarness harness = new RouterHarness();
        final Map<Long, RunningAttempt> running = new TreeMap<>();
        final Map<Long, Request> open = new TreeMap<>();
        final Map<Long, Integer> sends = new HashMap<>();
        final Map<Long, Double> deadlines = new HashMap<>();
        final Map<Long, EngineState> listedStates = new HashMap<>();
        final List<Event> nextEvents = new ArrayList<>();
    }

    final List<Router> routerList = new ArrayList<>();
    final Map<Long, Boolean> answers = new TreeMap<>();
    final Map<Long, Engine> listed = new TreeMap<>();
    final Map<Long, Double> startedAt = new HashMap<>();
    final Map<Long, List<double[]>> sentCold = new HashMap<>();
    final Random random = new Random(5);
    double now = 1000;
    long lastId;
    long served;
    long refused;
    long failed;
    /** Requests open at routers that were killed. */
    long lost;
    long longQueriesToCold;

    /** Starts routers that all know all engines, none of them cold. */
    void start() {
        readyEngines(1, engines).forEach(e -> {
            answers.put(e.id(), true);
            listed.put(e.id(), e);
        });
        for (int me = 0; me < routers; me++) {
            routerList.add(newRouter(me));
        }
    }

    /** A router that knows nothing but the current list of engines. */
    Router newRouter(int me) {
        Router router = new Router();
        router.harness.routers = routers;
        router.harness.routerIndex = me;
        router.harness.now = now;
        router.harness.classes.add(safeClass("light", 1000, 1));
        router.harness.classes.add(safeClass("long", 3000, 7));
        router.harness.classes.add(classSpec("load", 5000, 10, Idempotency.UNSAFE, DeduplicationScope.ALL,
                false, null, null));
        router.harness.start(listed.values().toArray(new Engine[0]));
        listed.values().forEach(e -> router.listedStates.put(e.id(), e.state()));
        return router;
    }

    /** Kills and restarts a router: its open requests are lost, and their attempts end. */
    void restart(int me) {
        lost += routerList.get(me).open.size();
        routerList.set(me, newRouter(me));
    }

    void list(long engine, EngineState state, double started) {
        routerList.forEach(router -> listAt(router, engine, state, started));
    }

    /** Lists an engine at one router only, as lists may arrive late at others. */
    void listAt(Router router, long engine, EngineState state, double started) {
        startedAt.merge(engine, started, Math::max);
        listed.put(engine, engine(engine, 0, 0, state, started));
        router.nextEvents.add(new EngineList(ListKind.DELTA, 2, List.of(listed.get(engine))));
        router.listedStates.put(engine, state);
        if (state == EngineState.GONE) {
            router.running.values().stream().filter(a -> a.engine() == engine).toList()
                    .forEach(a -> end(router, a, Outcome.RESET));
        }
    }

    void end(Router router, RunningAttempt a, Outcome outcome) {
        router.running.remove(a.id());
        boolean over = outcome == Outcome.OK || now >= router.deadlines.get(a.id());
        boolean ok = outcome == Outcome.OK;
        router.nextEvents.add(new AttemptEnded(a.id(), a.number(), a.engine(), outcome, now - a.at(), over, ok
                ? WORK[a.cls()] : Double.NaN,
                Double.NaN, List.of()));
        if (over) {
            assertTrue(router.open.remove(a.id()) != null, "a second final answer to " + a.id());
            served += ok ? 1 : 0;
            failed += ok ? 0 : 1;
        }
    }

    void step(boolean asking) {
        now += STEP_MS;
        for (Router router : routerList) {
            router.running.values().stream().filter(a -> answers.get(a.engine()) && now >= a.due()).toList()
                    .forEach(a -> end(router, a, Outcome.OK));
            router.running.values().stream().filter(a -> now >= router.deadlines.get(a.id())).toList()
                    .forEach(a -> end(router, a, Outcome.TIMEOUT));
            if (asking && random.nextDouble() < requestProbability) {
                double draw = random.nextDouble();
                int cls = draw < 0.78 ? 0 : draw < 0.94 ? 1 : LOAD;
                Request r = new Request(++lastId, cls, 0, CLIENT_TIMEOUT_MS[cls], WORK[cls], 0, 0, 0, false,
                        false);
                router.open.put(r.id(), r);
                router.deadlines.put(r.id(), now + CLIENT_TIMEOUT_MS[cls]);
                router.nextEvents.add(r);
            }
            router.nextEvents.add(new TimerFired(1));
            List<Event> events = List.copyOf(router.nextEvents);
            router.nextEvents.clear();
            router.harness.now = now;
            router.harness.decide(events.toArray(new Event[0])).forEach(a -> perform(router, a));
        }
    }

    void perform(Router router, Action action) {
        if (action instanceof SendAttempt s) {
            Request r = router.open.get(s.id());
            assertTrue(r != null, "sent after its answer: " + s);
            assertEquals(EngineState.READY, router.listedStates.get(s.engine()),
                    "sent to an engine that is listed as draining or gone");
            assertTrue(!router.running.containsKey(s.id()), "two attempts at once");
            int number = router.sends.merge(s.id(), 1, Integer::sum) - 1;
            assertTrue(r.requestClass() != LOAD || number == 0, "a load sent twice, though it may have run");
            router.running.put(s.id(), new RunningAttempt(s.id(), r.requestClass(), number, s.engine(), now,
                    now + WORK[r.requestClass()] * (0.8 + 0.4 * random.nextDouble())));
            checkColdAllowance(s.engine(), r.requestClass());
        } else if (action instanceof CancelAttempt c && router.running.containsKey(c.id())) {
            end(router, router.running.get(c.id()), Outcome.CANCELLED);
        } else if (action instanceof RefuseRequest r) {
            Request asked = router.open.remove(r.id());
            assertTrue(asked != null, "a second final answer to " + r.id());
            assertTrue(asked.requestClass() != LOAD || !router.sends.containsKey(r.id()),
                    "a load refused that may have run");
            refused++;
        } else if (action instanceof ProbeEngine) {
            throw new AssertionError("a probe: reports come with answers, and probes add up over the fleet");
        } else if (action instanceof FailRequest x) {
            assertTrue(router.open.remove(x.id()) != null, "a second final answer to " + x.id());
            failed++;
        }
    }

    void checkColdAllowance(long engine, int cls) {
        double since = now - startedAt.getOrDefault(engine, 0.0);
        if (startedAt.getOrDefault(engine, 0.0) <= 0 || since > 10_000) {
            return;
        }
        List<double[]> sent = sentCold.computeIfAbsent(engine, e -> new ArrayList<>());
        sent.add(new double[] {now, WORK[cls]});
        double sum = sent.stream().filter(s -> s[0] > now - 1000).mapToDouble(s -> s[1]).sum();
        assertTrue(sum <= COLD_OVERLOAD_WORK,
                "a cold engine was sent " + sum + " in a second, " + COLD_OVERLOAD_WORK + " overload it");
        longQueriesToCold += cls > 0 ? 1 : 0;
    }

    void run(double seconds, boolean asking) {
        for (double until = now + 1000 * seconds; now < until; ) {
            step(asking);
        }
    }

    /** Checks that each request has one final answer, and that at least this share of them was served. */
    void finishAndCheck(double least) {
        run(21, false);
        routerList.forEach(router -> assertTrue(router.open.isEmpty(),
                "with no final answer: " + router.open.keySet()));
        assertEquals(lastId, served + refused + failed + lost, "each request has one final answer");
        assertTrue(served > least * lastId, served + " of " + lastId + " served");
    }
}
