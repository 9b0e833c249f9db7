package quincespar.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import quincespar.routing.SimulatedRouter.Spec;

/** Requests are limited by the memory that they hold, and a connection that holds much leaves room for the others. */
class RequestMemoryTest {
    private static final int LONG_STATEMENT_BYTES = 60_000;
    private static final int OPEN_PER_CONNECTION = 32;

    private final SimulatedRouter router = new SimulatedRouter(SimulatedRouter.settings(3, new Spec("lookup", "safe")));

    private int heldBytes() {
        return router.reducer.retainedCounts().get("held.request-bytes");
    }

    /** Sends as many requests on a connection as may be open there. */
    private List<Caller> flood(long connection, int statementBytes) {
        router.connection = connection;
        return IntStream.range(0, OPEN_PER_CONNECTION).mapToObj(i -> router.request("lookup", "", statementBytes)).toList();
    }

    private long refusals(List<Caller> callers) {
        return callers.stream().filter(c -> router.replies.get(c) instanceof Reply.Refused).count();
    }

    /** Guards against a heap filled by the statements of open requests, whose number alone was limited. */
    @Test
    void manyConnectionsWithLongStatementsHoldNoMoreThanTheLimit() {
        for (int connection = 1; connection <= 60; connection++) {
            flood(connection, LONG_STATEMENT_BYTES);
            assertThat(heldBytes()).isLessThan((int) SimulatedRouter.MAX_REQUEST_BYTES);
        }
        router.settle();
        assertThat(router.answers).hasSize(60 * OPEN_PER_CONNECTION).allSatisfy((caller, n) -> assertThat(n).isOne());
        assertThat(heldBytes()).isZero();
    }

    /** Guards against refusing the clients that send little because of those that send much. */
    @Test
    void connectionsThatSendMuchLeaveRoomForOthers() {
        for (int connection = 1; connection <= 60; connection++) {
            flood(connection, LONG_STATEMENT_BYTES);
        }
        for (int connection = 61; connection <= 70; connection++) {
            router.connection = connection;
            assertThat(refusals(List.of(router.request("lookup"), router.request("lookup")))).isZero();
        }
    }

    @Test
    void aSingleConnectionMayHaveAllOfItsRequestsOpenWithLongStatements() {
        assertThat(refusals(flood(1, LONG_STATEMENT_BYTES / 2))).isZero();
    }

    /** Its attempts run until their cancels are written, and hold their statements until then. */
    @Test
    void requestsOfAClientThatHasLeftHoldTheirMemoryWhileTheirAttemptsAreOpen() {
        router.outboxBlocked = false;
        flood(1, LONG_STATEMENT_BYTES / 2);
        router.outboxBlocked = true;
        router.step(new Input.CallerDisconnected(1));
        router.advance(20);
        assertThat(router.reducer.openRequests()).isZero();
        assertThat(heldBytes()).isPositive();
        router.unblockOutbox();
        assertThat(heldBytes()).isZero();
    }
}
