package quincespar.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import quincespar.protocol.FleetEvent;
import quincespar.protocol.FleetEvent.Member;

/**
 * Follows the change log. At any time either a poll is awaited, or a pause runs after a failed one: never neither, as the list
 * would then never change again, and never both. Each poll and each timer has a number of its own, so that what arrives late
 * (an answer from the old address, a timer that had fired when it was stopped) can be told from what is awaited. Times are
 * milliseconds on one clock that never runs backwards.
 *
 * <p>A poll whose answer does not come in time is followed by another one, but stays open: a change log that is slow for
 * longer than that would else never be heard. Whichever is answered first counts, and ends those sent before it.
 *
 * <p>Losing the change log does not stop the service: the list stays as it was, its age is known ({@link #ageMs}), and it is
 * logged once when that exceeds {@link PollTiming#staleAfterMs}.
 */
public final class Membership {
    /** Something to do for the caller. */
    public sealed interface Action { }

    /**
     * Ask the change log at an address for the events after number {@code afterEvent}. It may hold the answer back for
     * {@code waitMs} while there are none.
     */
    public record Poll(long pollId, String address, long afterEvent, long waitMs, double connectTimeoutMs) implements Action { }

    /** Abandon an open poll, and close its connection. */
    public record CancelPoll(long pollId) implements Action { }

    /** Call {@link #timerFired} with this number after a delay. */
    public record StartTimer(long timerId, double delayMs) implements Action { }

    /** Stop a timer. It may have fired already, with its call still under way. */
    public record StopTimer(long timerId) implements Action { }

    /** A new event has been received; {@code removed} are the engines that a complete list left out. */
    public record EventReceived(FleetEvent event, List<Member> removed) implements Action { }

    /**
     * Send no new work to any engine from now on, or send work again. It is this machine that fails to poll, so that engines
     * may have been told to drain without this front end knowing, and their grace period is over.
     */
    public record HoldSends(boolean held) implements Action { }

    /** Write a log line for the operators. */
    public record Log(String line) implements Action { }

    /** What is going on. */
    public enum Phase {
        /** Nothing has been polled yet. */
        NEW,
        /** A poll is open. */
        POLLING,
        /** The last poll failed, and the next one waits for a pause. */
        PAUSING
    }

    /** The wait of polls before the first answer: the list of the start may be old, and nothing is served without an answer. */
    private static final long FIRST_WAIT_MS = 100;
    /** Open polls at most. They follow each other by over 2 s, so that each stays open for the 7 s after which events bind. */
    static final int MAX_OPEN_POLLS = 5;

    private final PollTiming timing;
    private final Backoff backoff;
    private final DrainGrace grace;
    private final MemberList members = new MemberList();
    private List<Action> actions = new ArrayList<>();
    private Phase phase = Phase.NEW;
    private double now;
    private String address;
    /** The last event received; polls ask for those after it. Never a number without its event: events may be missing before. */
    private long lastEvent;
    /** The number beyond {@link #lastEvent} that an answer has claimed without its events, 0 where none has. */
    private long claimedEvent;
    private long lastId;
    /** The last poll. */
    private long pollId;
    /** Oldest first: those that were not answered in time, and while {@link Phase#POLLING} the last poll. */
    private final List<Long> openPolls = new ArrayList<>();
    private long timerId;
    private boolean answeredOnce;
    private double pollWaitMs;
    /** Failed polls since the last complete answer. */
    private int failuresInARow;
    private long failureCount;
    private double polledAt;
    private double answeredAt;
    private boolean staleLogged;

    /** A membership that polls with this timing; nothing is polled before {@link #start}. */
    public Membership(PollTiming timing) {
        this.timing = timing;
        backoff = new Backoff(timing);
        grace = new DrainGrace(timing);
    }

    /** Applies the events that are known at the start, and polls at once. */
    public List<Action> start(double time, String changeLogAddress, List<FleetEvent> known) {
        now = time;
        answeredAt = time;
        grace.lost(time);
        address = changeLogAddress;
        apply(known);
        poll();
        return takeActions();
    }

    /**
     * A complete answer to a poll: events up to and with number {@code seq}. An answer to a poll that is not open is ignored. If
     * {@code seq} is beyond the events, they are polled for at once, and from then on after pauses, as such a change log
     * would answer each poll at once. The same holds for one that answers without news long before its wait is over.
     */
    public List<Action> answered(double time, long answeredPoll, long seq, List<FleetEvent> events) {
        now = Math.max(now, time);
        if (openPolls.contains(answeredPoll)) {
            cancelPollsBefore(answeredPoll);
            openPolls.remove(answeredPoll);
            answerReceived(seq, events, awaited(answeredPoll));
        }
        return takeActions();
    }

    private void answerReceived(long seq, List<FleetEvent> events, boolean awaited) {
        boolean early = awaited && now - polledAt < pollWaitMs / 2;
        long lastEventBefore = lastEvent;
        if (failuresInARow > 0) {
            actions.add(new Log("the change log answers again after " + failuresInARow + " failures and "
                    + Math.round(ageMs(now)) + " ms; the list holds " + members.all().size() + " engines"));
        }
        failuresInARow = 0;
        backoff.reached();
        grace.answered();
        staleLogged = false;
        answeredOnce = true;
        answeredAt = now;
        apply(events);
        boolean fruitless = seq > lastEvent ? seq == claimedEvent : early && lastEvent == lastEventBefore;
        if (!fruitless) {
            backoff.reset();
        }
        claimedEvent = seq > lastEvent ? seq : 0;
        if (awaited || phase == Phase.PAUSING) {
            actions.add(new StopTimer(timerId));
            pollAgain(fruitless);
        }
        updateHold();
    }

