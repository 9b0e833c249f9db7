package quincespar.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import quincespar.decision.Scheduler.Action;
import quincespar.decision.Scheduler.CancelAttempt;
import quincespar.decision.Scheduler.AttemptEnded;
import quincespar.decision.Scheduler.Engine;
import quincespar.decision.Scheduler.EngineState;
import quincespar.decision.Scheduler.Event;
import quincespar.decision.Scheduler.FailRequest;
import quincespar.decision.Scheduler.ListKind;
import quincespar.decision.Scheduler.EngineList;
import quincespar.decision.Scheduler.Outcome;
import quincespar.decision.Scheduler.RefuseRequest;
import quincespar.decision.Scheduler.Request;
import quincespar.decision.Scheduler.SendAttempt;
import quincespar.decision.Scheduler.TimerFired;

/**
 * Routers that know nothing of each other before engines of eight cores, in virtual time. It holds every send to the rules
 * over the fleet: none to an engine told to drain, no load twice, no two at once, no cold engine pushed over, no probe;
 * and every request to one final answer.
 */
final class FleetWorld {
    private static final int STEP = 20, LOAD = 2;
    private static final double[] WORK = {100, 900, 1500};
    private static final double[] PATIENCE = {4000, 12000, 20000};
    private static final double FALLS = new Rig().falls();

    final int routers, engines;
    /** How likely each router is asked in a step of 20 ms. */
    final double share;

    FleetWorld(int routers, int engines, double share) {
        this.routers = routers;
        this.engines = engines;
        this.share = share;
    }

    record Flight(long id, int cls, int number, long engine, double at, double due) { }

    /** One router, and what is owed to its clients. */
    static final class Front {
        final Rig rig = new Rig();
        final Map<Long, Flight> out = new TreeMap<>();
        final Map<Long, Request> open = new TreeMap<>();
        final Map<Long, Integer> sends = new HashMap<>();
        final Map<Long, Double> until = new HashMap<>();
        final Map<Long, EngineState> told = new HashMap<>();
        final List<Event> next = new ArrayList<>();
    }

    final List<Front> fronts = new ArrayList<>();
    final Map<Long, Boolean> answers = new TreeMap<>();
    final Map<Long, Engine> listed = new TreeMap<>();
    final Map<Long, Double> startedAt = new HashMap<>();
    final Map<Long, List<double[]>> sentCold = new HashMap<>();
    final Random random = new Random(5);
    double now = 1000;
    long ids, served, turnedAway, failed, lost, toColdLong;

    /** All front ends know all engines, which have been up for long. */
    void begin() {
        Rig.readyFrom(1, engines).forEach(e -> {
            answers.put(e.id(), true);
            listed.put(e.id(), e);
        });
        for (int me = 0; me < routers; me++) {
            fronts.add(front(me));
        }
    }

    /** A front end from nothing but the list as it stands. */
    Front front(int me) {
        Front f = new Front();
        f.rig.routers = routers;
        f.rig.me = me;
        f.rig.now = now;
        f.rig.classes.add(Rig.safe("light", 1000, 1));
        f.rig.classes.add(Rig.safe("long", 3000, 7));
        f.rig.classes.add(Rig.spec("load", 5000, 10, Scheduler.Idempotency.UNSAFE, Scheduler.DeduplicationScope.ALL, false, null, null));
        f.rig.start(listed.values().toArray(new Engine[0]));
        listed.values().forEach(e -> f.told.put(e.id(), e.state()));
        return f;
    }

    /** A front end is killed and starts anew: what it had open goes with it, at the engines too. */
    void restart(int me) {
        lost += fronts.get(me).open.size();
        fronts.set(me, front(me));
    }

    void list(long engine, EngineState state, double started) {
        fronts.forEach(f -> tell(f, engine, state, started));
    }

    /** Tells one front end alone, as where lists come late at some. */
    void tell(Front f, long engine, EngineState state, double started) {
        startedAt.merge(engine, started, Math::max);
        listed.put(engine, Rig.engine(engine, 0, 0, state, started));
        f.next.add(new EngineList(ListKind.DELTA, 2, List.of(listed.get(engine))));
        f.told.put(engine, state);
        if (state == EngineState.GONE) {
            f.out.values().stream().filter(a -> a.engine() == engine).toList().forEach(a -> end(f, a, Outcome.RESET));
        }
    }

