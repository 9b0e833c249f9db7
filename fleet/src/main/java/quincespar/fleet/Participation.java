package quincespar.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * One instance's way into its fleet and out of it: what it may do there and when. Takes what happened with the time of a
 * clock that can't be set, and answers with what is to be done; it does no reading or writing. One thread calls it.
 *
 * A voter takes part in votes only with a folder of its own, locked, that the others do not know more of than itself: one
 * that was copied or restored has forgotten votes and entries that it has promised to keep. It may still follow.
 */
public final class Participation {
    /** Where it stands. */
    public enum Phase {
        /** There is no fleet here. */
        OFF,
        /** Waits for its folder, which another process still holds. */
        WAITING,
        /** Asks the others what they know of its folder, before it votes. */
        ASKING,
        /** Asks to be taken into the fleet. */
        JOINING,
        /** Takes part, and a majority answers. */
        IN_TOUCH,
        /** Takes part, and no majority answers. */
        OUT_OF_TOUCH,
        /** Its life is over for the fleet though the process goes on: it was followed by another. */
        DISPLACED,
        /** Has left in order. */
        LEFT
    }

    /** What is known of the folder. */
    public sealed interface FolderResult {
        /**
         * It is open and locked: its identity, the last incarnation that it knows, 0 for none, and the nonce of a join
         * that may have been granted since, 0 for none; the last mark; {@code votes} where it was begun as a voter's.
         */
        record Open(String identity, long lastIncarnation, long pendingNonce, long mark, boolean initializedForVoting) implements FolderResult { }

        /** Another process holds it. */
        record Locked(String message) implements FolderResult { }

        /** It can't be used; the instance goes on without, and votes in nothing. */
        record Failed(String message) implements FolderResult { }
    }

    /** What is to be done. */
    public sealed interface Action {
        /** Try to open and lock the folder. */
        record OpenFolder() implements Action { }

        /** Ask the other voters whether what they know speaks against this folder: {@link Snapshot#votingRejection}. */
        record QueryVoters(String folder, long lastIncarnation, long mark, long nonce) implements Action { }

        /** Take part in votes. */
        record StartVoting() implements Action { }

        /** Take part in votes no more. */
        record StopVoting() implements Action { }

        /** Call {@link Participation#diskRetryDue} after a while. */
        record RetryDisk(double delayMs) implements Action { }

        /** Have a command agreed; its result, or that there is none, is told with this number. */
        record Submit(long requestId, Command command) implements Action { }

        /** Keep these in the folder, for certain; {@link Participation#persisted} is told. */
        record Persist(long incarnation, long nonce) implements Action { }

        /** Mark the folder, for certain; {@link Participation#markPersisted} is told. */
        record PersistMark(long mark) implements Action { }

        /** Call {@link Participation#timerFired} with this number after a while. */
        record StartTimer(long timerId, double delayMs) implements Action { }

        /** Tell operators. */
        record Log(String message) implements Action { }

        /** What is known has changed. */
        record Publish(FleetView view) implements Action { }
    }

    /** Pauses between tries. */
    private static final double RETRY_MS = 500, ASK_MS = 1500, DISK_LATER_MS = 3000;
    /** A voter's folder is marked so often: one restored from within a life is told apart where it is older than that. */
    private static final double MARK_MS = 1000;

    private final FleetConfig plan;
    private final String name;
    private final String address;
    private final String build;
    private long nonce;
    private boolean mayVote;
    private Phase phase = Phase.OFF;
    private String line = "";
    private String folder = "";
    /** The folder that the disk has refused to write to, and which is tried again; empty where there is none. */
    private String aside = "";
    /** The life without it is being ended, to begin one with it. */
    private boolean changing;
    private long last;
    private long mark;
    private long marking;
    private double markedAt = Double.NEGATIVE_INFINITY;
    private long incarnation;
    private boolean voting;
    private boolean leaving;
    private Standing standing = Standing.JOINING;
    private Snapshot state = Snapshot.EMPTY;
    private double heardAt = -1;
    private long number;
    private long awaited;
    private long watched;
    private long submitted;
    private FleetView published = FleetView.NONE;
    private List<Action> acts = new ArrayList<>();

