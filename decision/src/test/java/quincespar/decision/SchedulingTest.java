package quincespar.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static quincespar.decision.RouterHarness.attemptEnded;
import static quincespar.decision.RouterHarness.ofType;
import static quincespar.decision.RouterHarness.ready;
import static quincespar.decision.RouterHarness.request;
import static quincespar.decision.RouterHarness.safeClass;
import static quincespar.decision.RouterHarness.sends;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import quincespar.decision.Scheduler.Action;
import quincespar.decision.Scheduler.AttemptNote;
import quincespar.decision.Scheduler.CancelAttempt;
import quincespar.decision.Scheduler.CancelReason;
import quincespar.decision.Scheduler.ClassSpec;
import quincespar.decision.Scheduler.ClientLeft;
import quincespar.decision.Scheduler.DeduplicationScope;
import quincespar.decision.Scheduler.EngineList;
import quincespar.decision.Scheduler.Event;
import quincespar.decision.Scheduler.Idempotency;
import quincespar.decision.Scheduler.ListKind;
import quincespar.decision.Scheduler.NoteKind;
import quincespar.decision.Scheduler.Outcome;
import quincespar.decision.Scheduler.RefuseRequest;
import quincespar.decision.Scheduler.Request;
import quincespar.decision.Scheduler.SendAttempt;
import quincespar.decision.Scheduler.TimerFired;
import quincespar.decision.Scheduler.WatchEngineList;

/** The index, the order of sends, the learned rates, the concurrency limit, and engine health. */
class SchedulingTest {
    private static RouterHarness twoClasses() {
        RouterHarness r = new RouterHarness();
        r.routers = 8; // one core of eight: a limit of one thread
        r.classes.add(safeClass("light", 1000, 1));
        r.classes.add(safeClass("dear", 1000, 50));
        return r;
    }

    @Test
    void theLargestIndexIsSentFirstAndTheOldestWithinAClass() {
        RouterHarness r = twoClasses().start(ready(10));
        r.decide(request(1, 0));
        r.decideAfter(10, request(2, 0));
        r.decideAfter(10, request(3, 0), request(4, 1));
        List<Long> order = new ArrayList<>();
        for (long id = 1; order.size() < 3; id = order.get(order.size() - 1)) {
            sends(r.decideAfter(100, attemptEnded(id, 0, 10, Outcome.OK, 100))).forEach(s -> order.add(s.id()));
        }
        assertEquals(List.of(4L, 2L, 3L), order, "first the reward of fifty, then by age");
    }

    @Test
    void aClassThatTakesLessTimeGoesFirst() {
        RouterHarness r = new RouterHarness();
        r.routers = 8;
        r.classes.add(safeClass("slow", 1000, 1));
        r.classes.add(safeClass("quick", 1000, 1));
        r.start(ready(10));
        for (int i = 0; i < 8; i++) {
            r.decide(request(100 + i, i % 2));
            r.decideAfter(i % 2 == 0 ? 400 : 40, attemptEnded(100 + i, 0, 10, Outcome.OK, i % 2 == 0 ? 400 : 40));
        }
        r.fillLimit(1);
        r.decide(request(2, 0));
        r.decideAfter(20, request(3, 1));
        assertEquals(3, sends(r.decideAfter(60, attemptEnded(9000, 0, 10, Outcome.OK, 40))).get(0).id());
    }

    @Test
    void theClassOfTheHighestGammaMuDoesNotWaitForOthersThatFillTheLimit() {
        RouterHarness r = twoClasses();
        r.routers = 2; // four cores
        r.start(ready(10));
        r.fillLimit(0);
        assertEquals(List.of(2L), sends(r.decide(request(2, 1), request(3, 0)))
                .stream().map(SendAttempt::id).toList());
    }

    @Test
    void theLimitIsNotCutBelowOneAndAHalfThreadsPerCoreOfTheRoutersPart() {
        RouterHarness r = new RouterHarness();
        r.routers = 2;
        r.classes.add(safeClass("a", 3000, 1));
        r.start(ready(10));
        mostRunning(r, 50, 10);
        assertEquals(6, mostRunning(r, 2000, 40), "for half of eight cores, however slow");
    }

    @Test
    void anOldStretchDoesNotKeepTheLimitFromGrowing() {
        RouterHarness r = twoClasses();
        r.routers = 2;
        r.start(ready(10));
        for (int i = 0; i < 8; i++) { // the class of high reward was fast, then slow, and gets no more requests
            r.decide(request(i, 1));
            r.decideAfter(i < 4 ? 20 : 80, attemptEnded(i, 0, 10, Outcome.OK, i < 4 ? 20 : 80));
        }
        r.now += 20_000;
        assertTrue(mostRunning(r, 50, 40) > 8, "the limit grew by the other class");
    }

