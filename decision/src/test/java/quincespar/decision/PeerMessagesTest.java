package quincespar.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static quincespar.decision.RouterHarness.attemptEnded;
import static quincespar.decision.RouterHarness.engine;
import static quincespar.decision.RouterHarness.ofType;
import static quincespar.decision.RouterHarness.ready;
import static quincespar.decision.RouterHarness.safeClass;
import static quincespar.decision.RouterHarness.sends;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import quincespar.decision.Scheduler.Action;
import quincespar.decision.Scheduler.ClassSpec;
import quincespar.decision.Scheduler.DeduplicationScope;
import quincespar.decision.Scheduler.Engine;
import quincespar.decision.Scheduler.EngineList;
import quincespar.decision.Scheduler.EngineState;
import quincespar.decision.Scheduler.Idempotency;
import quincespar.decision.Scheduler.Limits;
import quincespar.decision.Scheduler.ListKind;
import quincespar.decision.Scheduler.Outcome;
import quincespar.decision.Scheduler.PeerMessage;
import quincespar.decision.Scheduler.Request;
import quincespar.decision.Scheduler.SendAttempt;
import quincespar.decision.Scheduler.TellPeers;
import quincespar.decision.Scheduler.TimerFired;

/** Messages between routers, and results found after a stall of the router. */
class PeerMessagesTest {
    private static final Limits MESSAGES_ALLOWED = new Limits(true, false, true, false, true, 4, 500, 20000, 250);

    private static ClassSpec spec(String name, int threads, boolean loads, boolean waits) {
        return new ClassSpec(name, 1000, 0, 4000, 1, 0.5, loads ? Idempotency.UNSAFE : Idempotency.SAFE,
                DeduplicationScope.ALL, 3000,
                false, false, threads, loads, waits, null, null);
    }

    private static RouterHarness router(int routers, int me, int engines) {
        RouterHarness r = new RouterHarness();
        r.routers = routers;
        r.routerIndex = me;
        r.limits = MESSAGES_ALLOWED;
        r.classes.add(spec("reader", 1, false, true));
        r.classes.add(spec("loader", 2, true, false));
        List<Engine> list = new ArrayList<>();
        for (int i = 0; i < engines; i++) {
            list.add(ready(10 + i));
        }
        return r.start(list.toArray(new Engine[0]));
    }

    private static Request request(long id, int cls, double tables) {
        return new Request(id, cls, 0, 4000, cls == 0 ? 100 : 2000, 0, tables, 0, false, false);
    }

    private static List<TellPeers> messages(List<Action> actions) {
        return ofType(actions, TellPeers.class);
    }

    /** A reader would wait where another router's load holds its tables, so it is sent to another engine. */
    @Test
    void aReaderAvoidsTheEngineWhereAPeersLoadHoldsItsTables() {
        for (int tables = 1; tables < 20; tables++) {
            RouterHarness a = router(2, 0, 2);
            List<Action> load = a.decide(request(1, 1, tables));
            long at = sends(load).get(0).engine();
            RouterHarness b = router(2, 1, 2);
            messages(load).forEach(t -> b.decide(new PeerMessage(0, t.payload())));
            SendAttempt held = sends(b.decide(request(7, 0, tables))).get(0);
            assertNotEquals(at, held.engine(), "tables " + tables);
            b.decideAfter(100, attemptEnded(7, 0, held.engine(), Outcome.OK, 100));
        }
    }

    /** The end of a load frees the engine for readers: its message carries the number of the start. */
    @Test
    void theEndOfALoadIsAnnounced() {
        RouterHarness a = router(2, 0, 2);
        List<Action> start = a.decide(request(1, 1, 3));
        List<Action> end = a.decideAfter(50, attemptEnded(1, 0, sends(start).get(0).engine(), Outcome.OK, 50));
        assertEquals(1, messages(start).size());
        assertEquals(1, messages(end).size());
        assertEquals(6, messages(start).get(0).payload().length);
        assertEquals(1, messages(end).get(0).payload().length);
        assertEquals(messages(start).get(0).payload()[0], messages(end).get(0).payload()[0]);
    }

