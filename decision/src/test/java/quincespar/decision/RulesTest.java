package quincespar.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import quincespar.decision.Scheduler.Action;
import quincespar.decision.Scheduler.CancelAttempt;
import quincespar.decision.Scheduler.Idempotency;
import quincespar.decision.Scheduler.EngineState;
import quincespar.decision.Scheduler.FailRequest;
import quincespar.decision.Scheduler.ClientLeft;
import quincespar.decision.Scheduler.Limits;
import quincespar.decision.Scheduler.ListKind;
import quincespar.decision.Scheduler.EngineList;
import quincespar.decision.Scheduler.Outcome;
import quincespar.decision.Scheduler.RefuseRequest;
import quincespar.decision.Scheduler.Request;
import quincespar.decision.Scheduler.Rules;
import quincespar.decision.Scheduler.DeduplicationScope;
import quincespar.decision.Scheduler.SendAttempt;
import quincespar.decision.Scheduler.TimerFired;
import org.junit.jupiter.api.Test;

/** The seven rules, each for one router alone. */
class RulesTest {
    private static Rig rig(Idempotency effect, DeduplicationScope scope) {
        Rig r = new Rig();
        r.classes.add(Rig.spec("a", 1000, 1, effect, scope, false, null, null));
        return r;
    }

    private static int answers(List<Action> actions) {
        return Rig.all(actions, RefuseRequest.class).size() + Rig.all(actions, FailRequest.class).size();
    }

    @Test
    void everyHeldRequestIsAnsweredOnceBeforeItsTimeIsUpByTimersAlone() {
        Rig r = rig(Idempotency.SAFE, DeduplicationScope.ALL).start();
        r.tell(Rig.ask(1, 0));
        int answers = 0;
        for (double t = 0; t < 4000; t += 25) {
            answers += answers(r.after(25, new TimerFired(1)));
        }
        assertEquals(1, answers);
    }

    @Test
    void aTryWithoutAnyTimeLeftIsAnsweredInTheSameStep() {
        Rig r = rig(Idempotency.SAFE, DeduplicationScope.ALL).start(Rig.ready(10));
        List<Action> out = r.tell(new Request(1, 0, 0, 0, 100, 0, 0, 0, true, false));
        assertEquals(1, answers(out));
        assertTrue(Rig.sends(out).isEmpty());
    }

    @Test
    void aTimeoutAtTheDeadlineIsAnsweredAtOnceAndNothingFollows() {
        Rig r = rig(Idempotency.SAFE, DeduplicationScope.ALL).start(Rig.ready(10));
        r.tell(Rig.ask(1, 0));
        List<Action> out = r.after(4000, Rig.end(1, 0, 10, Outcome.TIMEOUT, 4000));
        assertEquals(1, answers(out));
        assertTrue(Rig.sends(out).isEmpty());
        assertEquals(0, answers(r.after(25, new ClientLeft(1), new TimerFired(1))));
    }

    @Test
    void theOpenCapIsNeverReached() {
        Rig r = rig(Idempotency.SAFE, DeduplicationScope.ALL);
        r.limits = new Limits(true, false, false, false, true, 4, 500, 10, 250);
        r.start();
        int answered = 0;
        for (int i = 0; i < 20; i++) {
            answered += answers(r.tell(Rig.ask(i, 0)));
            assertTrue(i + 1 - answered < 10);
        }
        assertEquals(12, answered);
    }

    @Test
    void unsafeIsNeitherResentNorRefusedOnceItMayHaveRun() {
        Rig r = rig(Idempotency.UNSAFE, DeduplicationScope.ALL).start(Rig.ready(10), Rig.ready(11));
        long engine = Rig.sends(r.tell(Rig.ask(1, 0))).get(0).engine();
        List<Action> out = r.after(50, Rig.end(1, 0, engine, Outcome.RESET, 50));
        assertTrue(Rig.sends(out).isEmpty());
        assertEquals(1, Rig.all(out, FailRequest.class).size());
        engine = Rig.sends(r.tell(Rig.ask(2, 0))).get(0).engine();
        assertEquals(1, Rig.sends(r.after(50, Rig.end(2, 0, engine, Outcome.FULL, 50))).size());
    }

