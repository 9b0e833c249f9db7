package quincespar.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** When sends are on hold because the list of engines may be outdated. In virtual time; each poll fails at once. */
class DrainGraceTest {
    private static final double GRACE_MS = 1000;
    private static final double MAX_HOLD_MS = 5000;
    private static final double LOST_AT = 10_000;
    private static final PollTiming TIMING = new PollTiming(1000, 1000, 50, 1000, 250, 400, MAX_HOLD_MS, 60_000);

    private record HoldChange(double at, boolean held) { }

    private final Membership membership = new Membership(TIMING);
    private final List<HoldChange> changes = new ArrayList<>();
    private long openPoll;
    private long timer;
    private double timerEnds;

    /** Follows a change log that answers until {@link #LOST_AT}, when a poll fails. */
    private void loseChangeLog(PollFailure failure) {
        membership.drainGraceMs(GRACE_MS);
        perform(0, membership.start(0, "a:1", List.of()));
        perform(0, membership.answered(0, openPoll, 0, List.of()));
        perform(LOST_AT, membership.failed(LOST_AT, openPoll, failure, "lost"));
    }

    private void perform(double now, List<Membership.Action> actions) {
        for (Membership.Action action : actions) {
            if (action instanceof Membership.Poll poll) {
                openPoll = poll.pollId();
            } else if (action instanceof Membership.StartTimer started) {
                timer = started.timerId();
                timerEnds = now + started.delayMs();
            } else if (action instanceof Membership.HoldSends hold) {
                changes.add(new HoldChange(now, hold.held()));
            }
        }
    }

    private void failUntil(double end, PollFailure failure) {
        while (timerEnds < end) {
            double now = timerEnds;
            perform(now, membership.timerFired(now, timer));
            perform(now, membership.failed(now, openPoll, failure, "fails"));
        }
    }

    @Test
    void sendsAreHeldBeforeTheGraceEndsAndResumeWithAnAnswer() {
        loseChangeLog(PollFailure.NO_ANSWER);
        failUntil(LOST_AT + 2000, PollFailure.LOCAL_ERROR);
        assertThat(changes).hasSize(1);
        assertThat(changes.get(0).held()).isTrue();
        assertThat(changes.get(0).at()).isBetween(LOST_AT + GRACE_MS / 2, LOST_AT + GRACE_MS - 100);
        perform(timerEnds, membership.timerFired(timerEnds, timer));
        perform(timerEnds, membership.answered(timerEnds, openPoll, 0, List.of()));
        assertThat(changes).hasSize(2);
        assertThat(changes.get(1).held()).isFalse();
    }

    @Test
    void aHoldEndsInTimeThoughPollsGoOnFailing() {
        loseChangeLog(PollFailure.LOCAL_ERROR);
        failUntil(LOST_AT + 60_000, PollFailure.LOCAL_ERROR);
        assertThat(changes).extracting(HoldChange::held).containsExactly(true, false);
        assertThat(changes.get(1).at())
                .isBetween(LOST_AT + GRACE_MS + MAX_HOLD_MS, LOST_AT + GRACE_MS + MAX_HOLD_MS + 500);
    }

    @ParameterizedTest
    @EnumSource(names = "LOCAL_ERROR", mode = EnumSource.Mode.EXCLUDE)
    void sendsAreNotHeldWhereTheChangeLogIsAway(PollFailure failure) {
        loseChangeLog(failure);
        failUntil(LOST_AT + 60_000, failure);
        assertThat(changes).isEmpty();
    }
}
