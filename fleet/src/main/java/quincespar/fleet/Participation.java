package quincespar.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * One instance's participation in its fleet, as a state machine: it joins, renews its session, votes and leaves. Each method
 * takes an event with the time of a monotonic clock and returns the actions to carry out; it does no I/O itself. Not
 * thread-safe.
 *
 * <p>A voter votes only with its own folder, locked, of which the other voters do not know more than the folder itself: a
 * folder that was copied or restored from a backup has lost votes and log entries that it had acknowledged. Its instance may
 * still follow.
 */
public final class Participation {
    /** The phase of the participation. */
    public enum Phase {
        /** There is no fleet. */
        OFF,
        /** Waits for the folder, which another process still holds locked. */
        WAITING,
        /** Asks the other voters what they know of the folder, before it votes. */
        ASKING,
        /** Asks to join the fleet. */
        JOINING,
        /** Has a session, and a quorum answers. */
        IN_TOUCH,
        /** Has a session, and no quorum answers. */
        OUT_OF_TOUCH,
        /** The process is still running, but another incarnation of the same name has replaced it. */
        DISPLACED,
        /** Has left in an orderly shutdown. */
        LEFT
    }

    /** The result of opening the folder. */
    public sealed interface FolderResult {
        /**
         * It is open and locked.
         *
         * @param identity the identity drawn for the folder
         * @param lastIncarnation the last incarnation recorded in it, 0 for none
         * @param pendingNonce the nonce of a join that was submitted since and may have been granted, 0 for none
         * @param mark the last mark recorded in it
         * @param initializedForVoting whether it was created as a voter's folder by {@code quincespar fleet init}
         */
        record Open(String identity, long lastIncarnation, long pendingNonce, long mark, boolean initializedForVoting)
                implements FolderResult { }

        /** Another process holds it locked. */
        record Locked(String message) implements FolderResult { }

        /** It can't be used; the instance goes on without it and does not vote. */
        record Failed(String message) implements FolderResult { }
    }

    /** What is to be done. */
    public sealed interface Action {
        /** Try to open and lock the folder. */
        record OpenFolder() implements Action { }

        /**
         * Ask the other voters whether the folder may vote: {@link Snapshot#votingRejection}. Call
         * {@link Participation#votersAnswered} at the first rejection, and once each voter has answered or failed to.
         */
        record QueryVoters(String folder, long lastIncarnation, long mark, long nonce) implements Action { }

        /** Start to vote. */
        record StartVoting() implements Action { }

        /** Stop voting. */
        record StopVoting() implements Action { }

        /** Call {@link Participation#diskRetryDue} after the delay. */
        record RetryDisk(double delayMs) implements Action { }

        /**
         * Submit a command; report its result to {@link Participation#commandCompleted}, or that there is none to
         * {@link Participation#commandFailed}, with this id.
         */
        record Submit(long requestId, Command command) implements Action { }

        /** Persist these in the folder durably and call {@link Participation#persisted}. */
        record Persist(long incarnation, long nonce) implements Action { }

        /** Persist the mark in the folder durably and call {@link Participation#markPersisted}. */
        record PersistMark(long mark) implements Action { }

        /** Call {@link Participation#timerFired} with this id after the delay. */
        record StartTimer(long timerId, double delayMs) implements Action { }

        /** Log a message for operators. */
        record Log(String message) implements Action { }

        /** Publish a changed view. */
        record Publish(FleetView view) implements Action { }
    }

    /**
     * What the other voters have answered to {@link Action.QueryVoters}.
     *
     * @param rejection why the folder must not vote according to any of them, empty if none rejects it
     * @param answered whether any has answered
     * @param withState how many have answered with a state that contains a change; the consensus library counts no vote of a
     *     voter with an empty log
     */
    public record VoterAnswers(String rejection, boolean answered, int withState) {
        /** No voter has answered. */
        public static final VoterAnswers NONE = new VoterAnswers("", false, 0);
    }

