package quincespar.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static quincespar.decision.RouterHarness.attemptEnded;
import static quincespar.decision.RouterHarness.engine;
import static quincespar.decision.RouterHarness.ready;
import static quincespar.decision.RouterHarness.readyEngines;
import static quincespar.decision.RouterHarness.request;
import static quincespar.decision.RouterHarness.safeClass;
import static quincespar.decision.RouterHarness.sends;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import quincespar.decision.Scheduler.AttemptEnded;
import quincespar.decision.Scheduler.ClassSpec;
import quincespar.decision.Scheduler.DeduplicationScope;
import quincespar.decision.Scheduler.Engine;
import quincespar.decision.Scheduler.EngineList;
import quincespar.decision.Scheduler.EngineState;
import quincespar.decision.Scheduler.Idempotency;
import quincespar.decision.Scheduler.ListKind;
import quincespar.decision.Scheduler.Outcome;
import quincespar.decision.Scheduler.Request;
import quincespar.decision.Scheduler.SendAttempt;
import quincespar.decision.Scheduler.TimerFired;

/** Routers whose part of an engine is a fraction of a thread, under a limit shared by all engines. */
class ManyRoutersTest {
    private static RouterHarness router(int routers, int me, int engines) {
        RouterHarness r = new RouterHarness();
        r.routers = routers;
        r.routerIndex = me;
        r.classes.add(safeClass("light", 1000, 1));
        return r.start(readyEngines(10, engines).toArray(new Engine[0]));
    }

    /**
     * Room for one query at each idle engine of each router would overload the engines: the parts are pooled.
     */
    @Test
    void partsBelowOneThreadArePooledInTheSharedLimit() {
        RouterHarness r = router(200, 0, 50);
        int sent = 0;
        for (int i = 0; i < 30; i++) {
            sent += sends(r.decide(request(i, 0))).size();
        }
        assertTrue(sent >= 1 && sent <= 3, "two threads and one widest query, not one at each engine: " + sent);
    }

    /** Among equal engines, routers without any knowledge must not all choose the same ones. */
    @Test
    void routersSpreadOverEnginesByTheirIndex() {
        Map<Long, Integer> first = new TreeMap<>();
        for (int me = 0; me < 40; me++) {
            for (SendAttempt s : sends(router(40, me, 10).decide(request(1, 0)))) {
                first.merge(s.engine(), 1, Integer::sum);
            }
        }
        assertEquals(40, first.values().stream().mapToInt(n -> n).sum());
        assertTrue(first.size() >= 8 && first.values().stream().allMatch(n -> n <= 15), first.toString());
    }

    /** An engine's report outweighs the few answers that one router has seen. */
    @Test
    void anEngineThatReportsAHighLoadIsAvoided() {
        RouterHarness r = new RouterHarness();
        r.routers = 100;
        r.reportFields = List.of("outstanding");
        r.classes.add(safeClass("light", 1000, 1));
        r.start(ready(10), ready(11));
        List<Long> went = new ArrayList<>();
        for (int i = 0; i < 12; i++) { // the first engine reports to be idle at first and full later
            SendAttempt s = sends(r.decideAfter(1, request(i, 0))).get(0);
            went.add(s.engine());
            r.decideAfter(50, new AttemptEnded(i, 0, s.engine(), Outcome.OK, 50, true, 50, Double.NaN,
                    List.of(i > 0 && s.engine() == went.get(0) ? 40.0 : 0.0)));
        }
        assertEquals(List.of(21 - went.get(0)), went.subList(6, 12).stream().distinct().toList(), went.toString());
    }

