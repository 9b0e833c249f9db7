package quincespar.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import quincespar.decision.Scheduler.EngineState;

/** A hundred routers and eighty engines: what is harmless in one and adds up over the fleet. */
class FullFleetTest {
    private static final int ROUTERS = 100, ENGINES = 80;

    private final FleetWorld w = new FleetWorld(ROUTERS, ENGINES, 0.14);

    /** Half of the routers start anew, a tenth at a time, while a quarter of the engines is replaced. */
    @Test
    void halfOfTheRoutersStartAnewWhileEnginesAreReplaced() {
        w.begin();
        w.run(3, true);
        for (int tenth = 0; tenth < 5; tenth++) {
            for (int me = tenth; me < ROUTERS; me += 10) {
                w.restart(me);
            }
            for (long e = 1 + 4 * tenth; e <= 4 + 4 * tenth; e++) {
                w.list(e, EngineState.DRAINING, 0);
                w.answers.put(100 + e, true);
                w.list(100 + e, EngineState.READY, w.now);
            }
            w.run(1.5, true);
        }
        for (long e = 1; e <= 20; e++) {
            w.list(e, EngineState.GONE, 0);
        }
        w.run(6, true);
        assertTrue(w.sentCold.size() >= 12, "new engines are used: " + w.sentCold.size());
        w.finish(0.85);
    }

    /** Three in ten fall silent, are gone from the lists later, and return cold; the lists come up to two seconds late. */
    @Test
    void aZoneIsLostAndReturnsColdWhileListsComeLate() {
        w.begin();
        w.run(3, true);
        List<Long> zone = new ArrayList<>();
        for (long e = 1; e <= 24; e++) {
            zone.add(e);
            w.answers.put(e, false);
        }
        w.run(3, true);
        late(zone, EngineState.GONE, 0);
        w.run(1, true);
        double back = w.now;
        zone.forEach(e -> w.answers.put(e, true));
        late(zone, EngineState.READY, back);
        w.run(10, true);
        assertTrue(w.sentCold.size() >= 12, "those that return are used: " + w.sentCold.size());
        w.finish(0.8);
    }

    /** Ids are ever new; what the module keeps by id must go with what they name. */
    @Test
    void nothingGrowsWithEverNewEnginesAndRequests() throws IllegalAccessException {
        FleetWorld one = new FleetWorld(1, 6, 0.5);
        one.begin();
        replace(one, 1, 40);
        int before = kept(one);
        replace(one, 41, 400);
        assertTrue(kept(one) <= before + 20, kept(one) + " things are kept, " + before + " before");
        one.finish(0.8);
    }

    private static void replace(FleetWorld one, long from, int count) {
        for (long e = from; e < from + count; e++) {
            one.answers.put(e + 6, true);
            one.list(e + 6, EngineState.READY, one.now);
            one.list(e, EngineState.DRAINING, 0);
            one.run(1, true);
            one.list(e, EngineState.GONE, 0);
        }
        one.run(25, false);
    }

    /** How many things the module's own collections hold. */
    private static int kept(FleetWorld one) throws IllegalAccessException {
        int sum = 0;
        for (java.lang.reflect.Field f : GcMuScheduler.class.getDeclaredFields()) {
            f.setAccessible(true);
            Object value = f.get(one.fronts.get(0).rig.brain);
            sum += value instanceof java.util.Map<?, ?> m ? m.size() : value instanceof java.util.Collection<?> c ? c.size() : 0;
        }
        return sum;
    }

    /** A tenth of the front ends hears of it every 200 ms. */
    private void late(List<Long> engines, EngineState state, double started) {
        for (int tenth = 0; tenth < 10; tenth++) {
            for (int me = tenth; me < ROUTERS; me += 10) {
                for (long e : engines) {
                    w.tell(w.fronts.get(me), e, state, started);
                }
            }
            w.run(0.2, true);
        }
    }
}
