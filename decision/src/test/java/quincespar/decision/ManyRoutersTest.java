package quincespar.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import quincespar.decision.Scheduler.ClassSpec;
import quincespar.decision.Scheduler.Idempotency;
import quincespar.decision.Scheduler.Engine;
import quincespar.decision.Scheduler.EngineState;
import quincespar.decision.Scheduler.AttemptEnded;
import quincespar.decision.Scheduler.ListKind;
import quincespar.decision.Scheduler.EngineList;
import quincespar.decision.Scheduler.Outcome;
import quincespar.decision.Scheduler.Request;
import quincespar.decision.Scheduler.DeduplicationScope;
import quincespar.decision.Scheduler.SendAttempt;
import quincespar.decision.Scheduler.TimerFired;
import org.junit.jupiter.api.Test;

/** What holds where a router's part of an engine is a fraction of a thread. */
class ManyRoutersTest {
    private static Rig among(int routers, int me, int engines) {
        Rig r = new Rig();
        r.routers = routers;
        r.me = me;
        r.classes.add(Rig.safe("light", 1000, 1));
        return r.start(Rig.readyFrom(10, engines).toArray(new Engine[0]));
    }

    /** Room for one at each idle engine would be room for all at once: the parts are pooled. */
    @Test
    void partsBelowOneThreadArePooledIntoOneBound() {
        Rig r = among(200, 0, 50);
        int sent = 0;
        for (int i = 0; i < 30; i++) {
            sent += Rig.sends(r.tell(Rig.ask(i, 0))).size();
        }
        assertTrue(sent >= 1 && sent <= 3, "two threads of part and one widest query, not one at each engine: " + sent);
    }

    /** Equal engines at routers that know nothing: the choice must not fall on the same ones everywhere. */
    @Test
    void routersSpreadOverEnginesByTheirNumber() {
        Map<Long, Integer> first = new TreeMap<>();
        for (int me = 0; me < 40; me++) {
            for (SendAttempt s : Rig.sends(among(40, me, 10).tell(Rig.ask(1, 0)))) {
                first.merge(s.engine(), 1, Integer::sum);
            }
        }
        assertEquals(40, first.values().stream().mapToInt(n -> n).sum());
        assertTrue(first.size() >= 8 && first.values().stream().allMatch(n -> n <= 15), first.toString());
    }

    /** A report tells more than the few answers of one router. */
    @Test
    void engineThatToldAHighLoadIsPassedOver() {
        Rig r = new Rig();
        r.routers = 100;
        r.reports = List.of("outstanding");
        r.classes.add(Rig.safe("light", 1000, 1));
        r.start(Rig.ready(10), Rig.ready(11));
        List<Long> went = new ArrayList<>();
        for (int i = 0; i < 12; i++) { // the first heard says it is idle, later that it is full
            SendAttempt s = Rig.sends(r.after(1, Rig.ask(i, 0))).get(0);
            went.add(s.engine());
            r.after(50, new AttemptEnded(i, 0, s.engine(), Outcome.OK, 50, true, 50, Double.NaN,
                    List.of(i > 0 && s.engine() == went.get(0) ? 40.0 : 0.0)));
        }
        assertEquals(List.of(21 - went.get(0)), went.subList(6, 12).stream().distinct().toList(), went.toString());
    }

    /** Reports that are absent, short, negative or not finite change nothing. */
    @Test
    void reportsThatMakeNoSenseAreIgnored() {
        for (List<Double> bad : List.of(List.<Double>of(), List.of(Double.NaN), List.of(-3.0),
                List.of(Double.POSITIVE_INFINITY, 1.0, 2.0))) {
            Rig r = new Rig();
            r.routers = 100;
            r.reports = List.of("outstanding", "utilization");
            r.classes.add(Rig.safe("light", 1000, 1));
            r.start(Rig.ready(10));
            r.tell(Rig.ask(1, 0));
            r.after(50, new AttemptEnded(1, 0, 10, Outcome.OK, 50, true, 50, Double.NaN, bad));
            assertEquals(1, Rig.sends(r.after(1, Rig.ask(2, 0))).size());
        }
    }

    private static Request query(long id, int cls, double work, double tables) {
        return new Request(id, cls, 0, 4000, work, 0, tables, 0, false, false);
    }