    private static final double RETRY_DELAY_MS = 500;
    private static final double QUERY_VOTERS_TIMEOUT_MS = 1500;
    private static final double DISK_RETRY_DELAY_MS = 3000;
    /** How often a voter's folder is marked: a copy taken during the current incarnation is detected if it is older than this. */
    private static final double MARK_INTERVAL_MS = 1000;

    private final FleetConfig config;
    private final String name;
    private final String address;
    private final String build;
    private long nonce;
    private boolean mayVote;
    private Phase phase = Phase.OFF;
    private String statusLine = "";
    /** The identity of the folder in use, empty if there is none. */
    private String folder = "";
    /** The folder that failed a write, which is retried; empty if there is none. */
    private String failedFolder = "";
    /** Whether the incarnation without a folder is being ended, to start one with the folder. */
    private boolean rejoining;
    private long lastIncarnation;
    private long mark;
    /** The mark that is being persisted, 0 for none. */
    private long pendingMark;
    private double lastMarkAt = Double.NEGATIVE_INFINITY;
    private long incarnation;
    private boolean voting;
    /** The answers of the last query of the voters; null while it is not complete. */
    private VoterAnswers voterAnswers;
    /** Whether a join with the folder has failed since the folder was opened. */
    private boolean joinFailed;
    private boolean leaving;
    private Standing standing = Standing.JOINING;
    private Snapshot state = Snapshot.EMPTY;
    private double lastContactAt = -1;
    private long lastId;
    /** The timer whose end makes the current phase go on. */
    private long phaseTimer;
    /** The timer that detects that no quorum answers. */
    private long quorumTimer;
    /** The request whose outcome is awaited, 0 for none. */
    private long pendingRequest;
    private FleetView published = FleetView.NONE;
    private List<Action> actions = new ArrayList<>();

    /**
     * Creates the participation of one process.
     *
     * @param address its second address, for operators; empty if it has none
     * @param nonce random, drawn for this process
     */
    public Participation(FleetConfig config, String name, String address, String build, long nonce) {
        this.config = config;
        this.name = name;
        this.address = address;
        this.build = build;
        this.nonce = nonce;
        mayVote = config.isVoter(name);
    }

    /** Starts the participation. */
    public List<Action> start(double now) {
        phase = Phase.WAITING;
        actions.add(new Action.OpenFolder());
        return takeActions(now);
    }

    /** The folder was opened, or could not be. */
    public List<Action> folderOpened(double now, FolderResult result) {
        if (phase != Phase.WAITING) {
            return takeActions(now);
        }
        if (result instanceof FolderResult.Locked locked) {
            setStatus("waits for its folder: " + locked.message());
            startPhaseTimer(RETRY_DELAY_MS);
        } else if (result instanceof FolderResult.Failed failed) {
            setStatus("has no folder and votes in nothing: " + failed.message());
            join();
        } else if (result instanceof FolderResult.Open open) {
            folder = open.identity();
            lastIncarnation = open.lastIncarnation();
            mark = open.mark();
            // a process that was killed before it stored the result retries the same join
            nonce = open.pendingNonce() == 0 ? nonce : open.pendingNonce();
            if (mayVote && open.initializedForVoting()) {
                phase = Phase.ASKING;
                queryVoters();
                startPhaseTimer(QUERY_VOTERS_TIMEOUT_MS);
            } else {
                if (mayVote) {
                    mayVote = false;
                    actions.add(new Action.Log("does not vote: its folder was not created by 'quincespar fleet init', so votes"
                            + " acknowledged with an earlier folder may be lost"));
                }
                join();
            }
        }
        return takeActions(now);
    }

    private void queryVoters() {
        voterAnswers = null;
        actions.add(new Action.QueryVoters(folder, lastIncarnation, mark, nonce));
    }

    /**
     * The other voters have answered what they know of the folder, or have failed to. If any has answered there may be a quorum
     * without this one: it joins first, and votes once the replicated state does not reject its folder. If none has, its vote
     * may be needed to form a quorum.
     */
    public List<Action> votersAnswered(double now, VoterAnswers answers) {
        boolean late = phase == Phase.JOINING && incarnation == 0 && !folder.isEmpty();
        if (phase == Phase.ASKING || late) {
            voterAnswers = answers;
            if (!answers.rejection().isEmpty()) {
                rejectFolder(answers.rejection());
            } else if (phase == Phase.ASKING && !answers.answered()) {
                startVoting();
            } else if (late) {
                voteIfNeeded();
            }
        }
        if (phase == Phase.ASKING) {
            join();
        }
        return takeActions(now);
    }