    @Test
    void failuresOtherThanTimeoutsDoNotChangeTheRate() {
        RouterHarness r = new RouterHarness();
        r.routers = 8;
        r.classes.add(safeClass("cancelled", 1000, 1));
        r.classes.add(safeClass("served", 1000, 1));
        r.start(ready(10));
        for (int i = 100; i < 106; i++) {
            r.decide(request(i, 0));
            r.decideAfter(500, new ClientLeft(i), attemptEnded(i, 0, 10, Outcome.CANCELLED, 90_000));
            r.decide(request(i + 100, 1));
            r.decideAfter(2000, attemptEnded(i + 100, 0, 10, Outcome.OK, 2000));
        }
        r.fillLimit(1);
        r.decide(request(2, 1), request(3, 0));
        assertEquals(3, sends(r.decideAfter(100, attemptEnded(9000, 0, 10, Outcome.OK, 2000))).get(0).id());
    }

    private List<SendAttempt> running = List.of();

    /**
     * Serves from a long queue for some rounds at the given latency; returns how many ran at once in the
     * last.
     */
    private int mostRunning(RouterHarness r, double latency, int rounds) {
        int most = 0;
        for (int i = 0; i < rounds; i++) {
            List<Event> events = new ArrayList<>();
            for (SendAttempt s : running) {
                events.add(attemptEnded(s.id(), 0, s.engine(), Outcome.OK, latency));
            }
            for (int k = 0; k < 40; k++) {
                events.add(request(r.hashCode() + (long) r.now * 100 + k, 0));
            }
            r.now += 50;
            running = sends(r.scheduler.decide(r.now, events));
            most = running.size();
        }
        return most;
    }

    @Test
    void theLimitStartsAtTheShareGrowsNearTheBestLatencyAndIsCutAboveIt() {
        RouterHarness r = new RouterHarness();
        r.routers = 4;
        r.classes.add(safeClass("a", 3000, 1));
        r.start(ready(10));
        assertEquals(2, mostRunning(r, 50, 1), "eight cores over four routers");
        int wide = mostRunning(r, 50, 40);
        assertTrue(wide > 4, "grown to " + wide);
        int cut = mostRunning(r, 400, 12);
        assertTrue(cut < wide / 2, "cut from " + wide + " to " + cut);
    }

    @Test
    void anIdleEngineHasRoomForOneQuery() {
        RouterHarness r = twoClasses();
        r.routers = 100;
        r.start(ready(10));
        assertEquals(1, sends(r.decide(request(1, 0), request(2, 0))).size());
    }

