package quincespar.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static quincespar.decision.RouterHarness.attemptEnded;
import static quincespar.decision.RouterHarness.ready;
import static quincespar.decision.RouterHarness.request;
import static quincespar.decision.RouterHarness.sends;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import quincespar.decision.Scheduler.ClassSpec;
import quincespar.decision.Scheduler.DeduplicationScope;
import quincespar.decision.Scheduler.Event;
import quincespar.decision.Scheduler.Idempotency;
import quincespar.decision.Scheduler.Outcome;
import quincespar.decision.Scheduler.SendAttempt;

/** The room that remains on an engine whose attempts all take long. */
class ConcurrencyFloorTest {
    private static final int FAST_MS = 50;
    private static final int SLOW_MS = 2000;

    private List<SendAttempt> running = List.of();
    private long nextId = 1;

    /**
     * Each of three routers had room for one query of two threads on a slowed engine of eight cores: six
     * threads at most, part of whose time was spent on disks, while the rest was refused.
     */
    @Test
    void threeRoutersFillTheCoresOfASlowedEngineWithWideQueries() {
        RouterHarness router = new RouterHarness();
        router.routers = 3;
        router.classes.add(classOfTwoThreads());
        router.start(ready(10));
        int fast = queriesRunningAfter(router, 40, FAST_MS);
        int slow = queriesRunningAfter(router, 40, SLOW_MS);
        assertTrue(fast > slow, "the limit is still cut: from " + fast + " to " + slow);
        assertEquals(2, slow, "four threads of each router, twelve on eight cores");
    }

    @Test
    void theFloorIsOneAndAHalfThreadsPerCoreAndOneThreadAtLeast() {
        assertEquals(12, ConcurrencyFloor.threads(8, false));
        assertEquals(4, ConcurrencyFloor.threads(8.0 / 3, false), 1e-9);
        assertEquals(1, ConcurrencyFloor.threads(0.1, false));
    }

    @Test
    void aSharedLimitKeepsOneThreadPerCore() {
        assertEquals(8, ConcurrencyFloor.threads(8, true));
        assertEquals(1, ConcurrencyFloor.threads(0.1, true));
    }

    private static ClassSpec classOfTwoThreads() {
        return new ClassSpec("wide", 3000, 0, 12_000, 1, 0.5, Idempotency.SAFE, DeduplicationScope.ALL, 3000,
                false, false, 2, false, false, null, null);
    }

    /** Ends all running queries with this latency in each round, under a steady surplus of requests. */
    private int queriesRunningAfter(RouterHarness router, int rounds, double latency) {
        for (int round = 0; round < rounds; round++) {
            List<Event> events = new ArrayList<>();
            running.forEach(send -> events.add(
                    attemptEnded(send.id(), 0, send.engine(), Outcome.OK, latency)));
            for (int i = 0; i < 40; i++) {
                events.add(request(nextId++, 0));
            }
            running = sends(router.decideAfter(FAST_MS, events.toArray(Event[]::new)));
        }
        return running.size();
    }
}