    /**
     * Starts to vote without having joined, if a join has failed and no quorum can form without this voter. That takes the
     * answers of all other voters: on a slow machine or during an election joins fail too, and the answer that would reject
     * the folder may still be on its way.
     */
    private void voteIfNeeded() {
        if (joinFailed && voterAnswers != null && voterAnswers.withState() < quorum()) {
            startVoting();
        }
    }

    private int quorum() {
        return config.voters().size() / 2 + 1;
    }

    private void rejectFolder(String why) {
        setStatus("does not vote: its folder is a copy, or was restored from before: " + why);
        dropFolder(); // it follows, as an instance without a folder does
    }

    private void startVoting() {
        if (mayVote && !voting) {
            voting = true;
            actions.add(new Action.StartVoting());
        }
    }

    /** Persists the nonce before it submits the join: if killed before the result arrives, the folder would look outdated. */
    private void join() {
        phase = Phase.JOINING;
        if (folder.isEmpty()) {
            submitJoin();
        } else {
            actions.add(new Action.Persist(lastIncarnation, nonce));
        }
    }

    private void submitJoin() {
        submit(new Command.Join(name, folder, lastIncarnation, mark, address, mayVote && !folder.isEmpty(), build, nonce));
    }

    /** The incarnation and nonce were persisted; {@code error} is null if they are durable. */
    public List<Action> persisted(double now, String error) {
        if (!failedFolder.isEmpty()) {
            return retriedDisk(now, error);
        }
        if (error != null) {
            setStatus("goes on without its folder and votes in nothing for now: " + error);
            failedFolder = folder;
            dropFolder();
            actions.add(new Action.RetryDisk(DISK_RETRY_DELAY_MS));
        }
        if (phase == Phase.JOINING && incarnation == 0) {
            submitJoin();
        } else if (phase == Phase.JOINING) { // an incarnation is used only once it is durable, or if there is no folder
            phase = Phase.IN_TOUCH;
            renew();
        }
        return takeActions(now);
    }

    /** The folder stayed locked and has lost nothing: a new incarnation with the folder replaces the one without it. */
    private List<Action> retriedDisk(double now, String error) {
        if (error != null) {
            actions.add(new Action.RetryDisk(DISK_RETRY_DELAY_MS));
        } else if (phase == Phase.IN_TOUCH) {
            setStatus("can write to its folder again");
            folder = failedFolder;
            failedFolder = "";
            rejoining = true;
            submit(new Command.Leave(name, incarnation));
        } else { // later: the incarnation without the folder has to be ended first
            actions.add(new Action.RetryDisk(DISK_RETRY_DELAY_MS));
        }
        return takeActions(now);
    }

    private void rejoin() {
        rejoining = false;
        incarnation = 0;
        nonce++; // for a new incarnation
        join();
    }

    /** The mark was persisted; {@code error} is null if it is durable. Only then does the next renewal report it. */
    public List<Action> markPersisted(double now, long persistedMark, String error) {
        if (persistedMark == pendingMark) {
            pendingMark = 0;
            mark = error == null ? persistedMark : mark;
            if (error == null && !voting && !folder.isEmpty() && !leaving && phase != Phase.DISPLACED) {
                startVoting();
            } else if (error != null) {
                return diskFailed(now, error);
            }
        }
        return takeActions(now);
    }

    private void persistNextMark(double now) {
        lastMarkAt = now;
        pendingMark = mark + 1;
        actions.add(new Action.PersistMark(pendingMark));
    }

    /** The consensus library could not start to vote, or has stopped by itself, for example after a failed write. */
    public List<Action> votingFailed(double now, String error) {
        return voting ? diskFailed(now, error) : takeActions(now);
    }

