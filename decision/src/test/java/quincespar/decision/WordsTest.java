package quincespar.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import quincespar.decision.Scheduler.Action;
import quincespar.decision.Scheduler.ClassSpec;
import quincespar.decision.Scheduler.Idempotency;
import quincespar.decision.Scheduler.Engine;
import quincespar.decision.Scheduler.EngineState;
import quincespar.decision.Scheduler.Limits;
import quincespar.decision.Scheduler.ListKind;
import quincespar.decision.Scheduler.EngineList;
import quincespar.decision.Scheduler.Outcome;
import quincespar.decision.Scheduler.Request;
import quincespar.decision.Scheduler.DeduplicationScope;
import quincespar.decision.Scheduler.SendAttempt;
import quincespar.decision.Scheduler.TellPeers;
import quincespar.decision.Scheduler.TimerFired;
import quincespar.decision.Scheduler.PeerMessage;
import org.junit.jupiter.api.Test;

/** What routers tell each other, and what a stalled router makes of what it finds. */
class WordsTest {
    private static final Limits TALKING = new Limits(true, false, true, false, true, 4, 500, 20000, 250);

    private static ClassSpec spec(String name, int threads, boolean loads, boolean waits) {
        return new ClassSpec(name, 1000, 0, 4000, 1, 0.5, loads ? Idempotency.UNSAFE : Idempotency.SAFE, DeduplicationScope.ALL, 3000,
                false, false, threads, loads, waits, null, null);
    }

    private static Rig rig(int routers, int me, int engines) {
        Rig r = new Rig();
        r.routers = routers;
        r.me = me;
        r.limits = TALKING;
        r.classes.add(spec("reader", 1, false, true));
        r.classes.add(spec("loader", 2, true, false));
        List<Engine> list = new ArrayList<>();
        for (int i = 0; i < engines; i++) {
            list.add(Rig.ready(10 + i));
        }
        return r.start(list.toArray(new Engine[0]));
    }

    private static Request of(long id, int cls, double tables) {
        return new Request(id, cls, 0, 4000, cls == 0 ? 100 : 2000, 0, tables, 0, false, false);
    }

    private static List<TellPeers> tells(List<Action> actions) {
        return Rig.all(actions, TellPeers.class);
    }

    /** A reader of tables that another router's load holds stands still there, so it goes elsewhere. */
    @Test
    void aReaderAvoidsTheEngineWhereAPeersLoadHoldsItsTables() {
        for (int tables = 1; tables < 20; tables++) {
            Rig a = rig(2, 0, 2);
            List<Action> load = a.tell(of(1, 1, tables));
            long at = Rig.sends(load).get(0).engine();
            Rig b = rig(2, 1, 2);
            tells(load).forEach(t -> b.tell(new PeerMessage(0, t.payload())));
            SendAttempt held = Rig.sends(b.tell(of(7, 0, tables))).get(0);
            assertNotEquals(at, held.engine(), "tables " + tables);
            b.after(100, Rig.end(7, 0, held.engine(), Outcome.OK, 100));
        }
    }

    /** The end of the load frees the engine: the word of it carries the number of its start. */
    @Test
    void theEndOfALoadIsTold() {
        Rig a = rig(2, 0, 2);
        List<Action> start = a.tell(of(1, 1, 3));
        List<Action> end = a.after(50, Rig.end(1, 0, Rig.sends(start).get(0).engine(), Outcome.OK, 50));
        assertEquals(1, tells(start).size());
        assertEquals(1, tells(end).size());
        assertEquals(6, tells(start).get(0).payload().length);
        assertEquals(1, tells(end).get(0).payload().length);
        assertEquals(tells(start).get(0).payload()[0], tells(end).get(0).payload()[0]);
    }

    /** Words go to routers that watch the engine, which all work out alike, and never to oneself. */
    @Test
    void wordsGoToTheRoutersThatWatchTheEngineOnly() {
        Rig a = rig(200, 3, 100);
        List<TellPeers> told = tells(a.tell(of(1, 1, 3)));
        assertTrue(told.size() > 5 && told.size() < 40, "about a tenth of 200: " + told.size());
        assertTrue(told.stream().noneMatch(t -> t.to() == 3 || t.to() < 0));
    }

    /** Nothing is said where messages are not allowed, nor of light queries. */
    @Test
    void nothingIsSaidWhereItIsNotAllowedOrNotWorthIt() {
        Rig quiet = rig(2, 0, 2);
        assertTrue(tells(quiet.tell(of(1, 0, 3))).isEmpty());
        Rig mute = new Rig();
        mute.routers = 2;
        mute.classes.add(spec("loader", 2, true, false));
        mute.start(Rig.ready(10));
        assertTrue(tells(mute.tell(of(1, 0, 3))).isEmpty());
    }

    /** Words cut short, forged, of unknown senders, classes or engines change nothing and break nothing. */
    @Test
    void wordsThatMakeNoSenseAreIgnored() {
        for (byte[] text : List.of(new byte[0], new byte[] {1}, new byte[] {1, 2, 3}, new byte[] {1, 2, 3, 4},
                new byte[] {1, (byte) 0xff, 3, 4, 5, 6}, new byte[256])) {
            Rig r = rig(2, 1, 2);
            for (long from : new long[] {-1, 0, 1, 99, 4294967295L}) {
                assertTrue(r.tell(new PeerMessage(from, text)).stream().noneMatch(x -> x instanceof SendAttempt));
            }
            assertEquals(1, Rig.sends(r.tell(of(5, 0, 3))).size());
        }
    }

    /** A word never makes an unlawful send: told of a drain, the engine gets nothing, whatever peers say. */
    @Test
    void wordsNeverOpenADrainingEngine() {
        Rig a = rig(2, 0, 1);
        List<Action> load = a.tell(of(1, 1, 3));
        Rig b = rig(2, 1, 1);
        b.tell(new EngineList(ListKind.DELTA, 2, List.of(Rig.engine(10, 0, 0, EngineState.DRAINING, 0))));
        tells(load).forEach(t -> b.tell(new PeerMessage(0, t.payload()), new PeerMessage(0, new byte[] {t.payload()[0]})));
        assertTrue(Rig.sends(b.tell(of(7, 0, 3))).isEmpty());
    }

    /** Times found after a stall of the router hold the stall: they must not narrow its bound. */
    @Test
    void timesThatHoldAStallAreNotTakenAsTheEngines() {
        int[] room = new int[2];
        for (int stall = 0; stall < 2; stall++) {
            Rig r = new Rig();
            r.routers = 8; // a part of one core, under which no bound is cut
            r.classes.add(Rig.safe("light", 1000, 1));
            r.start(Rig.ready(10));
            long id = 1;
            for (int i = 0; i < 20; i++) {
                r.tell(of(id, 0, 0));
                r.after(100, Rig.end(id++, 0, 10, Outcome.OK, 100));
            }
            for (int i = 0; i < 20; i++) { // one router is called late, the other in time
                long first = id;
                r.tell(of(id++, 0, 0), of(id++, 0, 0));
                for (int t = 0; stall == 0 && t < 1400; t += 20) {
                    r.after(20, new TimerFired(1));
                }
                double took = stall == 0 ? 20 : 1420;
                r.after(took, new TimerFired(1), Rig.end(first, 0, 10, Outcome.OK, 1420),
                        Rig.end(first + 1, 0, 10, Outcome.OK, 1420));
            }
            while (!Rig.sends(r.tell(of(id++, 0, 0))).isEmpty()) {
                room[stall]++;
            }
        }
        assertTrue(room[1] > room[0], "slow engine " + room[0] + ", stalled router " + room[1]);
    }
}
