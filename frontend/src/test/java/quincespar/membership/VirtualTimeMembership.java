package quincespar.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import quincespar.protocol.FleetEvent;

/** A {@link Membership} whose polls and timers a test answers and fires in virtual time. */
final class VirtualTimeMembership {
    /** A poll without an answer, and when it was sent. */
    record OpenPoll(long pollId, long afterEvent, long waitMs, double sentAt) { }

    private final Membership membership;
    private final Map<Long, OpenPoll> openPolls = new LinkedHashMap<>();
    private final Map<Long, Double> timers = new TreeMap<>();
    /** When each event was received. */
    final List<Double> receivedAt = new ArrayList<>();
    /** How many polls were sent. */
    int pollCount;
    double now;

    VirtualTimeMembership(PollTiming timing) {
        membership = new Membership(timing);
    }

    void start(List<FleetEvent> known) {
        perform(membership.start(now, "a:1", known));
    }

    /** The open polls, oldest first. */
    List<OpenPoll> openPolls() {
        return List.copyOf(openPolls.values());
    }

    /** Answers a poll, unless it has been cancelled. */
    void answer(OpenPoll poll, long lastEvent, List<FleetEvent> events) {
        if (openPolls.remove(poll.pollId()) != null) {
            perform(membership.answered(now, poll.pollId(), lastEvent, events));
        }
    }

    /** Ends a poll without an answer, unless it has been cancelled. */
    void fail(OpenPoll poll, String cause) {
        if (openPolls.remove(poll.pollId()) != null) {
            perform(membership.failed(now, poll.pollId(), PollFailure.NO_ANSWER, cause));
        }
    }

    /** Fires the timers that are due. */
    void fireTimers() {
        for (Map.Entry<Long, Double> timer : List.copyOf(timers.entrySet())) {
            if (timer.getValue() <= now && timers.remove(timer.getKey()) != null) {
                perform(membership.timerFired(now, timer.getKey()));
            }
        }
    }

    private void perform(List<Membership.Action> actions) {
        for (Membership.Action action : actions) {
            if (action instanceof Membership.Poll poll) {
                pollCount++;
                openPolls.put(poll.pollId(), new OpenPoll(poll.pollId(), poll.afterEvent(), poll.waitMs(), now));
            } else if (action instanceof Membership.CancelPoll cancel) {
                openPolls.remove(cancel.pollId());
            } else if (action instanceof Membership.StartTimer timer) {
                timers.put(timer.timerId(), now + timer.delayMs());
            } else if (action instanceof Membership.StopTimer timer) {
                timers.remove(timer.timerId());
            } else if (action instanceof Membership.EventReceived) {
                receivedAt.add(now);
            }
        }
    }
}