    private List<Action> diskFailed(double now, String error) {
        setStatus("votes in nothing for now: " + error);
        if (voting) {
            voting = false;
            actions.add(new Action.StopVoting());
        }
        actions.add(new Action.RetryDisk(DISK_RETRY_DELAY_MS));
        return takeActions(now);
    }

    /**
     * The disk may work again. The folder stayed locked by this process and has lost nothing; voting starts again after the
     * first write that succeeds.
     */
    public List<Action> diskRetryDue(double now) {
        if (!failedFolder.isEmpty()) {
            actions.add(new Action.Persist(lastIncarnation, nonce));
        } else if (!folder.isEmpty() && mayVote && !voting && pendingMark == 0) {
            persistNextMark(now);
        }
        return takeActions(now);
    }

    /** Whether this instance votes, as far as this state machine has requested it. */
    public boolean isVoting() {
        return voting;
    }

    /** The incarnation in use, 0 if there is none. */
    public long incarnation() {
        return phase == Phase.IN_TOUCH || phase == Phase.OUT_OF_TOUCH ? incarnation : 0;
    }

    private void dropFolder() {
        folder = "";
        if (voting) {
            voting = false;
            actions.add(new Action.StopVoting());
        }
    }

    private void submit(Command command) {
        pendingRequest = ++lastId;
        actions.add(new Action.Submit(pendingRequest, command));
    }

    private void startPhaseTimer(double delayMs) {
        phaseTimer = ++lastId;
        actions.add(new Action.StartTimer(phaseTimer, delayMs));
    }

    /** This instance's own standing has changed. */
    public List<Action> setStanding(double now, Standing next) {
        boolean changed = next != standing && !leaving;
        standing = leaving ? standing : next;
        if (changed && !rejoining && (phase == Phase.IN_TOUCH || phase == Phase.OUT_OF_TOUCH)) {
            renew();
        }
        return takeActions(now);
    }

    /** The process shuts down: leaves the fleet if it has joined. */
    public List<Action> leave(double now) {
        if (!leaving && incarnation > 0 && phase != Phase.DISPLACED) {
            leaving = true;
            submit(new Command.Leave(name, incarnation));
        } else if (!leaving) {
            leaving = true;
            phase = Phase.LEFT;
        }
        return takeActions(now);
    }

    private void renew() {
        submit(new Command.Renew(name, incarnation, standing, state.version(), folder.isEmpty() ? 0 : mark));
    }

    /** A submitted command has completed; ignored if another was submitted since. */
    public List<Action> commandCompleted(double now, long requestId, Result result) {
        if (requestId != pendingRequest) {
            return takeActions(now);
        }
        pendingRequest = 0;
        lastContactAt = now; // any result shows that a quorum answers
        quorumTimer = ++lastId;
        actions.add(new Action.StartTimer(quorumTimer, config.suspectAfterMs() + 1));
        if (result instanceof Result.Joined joined) {
            joined(joined.incarnation());
        } else if (result instanceof Result.Renewed) {
            if (phase == Phase.OUT_OF_TOUCH) {
                actions.add(new Action.Log("is in contact with a quorum again"));
            }
            phase = Phase.IN_TOUCH;
            statusLine = voting || !mayVote || folder.isEmpty() ? "" : statusLine;
            if (voting && pendingMark == 0 && now >= lastMarkAt + MARK_INTERVAL_MS) {
                persistNextMark(now);
            }
            startPhaseTimer(config.renewIntervalMs());
        } else if (result instanceof Result.Refused refused) {
            refused(refused);
        } else if (leaving) {
            phase = Phase.LEFT;
        } else if (rejoining) {
            rejoin();
        }
        return takeActions(now);
    }

    private void joined(long assigned) {
        incarnation = assigned;
        if (!folder.isEmpty()) {
            lastIncarnation = assigned;
            startVoting(); // the replicated state knows no later incarnation of this folder
        }
        actions.add(new Action.Log("has joined as incarnation " + assigned + (voting ? ", as a voter" : ", as a follower")));
        statusLine = "";
        if (folder.isEmpty()) {
            phase = Phase.IN_TOUCH;
            renew();
        } else {
            actions.add(new Action.Persist(assigned, 0));
        }
    }