    @Test
    void anEngineThatFailsFarMoreThanItsPeersIsEjected() {
        RouterHarness r = new RouterHarness();
        r.classes.add(safeClass("a", 1000, 1));
        r.start(ready(10), ready(11), ready(12));
        int bad = 0;
        List<Event> due = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            due.add(request(i, 0));
            List<Action> out = r.decideAfter(20, due.toArray(new Event[0]));
            due.clear();
            for (SendAttempt s : sends(out)) { // the good engines hold a query for a step, the failing one looks idle
                bad += i >= 100 && s.engine() == 10 ? 1 : 0;
                for (int attempt = 0; attempt < 4; attempt++) {
                    due.add(attemptEnded(s.id(), attempt, s.engine(), s.engine() == 10
                            ? Outcome.ERROR : Outcome.OK, 20));
                }
            }
            for (int k = 0; k < 12; k++) {
                due.add(request(1000 + 12L * i + k, 0));
            }
        }
        assertTrue(bad <= 8, "sent to the failing engine " + bad + " times of a thousand");
    }

    @Test
    void anAttemptOfTooSlowProgressIsCancelledAndRetried() {
        RouterHarness r = new RouterHarness();
        r.classes.add(safeClass("a", 2000, 1));
        r.start(ready(10), ready(11));
        for (int i = 100; i < 120; i++) {
            SendAttempt s = sends(r.decide(request(i, 0))).get(0);
            r.decideAfter(100, attemptEnded(i, 0, s.engine(), Outcome.OK, 100));
        }
        SendAttempt s = sends(r.decide(request(1, 0))).get(0);
        List<Action> out = r.decideAfter(150, new AttemptNote(1, 0, s.engine(), NoteKind.PROGRESS, 0.05));
        assertEquals(1, ofType(out, CancelAttempt.class).size());
        out = r.decideAfter(5, attemptEnded(1, 0, s.engine(), Outcome.CANCELLED, 155));
        assertEquals(1, sends(out).size());
    }

    @Test
    void lateQueriesAreNotSentBeforeThoseThatCanStillBeInTime() {
        RouterHarness r = new RouterHarness();
        r.routers = 8;
        r.classes.add(safeClass("a", 1000, 1));
        r.start(ready(10));
        for (int i = 100; i < 120; i++) {
            r.decide(request(i, 0));
            r.decideAfter(100, attemptEnded(i, 0, 10, Outcome.OK, 100));
        }
        r.fillLimit(0);
        r.decide(request(2, 0));
        r.decideAfter(2800, request(3, 0));
        assertEquals(3, sends(r.decideAfter(700, attemptEnded(9000, 0, 10, Outcome.OK, 100))).get(0).id());
    }

    @Test
    void discoveryOnRequestIsRepeatedAfterAFailure() {
        RouterHarness r = twoClasses();
        r.discoveryOnRequest = true;
        r.scheduler = new GcMuScheduler(r.settings(), 7);
        assertEquals(1, ofType(r.decide(new EngineList(ListKind.CACHED, 1, List.of(ready(10)))),
                WatchEngineList.class).size());
        assertEquals(0, ofType(r.decideAfter(100, new EngineList(ListKind.FAILED, 0, List.of())),
                WatchEngineList.class).size());
        int again = 0;
        for (int i = 0; i < 200; i++) {
            again += ofType(r.decideAfter(25, new TimerFired(1)), WatchEngineList.class).size();
        }
        assertEquals(1, again);
    }

    @Test
    void unknownIdsAndAStoppedClockAreHarmless() {
        RouterHarness r = twoClasses().start(ready(10), ready(10));
        r.decide(attemptEnded(99, 0, 10, Outcome.OK, 5), new AttemptNote(99, 0, 10, NoteKind.PROGRESS, 0.5),
                new ClientLeft(99));
        r.decide(request(1, 0), request(1, 0), request(2, 7));
        r.decide(attemptEnded(1, 0, 10, Outcome.OK, 0), attemptEnded(1, 0, 10, Outcome.OK, 0),
                attemptEnded(1, 5, 10, Outcome.OK, 0));
        assertEquals(1, sends(r.decide(request(3, 0))).size());
    }

    @Test
    void settingsWithoutClassesOrRoutersNameTheField() {
        RouterHarness r = new RouterHarness();
        assertTrue(assertThrows(IllegalArgumentException.class, r::start).getMessage().contains("classes"));
        r.classes.add(safeClass("a", 1000, 1));
        r.routers = 0;
        assertTrue(assertThrows(IllegalArgumentException.class, r::start).getMessage().contains("routers"));
    }

    @Test
    void theSameEventsGiveTheSameActions() {
        List<List<Action>> runs = new ArrayList<>();
        for (int run = 0; run < 2; run++) {
            RouterHarness r = twoClasses().start(ready(10), ready(11), ready(12));
            List<Action> all = new ArrayList<>();
            for (int i = 0; i < 50; i++) {
                all.addAll(r.decideAfter(7, request(i, i % 2)));
            }
            runs.add(all);
        }
        assertEquals(runs.get(0), runs.get(1));
    }

    @Test
    void aQueryThatWaitsForALoadIsSentElsewhereAndSoAreOthersOfItsTables() {
        RouterHarness r = withLoads().start(ready(10), ready(11));
        long held = sends(r.decide(waitingRequest(1))).get(0).engine();
        List<Action> cut = r.decideAfter(60, new AttemptNote(1, 0, held, NoteKind.WAIT, 2));
        assertEquals(List.of(new CancelAttempt(1, 0, CancelReason.WAITS_FOR_LOAD)),
                ofType(cut, CancelAttempt.class));
        List<SendAttempt> again = sends(r.decideAfter(1, attemptEnded(1, 0, held, Outcome.CANCELLED, 61)));
        again = new ArrayList<>(again);
        for (int i = 2; i < 6; i++) {
            again.addAll(sends(r.decide(waitingRequest(i))));
        }
        assertEquals(5, again.size());
        assertTrue(again.stream().allMatch(s -> s.engine() != held), "tables are held at " + held + ": " + again);
    }

    /** A class that waits for loads, and one of loads. */
    private static RouterHarness withLoads() {
        RouterHarness r = new RouterHarness();
        r.classes.add(new ClassSpec("waits", 1000, 0, 4000, 1, 0.5, Idempotency.SAFE, DeduplicationScope.ALL,
                3000, false, false, 1, false, true, null, null));
        r.classes.add(new ClassSpec("load", 3000, 0, 9000, 5, 0.5, Idempotency.UNSAFE, DeduplicationScope.ALL,
                3000, false, false, 2, true, false, null, null));
        return r;
    }

    private static AttemptNote waitsForLoadNote(SendAttempt s) {
        return new AttemptNote(s.id(), 0, s.engine(), NoteKind.WAIT, 2);
    }

    /**
     * After one infinite estimate, predictions became NaN, and nothing was sent, refused or failed any more.
     */
    @Test
    void anInfiniteEstimateDoesNotSpoilThePredictionsOfOthers() {
        RouterHarness r = twoClasses().start(ready(10));
        for (int i = 0; i < 20; i++) {
            double work = i == 3 ? Double.POSITIVE_INFINITY : 50 + i;
            List<SendAttempt> out = sends(r.decide(new Request(i, 0, 0, 4000, work, 0, 0, 0, false, false)));
            out.forEach(s -> r.decideAfter(10, attemptEnded(s.id(), 0, s.engine(), Outcome.OK, 10)));
        }
        assertEquals(1, sends(r.decide(request(100, 0))).size());
        r.fillLimit(0);
        r.decide(request(200, 0)); // held, and refused when its time is up
        assertTrue(ofType(r.decideAfter(4000, new TimerFired(1)), RefuseRequest.class)
                .stream().anyMatch(x -> x.id() == 200));
    }

    /**
     * A query used up five attempts within 10 ms on engines just reported as held, and the fifth waited
     * there.
     */
    @Test
    void aQueryIsHeldWhileLoadsHoldItsTablesEverywhereUntilTheNotesAreOld() {
        RouterHarness r = withLoads().start(ready(10), ready(11));
        for (int i = 1; i <= 2; i++) {
            SendAttempt s = sends(r.decide(waitingRequest(i))).get(0);
            r.decideAfter(2, waitsForLoadNote(s));
            r.decideAfter(1, attemptEnded(i, 0, s.engine(), Outcome.CANCELLED, 3), new ClientLeft(i));
        }
        assertEquals(List.of(), sends(r.decide(waitingRequest(3))));
        assertEquals(List.of(), sends(r.decideAfter(200, new TimerFired(1))));
        assertEquals(1, sends(r.decideAfter(150, new TimerFired(1))).size());
    }

    /**
     * Lookups that had waited for loads for 600 ms cut the limits of their engines to the minimum, and the
     * rest was refused.
     */
    @Test
    void timeSpentBehindALoadNeitherCutsTheLimitNorCountsAsSilence() {
        int[] room = new int[2];
        for (int held = 0; held < 2; held++) {
            RouterHarness r = withLoads();
            r.routers = 4; // its part of the engine is two threads, and the limit grows from there
            r.start(ready(10));
            for (int i = -200; i < 0; i += 5) {
                List<SendAttempt> out = sends(r.decide(waitingRequest(i), waitingRequest(i + 1),
                        waitingRequest(i + 2), waitingRequest(i + 3),
                        waitingRequest(i + 4)));
                while (!out.isEmpty()) {
                    List<Event> ends = new ArrayList<>();
                    out.forEach(s -> ends.add(attemptEnded(s.id(), 0, s.engine(), Outcome.OK, 100)));
                    out = sends(r.decideAfter(100, ends.toArray(Event[]::new)));
                }
            }
            for (int i = 100; held == 1 && i < 130; i++) {
                for (SendAttempt s : sends(r.decideAfter(400, waitingRequest(i)))) {
                    r.decideAfter(2, waitsForLoadNote(s));
                    Outcome end = i % 2 == 0 ? Outcome.OK : Outcome.TIMEOUT;
                    for (int ms = 0; ms < 3000; ms += 5) { // with timers in between, or it would look like a stall
                        r.decideAfter(5, new TimerFired(1));
                    }
                    r.decide(attemptEnded(s.id(), 0, s.engine(), end, 3000), new ClientLeft(s.id()));
                }
            }
            r.decideAfter(2000, new TimerFired(1));
            for (int i = 1000; i < 1040; i++) {
                room[held] += sends(r.decide(waitingRequest(i))).size();
            }
        }
        assertTrue(room[0] > 4, "room " + room[0]);
        assertEquals(room[0], room[1]);
    }

    @Test
    void anEjectedEngineIsTriedAgainAlthoughOlderAttemptsHangThere() {
        RouterHarness r = new RouterHarness();
        r.classes.add(safeClass("a", 1000, 1));
        r.start(ready(10), ready(11), ready(12));
        List<SendAttempt> first = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            first.addAll(sends(r.decide(request(i, 0))));
        }
        long silent = first.get(0).engine();
        first.removeIf(s -> s.engine() != silent);
        for (int i = 100; i < 300 && first.get(first.size() - 1).id() < 100; i++) { // the other engines answer meanwhile
            for (SendAttempt s : sends(r.decideAfter(20, request(i, 0), new TimerFired(1)))) {
                if (s.engine() != silent) {
                    r.decideAfter(10, attemptEnded(s.id(), 0, s.engine(), Outcome.OK, 10));
                } else if (r.now > 2500) {
                    first.add(s); // tried again, though nothing sent before has ended
                }
            }
        }
        assertTrue(first.get(first.size() - 1).id() >= 100, "never tried again by " + r.now);
    }

    private static Request waitingRequest(long id) {
        return new Request(id, 0, 0, 4000, 100, 0, 3, 0, false, false);
    }
}
