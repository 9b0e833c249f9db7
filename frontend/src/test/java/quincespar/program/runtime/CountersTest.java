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
        counters.taken(new Input.PollFailed(1, PollFailure.CONNECT_TIMEOUT, Connection.CONNECT_TIMEOUT));
        counters.taken(new Input.LinkDown(1, Connection.CONNECT_TIMEOUT));
        assertThat(counters.all()).containsEntry("failures.changelog.connect.not_up_in_time", "1")
                .containsEntry("failures.servers.connect.not_up_in_time", "1");
    }

    @Test
    void theKeyOfAFailedCallIsItsNameAndTheErrorWithoutDetails() {
        counters.failed("clients", "read: Connection reset by peer (13)");
        counters.failed("clients", "idle");
        assertThat(failureKeys()).containsOnlyKeys("failures.clients.read.connection_reset_by_peer");
    }

    @Test
    void theKeyOfACloseIsItsCauseUpToTheColonWithoutNumbers() {
        counters.closed("too many connections");
        counters.closed("handling: x");
        counters.closed("after 20 ms: x");
        assertThat(counters.all()).containsEntry("closed.too_many_connections", "1").containsEntry("closed.handling", "1")
                .containsEntry("closed.after_ms", "1");
    }

    private Map<String, String> failureKeys() {
        Map<String, String> out = counters.all();
        out.keySet().removeIf(key -> !key.startsWith("failures."));
        return out;
    }
}