    private void refused(Result.Refused refusal) {
        if (leaving) {
            phase = Phase.LEFT;
        } else if (refusal.reason() == Result.Reason.FOLDER_OUTDATED) {
            rejectFolder(refusal.message());
            join();
        } else if (phase == Phase.JOINING) {
            setStatus("is not taken in: " + refusal.message());
            startPhaseTimer(RETRY_DELAY_MS);
        } else if (refusal.reason() == Result.Reason.INCARNATION_ENDED) {
            setStatus("was given up by the fleet and joins again: " + refusal.message());
            rejoin();
        } else {
            phase = Phase.DISPLACED;
            setStatus("is no part of the fleet any more: " + refusal.message());
            if (voting) {
                voting = false;
                actions.add(new Action.StopVoting());
            }
        }
    }

    /** A snapshot of the state came with a result, or was applied by this instance's own replica. */
    public List<Action> stateReceived(double now, Snapshot snapshot) {
        if (snapshot.version() > state.version()) {
            state = snapshot;
        }
        return takeActions(now);
    }

    /** A submitted command timed out or could not be sent; whether it was committed is unknown. */
    public List<Action> commandFailed(double now, long requestId, String error) {
        if (requestId == pendingRequest) {
            pendingRequest = 0;
            if (leaving) {
                phase = Phase.LEFT;
            } else {
                if (phase == Phase.IN_TOUCH && now - lastContactAt > config.suspectAfterMs()) {
                    phase = Phase.OUT_OF_TOUCH;
                    setStatus("hears of no majority: " + error);
                }
                if (phase == Phase.JOINING && incarnation == 0 && !folder.isEmpty()) {
                    joinWithFolderFailed();
                }
                startPhaseTimer(RETRY_DELAY_MS);
            }
        }
        return takeActions(now);
    }

    private void joinWithFolderFailed() {
        joinFailed = true;
        voteIfNeeded();
        if (mayVote && !voting && voterAnswers != null) { // there was a quorum without this voter, which may have ended since
            queryVoters();
        }
    }

    /** A timer has fired. */
    public List<Action> timerFired(double now, long timerId) {
        if (timerId == quorumTimer && phase == Phase.IN_TOUCH && now - lastContactAt > config.suspectAfterMs()) {
            phase = Phase.OUT_OF_TOUCH; // a renewal that is still pending has not failed yet
            setStatus("hears of no majority");
        }
        if (timerId != phaseTimer || leaving) {
            return takeActions(now);
        }
        if (phase == Phase.WAITING) {
            actions.add(new Action.OpenFolder());
        } else if (phase == Phase.ASKING) { // some voters have not answered
            join();
        } else if (phase == Phase.JOINING) {
            join();
        } else if (rejoining) {
            submit(new Command.Leave(name, incarnation));
        } else if (phase == Phase.IN_TOUCH || phase == Phase.OUT_OF_TOUCH) {
            renew();
        }
        return takeActions(now);
    }

    /** Sets the status line, and logs it if it has changed. */
    private void setStatus(String status) {
        if (!status.equals(statusLine)) {
            statusLine = status;
            actions.add(new Action.Log(status));
        }
    }

    /** Publishes the view if it has changed, and returns the actions of this step. */
    private List<Action> takeActions(double now) {
        boolean quorumReachable = phase == Phase.IN_TOUCH && now - lastContactAt <= config.suspectAfterMs();
        FleetView view = new FleetView(phase, statusLine, incarnation, state, lastContactAt, quorumReachable);
        if (view.phase() != published.phase() || !view.statusLine().equals(published.statusLine())
                || view.quorumReachable() != published.quorumReachable() || view.state() != published.state()
                || view.incarnation() != published.incarnation() || view.lastContactAt() != published.lastContactAt()) {
            published = view;
            actions.add(new Action.Publish(view));
        }
        List<Action> out = actions;
        actions = new ArrayList<>();
        return out;
    }
}
