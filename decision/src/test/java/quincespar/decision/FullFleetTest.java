package quincespar.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import quincespar.decision.Scheduler.EngineState;

/**
 * A hundred routers and eighty engines: guards against what is harmless at one router and adds up over the
 * fleet.
 */
class FullFleetTest {
    private static final int ROUTERS = 100;
    private static final int ENGINES = 80;

    private final SimulatedFleet fleet = new SimulatedFleet(ROUTERS, ENGINES, 0.14);

    /** Half of the routers restart, a tenth at a time, while a quarter of the engines is replaced. */
    @Test
    void halfOfTheRoutersRestartWhileEnginesAreReplaced() {
        fleet.start();
        fleet.run(3, true);
        for (int tenth = 0; tenth < 5; tenth++) {
            for (int me = tenth; me < ROUTERS; me += 10) {
                fleet.restart(me);
            }
            for (long e = 1 + 4 * tenth; e <= 4 + 4 * tenth; e++) {
                fleet.list(e, EngineState.DRAINING, 0);
                fleet.answers.put(100 + e, true);
                fleet.list(100 + e, EngineState.READY, fleet.now);
            }
            fleet.run(1.5, true);
        }
        for (long e = 1; e <= 20; e++) {
            fleet.list(e, EngineState.GONE, 0);
        }
        fleet.run(6, true);
        assertTrue(fleet.sentCold.size() >= 12, "new engines are used: " + fleet.sentCold.size());
        fleet.finishAndCheck(0.85);
    }

    /**
     * Three in ten fall silent, are removed from the lists later, and return cold; routers get the lists up
     * to two seconds late.
     */
    @Test
    void aZoneIsLostAndReturnsColdWhileListsComeLate() {
        fleet.start();
        fleet.run(3, true);
        List<Long> zone = new ArrayList<>();
        for (long e = 1; e <= 24; e++) {
            zone.add(e);
            fleet.answers.put(e, false);
        }
        fleet.run(3, true);
        listLate(zone, EngineState.GONE, 0);
        fleet.run(1, true);
        double back = fleet.now;
        zone.forEach(e -> fleet.answers.put(e, true));
        listLate(zone, EngineState.READY, back);
        fleet.run(10, true);
        assertTrue(fleet.sentCold.size() >= 12, "those that return are used: " + fleet.sentCold.size());
        fleet.finishAndCheck(0.8);
    }

    /** Ids are never reused: what the scheduler keeps by id must be removed with what the id names. */
    @Test
    void nothingGrowsWithEverNewEnginesAndRequests() throws IllegalAccessException {
        SimulatedFleet one = new SimulatedFleet(1, 6, 0.5);
        one.start();
        replace(one, 1, 40);
        int before = collectionSizes(one);
        replace(one, 41, 400);
        assertTrue(collectionSizes(one) <= before + 20,
                collectionSizes(one) + " entries are kept, " + before + " before");
        one.finishAndCheck(0.8);
    }

    private static void replace(SimulatedFleet one, long from, int count) {
        for (long e = from; e < from + count; e++) {
            one.answers.put(e + 6, true);
            one.list(e + 6, EngineState.READY, one.now);
            one.list(e, EngineState.DRAINING, 0);
            one.run(1, true);
            one.list(e, EngineState.GONE, 0);
        }
        one.run(25, false);
    }

    /** The number of entries in the scheduler's own collections. */
    private static int collectionSizes(SimulatedFleet one) throws IllegalAccessException {
        int sum = 0;
        for (java.lang.reflect.Field f : GcMuScheduler.class.getDeclaredFields()) {
            f.setAccessible(true);
            Object value = f.get(one.routerList.get(0).harness.scheduler);
            sum += value instanceof java.util.Map<?, ?> m
                    ? m.size() : value instanceof java.util.Collection<?> c ? c.size() : 0;
        }
        return sum;
    }

    /** Each 200 ms another tenth of the routers gets the new list. */
    private void listLate(List<Long> engines, EngineState state, double started) {
        for (int tenth = 0; tenth < 10; tenth++) {
            for (int me = tenth; me < ROUTERS; me += 10) {
                for (long e : engines) {
                    fleet.listAt(fleet.routerList.get(me), e, state, started);
                }
            }
            fleet.run(0.2, true);
        }
    }
}