    void end(Front f, Flight a, Outcome outcome) {
        f.out.remove(a.id());
        boolean over = outcome == Outcome.OK || now >= f.until.get(a.id());
        boolean ok = outcome == Outcome.OK;
        f.next.add(new AttemptEnded(a.id(), a.number(), a.engine(), outcome, now - a.at(), over, ok ? WORK[a.cls()] : Double.NaN,
                Double.NaN, List.of()));
        if (over) {
            assertTrue(f.open.remove(a.id()) != null, "a second final answer to " + a.id());
            served += ok ? 1 : 0;
            failed += ok ? 0 : 1;
        }
    }

    void step(boolean asking) {
        now += STEP;
        for (Front f : fronts) {
            f.out.values().stream().filter(a -> answers.get(a.engine()) && now >= a.due()).toList()
                    .forEach(a -> end(f, a, Outcome.OK));
            f.out.values().stream().filter(a -> now >= f.until.get(a.id())).toList()
                    .forEach(a -> end(f, a, Outcome.TIMEOUT));
            if (asking && random.nextDouble() < share) {
                double draw = random.nextDouble();
                int cls = draw < 0.78 ? 0 : draw < 0.94 ? 1 : LOAD;
                Request r = new Request(++ids, cls, 0, PATIENCE[cls], WORK[cls], 0, 0, 0, false, false);
                f.open.put(r.id(), r);
                f.until.put(r.id(), now + PATIENCE[cls]);
                f.next.add(r);
            }
            f.next.add(new TimerFired(1));
            List<Event> events = List.copyOf(f.next);
            f.next.clear();
            f.rig.now = now;
            f.rig.tell(events.toArray(new Event[0])).forEach(a -> act(f, a));
        }
    }

    void act(Front f, Action action) {
        if (action instanceof SendAttempt s) {
            Request r = f.open.get(s.id());
            assertTrue(r != null, "sent after its answer: " + s);
            assertEquals(EngineState.READY, f.told.get(s.engine()), "sent to an engine that was told to drain or be gone");
            assertTrue(!f.out.containsKey(s.id()), "two attempts out at once");
            int number = f.sends.merge(s.id(), 1, Integer::sum) - 1;
            assertTrue(r.requestClass() != LOAD || number == 0, "a load sent twice, though it may have run");
            f.out.put(s.id(), new Flight(s.id(), r.requestClass(), number, s.engine(), now,
                    now + WORK[r.requestClass()] * (0.8 + 0.4 * random.nextDouble())));
            cold(s.engine(), r.requestClass());
        } else if (action instanceof CancelAttempt c && f.out.containsKey(c.id())) {
            end(f, f.out.get(c.id()), Outcome.CANCELLED);
        } else if (action instanceof RefuseRequest r) {
            Request asked = f.open.remove(r.id());
            assertTrue(asked != null, "a second final answer to " + r.id());
            assertTrue(asked.requestClass() != LOAD || !f.sends.containsKey(r.id()), "a load refused that may have run");
            turnedAway++;
        } else if (action instanceof Scheduler.ProbeEngine) {
            throw new AssertionError("a probe: reports come with answers, and probes are priced over the fleet");
        } else if (action instanceof FailRequest x) {
            assertTrue(f.open.remove(x.id()) != null, "a second final answer to " + x.id());
            failed++;
        }
    }

    void cold(long engine, int cls) {
        double since = now - startedAt.getOrDefault(engine, 0.0);
        if (startedAt.getOrDefault(engine, 0.0) <= 0 || since > 10_000) {
            return;
        }
        List<double[]> sent = sentCold.computeIfAbsent(engine, e -> new ArrayList<>());
        sent.add(new double[] {now, WORK[cls]});
        double sum = sent.stream().filter(s -> s[0] > now - 1000).mapToDouble(s -> s[1]).sum();
        assertTrue(sum <= FALLS, "a cold engine was sent " + sum + " in a second, " + FALLS + " make it fall");
        toColdLong += cls > 0 ? 1 : 0;
    }

    void run(double seconds, boolean asking) {
        for (double until = now + 1000 * seconds; now < until; ) {
            step(asking);
        }
    }

    /** All is answered, each once, and at least such a part of all was served. */
    void finish(double least) {
        run(21, false);
        fronts.forEach(f -> assertTrue(f.open.isEmpty(), "with no final answer: " + f.open.keySet()));
        assertEquals(ids, served + turnedAway + failed + lost, "each request has one final answer");
        assertTrue(served > least * ids, served + " of " + ids + " served");
    }
}