    /** All routers compute alike who watches an engine; a message goes to these, and never to its sender. */
    @Test
    void messagesGoOnlyToTheRoutersThatWatchTheEngine() {
        RouterHarness a = router(200, 3, 100);
        List<TellPeers> told = messages(a.decide(request(1, 1, 3)));
        assertTrue(told.size() > 5 && told.size() < 40, "about a tenth of 200: " + told.size());
        assertTrue(told.stream().noneMatch(t -> t.to() == 3 || t.to() < 0));
    }

    /** No message is sent where the site does not allow it, nor about light queries. */
    @Test
    void nothingIsAnnouncedWhereItIsNotAllowedOrNotWorthIt() {
        RouterHarness quiet = router(2, 0, 2);
        assertTrue(messages(quiet.decide(request(1, 0, 3))).isEmpty());
        RouterHarness mute = new RouterHarness();
        mute.routers = 2;
        mute.classes.add(spec("loader", 2, true, false));
        mute.start(ready(10));
        assertTrue(messages(mute.decide(request(1, 0, 3))).isEmpty());
    }

    /** Messages that are cut short, forged, or name unknown senders, classes or engines have no effect. */
    @Test
    void invalidMessagesAreIgnored() {
        for (byte[] text : List.of(new byte[0], new byte[] {1}, new byte[] {1, 2, 3}, new byte[] {1, 2, 3, 4},
                new byte[] {1, (byte) 0xff, 3, 4, 5, 6}, new byte[256])) {
            RouterHarness r = router(2, 1, 2);
            for (long from : new long[] {-1, 0, 1, 99, 4294967295L}) {
                assertTrue(r.decide(new PeerMessage(from, text))
                        .stream().noneMatch(x -> x instanceof SendAttempt));
            }
            assertEquals(1, sends(r.decide(request(5, 0, 3))).size());
        }
    }

    /** Messages never override a rule: a draining engine gets nothing, whatever other routers announce. */
    @Test
    void noMessageCausesASendToADrainingEngine() {
        RouterHarness a = router(2, 0, 1);
        List<Action> load = a.decide(request(1, 1, 3));
        RouterHarness b = router(2, 1, 1);
        b.decide(new EngineList(ListKind.DELTA, 2, List.of(engine(10, 0, 0, EngineState.DRAINING, 0))));
        messages(load).forEach(t -> b.decide(new PeerMessage(0, t.payload()),
                new PeerMessage(0, new byte[] {t.payload()[0]})));
        assertTrue(sends(b.decide(request(7, 0, 3))).isEmpty());
    }

    /** Times measured over a stall of the router contain the stall: they must not cut the limit. */
    @Test
    void timesThatContainAStallOfTheRouterDoNotCutTheLimit() {
        int[] room = new int[2];
        for (int stall = 0; stall < 2; stall++) {
            RouterHarness r = new RouterHarness();
            r.routers = 8; // its part is one core, below which no limit is cut
            r.classes.add(safeClass("light", 1000, 1));
            r.start(ready(10));
            long id = 1;
            for (int i = 0; i < 20; i++) {
                r.decide(request(id, 0, 0));
                r.decideAfter(100, attemptEnded(id++, 0, 10, Outcome.OK, 100));
            }
            for (int i = 0; i < 20; i++) { // one router is called late, the other in time
                long first = id;
                r.decide(request(id++, 0, 0), request(id++, 0, 0));
                for (int t = 0; stall == 0 && t < 1400; t += 20) {
                    r.decideAfter(20, new TimerFired(1));
                }
                double took = stall == 0 ? 20 : 1420;
                r.decideAfter(took, new TimerFired(1), attemptEnded(first, 0, 10, Outcome.OK, 1420),
                        attemptEnded(first + 1, 0, 10, Outcome.OK, 1420));
            }
            while (!sends(r.decide(request(id++, 0, 0))).isEmpty()) {
                room[stall]++;
            }
        }
        assertTrue(room[1] > room[0], "slow engine " + room[0] + ", stalled router " + room[1]);
    }
}
