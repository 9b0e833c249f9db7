package quincespar.program.clients;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import quincespar.routing.Caller;

class HealthCallsTest {
    private final HealthCalls calls = new HealthCalls();

    private static List<Caller> callers(int from, int to) {
        return IntStream.range(from, to).mapToObj(call -> new Caller(1, call)).toList();
    }

    /** Guards against a flood of health calls that is answered before any request behind it. */
    @Test
    void aStepAnswersAFewInTheOrderOfArrival() {
        callers(0, 20).forEach(calls::add);
        assertThat(calls.next()).isEqualTo(callers(0, 16));
        calls.add(new Caller(1, 20));
        assertThat(calls.isEmpty()).isFalse();
        assertThat(calls.next()).isEqualTo(callers(16, 21));
        assertThat(calls.isEmpty()).isTrue();
        assertThat(calls.next()).isEmpty();
    }

    /** Guards against a step that answers all calls beyond a bound at once, while requests wait. */
    @Test
    void aStepAnswersNoMoreHoweverManyWait() {
        callers(0, 100_000).forEach(calls::add);
        assertThat(calls.next()).hasSize(16);
        assertThat(calls.next()).hasSize(16);
    }
}
