package quincespar.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static quincespar.decision.RouterHarness.engine;
import static quincespar.decision.RouterHarness.ready;
import static quincespar.decision.RouterHarness.safeClass;
import static quincespar.decision.RouterHarness.sends;

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
import quincespar.decision.Scheduler.AttemptEnded;
import quincespar.decision.Scheduler.CancelAttempt;
import quincespar.decision.Scheduler.Engine;
import quincespar.decision.Scheduler.EngineList;
import quincespar.decision.Scheduler.EngineState;
import quincespar.decision.Scheduler.Event;
import quincespar.decision.Scheduler.FailRequest;
import quincespar.decision.Scheduler.ListKind;
import quincespar.decision.Scheduler.Outcome;
import quincespar.decision.Scheduler.RefuseRequest;
import quincespar.decision.Scheduler.Request;
import quincespar.decision.Scheduler.SendAttempt;
import quincespar.decision.Scheduler.TimerFired;

/**
 * Fourteen routers without messages between them and sixty engines, in virtual time: the rules hold over the
 * whole fleet.
 */
class LargeFleetTest {
    private static final int ROUTERS = 14;
    private static final int ENGINES = 60;

    private final SimulatedFleet fleet = new SimulatedFleet(ROUTERS, ENGINES, 1);

    /**
     * The routers learn of twenty new engines at once or over two seconds: what they send together does not
     * overload a cold engine, and long queries are sent to cold engines too.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 2000})
    void fourteenRoutersDoNotOverloadEnginesThatStart(int spread) {
        fleet.start();
        fleet.run(3, true);
        double start = fleet.now;
        for (long e = 101; e <= 120; e++) {
            fleet.answers.put(e, true);
            fleet.startedAt.put(e, start);
        }
        for (SimulatedFleet.Router f : fleet.routerList) {
            List<Engine> started = new ArrayList<>();
            for (long e = 101; e <= 120; e++) {
                started.add(engine(e, 0, 0, EngineState.READY, start));
                f.listedStates.put(e, EngineState.READY);
            }
            f.nextEvents.add(new EngineList(ListKind.DELTA, 2, started));
            fleet.run(spread / 1000.0 / ROUTERS, true);
        }
        for (long e = 1; e <= 50; e++) { // the engines that have just started must share the work
            fleet.list(e, EngineState.DRAINING, 0);
        }
        fleet.run(10, true);
        assertTrue(fleet.longQueriesToCold > 0, "no long query to a cold engine");
        fleet.finishAndCheck(0.9);
    }

    /**
     * A third of the engines overloadWork silent, is listed as gone 3 s later, and returns cold under the
     * same ids.
     */
    @Test
    void aThirdOfTheEnginesFallsSilentAndReturnsCold() {
        fleet.start();
        fleet.run(5, true);
        for (long e = 1; e <= ENGINES / 3; e++) {
            fleet.answers.put(e, false);
        }
        fleet.run(3, true);
        for (long e = 1; e <= ENGINES / 3; e++) {
            fleet.list(e, EngineState.GONE, 0);
        }
        fleet.run(4, true);
        for (long e = 1; e <= ENGINES / 3; e++) {
            fleet.answers.put(e, true);
            fleet.list(e, EngineState.READY, fleet.now);
        }
        fleet.run(12, true);
        assertTrue(!fleet.sentCold.isEmpty(), "those that return are used");
        fleet.finishAndCheck(0.9);
    }

    /**
     * Six in ten engines are replaced within seven seconds: each drains while its successor starts, and is
     * gone later.
     */
    @Test
    void sixInTenEnginesAreReplacedWithinSevenSeconds() {
        fleet.start();
        fleet.run(5, true);
        for (long e = 1; e <= 36; e++) {
            fleet.list(e, EngineState.DRAINING, 0);
            fleet.answers.put(100 + e, true);
            fleet.list(100 + e, EngineState.READY, fleet.now);
            fleet.run(7.0 / 36, true);
        }
        for (long e = 1; e <= 36; e++) {
            fleet.list(e, EngineState.GONE, 0);
        }
        fleet.run(12, true);
        assertTrue(fleet.sentCold.size() >= 24, "two in three of the new ones are used: " + fleet.sentCold.size());
        fleet.finishAndCheck(0.9);
    }

    /**
     * Empty lists, duplicates, start times in the future and unknown attempts cause no send to an engine that
     * is not ready.
     */
    @Test
    void invalidListsAreHarmless() {
        fleet.start();
        for (SimulatedFleet.Router f : fleet.routerList) {
            f.nextEvents.add(new EngineList(ListKind.DELTA, 3, List.of()));
            f.nextEvents.add(new EngineList(ListKind.DELTA, 4,
                    List.of(engine(70, 0, 0, EngineState.READY, fleet.now + 60_000),
                    engine(70, 0, 0, EngineState.READY, fleet.now + 60_000))));
            f.listedStates.put(70L, EngineState.READY);
            f.nextEvents.add(new AttemptEnded(999, 0, 1, Outcome.OK, 5, true, Double.NaN, Double.NaN,
                    List.of(Double.NaN, -1.0)));
        }
        fleet.answers.put(70L, true);
        fleet.run(5, true);
        fleet.finishAndCheck(0.9);
    }

    /**
     * No router is refused as a setting, and a single router may use all of a cold engine's allowance, but no
     * more.
     */
    @Test
    void theNumberOfRoutersIsChecked() {
        RouterHarness none = new RouterHarness();
        none.routers = 0;
        none.classes.add(safeClass("light", 1000, 1));
        org.junit.jupiter.api.Assertions.assertThrows(IllegalArgumentException.class, () -> none.start(ready(1)));
        RouterHarness one = new RouterHarness();
        one.classes.add(safeClass("light", 1000, 1));
        one.start(engine(1, 0, 0, EngineState.READY, one.now));
        int sent = 0;
        for (int i = 1; i < 60; i++) {
            sent += sends(one.decide(new Request(i, 0, 0, 4000, 100, 0, 0, 0, false, false))).size();
        }
        assertTrue(sent > 0 && sent * 100 <= new RouterHarness().coldOverloadWork(), "sent " + sent);
    }
}
