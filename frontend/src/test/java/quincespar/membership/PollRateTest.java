package quincespar.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import quincespar.membership.VirtualTimeMembership.OpenPoll;
import quincespar.protocol.FleetEvent;
import quincespar.protocol.FleetEvent.Member;
import quincespar.protocol.FleetEvent.Phase;

/**
 * Bounds the polls that a hundred front ends send to one faulty change log in a minute: at most one a second each, and four
 * more while the pauses grow. Runs in virtual time, in steps of 10 ms.
 */
class PollRateTest {
    private static final int FRONT_ENDS = 100;
    private static final int MINUTE_MS = 60_000;
    private static final int STEP_MS = 10;
    private static final int SLOW_ANSWER_MS = 1900;
    private static final int OVERDUE_ANSWER_MS = 4000;
    private static final PollTiming TIMING = new PollTiming(1000, 1000, 50, 1000, 250, 400, 5000, 10_000);

    private enum Fault {
        /** Accepts polls and never answers. */
        STALLED,
        /** Closes the connection at once. */
        CONNECTION_CLOSED,
        /** Answers late, without news. */
        SLOW,
        /** Answers after polls have been given up as not answered in time, without news. */
        OVERDUE,
        /** Answers at once, without news. */
        EMPTY_AT_ONCE,
        /** Answers at once, with an old event number. */
        OLD_NUMBER
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void pollsOfAFaultyChangeLogAreBounded(Fault fault) {
        int polls = 0;
        for (int frontEnd = 0; frontEnd < FRONT_ENDS; frontEnd++) {
            int ownPolls = pollsInAMinute(fault);
            assertThat(ownPolls).as("polls of one front end").isGreaterThan(10);
            polls += ownPolls;
        }
        assertThat(polls).as("polls of all front ends in a minute").isLessThanOrEqualTo(FRONT_ENDS * (MINUTE_MS / 1000 + 4));
    }

    private static int pollsInAMinute(Fault fault) {
        VirtualTimeMembership membership = new VirtualTimeMembership(TIMING);
        membership.start(List.of(new FleetEvent(1, 1, true,
                List.of(new Member("s-1", "127.0.0.1:1", "", "", 0, Phase.UP, 1, 0)))));
        for (int time = 0; time <= MINUTE_MS; time += STEP_MS) {
            membership.now = time;
            membership.fireTimers();
            membership.openPolls().forEach(poll -> answer(membership, poll, fault));
            assertThat(membership.openPolls()).as("open polls of one front end")
                    .hasSizeLessThanOrEqualTo(Membership.MAX_OPEN_POLLS);
        }
        return membership.pollCount;
    }

    private static void answer(VirtualTimeMembership membership, OpenPoll poll, Fault fault) {
        double openMs = membership.now - poll.sentAt();
        if (fault == Fault.CONNECTION_CLOSED) {
            membership.fail(poll, "connection closed");
        } else if (fault == Fault.EMPTY_AT_ONCE || fault == Fault.OLD_NUMBER
                || fault == Fault.SLOW && openMs >= SLOW_ANSWER_MS
                || fault == Fault.OVERDUE && openMs >= OVERDUE_ANSWER_MS) {
            membership.answer(poll, fault == Fault.OLD_NUMBER ? 0 : 1, List.of());
        }
    }
}