    @Test
    void keyedIsResentOnlyWithinItsCellAndTime() {
        Rig r = rig(Idempotency.KEYED, DeduplicationScope.CELL).start(Rig.engine(10, 0, 1, EngineState.READY, 0));
        r.tell(Rig.ask(1, 0));
        r.tell(new EngineList(ListKind.FULL, 2, List.of(Rig.engine(11, 0, 2, EngineState.READY, 0))));
        List<Action> out = r.after(50, Rig.end(1, 0, 10, Outcome.ERROR, 50));
        assertTrue(Rig.sends(out).isEmpty(), "no engine of the cell is left");
        out = r.after(50, new EngineList(ListKind.DELTA, 3, List.of(Rig.engine(12, 0, 1, EngineState.READY, 0))));
        assertEquals(12, Rig.sends(out).get(0).engine());
        List<Action> late = new ArrayList<>(r.after(3000, Rig.end(1, 1, 12, Outcome.ERROR, 3000)));
        assertTrue(Rig.sends(late).isEmpty(), "the engines have forgotten by now");
        assertTrue(Rig.all(late, RefuseRequest.class).isEmpty(), "not all engines drop its repeats");
        assertEquals(1, Rig.all(late, FailRequest.class).size());
    }

    @Test
    void nothingNewGoesToADrainingOrGoneEngine() {
        Rig r = rig(Idempotency.SAFE, DeduplicationScope.ALL).start(Rig.ready(10));
        r.tell(new EngineList(ListKind.DELTA, 2, List.of(Rig.engine(10, 0, 0, EngineState.DRAINING, 0))));
        assertTrue(Rig.sends(r.tell(Rig.ask(1, 0))).isEmpty());
        r.tell(new EngineList(ListKind.DELTA, 3, List.of(Rig.engine(10, 0, 0, EngineState.GONE, 0))));
        assertTrue(Rig.sends(r.tell(Rig.ask(2, 0))).isEmpty());
        r.tell(new EngineList(ListKind.FULL, 4, List.of(Rig.ready(11))));
        assertTrue(Rig.sends(r.tell(Rig.ask(3, 0))).stream().allMatch(s -> s.engine() == 11));
    }

    @Test
    void aColdEngineGetsLessThanThisRoutersPartInAnySpan() {
        Rig r = rig(Idempotency.SAFE, DeduplicationScope.ALL);
        r.routers = 2;
        r.start(Rig.engine(10, 0, 0, EngineState.READY, 900));
        double allowed = 2 * 0.3 * 0.85 * 8 * 1000 / 2;
        double sent = 0;
        long id = 1;
        for (int i = 0; i < 100; i++) {
            List<Scheduler.Event> events = new ArrayList<>();
            for (int k = 0; k < 5; k++) {
                events.add(Rig.ask(id++, 0));
            }
            r.now += 9;
            for (SendAttempt s : Rig.sends(r.brain.decide(r.now, events))) {
                sent += 100;
                r.tell(Rig.end(s.id(), 0, 10, Outcome.FULL, 1));
            }
        }
        assertTrue(sent > 0 && sent < allowed, "sent " + sent + " of " + allowed);
    }

    @Test
    void requestsOfAKeyRunOneAtATimeAndRestAfterDoubt() {
        Rig r = new Rig();
        r.classes.add(Rig.spec("o", 1000, 1, Idempotency.SAFE, DeduplicationScope.ALL, true, null, null));
        r.rules = new Rules(20, 10000, 0, 1, 250, 0, 1, 500, Double.NaN, Double.NaN, Double.NaN);
        r.start(Rig.ready(10), Rig.ready(11));
        assertEquals(1, Rig.sends(r.tell(Rig.keyed(1, 0, 5), Rig.keyed(2, 0, 5))).size());
        assertEquals(1, Rig.sends(r.tell(Rig.keyed(3, 0, 6))).size(), "another key is free");
        List<Action> out = r.after(10, new ClientLeft(1));
        assertTrue(Rig.sends(out).isEmpty(), "the first one still runs");
        assertEquals(1, Rig.all(out, CancelAttempt.class).size());
        assertTrue(Rig.sends(r.after(10, Rig.end(1, 0, 10, Outcome.CANCELLED, 20),
                Rig.end(1, 0, 11, Outcome.CANCELLED, 20))).isEmpty(), "the key rests");
        assertTrue(Rig.sends(r.after(490, new TimerFired(1))).isEmpty());
        assertEquals(2, Rig.sends(r.after(20, new TimerFired(1))).get(0).id());
    }

