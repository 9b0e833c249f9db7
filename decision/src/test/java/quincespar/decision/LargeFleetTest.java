package quincespar.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
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

/** Fourteen routers that know nothing of each other and sixty engines, in virtual time: the rules over the fleet. */
class LargeFleetTest {
    private static final int ROUTERS = 14, ENGINES = 60;

    private final FleetWorld w = new FleetWorld(ROUTERS, ENGINES, 1);

    /** All learn of the starts in one tick or over two seconds: the sum sent keeps the rule, and long queries go too. */
    @ParameterizedTest
    @ValueSource(ints = {0, 2000})
    void enginesThatStartAreNotPushedOverByFourteen(int spread) {
        w.begin();
        w.run(3, true);
        double start = w.now;
        for (long e = 101; e <= 120; e++) {
            w.answers.put(e, true);
            w.startedAt.put(e, start);
        }
        for (FleetWorld.Front f : w.fronts) {
            List<Engine> started = new ArrayList<>();
            for (long e = 101; e <= 120; e++) {
                started.add(Rig.engine(e, 0, 0, EngineState.READY, start));
                f.told.put(e, EngineState.READY);
            }
            f.next.add(new EngineList(ListKind.DELTA, 2, started));
            w.run(spread / 1000.0 / ROUTERS, true);
        }
        for (long e = 1; e <= 50; e++) { // what is left must be carried by those that have just started, too
            w.list(e, EngineState.DRAINING, 0);
        }
        w.run(10, true);
        assertTrue(w.toColdLong > 0, "no long query to a cold engine");
        w.finish(0.9);
    }

    /** A third fall silent, are listed as gone three seconds later, and return cold under the same ids. */
    @Test
    void aThirdVanishesSilentlyAndReturnsCold() {
        w.begin();
        w.run(5, true);
        for (long e = 1; e <= ENGINES / 3; e++) {
            w.answers.put(e, false);
        }
        w.run(3, true);
        for (long e = 1; e <= ENGINES / 3; e++) {
            w.list(e, EngineState.GONE, 0);
        }
        w.run(4, true);
        for (long e = 1; e <= ENGINES / 3; e++) {
            w.answers.put(e, true);
            w.list(e, EngineState.READY, w.now);
        }
        w.run(12, true);
        assertTrue(!w.sentCold.isEmpty(), "those that return are used");
        w.finish(0.9);
    }

    /** Six in ten are replaced within seven seconds, each first draining, then gone while its successor starts. */
    @Test
    void sixInTenAreReplacedWithinSevenSeconds() {
        w.begin();
        w.run(5, true);
        for (long e = 1; e <= 36; e++) {
            w.list(e, EngineState.DRAINING, 0);
            w.answers.put(100 + e, true);
            w.list(100 + e, EngineState.READY, w.now);
            w.run(7.0 / 36, true);
        }
        for (long e = 1; e <= 36; e++) {
            w.list(e, EngineState.GONE, 0);
        }
        w.run(12, true);
        assertTrue(w.sentCold.size() >= 24, "two in three of the new ones are used: " + w.sentCold.size());
        w.finish(0.9);
    }

    /** Lists that make no sense are taken as far as they do, and nothing is sent to what is not ready. */
    @Test
    void oddListsDoNoHarm() {
        w.begin();
        for (FleetWorld.Front f : w.fronts) {
            f.next.add(new EngineList(ListKind.DELTA, 3, List.of()));
            f.next.add(new EngineList(ListKind.DELTA, 4, List.of(Rig.engine(70, 0, 0, EngineState.READY, w.now + 60_000),
                    Rig.engine(70, 0, 0, EngineState.READY, w.now + 60_000))));
            f.told.put(70L, EngineState.READY);
            f.next.add(new AttemptEnded(999, 0, 1, Outcome.OK, 5, true, Double.NaN, Double.NaN, List.of(Double.NaN, -1.0)));
        }
        w.answers.put(70L, true);
        w.run(5, true);
        w.finish(0.9);
    }

    /** A wrong number of routers is refused where it can't be, and one alone takes all of a cold engine's allowance. */
    @Test
    void theNumberOfRoutersIsChecked() {
        Rig none = new Rig();
        none.routers = 0;
        none.classes.add(Rig.safe("light", 1000, 1));
        org.junit.jupiter.api.Assertions.assertThrows(IllegalArgumentException.class, () -> none.start(Rig.ready(1)));
        Rig one = new Rig();
        one.classes.add(Rig.safe("light", 1000, 1));
        one.start(Rig.engine(1, 0, 0, EngineState.READY, one.now));
        int sent = 0;
        for (int i = 1; i < 60; i++) {
            sent += Rig.sends(one.tell(new Request(i, 0, 0, 4000, 100, 0, 0, 0, false, false))).size();
        }
        assertTrue(sent > 0 && sent * 100 <= new Rig().falls(), "sent " + sent);
    }
}
