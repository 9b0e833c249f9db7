package quincespar.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import quincespar.decision.Scheduler;
import quincespar.routing.SimulatedRouter.Spec;

/** Budgets hold for a front end, also while two of its processes serve, and for what the older one has sent before its end. */
class ProcessOverlapTest {
    private static final double FREE_RETRIES = 3, RETRY_SHARE = 0.1, RETRY_WINDOW_MS = 5000;
    private static final double COLD_WINDOW_MS = 3000, COLD_MULTIPLE = 2.5;
    private static final int REQUESTS = 10;
    private static final RoutingSettings SETTINGS = withBudgets(SimulatedRouter.settings(5, new Spec("lookup", "safe")));

    private final SimulatedRouter older = new SimulatedRouter(SETTINGS);
    private final SimulatedRouter newer = new SimulatedRouter(SETTINGS);

    private static RoutingSettings withBudgets(RoutingSettings settings) {
        Scheduler.Rules rules = settings.decision().rules();
        return settings.withRules(new Scheduler.Rules(rules.answerSlack(), rules.discoveryInterval(), rules.coldPeriod(),
                rules.coldCapacityShare(), rules.drainGrace(), COLD_WINDOW_MS, COLD_MULTIPLE, rules.settlePeriod(), FREE_RETRIES,
                RETRY_SHARE, RETRY_WINDOW_MS));
    }

    private void bothAlive() {
        older.step(new Input.OtherProcesses(true, false));
        newer.step(new Input.OtherProcesses(true, true));
    }

    /** A process takes requests of which each attempt fails; returns how many attempts beyond the first it makes. */
    private static int retries(SimulatedRouter router) {
        router.sends.clear();
        for (int i = 0; i < REQUESTS; i++) {
            router.request("lookup");
        }
        for (int i = 0; i < 200; i++) {
            for (int open = router.running.size(); open > 0 && !router.running.isEmpty(); open--) {
                router.engineAnswers(0, false);
            }
            router.advance(5);
        }
        return router.sends.values().stream().mapToInt(n -> n - 1).sum();
    }

    private static double coldMultiple(SimulatedRouter router) {
        return router.settings.decision().rules().overloadMultiple();
    }

    /** Guards against a retry budget that each of two processes uses in full. */
    @Test
    void theRetriesOfTwoProcessesStayWithinTheBudgetOfOneFrontEnd() {
        bothAlive();
        int together = retries(older) + retries(newer);
        assertThat(together).isBetween((int) FREE_RETRIES, (int) (FREE_RETRIES + RETRY_SHARE * 2 * REQUESTS));
    }

    /** What the older process has sent counts until its window has passed. */
    @Test
    void theFreeRetriesAreTheNewProcesssAWindowAfterTheEndOfTheOlderOne() {
        bothAlive();
        newer.step(new Input.OtherProcesses(false, false));
        assertThat(newer.effects).contains(new Effect.StartTimer(new TimerKey.OverlapEnd(), COLD_WINDOW_MS));
        assertThat(retries(newer)).isLessThanOrEqualTo((int) (RETRY_SHARE * REQUESTS));
        newer.now += RETRY_WINDOW_MS;
        newer.step(new Input.TimerFired(new TimerKey.OverlapEnd()));
        assertThat(retries(newer)).isEqualTo((int) (FREE_RETRIES + RETRY_SHARE * REQUESTS));
    }

    /** Guards against a cold engine that gets the whole allowance of a front end from each of two processes. */
    @Test
    void eachOfTwoProcessesHasHalfOfAColdEnginesAllowance() {
        bothAlive();
        assertThat(List.of(coldMultiple(older), coldMultiple(newer))).containsOnly(COLD_MULTIPLE / 2);
        newer.step(new Input.OtherProcesses(false, false));
        assertThat(coldMultiple(newer)).isEqualTo(COLD_MULTIPLE / 2);
        newer.advance(COLD_WINDOW_MS);
        newer.step(new Input.TimerFired(new TimerKey.OverlapEnd()));
        assertThat(coldMultiple(newer)).isEqualTo(COLD_MULTIPLE);
    }

    /** A configuration that is loaded meanwhile does not end the sharing. */
    @Test
    void aReloadKeepsTheSharing() {
        bothAlive();
        newer.reload(SETTINGS);
        assertThat(coldMultiple(newer)).isEqualTo(COLD_MULTIPLE / 2);
        assertThat(newer.settings.decision().rules().retryBudgetBase()).isZero();
        assertThat(older.settings.decision().rules().retryBudgetBase()).isEqualTo(FREE_RETRIES);
    }
}
