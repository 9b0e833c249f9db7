package quincespar.faultbench.check;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import quincespar.faultbench.check.History.Request;
import quincespar.faultbench.check.History.StatusSample;

class InvariantsTest {
    private static StatusSample sample(long at, String node, long incarnation, boolean voting, String leader, long term,
            long version, String... standings) {
        return new StatusSample(at, node, "IN_TOUCH", incarnation, voting, true, leader, term, 0, version, List.of(standings));
    }

    @Test
    void eachInvariantReportsExactlyItsViolations() {
        StatusSample a = sample(1, "a", 1, true, "a", 7, 3, "a:1:SERVING", "b:2:GONE");
        assertThat(Invariants.oneLeaderPerTerm(List.of(a, sample(2, "b", 2, true, "a", 7, 3),
                sample(3, "b", 2, true, "b", 8, 3)))).isEmpty();
        assertThat(Invariants.oneLeaderPerTerm(List.of(a, sample(2, "b", 2, true, "b", 7, 3)))).hasSize(1);
        assertThat(Invariants.incarnationsEndOnce(List.of(a, sample(9, "b", 2, true, "a", 7, 2, "b:2:SERVING"))))
                .isEmpty(); // an older version, sampled late
        assertThat(Invariants.incarnationsEndOnce(List.of(a, sample(2, "b", 2, true, "a", 7, 4, "b:2:SERVING")))).hasSize(1);
        assertThat(Invariants.incarnationsEndOnce(List.of(a, sample(2, "b", 2, true, "a", 7, 4, "c:1:SERVING")))).hasSize(1);
        assertThat(Invariants.incarnationsIncrease(List.of(a, sample(2, "a", 4, true, "a", 7, 3)))).isEmpty();
        assertThat(Invariants.incarnationsIncrease(List.of(sample(1, "a", 4, true, "a", 7, 3), a))).hasSize(1);
        assertThat(Invariants.neverVotesSince(List.of(a), "a", 0)).hasSize(1);
        assertThat(Invariants.neverVotesSince(List.of(a), "a", 2)).isEmpty();
        assertThat(Invariants.incarnationNotEnded(List.of(a), "b", 2)).hasSize(1);
        assertThat(Invariants.incarnationNotEnded(List.of(a), "b", 3)).isEmpty();
        assertThat(Invariants.duplicateNeverAdmitted(List.of(a), "a")).hasSize(1);
        assertThat(Invariants.duplicateNeverAdmitted(List.of(a), "b")).hasSize(1);
        assertThat(Invariants.duplicateNeverAdmitted(List.of(sample(1, "b", 0, false, "a", 7, 3)), "b")).isEmpty();
        assertThat(Invariants.folderIdentitiesStable(Map.of("a", List.of("x"), "b", List.of("x", "y")))).hasSize(1);
        assertThat(Invariants.noDuplicateLoads(List.of("x", "y"))).isEmpty();
        assertThat(Invariants.noDuplicateLoads(List.of("x", "y", "x"))).hasSize(1);
    }

    @Test
    void missingAnswerIsExcusedOnlyByFaultsOfItsOwnProcess() {
        Request none = new Request("a", "t", 900_000_000, 1_000_000_000, 2_000_000_000, "", false);
        assertThat(Invariants.everyRequestAnswered(List.of(none), List.of())).hasSize(1);
        assertThat(Invariants.everyRequestAnswered(List.of(none),
                List.of(new Event(1_500_000_000, "b", "killed", "")))).hasSize(1);
        assertThat(Invariants.everyRequestAnswered(List.of(none),
                List.of(new Event(2_500_000_000L, "a", "killed", "")))).hasSize(1);
        assertThat(Invariants.everyRequestAnswered(List.of(none),
                List.of(new Event(1_500_000_000, "a", "killed", "")))).isEmpty();
        assertThat(Invariants.everyRequestAnswered(List.of(none),
                List.of(new Event(500_000_000, "a", "told to stop", "")))).isEmpty();
        assertThat(Invariants.everyRequestAnswered(List.of(none),
                List.of(new Event(900_000_000, "a", "told to stop", "")))).hasSize(1);
    }

    /** A starved client notices late that its process has ended; the connection of the next process is judged by itself. */
    @Test
    void missingAnswerIsExcusedOnTheConnectionOfAKilledProcessOnly() {
        List<Event> killed = List.of(new Event(1_000_000_000, "a", "killed", ""), new Event(1_010_000_000, "a", "ended", ""));
        Request late = new Request("a", "t", 500_000_000, 1_500_000_000, 1_600_000_000, "", false);
        assertThat(Invariants.everyRequestAnswered(List.of(late), killed)).isEmpty();
        Request onNextProcess = new Request("a", "t", 1_100_000_000, 1_150_000_000, 1_600_000_000, "", false);
        assertThat(Invariants.everyRequestAnswered(List.of(onNextProcess), killed)).hasSize(1);
        Request closedBefore = new Request("a", "t", 500_000_000, 700_000_000, 900_000_000, "", false);
        assertThat(Invariants.everyRequestAnswered(List.of(closedBefore), killed)).hasSize(1);
    }
}
