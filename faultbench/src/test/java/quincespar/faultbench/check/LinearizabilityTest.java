package quincespar.faultbench.check;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import quincespar.faultbench.check.History.Operation;
import quincespar.faultbench.check.History.Outcome;

class LinearizabilityTest {
    private static Operation write(long from, long to, long expected, String value, long version, Outcome o) {
        return new Operation("r", "c", from, to, true, expected, value, version, o);
    }

    private static Operation read(long from, long to, String value, long version) {
        return new Operation("r", "c", from, to, false, -1, value, version, Outcome.DONE);
    }

    private static boolean isLinearizable(Operation... some) {
        return Linearizability.problems(List.of(some)).isEmpty();
    }

    @Test
    void linearizableHistoriesPass() {
        assertThat(isLinearizable(write(0, 9, -1, "a", 1, Outcome.DONE), read(1, 2, "", 0), read(3, 8, "a", 1))).isTrue();
        assertThat(isLinearizable(write(0, 1, -1, "a", 1, Outcome.DONE), write(0, 9, 0, "b", 1, Outcome.CONFLICT))).isTrue();
        assertThat(isLinearizable(write(0, Long.MAX_VALUE, -1, "a", 0, Outcome.UNKNOWN), read(5, 6, "", 0), read(7, 8, "a", 1)))
                .isTrue(); // takes effect late
        assertThat(isLinearizable(write(0, Long.MAX_VALUE, -1, "a", 0, Outcome.UNKNOWN), read(5, 6, "", 0)))
                .isTrue(); // never takes effect
    }

    @Test
    void nonLinearizableHistoriesAreFound() {
        assertThat(isLinearizable(write(0, 1, -1, "a", 1, Outcome.DONE), read(2, 3, "", 0))).isFalse(); // stale read
        assertThat(isLinearizable(write(0, 1, -1, "a", 1, Outcome.DONE), write(2, 3, -1, "b", 1, Outcome.DONE)))
                .isFalse(); // lost update
        assertThat(isLinearizable(read(0, 1, "a", 1), write(2, 3, -1, "a", 1, Outcome.DONE))).isFalse(); // read from the future
        assertThat(isLinearizable(write(0, 1, 0, "a", 1, Outcome.DONE), write(0, 1, 0, "b", 1, Outcome.DONE)))
                .isFalse(); // two first writers
        assertThat(isLinearizable(write(0, 5, -1, "a", 1, Outcome.DONE), read(1, 2, "a", 1), read(3, 4, "", 0)))
                .isFalse(); // read goes back in time
        assertThat(isLinearizable(write(0, Long.MAX_VALUE, -1, "a", 0, Outcome.UNKNOWN), read(1, 2, "a", 1), read(3, 4, "", 0)))
                .isFalse();
    }

    /** Simulates a correct register with overlapping operations and lost responses, then adds one wrong read. */
    @Property(tries = 200)
    void correctRegisterPassesAndWrongReadIsFound(@ForAll long seed) {
        Random random = new Random(seed);
        List<Operation> all = new ArrayList<>();
        long version = 0;
        String value = "";
        for (int i = 0; i < 60; i++) {
            long at = 100L * i + 50;
            long from = at - random.nextInt(400);
            long to = at + random.nextInt(400);
            if (random.nextBoolean()) {
                all.add(read(from, to, value, version));
                continue;
            }
            long expected = random.nextInt(3) == 0 ? version + 1 + random.nextInt(2) : random.nextBoolean() ? -1 : version;
            boolean fits = expected < 0 || expected == version;
            if (fits) {
                version++;
                value = "v" + i;
            }
            all.add(random.nextInt(6) == 0 ? write(from, Long.MAX_VALUE, expected, "v" + i, 0, Outcome.UNKNOWN)
                    : write(from, to, expected, "v" + i, version, fits ? Outcome.DONE : Outcome.CONFLICT));
        }
        all.add(read(100_000, 100_001, value, version));
        assertThat(Linearizability.problems(all)).isEmpty();
        all.add(read(100_002, 100_003, value + "x", version));
        assertThat(Linearizability.problems(all)).hasSize(1);
    }
}
