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
 * ({@link #age}), and it is said once when that passes {@link Pace#staleMs}.
 */
public final class Membership {
    /** What is to be done. */
    public sealed interface Act { }

    /**
     * Ask the change log at an address for what came after an event; it may wait for so long before it answers, and a new
     * connection may take so long to come up.
     */
    public record Ask(long question, String address, long since, long waitMs, double connectMs) implements Act { }

    /** Give up what is asked, and the connection with it. */
    public record Drop() implements Act { }

    /** Say {@link #due} with this number after a delay. */
    public record Await(long serial, double delayMs) implements Act { }

    /** Say no more of this wait. It may have been said already and be on its way. */
    public record Forget(long serial) implements Act { }

    /** An event was told that had not been told before; {@code removed} are those that a complete list left out. */
    public record Learned(FleetEvent event, List<Member> removed) implements Act { }

    /**
     * Nothing new may be sent to any server from now on, or may again: servers may have been told to drain that this machine's
     * own failing calls keep it from hearing of, and their grace is over.
     */
    public record Hold(boolean on) implements Act { }

    /** Tell the operators. */
    public record Say(String line) implements Act { }

    /** Where it stands. */
    public enum Phase {
        /** Nothing was asked yet. */
        NEW,
        /** A question is out. */
        ASKING,
        /** The last question failed, and the next one waits. */
        PAUSING
    }

    /** The wait of the questions of the start: the list of the start may be old, and nothing is served before an answer. */
    private static final long FIRST_WAIT_MS = 100;
    /** Pauses and times to connect double this often at the most. */
    private static final int MOST_DOUBLINGS = 5;

    /** What is on its way to a server when a hold begins has so long to go out within the grace. */
    private static final double HOLD_MARGIN_MS = 200;

    private final Pace pace;
    private final Members members = new Members();
    private List<Act> acts = new ArrayList<>();
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
    private int failures;
    private int unreached;
    private int slowConnects;
    private boolean answeredOnce;
    /** How long a server that has been told to drain may still be sent work; 0 where there is no such rule. */
    private double graceMs;
    /** Since when events may have been told that were not heard: the end of the last question that was in place. */
    private double lostAt;
    private boolean failedHere;
    private boolean held;
    private double askedWaitMs;
    /** Failed questions since the last whole answer. */
    private int failuresInARow;
    private long failuresInAll;
    private double askedAt;
    private double answeredAt;
    private boolean toldStale;

    /** Follows at this pace; nothing is asked before {@link #start}. */
    public Membership(Pace pace) {
        this.pace = pace;
    }

    /** Begins with what is known at the start; asks at once. */
    public List<Act> start(double time, String at, List<FleetEvent> known) {
        now = time;
        answeredAt = time;
        lostAt = time;
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
    public List<Act> answered(double time, long asked, long seq, List<FleetEvent> events) {
        now = Math.max(now, time);
        if (phase == Phase.ASKING && asked == question) {
            boolean early = now - askedAt < askedWaitMs / 2;
            long before = taken;
            if (failuresInARow > 0) {
                acts.add(new Say("the change log answers again after " + failuresInARow + " failures and "
                        + Math.round(age(now)) + " ms; the list holds " + members.all().size() + " engines"));
            }
            failuresInARow = 0;
            unreached = 0;
            slowConnects = 0;
            toldStale = false;
            answeredOnce = true;
            failedHere = false;
            answeredAt = now;
            acts.add(new Forget(wait));
            learn(events);
            boolean empty = seq > taken ? seq == claimed : early && taken == before;
            failures = empty ? failures : 0;
            claimed = seq > taken ? seq : 0;
            if (empty) {
                pauseAfterCall();
            } else {
                ask();
            }
            review();
        }
        return taken();
    }

    /** A question failed, or its connection did. */
    public List<Act> failed(double time, long asked, Failure how, String cause) {
        now = Math.max(now, time);
        if (phase == Phase.ASKING && asked == question) {
            failed(how, cause);
            review();
        }
        return taken();
    }

    /** A wait is over. */
    public List<Act> due(double time, long which) {
        now = Math.max(now, time);
        if (which == wait) { // else it was stopped when it had fired already
            if (phase == Phase.ASKING) {
                failed(Failure.UNANSWERED, "no answer in time");
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
    public List<Act> moved(double time, String to) {
        now = Math.max(now, time);
        acts.add(new Say("change log at " + to + " from event " + taken));
        address = to;
        failures = 0;
        unreached = 0;
        slowConnects = 0;
        acts.add(new Forget(wait));
        acts.add(new Drop());
        ask();
        return taken();
    }

    /** The rule's grace from now on: how long a server that has been told to drain may still be sent work. */
    public void grace(double ms) {
        graceMs = ms;
    }

    /** Whether the change log has answered whole since the start. */
    public boolean answeredOnce() {
        return answeredOnce;
    }

    /** Milliseconds since the change log last answered whole. */
    public double age(double time) {
        return Math.max(0, time - answeredAt);
    }

    /** The number of the last event taken. */
    public long seq() {
        return taken;
    }

    /** Questions that have failed since the start. */
    public long failures() {
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

    private List<Act> taken() {
        List<Act> out = acts;
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
                    acts.add(new Learned(e, members.take(e)));
                }
            }
        }
    }

    private void ask() {
        phase = Phase.ASKING;
        askedAt = now;
        question = ++serial;
        long waitMs = answeredOnce ? pace.waitMs() : Math.min(FIRST_WAIT_MS, pace.waitMs());
        askedWaitMs = waitMs;
        acts.add(new Ask(question, address, taken, waitMs, doubled(pace.connectMs(), slowConnects)));
        await(waitMs + pace.slackMs());
    }

    private void failed(Failure how, String cause) {
        lostAt = failuresInARow == 0 ? now : lostAt;
        failedHere = how == Failure.FAILED_HERE;
        failuresInARow++;
        failuresInAll++;
        acts.add(new Say("change log: question " + question + " from event " + taken + " failed after "
                + Math.round(now - askedAt) + " ms, failure " + failuresInARow + " in a row: " + cause));
        acts.add(new Forget(wait));
        acts.add(new Drop());
        if (age(now) > pace.staleMs() && !toldStale) {
            toldStale = true;
            acts.add(new Say("the change log has not answered for " + Math.round(age(now) / 1000)
                    + " s; the list stays as it was told, with " + members.all().size() + " engines"));
        }
        if (how == Failure.UNANSWERED) {
            pauseAfterCall();
        } else {
            slowConnects += how == Failure.SLOW_CONNECT ? 1 : 0;
            pause(Math.min(pace.unreachedPauseMs(), doubled(pace.pauseMs(), unreached++)));
        }
    }

    /** Calls that the change log has worked on add up over a whole fleet. */
    private void pauseAfterCall() {
        pause(Math.min(pace.longestPauseMs(), doubled(pace.pauseMs(), failures++)));
    }

    private void pause(double ms) {
        phase = Phase.PAUSING;
        await(ms);
    }

    /**
     * Holds what would be sent from shortly before the grace is over until the change log answers, fails in another way, or
     * the longest hold has passed: a change log that is down or can't be reached stops nothing.
     */
    private void review() {
        double graceEnds = lostAt + graceMs;
        boolean hold = graceMs > 0 && failedHere && now + pace.unreachedPauseMs() + HOLD_MARGIN_MS >= graceEnds
                && now < graceEnds + pace.holdMs();
        if (hold != held) {
            held = hold;
            acts.add(new Say(hold ? "nothing new is sent: this machine could not ask the change log for "
                    + Math.round(now - lostAt) + " ms" : "what waits is sent again"));
            acts.add(new Hold(hold));
        }
    }

    private static double doubled(double ms, int times) {
        return ms * (1 << Math.min(times, MOST_DOUBLINGS));
    }

    private void await(double delay) {
        wait = ++serial;
        acts.add(new Await(wait, delay));
    }
}
