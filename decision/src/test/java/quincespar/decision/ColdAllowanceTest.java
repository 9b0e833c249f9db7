package quincespar.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import quincespar.decision.Scheduler.EngineState;

/** The division of a cold engine's allowance among routers that share nothing. */
class ColdAllowanceTest {
    private static final double LIGHT_WORK = 300;
    private static final double HEAVY_WORK = 4000;

    @Test
    void eachOfThreeRoutersSendsALightQueryToAColdEngine() {
        for (int index = 0; index < 3; index++) {
            RouterHarness router = new RouterHarness();
            router.routers = 3;
            router.routerIndex = index;
            router.classes.add(RouterHarness.safeClass("light", 100, 1));
            router.classes.add(RouterHarness.safeClass("heavy", 1200, 1));
            router.start(RouterHarness.engine(50, 0, 0, EngineState.READY, router.now - 1));
            int sent = RouterHarness.sends(router.decide(RouterHarness.request(1, 0))).size();
            assertEquals(1, sent, "router " + index);
        }
    }

    /**
     * With room for two of three routers to send a heavy query, the third had no part of any engine that
     * hashed alike: it refused three quarters of its light queries while replaced engines were warming up.
     */
    @Test
    void aRouterThatIsNoHostMaySendLightQueries() {
        ColdAllowance allowance = new ColdAllowance(10_700, 3, LIGHT_WORK, HEAVY_WORK);
        assertEquals(HEAVY_WORK, allowance.partOf(0, 0, 0));
        assertEquals(HEAVY_WORK, allowance.partOf(1, 0, 0));
        assertEquals(2700, allowance.partOf(2, 0, 0));
    }

    @Test
    void hostsKeepAllWhereTheRestIsTooLittleForALightQueryEach() {
        ColdAllowance allowance = new ColdAllowance(10_700, 14, LIGHT_WORK, HEAVY_WORK);
        assertEquals(5350, allowance.partOf(0, 0, 0));
        assertEquals(0, allowance.partOf(2, 0, 0));
    }

    @Test
    void allRoutersAreHostsWhereAnEvenPartFitsAHeavyQuery() {
        ColdAllowance allowance = new ColdAllowance(12_000, 3, LIGHT_WORK, HEAVY_WORK);
        IntStream.range(0, 3).forEach(router -> assertEquals(4000, allowance.partOf(router, 0.5, 0)));
    }

    @Test
    void thePartsTogetherStayWithinTheAllowance() {
        for (int routers = 1; routers <= 100; routers++) {
            ColdAllowance allowance = new ColdAllowance(10_700, routers, LIGHT_WORK, HEAVY_WORK);
            for (double position = 0; position < 1; position += 0.07) {
                double enginePosition = position;
                double sum = IntStream.range(0, routers)
                        .mapToDouble(router -> allowance.partOf(router, enginePosition, 3)).sum();
                assertTrue(sum <= 10_700 + 1e-6, routers + " routers may send " + sum);
                assertTrue(sum > 10_700 / 2.0 - 1e-6, routers + " routers may send only " + sum);
            }
        }
    }
}
