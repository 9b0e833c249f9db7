package quincespar.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import quincespar.decision.Scheduler.Action;
import quincespar.decision.Scheduler.CancelAttempt;
import quincespar.decision.Scheduler.Event;
import quincespar.decision.Scheduler.ListKind;
import quincespar.decision.Scheduler.EngineList;
import quincespar.decision.Scheduler.AttemptNote;
import quincespar.decision.Scheduler.NoteKind;
import quincespar.decision.Scheduler.Outcome;
import quincespar.decision.Scheduler.SendAttempt;
import quincespar.decision.Scheduler.TimerFired;
import quincespar.decision.Scheduler.WatchEngineList;
import org.junit.jupiter.api.Test;

/** The index, the release order, the learned rates, the thread bound, health. */
class MechanismTest {
    private static Rig two() {
        Rig r = new Rig();
        r.routers = 8; // one core of eight: a bound of one thread
        r.classes.add(Rig.safe("light", 1000, 1));
        r.classes.add(Rig.safe("dear", 1000, 50));
        return r;
    }

    @Test
    void theLargestIndexLeavesFirstAndOldestWithinAClass() {
        Rig r = two().start(Rig.ready(10));
        r.tell(Rig.ask(1, 0));
        r.after(10, Rig.ask(2, 0));
        r.after(10, Rig.ask(3, 0), Rig.ask(4, 1));
        List<Long> order = new ArrayList<>();
        for (long id = 1; order.size() < 3; id = order.get(order.size() - 1)) {
            Rig.sends(r.after(100, Rig.end(id, 0, 10, Outcome.OK, 100))).forEach(s -> order.add(s.id()));
        }
        assertEquals(List.of(4L, 2L, 3L), order, "worth fifty times as much, then first come");
    }

    @Test
    void aClassThatTakesLessTimeGoesFirst() {
        Rig r = new Rig();
        r.routers = 8;
        r.classes.add(Rig.safe("slow", 1000, 1));
        r.classes.add(Rig.safe("quick", 1000, 1));
        r.start(Rig.ready(10));
        for (int i = 0; i < 8; i++) {
            r.tell(Rig.ask(100 + i, i % 2));
            r.after(i % 2 == 0 ? 400 : 40, Rig.end(100 + i, 0, 10, Outcome.OK, i % 2 == 0 ? 400 : 40));
        }
        r.fill(1);
        r.tell(Rig.ask(2, 0));
        r.after(20, Rig.ask(3, 1));
        assertEquals(3, Rig.sends(r.after(60, Rig.end(9000, 0, 10, Outcome.OK, 40))).get(0).id());
    }

    @Test
    void theClassOfTheLargestValueDoesNotWaitForOthersThatFillTheBound() {
        Rig r = two();
        r.routers = 2; // four cores
        r.start(Rig.ready(10));
        r.fill(0);
        assertEquals(List.of(2L), Rig.sends(r.tell(Rig.ask(2, 1), Rig.ask(3, 0))).stream().map(SendAttempt::id).toList());
    }

    @Test
    void theBoundIsNotCutUnderAThreadForEachCoreOfItsPart() {
        Rig r = new Rig();
        r.routers = 2;
        r.classes.add(Rig.safe("a", 3000, 1));
        r.start(Rig.ready(10));
        depth(r, 50, 10);
        assertEquals(4, depth(r, 2000, 40), "half of eight cores, however slow");
    }

    @Test
    void aStretchThatIsLongPastDoesNotKeepTheBoundFromWidening() {
        Rig r = two();
        r.routers = 2;
        r.start(Rig.ready(10));
        for (int i = 0; i < 8; i++) { // the dear class was quick and then slow, and is not asked for any more
            r.tell(Rig.ask(i, 1));
            r.after(i < 4 ? 20 : 80, Rig.end(i, 0, 10, Outcome.OK, i < 4 ? 20 : 80));
        }
        r.now += 20_000;
        assertTrue(depth(r, 50, 40) > 8, "widened by the other class");
    }

    @Test
    void failuresThatAreNotTimeoutsTeachNoRate() {
        Rig r = new Rig();
        r.routers = 8;
        r.classes.add(Rig.safe("cancelled", 1000, 1));
        r.classes.add(Rig.safe("served", 1000, 1));
        r.start(Rig.ready(10));
        for (int i = 100; i < 106; i++) {
            r.tell(Rig.ask(i, 0));
            r.after(500, new Scheduler.ClientLeft(i), Rig.end(i, 0, 10, Outcome.CANCELLED, 90_000));
            r.tell(Rig.ask(i + 100, 1));
            r.after(2000, Rig.end(i + 100, 0, 10, Outcome.OK, 2000));
        }
        r.fill(1);
        r.tell(Rig.ask(2, 1), Rig.ask(3, 0));
        assertEquals(3, Rig.sends(r.after(100, Rig.end(9000, 0, 10, Outcome.OK, 2000))).get(0).id());
    }

