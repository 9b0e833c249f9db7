package quincespar.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import quincespar.routing.SimulatedRouter.Spec;

/** Requests of one ordering key run one at a time at engines, in the order of arrival, whatever ends an attempt. */
class OrderByKeyTest {
    private static final double SETTLE_MS = 300;
    private static final RoutingSettings SETTINGS = SimulatedRouter.settings(3, new Spec("load", "keyed", true));

    private final SimulatedRouter router = new SimulatedRouter(SETTINGS);

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
}
