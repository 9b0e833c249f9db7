package quincespar.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import quincespar.metrics.MetricsSnapshot;
import quincespar.routing.SimulatedRouter.Spec;

/** Requests of one ordering key run one at a time at engines, in the order of arrival, whatever ends an attempt. */
class OrderByKeyTest {
    private static final double SETTLE_MS = 300;
    private static final RoutingSettings SETTINGS = SimulatedRouter.settings(3, new Spec("load", "keyed", true));

    private final SimulatedRouter router = new SimulatedRouter(SETTINGS);

    private void assertRunning(int... requests) {
        assertThat(router.running.keySet()).containsExactlyElementsOf(
                Arrays.stream(requests).mapToObj(r -> String.format("%016x", r)).toList());
    }

    private Input end(HeadEnd how, Caller head) {
        return switch (how) {
            case TIMED_OUT -> new Input.TimerFired(new TimerKey.AttemptTimeout(
                    new AttemptKey(router.moduleRequests.get(0).id(), 0)));
            case CANCELLED -> new Input.RequestCancelled(head);
            case CLIENT_GONE -> new Input.CallerDisconnected(head.connection());
        };
    }

    enum HeadEnd { TIMED_OUT, CANCELLED, CLIENT_GONE }

    /** Until its cancel is written a hanging attempt runs, and the engine may learn of the cancel a little later. */
    @ParameterizedTest
    @EnumSource
    void theNextOfAKeyRestsFromTheMomentAtWhichTheCancelIsWritten(HeadEnd how) {
        Caller head = router.request("load", "a");
        router.advance(3900);
        router.connection = 2;
        router.request("load", "a");
        router.outboxBlocked = true;
        router.advance(60); // the time limit of the first one
        router.step(end(how, head));
        router.advance(50);
        assertRunning(1);
        router.unblockOutbox();
        router.advance(SETTLE_MS + 30);
        assertRunning();
        router.advance(60);
        assertRunning(2);
    }

    @Test
    void theRetryAfterARefusalGoesBeforeTheNextOfItsKeyWhichFollowsAtOnce() {
        router.request("load", "a");
        router.request("load", "a");
        Effect.Send refused = router.running.remove("0000000000000001");
        router.step(new Input.EngineMessageReceived(refused.link(), new EngineMessage.Full(refused.txn(), List.of())));
        router.advance(SETTLE_MS);
        assertRunning(1);
        router.engineAnswers(0, true);
        router.advance(20);
        assertRunning(2);
    }

    @Test
    void theRetryAfterAResetGoesBeforeTheNextOfItsKeyWhichRests() {
        router.request("load", "a");
        router.request("load", "a");
        Effect.Send lost = router.running.remove("0000000000000001");
        router.step(new Input.LinkDown(lost.link(), "reset"));
        router.advance(20);
        assertRunning(1);
        router.engineAnswers(0, true);
        router.advance(SETTLE_MS);
        assertRunning();
        router.advance(60);
        assertRunning(2);
    }

    @Test
    void metricsTellTheKeysHeldAndTheLongestWaitBehindAnotherOfAKey() {
        router.request("load", "a");
        router.request("load", "b");
        assertThat(router.reducer.metrics().orderingKeys()).isEqualTo(new MetricsSnapshot.OrderingKeyStatus(2, 0));
        router.request("load", "b");
        router.advance(100);
        assertThat(router.reducer.metrics().orderingKeys().longestWaitMs()).isBetween(90L, 110L);
        router.settle();
        assertThat(router.reducer.metrics().orderingKeys()).isEqualTo(new MetricsSnapshot.OrderingKeyStatus(0, 0));
    }

    @Test
    void whatNeverRanDoesNotBlockItsKey() {
        router.outboxBlocked = true;
        Caller unwritten = router.request("load", "a");
        Caller queued = router.request("load", "a");
        router.request("load", "a");
        router.step(new Input.RequestCancelled(queued));
        router.outboxBlocked = false;
        router.step(new Input.RequestCancelled(unwritten));
        router.advance(20);
        assertRunning(3);
        assertThat(router.sends).hasSize(1);
    }