    private List<SendAttempt> running = List.of();

    /** Serves from a long queue for a while at the given latency; the most that was out at once in the end. */
    private int depth(Rig r, double latency, int rounds) {
        int most = 0;
        for (int i = 0; i < rounds; i++) {
            List<Event> events = new ArrayList<>();
            for (SendAttempt s : running) {
                events.add(Rig.end(s.id(), 0, s.engine(), Outcome.OK, latency));
            }
            for (int k = 0; k < 40; k++) {
                events.add(Rig.ask(r.hashCode() + (long) r.now * 100 + k, 0));
            }
            r.now += 50;
            running = Rig.sends(r.brain.decide(r.now, events));
            most = running.size();
        }
        return most;
    }

    @Test
    void theBoundStartsAtTheShareWidensNearTheBestAndIsCutWhenLatencyGrows() {
        Rig r = new Rig();
        r.routers = 4;
        r.classes.add(Rig.safe("a", 3000, 1));
        r.start(Rig.ready(10));
        assertEquals(2, depth(r, 50, 1), "eight cores over four routers");
        int wide = depth(r, 50, 40);
        assertTrue(wide > 4, "widened to " + wide);
        int cut = depth(r, 400, 12);
        assertTrue(cut < wide / 2, "cut from " + wide + " to " + cut);
    }

    @Test
    void anEngineThatHoldsNothingHasRoomForOne() {
        Rig r = two();
        r.routers = 100;
        r.start(Rig.ready(10));
        assertEquals(1, Rig.sends(r.tell(Rig.ask(1, 0), Rig.ask(2, 0))).size());
    }