    /**
     * For one process.
     *
     * @param address where operators reach it, empty for nowhere
     * @param nonce drawn for this process
     */
    public Participation(FleetConfig plan, String name, String address, String build, long nonce) {
        this.plan = plan;
        this.name = name;
        this.address = address;
        this.build = build;
        this.nonce = nonce;
        mayVote = plan.isVoter(name);
    }

    /** The first step. */
    public List<Action> start(double now) {
        phase = Phase.WAITING;
        acts.add(new Action.OpenFolder());
        return done(now);
    }

    /** What came of opening the folder. */
    public List<Action> folderOpened(double now, FolderResult f) {
        if (phase != Phase.WAITING) {
            return done(now);
        }
        if (f instanceof FolderResult.Locked h) {
            say("waits for its folder: " + h.message());
            await(RETRY_MS);
        } else if (f instanceof FolderResult.Failed x) {
            say("has no folder and votes in nothing: " + x.message());
            join();
        } else if (f instanceof FolderResult.Open o) {
            folder = o.identity();
            last = o.lastIncarnation();
            mark = o.mark();
            nonce = o.pendingNonce() == 0 ? nonce : o.pendingNonce(); // killed before the answer was kept, it asks for the same life
            if (mayVote && o.initializedForVoting()) {
                phase = Phase.ASKING;
                acts.add(new Action.QueryVoters(folder, last, mark, nonce));
                await(ASK_MS);
            } else {
                if (mayVote) {
                    mayVote = false;
                    acts.add(new Action.Log("does not vote: its folder was not begun by 'quincespar fleet init', so what the one"
                            + " before it has promised may be lost"));
                }
                join();
            }
        }
        return done(now);
    }

    /**
     * What any of the others knows against this folder, empty where nothing. Where one answered, a majority may stand without
     * this one: it joins first, and votes once what is agreed does not speak against its folder. Where nobody is there, its
     * vote may be needed for that.
     */
    public List<Action> votersAnswered(double now, String against, boolean answered) {
        boolean late = phase == Phase.JOINING && incarnation == 0 && !folder.isEmpty();
        if (!against.isEmpty() && (phase == Phase.ASKING || late)) {
            oldFolder(against);
        } else if (phase == Phase.ASKING && !answered) {
            vote();
        }
        if (phase == Phase.ASKING) {
            join();
        }
        return done(now);
    }

    private void oldFolder(String why) {
        say("does not vote: its folder is a copy, or was restored from before: " + why);
        withoutFolder(); // it follows as one without
    }

    private void vote() {
        if (mayVote && !voting) {
            voting = true;
            acts.add(new Action.StartVoting());
        }
    }

    /** With a folder it is kept first that a life is asked for: a kill before the answer would make the folder look old. */
    private void join() {
        phase = Phase.JOINING;
        if (folder.isEmpty()) {
            ask();
        } else {
            acts.add(new Action.Persist(last, nonce));
        }
    }

    private void ask() {
        submit(new Command.Join(name, folder, last, mark, address, mayVote && !folder.isEmpty(), build, nonce));
    }

    /** What came of keeping: {@code why} is null where it is certain. */
    public List<Action> persisted(double now, String why) {
        if (!aside.isEmpty()) {
            return triedAgain(now, why);
        }
        if (why != null) {
            say("goes on without its folder and votes in nothing for now: " + why);
            aside = folder;
            withoutFolder();
            acts.add(new Action.RetryDisk(DISK_LATER_MS));
        }
        if (phase == Phase.JOINING && incarnation == 0) {
            ask();
        } else if (phase == Phase.JOINING) { // an incarnation is used once it is kept, or there is no folder to keep it
            phase = Phase.IN_TOUCH;
            renew();
        }
        return done(now);
    }

    /** The folder was locked all the time, so nothing that it promised is forgotten: a life with it follows the one without. */
    private List<Action> triedAgain(double now, String why) {
        if (why != null) {
            acts.add(new Action.RetryDisk(DISK_LATER_MS));
        } else if (phase == Phase.IN_TOUCH) {
            say("can write to its folder again");
            folder = aside;
            aside = "";
            changing = true;
            submit(new Command.Leave(name, incarnation));
        } else { // not now: the life without it has to be ended first
            acts.add(new Action.RetryDisk(DISK_LATER_MS));
        }
        return done(now);
    }

