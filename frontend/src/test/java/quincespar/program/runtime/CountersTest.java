package quincespar.program.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;
import quincespar.membership.PollFailure;
import quincespar.routing.Input;
import quincespar.transport.Connection;

/** Counter keys are read by operators' tools, and some are derived from the texts of close causes. */
class CountersTest {
    private final Counters counters = new Counters();

    @Test
    void theKeyOfAConnectTimeoutIsFixed() {
        counters.countInput(new Input.PollFailed(1, PollFailure.CONNECT_TIMEOUT, Connection.CONNECT_TIMEOUT));
        counters.countInput(new Input.LinkDown(1, Connection.CONNECT_TIMEOUT));
        assertThat(counters.snapshot()).containsEntry("failures.changelog.connect.not_up_in_time", "1")
                .containsEntry("failures.servers.connect.not_up_in_time", "1");
    }

    @Test
    void theKeyOfAFailedCallIsItsNameAndTheErrorWithoutDetails() {
        counters.countSystemCallFailure("clients", "read: Connection reset by peer (13)");
        counters.countSystemCallFailure("clients", "idle");
        assertThat(failureKeys()).containsOnlyKeys("failures.clients.read.connection_reset_by_peer");
    }

    @Test
    void theKeyOfACloseIsItsCauseUpToTheColonWithoutNumbers() {
        counters.countClose("too many connections");
        counters.countClose("handling: x");
        counters.countClose("after 20 ms: x");
        assertThat(counters.snapshot()).containsEntry("closed.too_many_connections", "1").containsEntry("closed.handling", "1")
                .containsEntry("closed.after_ms", "1");
    }

    private Map<String, String> failureKeys() {
        Map<String, String> out = counters.snapshot();
        out.keySet().removeIf(key -> !key.startsWith("failures."));
        return out;
    }
}