    /** Long queries fill a router's few threads for seconds: what is shorter and dearer must not wait for them. */
    @Test
    void longQueriesDoNotShutShortOnesOut() {
        Rig r = new Rig();
        r.routers = 100;
        r.classes.add(Rig.safe("light", 500, 1));
        r.classes.add(wide("long", 3));
        List<Engine> list = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            list.add(Rig.ready(10 + i));
        }
        r.start(list.toArray(new Engine[0]));
        int sent = 0;
        for (int i = 0; i < 6; i++) {
            sent += Rig.sends(r.tell(query(i, 1, 6000, 0))).size();
        }
        assertTrue(sent > 0 && sent < 6, "long ones fill the bound: " + sent);
        for (int i = 0; i < 3; i++) {
            assertEquals(1, Rig.sends(r.tell(query(50 + i, 0, 100, 0))).size(), "short one " + i);
        }
    }

    private static ClassSpec wide(String name, int threads) {
        return new ClassSpec(name, 3000, 0, 12000, 1, 0.5, Idempotency.SAFE, DeduplicationScope.ALL, 0, false, false, threads, false,
                false, null, null);
    }

    private static Rig fourteen(int me, int engines) {
        return fourteen(new Rig(), me, engines);
    }

    private static Rig fourteen(Rig r, int me, int engines) {
        r.routers = 14;
        r.me = me;
        r.classes.add(Rig.safe("light", 500, 1));
        r.classes.add(new ClassSpec("long", 2000, 0, 12000, 1, 0.5, Idempotency.SAFE, DeduplicationScope.ALL, 0, false, false, 2, false,
                false, null, null));
        r.classes.add(wide("longer", 2));
        return r.start(Rig.readyFrom(10, engines).toArray(new Engine[0]));
    }

    private static int fill(Rig r, int from, int cls, double work) {
        int sent = 0;
        for (int i = 0; i < 200; i++) {
            sent += Rig.sends(r.tell(query(from + i, cls, work, 0))).size();
        }
        return sent;
    }

    /** An even part of a cold engine's allowance is below a long query: none would find room until it is warm. */
    @Test
    void longQueriesFindRoomAtColdEnginesAndTheFleetKeepsTheRule() {
        double[][] sent = new double[20][3];
        for (int me = 0; me < 14; me++) {
            Rig r = fourteen(me, 0);
            for (int e = 0; e < 20; e++) {
                r.tell(new Scheduler.EngineList(Scheduler.ListKind.DELTA, 2 + e,
                        List.of(Rig.engine(50 + e, 0, 0, EngineState.READY, r.now))));
            }
            for (int span = 0; span < 3; span++) {
                for (int cls = 0; cls < 3; cls++) {
                    double work = cls == 0 ? 100 : 1000 + 400 * cls;
                    for (int i = 0; i < 30; i++) {
                        for (SendAttempt s : Rig.sends(r.tell(query(1000 * span + 100 * cls + i, cls, work, 0)))) {
                            sent[(int) s.engine() - 50][span] += work;
                        }
                    }
                }
                r.after(1000, new TimerFired(1));
            }
        }
        double falls = new Rig().falls(), all = 0;
        for (double[] spans : sent) {
            for (double work : spans) {
                assertTrue(work <= falls, "sent " + work + " where " + falls + " make it fall");
                all += work;
            }
        }
        assertTrue(all > 20 * 1000, "cold engines get work: " + all);
    }

    /** What engines that leave held is not sent to the rest on top of theirs; with their return it is again. */
    @Test
    void thePooledBoundGoesWithTheCoresThatWork() {
        int[] room = new int[3];
        for (int left = 0; left < 3; left++) {
            Rig r = fourteen(0, 60);
            for (int e = 0; e < 20 * left; e++) {
                r.tell(new Scheduler.EngineList(Scheduler.ListKind.DELTA, 2 + e,
                        List.of(Rig.engine(10 + e, 0, 0, EngineState.DRAINING, 0))));
            }
            room[left] = fill(r, 1, 1, 2000);
        }
        assertTrue(room[0] > 20, "room for " + room[0]);
        assertEquals(room[0] * 2 / 3.0, room[1], 2);
        assertEquals(room[0] / 3.0, room[2], 2);
    }

    /** In a broad bound a class of less worth a second is not passed by all that comes later. */
    @Test
    void aBroadBoundCountsItsClassesAlike() {
        Rig r = fourteen(0, 60);
        assertTrue(fill(r, 1, 2, 6000) > 20, "long ones fill it");
        assertEquals(0, fill(r, 1000, 1, 2000), "long ones of more worth a second wait too");
        assertTrue(fill(r, 2000, 0, 100) > 0, "the class that leads still goes");
    }

    /**
     * What is stuck at full engines fills the pooled bound: one that reports that it is idle must not stay idle.
     * One that holds two queries a core and does little work is out of memory, not idle.
     */
    @Test
    void anEngineThatReportsThatItIsIdleHasRoomUnderAFullBound() {
        double[][] reports = {{1, 0.1}, {20, 1}, {16, 0.1}};
        for (double[] report : reports) {
            Rig r = new Rig();
            r.reports = List.of("outstanding", "utilization");
            fourteen(r, 0, 60);
            SendAttempt one = Rig.sends(r.tell(query(1, 2, 6000, 0))).get(0);
            fill(r, 1000, 2, 6000);
            assertEquals(0, Rig.sends(r.tell(query(2000, 1, 2000, 0))).size(), "the bound is full");
            AttemptEnded end = new AttemptEnded(1, 0, one.engine(), Outcome.OK, 3000, true, 6000, Double.NaN,
                    List.of(report[0], report[1]));
            List<SendAttempt> sends = Rig.sends(r.after(10, end, query(2001, 1, 2000, 0), query(2002, 1, 2000, 0)));
            long there = sends.stream().filter(s -> s.engine() == one.engine()).count();
            assertTrue(report[0] == 1 ? there > 1 : sends.size() <= 1, report[0] + " held: " + sends);
        }
    }

    /** An engine that tells that it is full gets nothing more while something of this router's runs there. */
    @Test
    void anEngineThatReportsThatItIsFullHasNoRoomThoughTheBoundHas() {
        for (double held : new double[] {1, 40}) {
            Rig r = new Rig();
            r.reports = List.of("outstanding", "utilization");
            r.routers = 5;
            r.classes.add(Rig.safe("light", 1000, 1));
            r.classes.add(wide("long", 2));
            r.start(Rig.readyFrom(10, 12).toArray(new Engine[0]));
            Map<Long, List<Long>> at = new TreeMap<>();
            for (int i = 1; i <= 120; i++) {
                Rig.sends(r.tell(query(i, 0, 100, 0))).forEach(s -> at.computeIfAbsent(s.engine(),
                        e -> new ArrayList<>()).add(s.id()));
            }
            for (long e = 10; e < 22; e++) { // where this router has fewer than two, none is to be had
                if (at.getOrDefault(e, List.of()).size() < 2) {
                    at.remove(e);
                    r.tell(new Scheduler.EngineList(Scheduler.ListKind.DELTA, e,
                            List.of(Rig.engine(e, 0, 0, EngineState.DRAINING, 0))));
                }
            }
            assertTrue(at.size() > 8, "two or more on most: " + at);
            r.now += 5000; // those that wait have been given up
            r.tell(new TimerFired(1));
            at.forEach((e, l) -> r.tell(new AttemptEnded(l.get(0), 0, e, Outcome.OK, 100, true, 100, Double.NaN,
                    List.of(held, held == 1 ? 0.1 : 1.0))));
            int more = 0;
            for (int i = 200; i < 230; i++) {
                more += Rig.sends(r.tell(query(i, 0, 100, 0))).size();
            }
            assertTrue(held == 1 ? more > 0 : more == 0, more + " sent to engines that hold " + held);
        }
    }

    /** However slow answers become, a router keeps its part of the cores: a thread a core overfills nothing. */
    @Test
    void thePooledBoundKeepsThisRoutersPartOfTheCores() {
        Rig r = among(20, 0, 10); // ten engines of eight cores: a part of four threads
        long id = 1;
        for (int i = 0; i < 200; i++) {
            for (SendAttempt s : Rig.sends(r.tell(Rig.ask(id++, 0)))) {
                double took = i < 40 ? 100 : 900;
                for (double t = 0; t < took - 20; t += 20) {
                    r.after(20, new TimerFired(1));
                }
                r.after(20, Rig.end(s.id(), 0, s.engine(), Outcome.OK, took));
            }
        }
        int room = 0;
        while (!Rig.sends(r.tell(Rig.ask(id++, 0))).isEmpty()) {
            room++;
        }
        assertTrue(room >= 4, "room for " + room);
    }

    /** An engine keeps what it read last warm: routers that know nothing of each other send a group alike. */
    @Test
    void queriesOfOneGroupGoToTheSameEnginesAtAllRouters() {
        int together = 0;
        for (int tables = 1; tables <= 30; tables++) {
            Map<Long, Integer> at = new TreeMap<>();
            for (int me = 0; me < 10; me++) {
                SendAttempt s = Rig.sends(among(10, me, 8).tell(query(1, 0, 100, tables))).get(0);
                at.merge(s.engine(), 1, Integer::sum);
            }
            together += at.values().stream().mapToInt(n -> n).max().orElse(0);
        }
        // the own sets of ten routers are two halves of the engines: five of ten can meet
        assertTrue(together >= 30 * 5 - 5, "of 300 sends " + together + " met at their group's first engine");
    }

    /** After a mass restart nothing is warm there and the rest must share: then routers do not crowd by tables. */
    @Test
    void theLeanGivesWayWhileManyEnginesAreCold() {
        int[] together = new int[2];
        for (int cold = 0; cold < 2; cold++) {
            for (int tables = 1; tables <= 60; tables++) {
                Rig r = among(10, 0, 4);
                for (int i = 0; i < 4 * cold; i++) { // as many again have just started
                    r.tell(new EngineList(ListKind.DELTA, 2 + i, List.of(Rig.engine(30 + i, 0, 0, EngineState.READY, 999))));
                }
                r.after(100, new TimerFired(1));
                List<SendAttempt> two = Rig.sends(r.tell(query(1, 0, 3000, tables), query(2, 0, 3000, tables)));
                assertEquals(2, two.size());
                together[cold] += two.get(0).engine() == two.get(1).engine() ? 1 : 0;
            }
        }
        assertTrue(together[1] < 0.5 * together[0], "all warm " + together[0] + ", half cold " + together[1]);
    }
}