    private void rejoin() {
        changing = false;
        incarnation = 0;
        nonce++; // another life
        join();
    }

    /** What came of a mark: {@code why} is null where it is certain. The fleet hears of it with the next renewal, not before. */
    public List<Action> markPersisted(double now, long of, String why) {
        if (of == marking) {
            marking = 0;
            mark = why == null ? of : mark;
            if (why == null && !voting && !folder.isEmpty() && !leaving && phase != Phase.DISPLACED) {
                vote();
            } else if (why != null) {
                return diskFailed(now, why);
            }
        }
        return done(now);
    }

    private void mark(double now) {
        markedAt = now;
        marking = mark + 1;
        acts.add(new Action.PersistMark(marking));
    }

    /** The library could not begin to take part in votes, or has ended that by itself, as on a disk that refuses. */
    public List<Action> votingFailed(double now, String why) {
        return voting ? diskFailed(now, why) : done(now);
    }

    private List<Action> diskFailed(double now, String why) {
        say("votes in nothing for now: " + why);
        if (voting) {
            voting = false;
            acts.add(new Action.StopVoting());
        }
        acts.add(new Action.RetryDisk(DISK_LATER_MS));
        return done(now);
    }

    /**
     * It may be possible again: the folder is this process's own all the time, so nothing that it promised is forgotten. Votes
     * begin once the disk has taken something.
     */
    public List<Action> diskRetryDue(double now) {
        if (!aside.isEmpty()) {
            acts.add(new Action.Persist(last, nonce));
        } else if (!folder.isEmpty() && mayVote && !voting && marking == 0) {
            mark(now);
        }
        return done(now);
    }

    /** Whether it takes part in votes, as far as it has asked for that. */
    public boolean isVoting() {
        return voting;
    }

    /** This life's number as the fleet gave it, 0 where it has none that may be used. */
    public long incarnation() {
        return phase == Phase.IN_TOUCH || phase == Phase.OUT_OF_TOUCH ? incarnation : 0;
    }

    private void withoutFolder() {
        folder = "";
        if (voting) {
            voting = false;
            acts.add(new Action.StopVoting());
        }
    }

    private void submit(Command c) {
        submitted = ++number;
        acts.add(new Action.Submit(submitted, c));
    }

    private void await(double ms) {
        awaited = ++number;
        acts.add(new Action.StartTimer(awaited, ms));
    }

    /** This instance stands so from now on, as it says itself. */
    public List<Action> setStanding(double now, Standing s) {
        boolean news = s != standing && !leaving;
        standing = leaving ? standing : s;
        if (news && !changing && (phase == Phase.IN_TOUCH || phase == Phase.OUT_OF_TOUCH)) {
            renew();
        }
        return done(now);
    }

    /** The process ends: the fleet is told, if it can be. */
    public List<Action> leave(double now) {
        if (!leaving && incarnation > 0 && phase != Phase.DISPLACED) {
            leaving = true;
            submit(new Command.Leave(name, incarnation));
        } else if (!leaving) {
            leaving = true;
            phase = Phase.LEFT;
        }
        return done(now);
    }

    private void renew() {
        submit(new Command.Renew(name, incarnation, standing, state.version(), folder.isEmpty() ? 0 : mark));
    }

    /** What became of a command; of one that was followed by another it is no news. */
    public List<Action> commandCompleted(double now, long of, Result r) {
        if (of != submitted) {
            return done(now);
        }
        submitted = 0;
        heardAt = now; // a majority answered, whatever it said
        watched = ++number;
        acts.add(new Action.StartTimer(watched, plan.suspectAfterMs() + 1));
        if (r instanceof Result.Joined j) {
            joined(j.incarnation());
        } else if (r instanceof Result.Renewed) {
            if (phase == Phase.OUT_OF_TOUCH) {
                acts.add(new Action.Log("hears a majority again"));
            }
            phase = Phase.IN_TOUCH;
            line = voting || !mayVote || folder.isEmpty() ? "" : line;
            if (voting && marking == 0 && now >= markedAt + MARK_MS) {
                mark(now);
            }
            await(plan.renewIntervalMs());
        } else if (r instanceof Result.Refused x) {
            refused(x);
        } else if (leaving) {
            phase = Phase.LEFT;
        } else if (changing) {
            rejoin();
        }
        return done(now);
    }

