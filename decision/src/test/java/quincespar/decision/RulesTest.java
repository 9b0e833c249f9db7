package quincespar.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static quincespar.decision.RouterHarness.attemptEnded;
import static quincespar.decision.RouterHarness.classSpec;
import static quincespar.decision.RouterHarness.engine;
import static quincespar.decision.RouterHarness.ofType;
import static quincespar.decision.RouterHarness.ready;
import static quincespar.decision.RouterHarness.request;
import static quincespar.decision.RouterHarness.requestOfKey;
import static quincespar.decision.RouterHarness.safeClass;
import static quincespar.decision.RouterHarness.sends;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import quincespar.decision.Scheduler.Action;
import quincespar.decision.Scheduler.CancelAttempt;
import quincespar.decision.Scheduler.ClientLeft;
import quincespar.decision.Scheduler.DeduplicationScope;
import quincespar.decision.Scheduler.EngineList;
import quincespar.decision.Scheduler.EngineState;
import quincespar.decision.Scheduler.Event;
import quincespar.decision.Scheduler.FailRequest;
import quincespar.decision.Scheduler.Idempotency;
import quincespar.decision.Scheduler.Limits;
import quincespar.decision.Scheduler.ListKind;
import quincespar.decision.Scheduler.Outcome;
import quincespar.decision.Scheduler.RefuseRequest;
import quincespar.decision.Scheduler.Request;
import quincespar.decision.Scheduler.Rules;
import quincespar.decision.Scheduler.SendAttempt;
import quincespar.decision.Scheduler.TimerFired;

/** The seven rules that every send and answer must keep, each for a single router. */
class RulesTest {
    private static RouterHarness router(Idempotency effect, DeduplicationScope scope) {
        RouterHarness r = new RouterHarness();
        r.classes.add(classSpec("a", 1000, 1, effect, scope, false, null, null));
        return r;
    }

    private static int answers(List<Action> actions) {
        return ofType(actions, RefuseRequest.class).size() + ofType(actions, FailRequest.class).size();
    }

    @Test
    void aHeldRequestIsAnsweredOnceBeforeItsDeadlineByTimersAlone() {
        RouterHarness r = router(Idempotency.SAFE, DeduplicationScope.ALL).start();
        r.decide(request(1, 0));
        int answers = 0;
        for (double t = 0; t < 4000; t += 25) {
            answers += answers(r.decideAfter(25, new TimerFired(1)));
        }
        assertEquals(1, answers);
    }

    @Test
    void aRetryWithoutTimeLeftIsAnsweredInTheSameCall() {
        RouterHarness r = router(Idempotency.SAFE, DeduplicationScope.ALL).start(ready(10));
        List<Action> out = r.decide(new Request(1, 0, 0, 0, 100, 0, 0, 0, true, false));
        assertEquals(1, answers(out));
        assertTrue(sends(out).isEmpty());
    }

    @Test
    void aTimeoutAtTheDeadlineIsAnsweredAtOnceAndNothingFollows() {
        RouterHarness r = router(Idempotency.SAFE, DeduplicationScope.ALL).start(ready(10));
        r.decide(request(1, 0));
        List<Action> out = r.decideAfter(4000, attemptEnded(1, 0, 10, Outcome.TIMEOUT, 4000));
        assertEquals(1, answers(out));
        assertTrue(sends(out).isEmpty());
        assertEquals(0, answers(r.decideAfter(25, new ClientLeft(1), new TimerFired(1))));
    }

    @Test
    void theLimitOfOpenRequestsIsNeverReached() {
        RouterHarness r = router(Idempotency.SAFE, DeduplicationScope.ALL);
        r.limits = new Limits(true, false, false, false, true, 4, 500, 10, 250);
        r.start();
        int answered = 0;
        for (int i = 0; i < 20; i++) {
            answered += answers(r.decide(request(i, 0)));
            assertTrue(i + 1 - answered < 10);
        }
        assertEquals(12, answered);
    }

    @Test
    void anUnsafeRequestIsNeitherResentNorRefusedOnceItMayHaveRun() {
        RouterHarness r = router(Idempotency.UNSAFE, DeduplicationScope.ALL).start(ready(10), ready(11));
        long engine = sends(r.decide(request(1, 0))).get(0).engine();
        List<Action> out = r.decideAfter(50, attemptEnded(1, 0, engine, Outcome.RESET, 50));
        assertTrue(sends(out).isEmpty());
        assertEquals(1, ofType(out, FailRequest.class).size());
        engine = sends(r.decide(request(2, 0))).get(0).engine();
        assertEquals(1, sends(r.decideAfter(50, attemptEnded(2, 0, engine, Outcome.FULL, 50))).size());
    }

