package quincespar.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** When nothing new may be sent for lack of a list that can be trusted. Virtual time: each question fails at once. */
class DrainGraceTest {
    private static final double GRACE = 1000, HOLD = 5000, LOST_AT = 10_000;
    private static final PollTiming PACE = new PollTiming(1000, 1000, 50, 1000, 250, 400, HOLD, 60_000);

    private record Change(double at, boolean on) { }

    private final Membership membership = new Membership(PACE);
    private final List<Change> changes = new ArrayList<>();
    private long question;
    private long wait;
    private double waitEnds;

    /** Follows a change log that answers until {@link #LOST_AT}. */
    private void lose(PollFailure how) {
        membership.drainGraceMs(GRACE);
        perform(0, membership.start(0, "a:1", List.of()));
        perform(0, membership.answered(0, question, 0, List.of()));
        perform(LOST_AT, membership.failed(LOST_AT, question, how, "lost"));
    }

    private void perform(double at, List<Membership.Action> acts) {
        for (Membership.Action act : acts) {
            if (act instanceof Membership.Poll a) {
                question = a.pollId();
            } else if (act instanceof Membership.StartTimer a) {
                wait = a.timerId();
                waitEnds = at + a.delayMs();
            } else if (act instanceof Membership.HoldSends h) {
                changes.add(new Change(at, h.held()));
            }
        }
    }

    private void failUntil(double end, PollFailure how) {
        while (waitEnds < end) {
            double at = waitEnds;
            perform(at, membership.timerFired(at, wait));
            perform(at, membership.failed(at, question, how, "fails"));
        }
    }

    @Test
    void nothingIsSentPastTheGraceOfWhatThisMachineCouldNotHear() {
        lose(PollFailure.NO_ANSWER);
        failUntil(LOST_AT + 2000, PollFailure.LOCAL_ERROR);
        assertThat(changes).hasSize(1);
        assertThat(changes.get(0).on()).isTrue();
        assertThat(changes.get(0).at()).isBetween(LOST_AT + GRACE / 2, LOST_AT + GRACE - 100);
        perform(waitEnds, membership.timerFired(waitEnds, wait));
        perform(waitEnds, membership.answered(waitEnds, question, 0, List.of()));
        assertThat(changes).hasSize(2);
        assertThat(changes.get(1).on()).isFalse();
    }

    @Test
    void aHoldEndsThoughTheCallsGoOnFailing() {
        lose(PollFailure.LOCAL_ERROR);
        failUntil(LOST_AT + 60_000, PollFailure.LOCAL_ERROR);
        assertThat(changes).extracting(Change::on).containsExactly(true, false);
        assertThat(changes.get(1).at()).isBetween(LOST_AT + GRACE + HOLD, LOST_AT + GRACE + HOLD + 500);
    }

    @ParameterizedTest
    @EnumSource(names = "LOCAL_ERROR", mode = EnumSource.Mode.EXCLUDE)
    void aChangeLogThatIsAwayHoldsNothing(PollFailure how) {
        lose(how);
        failUntil(LOST_AT + 60_000, how);
        assertThat(changes).isEmpty();
    }
}
