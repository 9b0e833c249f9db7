package quincespar.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import quincespar.protocol.FleetEvent;
import quincespar.protocol.FleetEvent.Member;
import quincespar.protocol.FleetEvent.Phase;

/**
 * What a hundred front ends ask of one change log in a minute, whatever is wrong with it: at most one call a second each,
 * and four more while the pauses grow. Virtual time in steps of 10 ms.
 */
class PollRateTest {
    private static final int FRONTS = 100, MINUTE = 60_000;
    private static final PollTiming PACE = new PollTiming(1000, 1000, 50, 1000, 250, 400, 5000, 10_000);

    /** Takes calls and says nothing; breaks them off at once; answers late with no news, or at once, or with an old number. */
    private enum Trouble { STALLED, BROKEN_OFF, SLOW, EMPTY_AT_ONCE, OLD_NUMBER }

    @ParameterizedTest
    @EnumSource(Trouble.class)
    void callsForTheListStayWithinTheirBound(Trouble trouble) {
        List<FleetEvent> known = List.of(new FleetEvent(1, 1, true,
                List.of(new Member("s-1", "127.0.0.1:1", "", "", 0, Phase.UP, 1, 0))));
        int calls = 0;
        for (int front = 0; front < FRONTS; front++) {
            Membership m = new Membership(PACE);
            Map<Long, Double> timers = new TreeMap<>();
            long asked = 0;
            double askedAt = 0;
            List<Membership.Action> acts = new ArrayList<>(m.start(0, "a:1", known));
            int mine = 0;
            for (double now = 0; now <= MINUTE; now += 10) {
                double at = now;
                for (Map.Entry<Long, Double> t : List.copyOf(timers.entrySet())) {
                    if (t.getValue() <= at) {
                        timers.remove(t.getKey());
                        acts.addAll(m.timerFired(at, t.getKey()));
                    }
                }
                if (asked > 0 && trouble == Trouble.BROKEN_OFF) {
                    acts.addAll(m.failed(at, asked, PollFailure.NO_ANSWER, "broken off"));
                    asked = 0;
                } else if (asked > 0 && (trouble == Trouble.EMPTY_AT_ONCE || trouble == Trouble.OLD_NUMBER)) {
                    acts.addAll(m.answered(at, asked, trouble == Trouble.OLD_NUMBER ? 0 : 1, List.of()));
                    asked = 0;
                } else if (asked > 0 && trouble == Trouble.SLOW && at >= askedAt + 1900) {
                    acts.addAll(m.answered(at, asked, 1, List.of()));
                    asked = 0;
                }
                for (Membership.Action act : acts) {
                    if (act instanceof Membership.Poll a) {
                        mine++;
                        asked = a.pollId();
                        askedAt = at;
                    } else if (act instanceof Membership.CancelPoll) {
                        asked = 0;
                    } else if (act instanceof Membership.StartTimer w) {
                        timers.put(w.timerId(), at + w.delayMs());
                    } else if (act instanceof Membership.StopTimer w) {
                        timers.remove(w.timerId());
                    }
                }
                acts.clear();
            }
            assertThat(mine).as("goes on asking").isGreaterThan(10);
            calls += mine;
        }
        assertThat(calls).as("calls of the fleet in a minute").isLessThanOrEqualTo(FRONTS * (MINUTE / 1000 + 4));
    }
}