    @Test
    void aKeyedRequestIsResentOnlyWithinItsCellAndWindow() {
        RouterHarness r = router(Idempotency.KEYED, DeduplicationScope.CELL).start(engine(10, 0, 1,
                EngineState.READY, 0));
        r.decide(request(1, 0));
        r.decide(new EngineList(ListKind.FULL, 2, List.of(engine(11, 0, 2, EngineState.READY, 0))));
        List<Action> out = r.decideAfter(50, attemptEnded(1, 0, 10, Outcome.ERROR, 50));
        assertTrue(sends(out).isEmpty(), "no engine of the cell is left");
        out = r.decideAfter(50, new EngineList(ListKind.DELTA, 3,
                List.of(engine(12, 0, 1, EngineState.READY, 0))));
        assertEquals(12, sends(out).get(0).engine());
        List<Action> late = new ArrayList<>(r.decideAfter(3000, attemptEnded(1, 1, 12, Outcome.ERROR, 3000)));
        assertTrue(sends(late).isEmpty(), "the window of deduplication is over");
        assertTrue(ofType(late, RefuseRequest.class).isEmpty(), "not all engines deduplicate its repeats");
        assertEquals(1, ofType(late, FailRequest.class).size());
    }

    @Test
    void nothingNewGoesToADrainingOrGoneEngine() {
        RouterHarness r = router(Idempotency.SAFE, DeduplicationScope.ALL).start(ready(10));
        r.decide(new EngineList(ListKind.DELTA, 2, List.of(engine(10, 0, 0, EngineState.DRAINING, 0))));
        assertTrue(sends(r.decide(request(1, 0))).isEmpty());
        r.decide(new EngineList(ListKind.DELTA, 3, List.of(engine(10, 0, 0, EngineState.GONE, 0))));
        assertTrue(sends(r.decide(request(2, 0))).isEmpty());
        r.decide(new EngineList(ListKind.FULL, 4, List.of(ready(11))));
        assertTrue(sends(r.decide(request(3, 0))).stream().allMatch(s -> s.engine() == 11));
    }

    @Test
    void aColdEngineGetsLessThanThisRoutersPartInAnyWindow() {
        RouterHarness r = router(Idempotency.SAFE, DeduplicationScope.ALL);
        r.routers = 2;
        r.start(engine(10, 0, 0, EngineState.READY, 900));
        double allowed = 2 * 0.3 * 0.85 * 8 * 1000 / 2;
        double sent = 0;
        long id = 1;
        for (int i = 0; i < 100; i++) {
            List<Event> events = new ArrayList<>();
            for (int k = 0; k < 5; k++) {
                events.add(request(id++, 0));
            }
            r.now += 9;
            for (SendAttempt s : sends(r.scheduler.decide(r.now, events))) {
                sent += 100;
                r.decide(attemptEnded(s.id(), 0, 10, Outcome.FULL, 1));
            }
        }
        assertTrue(sent > 0 && sent < allowed, "sent " + sent + " of " + allowed);
    }

    @Test
    void requestsOfAKeyRunOneAtATimeAndWaitAfterADoubtfulEnd() {
        RouterHarness r = new RouterHarness();
        r.classes.add(classSpec("o", 1000, 1, Idempotency.SAFE, DeduplicationScope.ALL, true, null, null));
        r.rules = new Rules(20, 10000, 0, 1, 250, 0, 1, 500, Double.NaN, Double.NaN, Double.NaN);
        r.start(ready(10), ready(11));
        assertEquals(1, sends(r.decide(requestOfKey(1, 0, 5), requestOfKey(2, 0, 5))).size());
        assertEquals(1, sends(r.decide(requestOfKey(3, 0, 6))).size(), "another key is not blocked");
        List<Action> out = r.decideAfter(10, new ClientLeft(1));
        assertTrue(sends(out).isEmpty(), "the first one still runs");
        assertEquals(1, ofType(out, CancelAttempt.class).size());
        assertTrue(sends(r.decideAfter(10, attemptEnded(1, 0, 10, Outcome.CANCELLED, 20),
                attemptEnded(1, 0, 11, Outcome.CANCELLED, 20))).isEmpty(), "the key is blocked");
        assertTrue(sends(r.decideAfter(490, new TimerFired(1))).isEmpty());
        assertEquals(2, sends(r.decideAfter(20, new TimerFired(1))).get(0).id());
    }

