package quincespar.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import quincespar.protocol.FleetEvent;
import quincespar.protocol.FleetEvent.Member;

/**
 * Follows the change log. One question is out at any time, or a pause runs after one that failed: never neither, or
 * the list would stay as it is for good, and never both. Each question and each wait has a number of its own, so that
 * what comes late of an earlier one (an answer of the old address, a timer that had fired when it was stopped) is told
 * from what is awaited. Times are milliseconds on one clock that never runs backwards.
 *
 * <p>Losing the change log does not stop the service: the list stays as it was last told, its age is known
 * ({@link #ageMs}), and it is said once when that passes {@link PollTiming#staleAfterMs}.
 */
public final class Membership {
    /** What is to be done. */
    public sealed interface Action { }

    /**
     * Ask the change log at an address for what came after an event; it may wait for so long before it answers, and a new
     * connection may take so long to come up.
     */
    public record Poll(long pollId, String address, long afterEvent, long waitMs, double connectTimeoutMs) implements Action { }

    /** Give up what is asked, and the connection with it. */
    public record CancelPoll() implements Action { }

    /** Say {@link #timerFired} with this number after a delay. */
    public record StartTimer(long timerId, double delayMs) implements Action { }

    /** Say no more of this wait. It may have been said already and be on its way. */
    public record StopTimer(long timerId) implements Action { }

    /** An event was told that had not been told before; {@code removed} are those that a complete list left out. */
    public record EventReceived(FleetEvent event, List<Member> removed) implements Action { }

    /**
     * Nothing new may be sent to any server from now on, or may again: servers may have been told to drain that this machine's
     * own failing calls keep it from hearing of, and their grace is over.
     */
    public record HoldSends(boolean held) implements Action { }

    /** Tell the operators. */
    public record Log(String line) implements Action { }

    /** Where it stands. */
    public enum Phase {
        /** Nothing was asked yet. */
        NEW,
        /** A question is out. */
        POLLING,
        /** The last question failed, and the next one waits. */
        PAUSING
    }

    /** The wait of the questions of the start: the list of the start may be old, and nothing is served before an answer. */
    private static final long FIRST_WAIT_MS = 100;

    private final PollTiming pace;
    private final Backoff backoff;
    private final DrainGrace grace;
    private final MemberList members = new MemberList();
    private List<Action> acts = new ArrayList<>();
    private Phase phase = Phase.NEW;
    private double now;
    private String address;
    /** The last event taken, and what is asked from. Never one that an answer only claims: it may have lost events. */
    private long taken;
    /** The number that an answer ran ahead to without its events. */
    private long claimed;
    private long serial;
    private long question;
    private long wait;
    private boolean answeredOnce;
    private double askedWaitMs;
    /** Failed questions since the last whole answer. */
    private int failuresInARow;
    private long failuresInAll;
    private double askedAt;
    private double answeredAt;
    private boolean toldStale;

    /** Follows at this pace; nothing is asked before {@link #start}. */
    public Membership(PollTiming pace) {
        this.pace = pace;
        backoff = new Backoff(pace);
        grace = new DrainGrace(pace);
    }

    /** Begins with what is known at the start; asks at once. */
    public List<Action> start(double time, String at, List<FleetEvent> known) {
        now = time;
        answeredAt = time;
        grace.lost(time);
        address = at;
        learn(known);
        ask();
        return taken();
    }

    /**
     * An answer came whole: events up to and with number {@code seq}. One to an earlier question is no news. Where
     * the number runs ahead of the events, they are asked for again at once, and from then on after pauses: such a
     * change log would answer at once each time. So would one that answers with nothing new before it had to.
     */
    public List<Action> answered(double time, long asked, long seq, List<FleetEvent> events) {
        now = Math.max(now, time);
        if (phase == Phase.POLLING && asked == question) {
            boolean early = now - askedAt < askedWaitMs / 2;
            long before = taken;
            if (failuresInARow > 0) {
                acts.add(new Log("the change log answers again after " + failuresInARow + " failures and "
                        + Math.round(ageMs(now)) + " ms; the list holds " + members.all().size() + " engines"));
            }
            failuresInARow = 0;
            backoff.reached();
            grace.answered();
            toldStale = false;
            answeredOnce = true;
            answeredAt = now;
            acts.add(new StopTimer(wait));
            learn(events);
            boolean empty = seq > taken ? seq == claimed : early && taken == before;
            if (!empty) {
                backoff.reset();
            }
            claimed = seq > taken ? seq : 0;
            if (empty) {
                pause(backoff.afterCallMs());
            } else {
                ask();
            }
            review();
        }
        return taken();
    }