    private void pollAgain(boolean fruitless) {
        if (fruitless) {
            pause(backoff.pauseAfterFruitlessPollMs());
        } else {
            poll();
        }
    }

    /** What was asked for before an answered poll has nothing to tell that its answer has not told. */
    private void cancelPollsBefore(long answeredPoll) {
        while (openPolls.get(0) < answeredPoll) {
            actions.add(new CancelPoll(openPolls.remove(0)));
        }
    }

    /** Whether this poll's answer, or its failure, decides when the next poll is sent. */
    private boolean awaited(long poll) {
        return phase == Phase.POLLING && poll == pollId;
    }

    /** A poll has failed, or its connection has. */
    public List<Action> failed(double time, long failedPoll, PollFailure failure, String cause) {
        now = Math.max(now, time);
        openPolls.remove(failedPoll);
        if (awaited(failedPoll)) { // else another poll is open, or follows a pause
            pollFailed(failure, cause);
            updateHold();
        }
        return takeActions();
    }

    /** A timer has fired. */
    public List<Action> timerFired(double time, long firedTimer) {
        now = Math.max(now, time);
        if (firedTimer == timerId) { // else it was stopped after it had fired
            if (phase == Phase.POLLING) {
                pollFailed(PollFailure.NO_ANSWER, "no answer in time");
            } else if (phase == Phase.PAUSING) {
                poll();
            }
            updateHold();
        }
        return takeActions();
    }

    /**
     * The change log has another address from now on: it is polled there at once, from the same event on. The old one
     * reports nothing more and closes, so that going on with it would miss engines that drain.
     */
    public List<Action> addressChanged(double time, String newAddress) {
        now = Math.max(now, time);
        actions.add(new Log("change log at " + newAddress + " from event " + lastEvent));
        address = newAddress;
        backoff.reset();
        actions.add(new StopTimer(timerId));
        openPolls.forEach(poll -> actions.add(new CancelPoll(poll)));
        openPolls.clear();
        poll();
        return takeActions();
    }

    /** Sets how long an engine that has been told to drain may still be sent work, in milliseconds. */
    public void drainGraceMs(double ms) {
        grace.setGraceMs(ms);
    }

    /** Whether the change log has answered completely since the start. */
    public boolean answeredOnce() {
        return answeredOnce;
    }

    /** Milliseconds since the change log last answered completely. */
    public double ageMs(double time) {
        return Math.max(0, time - answeredAt);
    }

    /** The number of the last event received. */
    public long lastEvent() {
        return lastEvent;
    }

    /** How many polls have failed since the start. */
    public long failureCount() {
        return failureCount;
    }

    /** What is going on. */
    public Phase phase() {
        return phase;
    }

    /** The engines in the list, without those removed. */
    public Collection<Member> members() {
        return members.all();
    }

    private List<Action> takeActions() {
        List<Action> taken = actions;
        actions = new ArrayList<>();
        return taken;
    }

    /** Applies events that are new. One without members is not about engines: its number counts, but nothing is reported. */
    private void apply(List<FleetEvent> events) {
        List<FleetEvent> inOrder = new ArrayList<>(events);
        inOrder.sort(Comparator.comparingLong(FleetEvent::seq));
        for (FleetEvent event : inOrder) {
            if (event.seq() > lastEvent) { // else it was received before
                lastEvent = event.seq();
                if (event.complete() || !event.members().isEmpty()) {
                    actions.add(new EventReceived(event, members.apply(event)));
                }
            }
        }
    }

    private void poll() {
        if (openPolls.size() == MAX_OPEN_POLLS) {
            // the oldest stays open, as the change log may take longer than the others are kept
            actions.add(new CancelPoll(openPolls.remove(1)));
        }
        phase = Phase.POLLING;
        polledAt = now;
        pollId = ++lastId;
        openPolls.add(pollId);
        long waitMs = answeredOnce ? timing.waitMs() : Math.min(FIRST_WAIT_MS, timing.waitMs());
        pollWaitMs = waitMs;
        actions.add(new Poll(pollId, address, lastEvent, waitMs, backoff.connectTimeoutMs()));
        startTimer(waitMs + timing.answerSlackMs());
    }

    private void pollFailed(PollFailure failure, String cause) {
        if (failuresInARow == 0) {
            grace.lost(now);
        }
        grace.failed(failure);
        failuresInARow++;
        failureCount++;
        actions.add(new Log("change log: poll " + pollId + " from event " + lastEvent + " failed after "
                + Math.round(now - polledAt) + " ms, failure " + failuresInARow + " in a row: " + cause));
        actions.add(new StopTimer(timerId));
        if (ageMs(now) > timing.staleAfterMs() && !staleLogged) {
            staleLogged = true;
            actions.add(new Log("the change log has not answered for " + Math.round(ageMs(now) / 1000)
                    + " s; the list of " + members.all().size() + " engines stays as it was"));
        }
        pause(backoff.pauseMs(failure));
    }

    private void pause(double ms) {
        phase = Phase.PAUSING;
        startTimer(ms);
    }

    private void updateHold() {
        if (grace.update(now)) {
            actions.add(new Log(grace.held() ? "nothing new is sent: this machine could not poll the change log for "
                    + Math.round(grace.lostMs(now)) + " ms" : "new work is sent again"));
            actions.add(new HoldSends(grace.held()));
        }
    }

    private void startTimer(double delayMs) {
        timerId = ++lastId;
        actions.add(new StartTimer(timerId, delayMs));
    }
}