    private void joined(long given) {
        incarnation = given;
        if (!folder.isEmpty()) {
            last = given;
            vote(); // what is agreed knows no later life of this folder
        }
        acts.add(new Action.Log("is incarnation " + given + " of " + name + (voting ? " and votes" : " and follows")));
        line = "";
        if (folder.isEmpty()) {
            phase = Phase.IN_TOUCH;
            renew();
        } else {
            acts.add(new Action.Persist(given, 0));
        }
    }

    private void refused(Result.Refused x) {
        if (leaving) {
            phase = Phase.LEFT;
        } else if (x.reason() == Result.Reason.FOLDER_OUTDATED) {
            oldFolder(x.message());
            join();
        } else if (phase == Phase.JOINING) {
            say("is not taken in: " + x.message());
            await(RETRY_MS);
        } else if (x.reason() == Result.Reason.INCARNATION_ENDED) {
            say("was given up by the fleet and joins again: " + x.message());
            rejoin();
        } else {
            phase = Phase.DISPLACED;
            say("is no part of the fleet any more: " + x.message());
            if (voting) {
                voting = false;
                acts.add(new Action.StopVoting());
            }
        }
    }

    /** A state that came with an answer, or that this instance's own voter has applied. */
    public List<Action> stateReceived(double now, Snapshot s) {
        if (s.version() > state.version()) {
            state = s;
        }
        return done(now);
    }

    /** A command has come to nothing within its time, or can't be sent: whether it was agreed is not known. */
    public List<Action> commandFailed(double now, long of, String why) {
        if (of == submitted) {
            submitted = 0;
            if (leaving) {
                phase = Phase.LEFT;
            } else {
                if (phase == Phase.IN_TOUCH && now - heardAt > plan.suspectAfterMs()) {
                    phase = Phase.OUT_OF_TOUCH;
                    say("hears of no majority: " + why);
                }
                if (phase == Phase.JOINING && incarnation == 0 && !folder.isEmpty()) {
                    vote(); // there may be no majority without this one
                }
                await(RETRY_MS);
            }
        }
        return done(now);
    }

    /** A wait is over. */
    public List<Action> timerFired(double now, long of) {
        if (of == watched && phase == Phase.IN_TOUCH && now - heardAt > plan.suspectAfterMs()) {
            phase = Phase.OUT_OF_TOUCH; // a renewal that goes on trying tells nothing by itself
            say("hears of no majority");
        }
        if (of != awaited || leaving) {
            return done(now);
        }
        if (phase == Phase.WAITING) {
            acts.add(new Action.OpenFolder());
        } else if (phase == Phase.ASKING) { // some say nothing, neither yes nor no
            return votersAnswered(now, "", true);
        } else if (phase == Phase.JOINING) {
            join();
        } else if (changing) {
            submit(new Command.Leave(name, incarnation));
        } else if (phase == Phase.IN_TOUCH || phase == Phase.OUT_OF_TOUCH) {
            renew();
        }
        return done(now);
    }

    private void say(String what) {
        if (!what.equals(line)) {
            line = what;
            acts.add(new Action.Log(what));
        }
    }

    private List<Action> done(double now) {
        boolean inTouch = phase == Phase.IN_TOUCH && now - heardAt <= plan.suspectAfterMs();
        FleetView view = new FleetView(phase, line, incarnation, state, heardAt, inTouch);
        if (view.phase() != published.phase() || !view.statusLine().equals(published.statusLine()) || view.quorumReachable() != published.quorumReachable()
                || view.state() != published.state() || view.incarnation() != published.incarnation()
                || view.lastContactAt() != published.lastContactAt()) {
            published = view;
            acts.add(new Action.Publish(view));
        }
        List<Action> out = acts;
        acts = new ArrayList<>();
        return out;
    }
}