    /** Reports that are missing, too short, negative or not finite have no effect. */
    @Test
    void invalidReportsAreIgnored() {
        for (List<Double> bad : List.of(List.<Double>of(), List.of(Double.NaN), List.of(-3.0),
                List.of(Double.POSITIVE_INFINITY, 1.0, 2.0))) {
            RouterHarness r = new RouterHarness();
            r.routers = 100;
            r.reportFields = List.of("outstanding", "utilization");
            r.classes.add(safeClass("light", 1000, 1));
            r.start(ready(10));
            r.decide(request(1, 0));
            r.decideAfter(50, new AttemptEnded(1, 0, 10, Outcome.OK, 50, true, 50, Double.NaN, bad));
            assertEquals(1, sends(r.decideAfter(1, request(2, 0))).size());
        }
    }

    private static Request query(long id, int cls, double work, double tables) {
        return new Request(id, cls, 0, 4000, work, 0, tables, 0, false, false);
    }

    /**
     * Long queries fill a router's few threads for seconds: shorter queries of higher reward per time must
     * not wait for them.
     */
    @Test
    void longQueriesDoNotKeepShortOnesWaiting() {
        RouterHarness r = new RouterHarness();
        r.routers = 100;
        r.classes.add(safeClass("light", 500, 1));
        r.classes.add(longClass("long", 3));
        List<Engine> list = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            list.add(ready(10 + i));
        }
        r.start(list.toArray(new Engine[0]));
        int sent = 0;
        for (int i = 0; i < 6; i++) {
            sent += sends(r.decide(query(i, 1, 6000, 0))).size();
        }
        assertTrue(sent > 0 && sent < 6, "long ones fill the limit: " + sent);
        for (int i = 0; i < 3; i++) {
            assertEquals(1, sends(r.decide(query(50 + i, 0, 100, 0))).size(), "short one " + i);
        }
    }

    private static ClassSpec longClass(String name, int threads) {
        return new ClassSpec(name, 3000, 0, 12000, 1, 0.5, Idempotency.SAFE, DeduplicationScope.ALL, 0, false,
                false, threads, false,
                false, null, null);
    }

    private static RouterHarness oneOfFourteen(int me, int engines) {
        return oneOfFourteen(new RouterHarness(), me, engines);
    }

    private static RouterHarness oneOfFourteen(RouterHarness r, int me, int engines) {
        r.routers = 14;
        r.routerIndex = me;
        r.classes.add(safeClass("light", 500, 1));
        r.classes.add(new ClassSpec("long", 2000, 0, 12000, 1, 0.5, Idempotency.SAFE, DeduplicationScope.ALL,
                0, false, false, 2, false,
                false, null, null));
        r.classes.add(longClass("longer", 2));
        return r.start(readyEngines(10, engines).toArray(new Engine[0]));
    }

    private static int fill(RouterHarness r, int from, int cls, double work) {
        int sent = 0;
        for (int i = 0; i < 200; i++) {
            sent += sends(r.decide(query(from + i, cls, work, 0))).size();
        }
        return sent;
    }

    /**
     * An even part of a cold engine's allowance is less than a long query: without hosts, long queries would
     * find no cold engine. What all routers send in a window stays within the allowance.
     */
    @Test
    void longQueriesFindRoomAtColdEnginesWithinTheAllowance() {
        double[][] sent = new double[20][3];
        for (int me = 0; me < 14; me++) {
            RouterHarness r = oneOfFourteen(me, 0);
            for (int e = 0; e < 20; e++) {
                r.decide(new EngineList(ListKind.DELTA, 2 + e,
                        List.of(engine(50 + e, 0, 0, EngineState.READY, r.now))));
            }
            for (int span = 0; span < 3; span++) {
                for (int cls = 0; cls < 3; cls++) {
                    double work = cls == 0 ? 100 : 1000 + 400 * cls;
                    for (int i = 0; i < 30; i++) {
                        for (SendAttempt s : sends(r.decide(query(1000 * span + 100 * cls + i, cls, work, 0)))) {
                            sent[(int) s.engine() - 50][span] += work;
                        }
                    }
                }
                r.decideAfter(1000, new TimerFired(1));
            }
        }
        double overloadWork = new RouterHarness().coldOverloadWork();
        double all = 0;
        for (double[] spans : sent) {
            for (double work : spans) {
                assertTrue(work <= overloadWork, "sent " + work + " where " + overloadWork + " overload it");
                all += work;
            }
        }
        assertTrue(all > 20 * 1000, "cold engines get work: " + all);
    }

    /**
     * The shared limit shrinks with the engines that drain: their part must not be sent to the others on top.
     */
    @Test
    void theSharedLimitFollowsTheWorkingCores() {
        int[] room = new int[3];
        for (int left = 0; left < 3; left++) {
            RouterHarness r = oneOfFourteen(0, 60);
            for (int e = 0; e < 20 * left; e++) {
                r.decide(new EngineList(ListKind.DELTA, 2 + e,
                        List.of(engine(10 + e, 0, 0, EngineState.DRAINING, 0))));
            }
            room[left] = fill(r, 1, 1, 2000);
        }
        assertTrue(room[0] > 20, "room for " + room[0]);
        assertEquals(room[0] * 2 / 3.0, room[1], 2);
        assertEquals(room[0] / 3.0, room[2], 2);
    }

    /** Under a broad shared limit, a class of lower γμ is not overtaken by all that arrives later. */
    @Test
    void aBroadSharedLimitCountsThreadsOfAllClassesAlike() {
        RouterHarness r = oneOfFourteen(0, 60);
        assertTrue(fill(r, 1, 2, 6000) > 20, "long ones fill it");
        assertEquals(0, fill(r, 1000, 1, 2000), "long ones of higher γμ wait too");
        assertTrue(fill(r, 2000, 0, 100) > 0, "the class of the highest γμ is still sent");
    }

    /**
     * Queries stuck at full engines fill the shared limit: an engine that reports to be idle must get work
     * all the same. One that holds two queries per core and does little work is out of memory, not idle.
     */
    @Test
    void anEngineThatReportsToBeIdleHasRoomThoughTheSharedLimitIsFull() {
        double[][] reports = {{1, 0.1}, {20, 1}, {16, 0.1}};
        for (double[] report : reports) {
            RouterHarness r = new RouterHarness();
            r.reportFields = List.of("outstanding", "utilization");
            oneOfFourteen(r, 0, 60);
            SendAttempt one = sends(r.decide(query(1, 2, 6000, 0))).get(0);
            fill(r, 1000, 2, 6000);
            assertEquals(0, sends(r.decide(query(2000, 1, 2000, 0))).size(), "the limit is reached");
            AttemptEnded end = new AttemptEnded(1, 0, one.engine(), Outcome.OK, 3000, true, 6000, Double.NaN,
                    List.of(report[0], report[1]));
            List<SendAttempt> sends = sends(r.decideAfter(10, end, query(2001, 1, 2000, 0),
                    query(2002, 1, 2000, 0)));
            long there = sends.stream().filter(s -> s.engine() == one.engine()).count();
            assertTrue(report[0] == 1 ? there > 1 : sends.size() <= 1, report[0] + " held: " + sends);
        }
    }

    /** An engine that reports to be full gets nothing more while a query of this router runs there. */
    @Test
    void anEngineThatReportsToBeFullHasNoRoomThoughTheSharedLimitHas() {
        for (double held : new double[] {1, 40}) {
            RouterHarness r = new RouterHarness();
            r.reportFields = List.of("outstanding", "utilization");
            r.routers = 5;
            r.classes.add(safeClass("light", 1000, 1));
            r.classes.add(longClass("long", 2));
            r.start(readyEngines(10, 12).toArray(new Engine[0]));
            Map<Long, List<Long>> at = new TreeMap<>();
            for (int i = 1; i <= 120; i++) {
                sends(r.decide(query(i, 0, 100, 0))).forEach(s -> at.computeIfAbsent(s.engine(),
                        e -> new ArrayList<>()).add(s.id()));
            }
            for (long e = 10; e < 22; e++) { // engines with fewer than two queries of this router drain
                if (at.getOrDefault(e, List.of()).size() < 2) {
                    at.remove(e);
                    r.decide(new EngineList(ListKind.DELTA, e,
                            List.of(engine(e, 0, 0, EngineState.DRAINING, 0))));
                }
            }
            assertTrue(at.size() > 8, "two or more on most: " + at);
            r.now += 5000; // the held queries have been given up
            r.decide(new TimerFired(1));
            at.forEach((e, l) -> r.decide(new AttemptEnded(l.get(0), 0, e, Outcome.OK, 100, true, 100, Double.NaN,
                    List.of(held, held == 1 ? 0.1 : 1.0))));
            int more = 0;
            for (int i = 200; i < 230; i++) {
                more += sends(r.decide(query(i, 0, 100, 0))).size();
            }
            assertTrue(held == 1 ? more > 0 : more == 0, more + " sent to engines that report " + held);
        }
    }

    /**
     * However slow answers become, a router keeps its part of one thread per core, which overloads no engine.
     */
    @Test
    void theSharedLimitIsNotCutBelowTheRoutersPartOfTheCores() {
        RouterHarness r = router(20, 0, 10); // ten engines of eight cores: a part of four threads
        long id = 1;
        for (int i = 0; i < 200; i++) {
            for (SendAttempt s : sends(r.decide(request(id++, 0)))) {
                double took = i < 40 ? 100 : 900;
                for (double t = 0; t < took - 20; t += 20) {
                    r.decideAfter(20, new TimerFired(1));
                }
                r.decideAfter(20, attemptEnded(s.id(), 0, s.engine(), Outcome.OK, took));
            }
        }
        int room = 0;
        while (!sends(r.decide(request(id++, 0))).isEmpty()) {
            room++;
        }
        assertTrue(room >= 4, "room for " + room);
    }

    /** Engines cache the tables read last: all routers prefer the same engines for a group of tables. */
    @Test
    void queriesOfOneTableGroupGoToTheSameEnginesAtAllRouters() {
        int together = 0;
        for (int tables = 1; tables <= 30; tables++) {
            Map<Long, Integer> at = new TreeMap<>();
            for (int me = 0; me < 10; me++) {
                SendAttempt s = sends(router(10, me, 8).decide(query(1, 0, 100, tables))).get(0);
                at.merge(s.engine(), 1, Integer::sum);
            }
            together += at.values().stream().mapToInt(n -> n).max().orElse(0);
        }
        // the subsets of ten routers are two halves of the engines: five of ten routers can meet
        assertTrue(together >= 30 * 5 - 5, "of 300 sends " + together + " met at one engine of their group");
    }

    /**
     * After many engines have restarted, the warm ones must share the work: routers must not crowd on a few
     * by their tables.
     */
    @Test
    void tableAffinityIsWeakerWhileManyEnginesAreCold() {
        int[] together = new int[2];
        for (int cold = 0; cold < 2; cold++) {
            for (int tables = 1; tables <= 60; tables++) {
                RouterHarness r = router(10, 0, 4);
                for (int i = 0; i < 4 * cold; i++) { // as many more have just started
                    r.decide(new EngineList(ListKind.DELTA, 2 + i,
                            List.of(engine(30 + i, 0, 0, EngineState.READY, 999))));
                }
                r.decideAfter(100, new TimerFired(1));
                List<SendAttempt> two = sends(r.decide(query(1, 0, 3000, tables), query(2, 0, 3000, tables)));
                assertEquals(2, two.size());
                together[cold] += two.get(0).engine() == two.get(1).engine() ? 1 : 0;
            }
        }
        assertTrue(together[1] < 0.5 * together[0], "all warm " + together[0] + ", half cold " + together[1]);
    }
}