    @Test
    void aBoundClassStaysWithinItsPlaces() {
        Rig r = new Rig();
        r.classes.add(Rig.spec("b", 1000, 1, Idempotency.SAFE, DeduplicationScope.ALL, false, List.of(1), null));
        r.start(Rig.ready(10));
        assertTrue(Rig.sends(r.tell(Rig.ask(1, 0))).isEmpty());
        List<Action> out = r.tell(new EngineList(ListKind.DELTA, 2,
                List.of(Rig.engine(11, 1, 0, EngineState.READY, 0))));
        assertEquals(11, Rig.sends(out).get(0).engine());
        assertTrue(Rig.sends(r.after(10, Rig.end(1, 0, 11, Outcome.ERROR, 10))).stream()
                .allMatch(s -> s.engine() == 11));
    }

    @Test
    void furtherAttemptsStayWithinTheirBudget() {
        Rig r = rig(Idempotency.SAFE, DeduplicationScope.ALL);
        r.rules = new Rules(20, 10000, 0, 1, 250, 0, 1, 0, 2, 0.1, 10000);
        r.start(Rig.ready(10), Rig.ready(11), Rig.ready(12), Rig.ready(13));
        int further = 0;
        Map<Long, Integer> attempts = new HashMap<>();
        for (int i = 1; i <= 10; i++) {
            List<SendAttempt> sends = Rig.sends(r.after(5, Rig.ask(i, 0)));
            while (!sends.isEmpty()) {
                SendAttempt s = sends.get(0);
                sends = Rig.sends(r.after(1, Rig.end(s.id(), attempts.merge(s.id(), 1, Integer::sum) - 1, s.engine(), Outcome.FULL, 1)));
                further += sends.size();
            }
        }
        assertTrue(further >= 2 && further <= 3, "further attempts " + further);
    }

    @Test
    void withoutSecondCopiesNothingRunsTwiceAtATime() {
        Rig r = rig(Idempotency.SAFE, DeduplicationScope.ALL).start(Rig.ready(10), Rig.ready(11));
        int running = Rig.sends(r.tell(Rig.ask(1, 0))).size();
        int attempt = 0;
        for (int i = 0; i < 150; i++) {
            List<Action> out = r.after(20, new TimerFired(1));
            assertTrue(Rig.sends(out).isEmpty(), "one is still out");
            if (!Rig.all(out, CancelAttempt.class).isEmpty()) {
                out = r.after(5, Rig.end(1, attempt, 10, Outcome.CANCELLED, 100));
                attempt += Rig.sends(out).size();
            }
        }
        assertEquals(1, running);
    }

    /** Among hundreds of routers an even part is below one query: some send in each turn, the sum stays lawful. */
    @Test
    void aColdEngineIsServedInTurnsByManyRouters() {
        double[] sentIn = new double[5];
        for (int me = 0; me < 200; me++) {
            Rig r = new Rig();
            r.routers = 200;
            r.me = me;
            r.classes.add(Rig.safe("light", 1000, 1));
            r.start(Rig.engine(10, 0, 0, EngineState.READY, 1000));
            for (int span = 0; span < 5; span++) {
                r.now = 1050 + span * 1000;
                for (int i = 0; i < 40; i++) {
                    sentIn[span] += 100 * Rig.sends(r.tell(Rig.ask(span * 100 + i, 0))).size();
                }
            }
        }
        double falls = new Rig().falls(); // what the rule allows in a span at the least capacity
        for (int span = 0; span < 5; span++) {
            assertTrue(sentIn[span] > 0, "not idle in span " + span);
            assertTrue(sentIn[span] + (span > 0 ? sentIn[span - 1] : 0) <= falls, "lawful over two turns");
        }
    }

    /** An attempt cut for a resend needs its own place in the budget: several cut at once shared the last one. */
    @Test
    void noMoreIsCutThanTheBudgetLetsBeSentAgain() {
        Rig r = rig(Idempotency.SAFE, DeduplicationScope.ALL);
        r.rules = new Rules(20, 10000, 0, 1, 250, 0, 1, 0, 2, 0, 10000);
        r.start(Rig.ready(10), Rig.ready(11));
        long id = 1;
        for (int i = 0; i < 40; i++) { // sends earn the credit for cuts
            for (SendAttempt s : Rig.sends(r.tell(Rig.ask(id, 0)))) {
                r.after(20, Rig.end(s.id(), 0, s.engine(), Outcome.OK, 20));
            }
            id++;
        }
        List<Scheduler.Event> many = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            many.add(Rig.ask(id++, 0));
        }
        assertTrue(Rig.sends(r.tell(many.toArray(new Scheduler.Event[0]))).size() > 3);
        int cut = 0;
        for (int i = 0; i < 100; i++) {
            cut += Rig.all(r.after(20, new TimerFired(1)), CancelAttempt.class).size();
        }
        assertTrue(cut > 0 && cut <= 2, "two may be sent again, cut " + cut);
    }
}