    @Test
    void aClassRunsOnlyInItsAllowedZones() {
        RouterHarness r = new RouterHarness();
        r.classes.add(classSpec("b", 1000, 1, Idempotency.SAFE, DeduplicationScope.ALL, false, List.of(1), null));
        r.start(ready(10));
        assertTrue(sends(r.decide(request(1, 0))).isEmpty());
        List<Action> out = r.decide(new EngineList(ListKind.DELTA, 2,
                List.of(engine(11, 1, 0, EngineState.READY, 0))));
        assertEquals(11, sends(out).get(0).engine());
        assertTrue(sends(r.decideAfter(10, attemptEnded(1, 0, 11, Outcome.ERROR, 10))).stream()
                .allMatch(s -> s.engine() == 11));
    }

    @Test
    void retriesStayWithinTheBudget() {
        RouterHarness r = router(Idempotency.SAFE, DeduplicationScope.ALL);
        r.rules = new Rules(20, 10000, 0, 1, 250, 0, 1, 0, 2, 0.1, 10000);
        r.start(ready(10), ready(11), ready(12), ready(13));
        int further = 0;
        Map<Long, Integer> attempts = new HashMap<>();
        for (int i = 1; i <= 10; i++) {
            List<SendAttempt> sends = sends(r.decideAfter(5, request(i, 0)));
            while (!sends.isEmpty()) {
                SendAttempt s = sends.get(0);
                sends = sends(r.decideAfter(1, attemptEnded(s.id(),
                        attempts.merge(s.id(), 1, Integer::sum) - 1, s.engine(), Outcome.FULL, 1)));
                further += sends.size();
            }
        }
        assertTrue(further >= 2 && further <= 3, "retries " + further);
    }

    @Test
    void aRequestHasOneAttemptAtATimeUnlessMoreAreAllowed() {
        RouterHarness r = router(Idempotency.SAFE, DeduplicationScope.ALL).start(ready(10), ready(11));
        int running = sends(r.decide(request(1, 0))).size();
        int attempt = 0;
        for (int i = 0; i < 150; i++) {
            List<Action> out = r.decideAfter(20, new TimerFired(1));
            assertTrue(sends(out).isEmpty(), "an attempt still runs");
            if (!ofType(out, CancelAttempt.class).isEmpty()) {
                out = r.decideAfter(5, attemptEnded(1, attempt, 10, Outcome.CANCELLED, 100));
                attempt += sends(out).size();
            }
        }
        assertEquals(1, running);
    }

    /**
     * Among hundreds of routers an even part of the allowance is less than one query: a few routers send in
     * each turn, and together they stay within the allowance.
     */
    @Test
    void manyRoutersSendToAColdEngineInTurns() {
        double[] sentIn = new double[5];
        for (int me = 0; me < 200; me++) {
            RouterHarness r = new RouterHarness();
            r.routers = 200;
            r.routerIndex = me;
            r.classes.add(safeClass("light", 1000, 1));
            r.start(engine(10, 0, 0, EngineState.READY, 1000));
            for (int span = 0; span < 5; span++) {
                r.now = 1050 + span * 1000;
                for (int i = 0; i < 40; i++) {
                    sentIn[span] += 100 * sends(r.decide(request(span * 100 + i, 0))).size();
                }
            }
        }
        double overloadWork = new RouterHarness().coldOverloadWork(); // allowed in a window at the least capacity
        for (int span = 0; span < 5; span++) {
            assertTrue(sentIn[span] > 0, "idle in window " + span);
            assertTrue(sentIn[span] + (span > 0 ? sentIn[span - 1] : 0) <= overloadWork,
                    "within the allowance over two turns");
        }
    }

    /**
     * Each cancelled attempt needs its own retry in the budget: several cancelled at once had shared the last
     * one.
     */
    @Test
    void noMoreAttemptsAreCancelledThanTheBudgetLetsBeRetried() {
        RouterHarness r = router(Idempotency.SAFE, DeduplicationScope.ALL);
        r.rules = new Rules(20, 10000, 0, 1, 250, 0, 1, 0, 2, 0, 10000);
        r.start(ready(10), ready(11));
        long id = 1;
        for (int i = 0; i < 40; i++) { // sends earn the credit for cancellations
            for (SendAttempt s : sends(r.decide(request(id, 0)))) {
                r.decideAfter(20, attemptEnded(s.id(), 0, s.engine(), Outcome.OK, 20));
            }
            id++;
        }
        List<Event> many = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            many.add(request(id++, 0));
        }
        assertTrue(sends(r.decide(many.toArray(new Event[0]))).size() > 3);
        int cut = 0;
        for (int i = 0; i < 100; i++) {
            cut += ofType(r.decideAfter(20, new TimerFired(1)), CancelAttempt.class).size();
        }
        assertTrue(cut > 0 && cut <= 2, "two may be retried, cancelled " + cut);
    }
}