    /** A question failed, or its connection did. */
    public List<Action> failed(double time, long asked, PollFailure how, String cause) {
        now = Math.max(now, time);
        if (phase == Phase.POLLING && asked == question) {
            failed(how, cause);
            review();
        }
        return taken();
    }

    /** A wait is over. */
    public List<Action> timerFired(double time, long which) {
        now = Math.max(now, time);
        if (which == wait) { // else it was stopped when it had fired already
            if (phase == Phase.POLLING) {
                failed(PollFailure.NO_ANSWER, "no answer in time");
            } else if (phase == Phase.PAUSING) {
                ask();
            }
            review();
        }
        return taken();
    }

    /**
     * The change log is at another address from now on: asked there at once, from the same event. Guards against
     * going on with the old one, which tells nothing more and closes: drains would not be heard of.
     */
    public List<Action> addressChanged(double time, String to) {
        now = Math.max(now, time);
        acts.add(new Log("change log at " + to + " from event " + taken));
        address = to;
        backoff.reset();
        acts.add(new StopTimer(wait));
        acts.add(new CancelPoll());
        ask();
        return taken();
    }

    /** The rule's grace from now on: how long a server that has been told to drain may still be sent work. */
    public void drainGraceMs(double ms) {
        grace.graceMs(ms);
    }

    /** Whether the change log has answered whole since the start. */
    public boolean answeredOnce() {
        return answeredOnce;
    }

    /** Milliseconds since the change log last answered whole. */
    public double ageMs(double time) {
        return Math.max(0, time - answeredAt);
    }

    /** The number of the last event taken. */
    public long lastEvent() {
        return taken;
    }

    /** Questions that have failed since the start. */
    public long failureCount() {
        return failuresInAll;
    }

    /** Where it stands. */
    public Phase phase() {
        return phase;
    }

    /** The engines as told, without those removed. */
    public Collection<Member> members() {
        return members.all();
    }

    private List<Action> taken() {
        List<Action> out = acts;
        acts = new ArrayList<>();
        return out;
    }

    /** Takes what was not told before; numbers of news that is not for us count, and tell nothing. */
    private void learn(List<FleetEvent> events) {
        List<FleetEvent> inOrder = new ArrayList<>(events);
        inOrder.sort(Comparator.comparingLong(FleetEvent::seq));
        for (FleetEvent e : inOrder) {
            if (e.seq() > taken) { // else told before
                taken = e.seq();
                if (e.complete() || !e.members().isEmpty()) {
                    acts.add(new EventReceived(e, members.take(e)));
                }
            }
        }
    }

    private void ask() {
        phase = Phase.POLLING;
        askedAt = now;
        question = ++serial;
        long waitMs = answeredOnce ? pace.waitMs() : Math.min(FIRST_WAIT_MS, pace.waitMs());
        askedWaitMs = waitMs;
        acts.add(new Poll(question, address, taken, waitMs, backoff.connectMs()));
        await(waitMs + pace.answerSlackMs());
    }

    private void failed(PollFailure how, String cause) {
        if (failuresInARow == 0) {
            grace.lost(now);
        }
        grace.failed(how);
        failuresInARow++;
        failuresInAll++;
        acts.add(new Log("change log: question " + question + " from event " + taken + " failed after "
                + Math.round(now - askedAt) + " ms, failure " + failuresInARow + " in a row: " + cause));
        acts.add(new StopTimer(wait));
        acts.add(new CancelPoll());
        if (ageMs(now) > pace.staleAfterMs() && !toldStale) {
            toldStale = true;
            acts.add(new Log("the change log has not answered for " + Math.round(ageMs(now) / 1000)
                    + " s; the list stays as it was told, with " + members.all().size() + " engines"));
        }
        pause(backoff.pauseMs(how));
    }

    private void pause(double ms) {
        phase = Phase.PAUSING;
        await(ms);
    }

    private void review() {
        if (grace.changes(now)) {
            acts.add(new Log(grace.held() ? "nothing new is sent: this machine could not ask the change log for "
                    + Math.round(grace.lostMs(now)) + " ms" : "what waits is sent again"));
            acts.add(new HoldSends(grace.held()));
        }
    }

    private void await(double delay) {
        wait = ++serial;
        acts.add(new StartTimer(wait, delay));
    }
}