    @Test
    void anEngineThatFailsFarMoreThanItsPeersIsShunned() {
        Rig r = new Rig();
        r.classes.add(Rig.safe("a", 1000, 1));
        r.start(Rig.ready(10), Rig.ready(11), Rig.ready(12));
        int bad = 0;
        List<Event> due = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            due.add(Rig.ask(i, 0));
            List<Action> out = r.after(20, due.toArray(new Event[0]));
            due.clear();
            for (SendAttempt s : Rig.sends(out)) { // the good ones hold a query for a step, the failing one looks free
                bad += i >= 100 && s.engine() == 10 ? 1 : 0;
                for (int attempt = 0; attempt < 4; attempt++) {
                    due.add(Rig.end(s.id(), attempt, s.engine(), s.engine() == 10 ? Outcome.ERROR : Outcome.OK, 20));
                }
            }
            for (int k = 0; k < 12; k++) {
                due.add(Rig.ask(1000 + 12L * i + k, 0));
            }
        }
        assertTrue(bad <= 8, "sent to the failing engine " + bad + " times of a thousand");
    }

    @Test
    void anAttemptWhoseProgressTellsOfABadPlanIsCancelledAndSentAgain() {
        Rig r = new Rig();
        r.classes.add(Rig.safe("a", 2000, 1));
        r.start(Rig.ready(10), Rig.ready(11));
        for (int i = 100; i < 120; i++) {
            SendAttempt s = Rig.sends(r.tell(Rig.ask(i, 0))).get(0);
            r.after(100, Rig.end(i, 0, s.engine(), Outcome.OK, 100));
        }
        SendAttempt s = Rig.sends(r.tell(Rig.ask(1, 0))).get(0);
        List<Action> out = r.after(150, new AttemptNote(1, 0, s.engine(), NoteKind.PROGRESS, 0.05));
        assertEquals(1, Rig.all(out, CancelAttempt.class).size());
        out = r.after(5, Rig.end(1, 0, s.engine(), Outcome.CANCELLED, 155));
        assertEquals(1, Rig.sends(out).size());
    }

    @Test
    void lateQueriesDoNotGoBeforeThoseThatCanStillBeInTime() {
        Rig r = new Rig();
        r.routers = 8;
        r.classes.add(Rig.safe("a", 1000, 1));
        r.start(Rig.ready(10));
        for (int i = 100; i < 120; i++) {
            r.tell(Rig.ask(i, 0));
            r.after(100, Rig.end(i, 0, 10, Outcome.OK, 100));
        }
        r.fill(0);
        r.tell(Rig.ask(2, 0));
        r.after(2800, Rig.ask(3, 0));
        assertEquals(3, Rig.sends(r.after(700, Rig.end(9000, 0, 10, Outcome.OK, 100))).get(0).id());
    }

    @Test
    void discoveryThatMustBeAskedIsFollowedAndAskedAgainAfterAFailure() {
        Rig r = two();
        r.ask = true;
        r.brain = new GcMuScheduler(r.settings(), 7);
        assertEquals(1, Rig.all(r.tell(new EngineList(ListKind.CACHED, 1, List.of(Rig.ready(10)))), WatchEngineList.class).size());
        assertEquals(0, Rig.all(r.after(100, new EngineList(ListKind.FAILED, 0, List.of())), WatchEngineList.class).size());
        int again = 0;
        for (int i = 0; i < 200; i++) {
            again += Rig.all(r.after(25, new TimerFired(1)), WatchEngineList.class).size();
        }
        assertEquals(1, again);
    }

    @Test
    void unknownIdsAndAClockThatStandsStillDoNoHarm() {
        Rig r = two().start(Rig.ready(10), Rig.ready(10));
        r.tell(Rig.end(99, 0, 10, Outcome.OK, 5), new AttemptNote(99, 0, 10, NoteKind.PROGRESS, 0.5), new Scheduler.ClientLeft(99));
        r.tell(Rig.ask(1, 0), Rig.ask(1, 0), Rig.ask(2, 7));
        r.tell(Rig.end(1, 0, 10, Outcome.OK, 0), Rig.end(1, 0, 10, Outcome.OK, 0), Rig.end(1, 5, 10, Outcome.OK, 0));
        assertEquals(1, Rig.sends(r.tell(Rig.ask(3, 0))).size());
    }

    @Test
    void settingsWithoutClassesOrRoutersNameTheField() {
        Rig r = new Rig();
        assertTrue(assertThrows(IllegalArgumentException.class, r::start).getMessage().contains("classes"));
        r.classes.add(Rig.safe("a", 1000, 1));
        r.routers = 0;
        assertTrue(assertThrows(IllegalArgumentException.class, r::start).getMessage().contains("routers"));
    }

    @Test
    void theSameEventsGiveTheSameActions() {
        List<List<Action>> runs = new ArrayList<>();
        for (int run = 0; run < 2; run++) {
            Rig r = two().start(Rig.ready(10), Rig.ready(11), Rig.ready(12));
            List<Action> all = new ArrayList<>();
            for (int i = 0; i < 50; i++) {
                all.addAll(r.after(7, Rig.ask(i, i % 2)));
            }
            runs.add(all);
        }
        assertEquals(runs.get(0), runs.get(1));
    }

    @Test
    void aQueryThatWaitsForAnothersLoadGoesElsewhereAndOthersOfItsTablesToo() {
        Rig r = withLoads().start(Rig.ready(10), Rig.ready(11));
        long held = Rig.sends(r.tell(waiting(1))).get(0).engine();
        List<Action> cut = r.after(60, new Scheduler.AttemptNote(1, 0, held, Scheduler.NoteKind.WAIT, 2));
        assertEquals(List.of(new Scheduler.CancelAttempt(1, 0, Scheduler.CancelReason.WAITS_FOR_LOAD)), Rig.all(cut, Scheduler.CancelAttempt.class));
        List<SendAttempt> again = Rig.sends(r.after(1, Rig.end(1, 0, held, Outcome.CANCELLED, 61)));
        again = new ArrayList<>(again);
        for (int i = 2; i < 6; i++) {
            again.addAll(Rig.sends(r.tell(waiting(i))));
        }
        assertEquals(5, again.size());
        assertTrue(again.stream().allMatch(s -> s.engine() != held), "tables are held at " + held + ": " + again);
    }

    /** A class that stands still behind loads, and one of loads. */
    private static Rig withLoads() {
        Rig r = new Rig();
        r.classes.add(new Scheduler.ClassSpec("waits", 1000, 0, 4000, 1, 0.5, Scheduler.Idempotency.SAFE, Scheduler.DeduplicationScope.ALL,
                3000, false, false, 1, false, true, null, null));
        r.classes.add(new Scheduler.ClassSpec("load", 3000, 0, 9000, 5, 0.5, Scheduler.Idempotency.UNSAFE, Scheduler.DeduplicationScope.ALL,
                3000, false, false, 2, true, false, null, null));
        return r;
    }

    private static Scheduler.AttemptNote heldBehindLoad(SendAttempt s) {
        return new Scheduler.AttemptNote(s.id(), 0, s.engine(), Scheduler.NoteKind.WAIT, 2);
    }

    /** Seen in a day of chance: after an infinite estimate nothing was sent, refused or failed any more. */
    @Test
    void anInfiniteEstimateDoesNotSpoilWhatIsForetoldOfOthers() {
        Rig r = two().start(Rig.ready(10));
        for (int i = 0; i < 20; i++) {
            double work = i == 3 ? Double.POSITIVE_INFINITY : 50 + i;
            List<SendAttempt> out = Rig.sends(r.tell(new Scheduler.Request(i, 0, 0, 4000, work, 0, 0, 0, false, false)));
            out.forEach(s -> r.after(10, Rig.end(s.id(), 0, s.engine(), Outcome.OK, 10)));
        }
        assertEquals(1, Rig.sends(r.tell(Rig.ask(100, 0))).size());
        r.fill(0);
        r.tell(Rig.ask(200, 0)); // held, and answered when its time is up
        assertTrue(Rig.all(r.after(4000, new TimerFired(1)), Scheduler.RefuseRequest.class).stream().anyMatch(x -> x.id() == 200));
    }

    /** Seen: five attempts used up within 10 ms on engines just heard to be held, the fifth stood still there. */
    @Test
    void aQueryWaitsHereWhileAllEnginesAreHeardToBeHeldAndGoesWhenThatIsOld() {
        Rig r = withLoads().start(Rig.ready(10), Rig.ready(11));
        for (int i = 1; i <= 2; i++) {
            SendAttempt s = Rig.sends(r.tell(waiting(i))).get(0);
            r.after(2, heldBehindLoad(s));
            r.after(1, Rig.end(i, 0, s.engine(), Outcome.CANCELLED, 3), new Scheduler.ClientLeft(i));
        }
        assertEquals(List.of(), Rig.sends(r.tell(waiting(3))));
        assertEquals(List.of(), Rig.sends(r.after(200, new TimerFired(1))));
        assertEquals(1, Rig.sends(r.after(150, new TimerFired(1))).size());
    }

    /** Seen: lookups that stood still for 600 ms cut their engines' bounds to the floor, and the rest was refused. */
    @Test
    void timeSpentBehindALoadNeitherCutsTheBoundNorCountsAsSilence() {
        int[] room = new int[2];
        for (int held = 0; held < 2; held++) {
            Rig r = withLoads();
            r.routers = 4; // its part of the engine is two threads, and what it learns widens that
            r.start(Rig.ready(10));
            for (int i = -200; i < 0; i += 5) {
                List<SendAttempt> out = Rig.sends(r.tell(waiting(i), waiting(i + 1), waiting(i + 2), waiting(i + 3),
                        waiting(i + 4)));
                while (!out.isEmpty()) {
                    List<Scheduler.Event> ends = new ArrayList<>();
                    out.forEach(s -> ends.add(Rig.end(s.id(), 0, s.engine(), Outcome.OK, 100)));
                    out = Rig.sends(r.after(100, ends.toArray(Scheduler.Event[]::new)));
                }
            }
            for (int i = 100; held == 1 && i < 130; i++) {
                for (SendAttempt s : Rig.sends(r.after(400, waiting(i)))) {
                    r.after(2, heldBehindLoad(s));
                    Outcome end = i % 2 == 0 ? Outcome.OK : Outcome.TIMEOUT;
                    for (int ms = 0; ms < 3000; ms += 5) { // its timers in between, or it would look like a stall
                        r.after(5, new TimerFired(1));
                    }
                    r.tell(Rig.end(s.id(), 0, s.engine(), end, 3000), new Scheduler.ClientLeft(s.id()));
                }
            }
            r.after(2000, new TimerFired(1));
            for (int i = 1000; i < 1040; i++) {
                room[held] += Rig.sends(r.tell(waiting(i))).size();
            }
        }
        assertTrue(room[0] > 4, "room " + room[0]);
        assertEquals(room[0], room[1]);
    }

    @Test
    void aShunnedEngineIsTriedAgainAlthoughOlderAttemptsHangThere() {
        Rig r = new Rig();
        r.classes.add(Rig.safe("a", 1000, 1));
        r.start(Rig.ready(10), Rig.ready(11), Rig.ready(12));
        List<SendAttempt> first = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            first.addAll(Rig.sends(r.tell(Rig.ask(i, 0))));
        }
        long silent = first.get(0).engine();
        first.removeIf(s -> s.engine() != silent);
        for (int i = 100; i < 300 && first.get(first.size() - 1).id() < 100; i++) { // the others answer all the while
            for (SendAttempt s : Rig.sends(r.after(20, Rig.ask(i, 0), new TimerFired(1)))) {
                if (s.engine() != silent) {
                    r.after(10, Rig.end(s.id(), 0, s.engine(), Outcome.OK, 10));
                } else if (r.now > 2500) {
                    first.add(s); // tried again, though nothing sent before has ended
                }
            }
        }
        assertTrue(first.get(first.size() - 1).id() >= 100, "never tried again by " + r.now);
    }

    private static Scheduler.Request waiting(long id) {
        return new Scheduler.Request(id, 0, 0, 4000, 100, 0, 3, 0, false, false);
    }
}