    private long keyNumber(int request) {
        return router.moduleRequests.get(request).key();
    }

    /** With a new number it would not wait for the settle period of the request before it. */
    @Test
    void aKeyKeepsItsNumberForTheSettlePeriodAfterItsLastRequest() {
        Caller first = router.request("load", "a");
        router.step(new Input.RequestCancelled(first));
        router.advance(SETTLE_MS / 2);
        router.request("load", "a");
        router.request("load", "b");
        assertThat(keyNumber(1)).isEqualTo(keyNumber(0)).isNotEqualTo(keyNumber(2)).isNotEqualTo(OrderingKeys.NO_KEY);
        assertThat(router.running.keySet()).containsExactly("0000000000000003");
        router.settle();
        assertThat(router.replies).hasSize(2);
        router.advance(2 * SETTLE_MS);
        router.request("load", "c");
        assertThat(router.reducer.retainedCounts()).containsEntry("held.ordering-keys", 1);
        router.request("load", "a");
        assertThat(keyNumber(4)).isGreaterThan(keyNumber(3)).isGreaterThan(keyNumber(1));
    }

    private List<Effect.LockKey> keyLocks(SimulatedRouter router) {
        return router.effects.stream().filter(Effect.LockKey.class::isInstance).map(Effect.LockKey.class::cast).toList();
    }

    private Effect.UnlockKey lastUnlock(SimulatedRouter router) {
        return router.effects.stream().filter(Effect.UnlockKey.class::isInstance).map(Effect.UnlockKey.class::cast)
                .reduce((a, b) -> b).orElseThrow();
    }

    /** Guards against a request that is sent while the other process of an upgrade has one of the same key out. */
    @Test
    void aRequestIsSentOnlyOnceItsKeyIsLockedAgainstOtherProcesses() {
        SimulatedRouter one = new SimulatedRouter(SETTINGS, null, true);
        one.request("load", "a");
        one.request("load", "a");
        one.request("load", "b");
        one.step(new Input.KeyLocked(keyLocks(one).get(1).request()), new Input.KeyLocked(keyLocks(one).get(2).request()));
        one.advance(50);
        assertThat(one.running).containsOnlyKeys("0000000000000003");
        one.step(new Input.KeyLocked(keyLocks(one).get(0).request()));
        one.advance(10);
        assertThat(one.running).containsOnlyKeys("0000000000000001", "0000000000000003");
        one.settle();
        assertThat(one.sends).hasSize(3);
        assertThat(keyLocks(one)).extracting(Effect.LockKey::key).containsExactly("a", "a", "b");
        assertThat(lastUnlock(one).settleMs()).isZero();
    }

    @Test
    void theKeyOfACancelledRequestStaysBlockedForOtherProcessesForTheSettlePeriod() {
        SimulatedRouter one = new SimulatedRouter(SETTINGS, null, true);
        Caller caller = one.request("load", "a");
        one.step(new Input.KeyLocked(keyLocks(one).get(0).request()));
        one.advance(10);
        one.step(new Input.RequestCancelled(caller));
        one.advance(10);
        assertThat(lastUnlock(one).settleMs()).isBetween(SETTLE_MS, SETTLE_MS + 60);
    }

    /** It has never run. */
    @Test
    void aRequestThatWaitsInVainForItsKeyIsAnsweredAndUnlocked() {
        SimulatedRouter one = new SimulatedRouter(SETTINGS, null, true);
        Caller caller = one.request("load", "a");
        one.advance(50);
        one.step(new Input.TimerFired(new TimerKey.RequestDeadline(keyLocks(one).get(0).request())));
        assertThat(one.replies.get(caller)).isInstanceOf(Reply.Refused.class);
        assertThat(lastUnlock(one)).isEqualTo(new Effect.UnlockKey(keyLocks(one).get(0).request(), 0));
        one.step(new Input.KeyLocked(keyLocks(one).get(0).request()));
        assertThat(one.running).isEmpty();
    }
}
