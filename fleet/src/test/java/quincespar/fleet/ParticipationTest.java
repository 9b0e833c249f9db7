package quincespar.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import quincespar.fleet.Participation.Action;
import quincespar.fleet.Participation.FolderResult;
import quincespar.fleet.Participation.Phase;
import quincespar.fleet.Participation.VoterAnswers;

class ParticipationTest {
    private static final FleetConfig CONFIG = new FleetConfig("g", Map.of("a", "h:1", "b", "h:2", "c", "h:3"), Map.of(), 500,
            2000, 6000,
            400, 10_000);

    private final Participation p = new Participation(CONFIG, "a", "x", "t", 77);
    private final List<Action> actions = new ArrayList<>();
    private double now;

    private <T extends Action> T last(Class<T> type) {
        return actions.stream().filter(type::isInstance).map(type::cast).reduce((x, y) -> y).orElseThrow(
                () -> new AssertionError("no " + type.getSimpleName() + " in " + actions));
    }

    private boolean did(Class<? extends Action> type) {
        return actions.stream().anyMatch(type::isInstance);
    }

    private void result(Result r) {
        actions.addAll(p.commandCompleted(now, last(Action.Submit.class).requestId(), r));
    }

    private FleetView view() {
        return last(Action.Publish.class).view();
    }

    private void inTouch() {
        actions.addAll(p.start(now));
        actions.addAll(p.folderOpened(now, new FolderResult.Open("f", 0, 0, 0, true)));
        actions.addAll(p.votersAnswered(now, VoterAnswers.NONE));
        actions.addAll(p.persisted(now, null));
        result(new Result.Joined(5));
        actions.addAll(p.persisted(now, null));
        result(new Result.Renewed(1, 10, new byte[0]));
    }

    @Test
    void usesAnIncarnationOnlyOnceItIsDurable() {
        actions.addAll(p.start(now));
        actions.addAll(p.folderOpened(now, new FolderResult.Open("f", 0, 0, 0, true)));
        actions.addAll(p.votersAnswered(now, VoterAnswers.NONE));
        assertThat(did(Action.StartVoting.class)).isTrue();
        assertThat(did(Action.Submit.class)).isFalse(); // the join is persisted as pending first
        assertThat(last(Action.Persist.class)).isEqualTo(new Action.Persist(0, 77));
        actions.addAll(p.persisted(now, null));
        assertThat(last(Action.Submit.class).command()).isEqualTo(new Command.Join("a", "f", 0, 0, "x", true, "t", 77));
        result(new Result.Joined(5));
        assertThat(last(Action.Persist.class)).isEqualTo(new Action.Persist(5, 0));
        assertThat(last(Action.Submit.class).command()).isInstanceOf(Command.Join.class);
        actions.addAll(p.persisted(now, null));
        assertThat(last(Action.Submit.class).command()).isEqualTo(new Command.Renew("a", 5, Standing.JOINING, 0, 0));
        result(new Result.Renewed(1, 10, new byte[0]));
        assertThat(view().quorumReachable()).isTrue();
        actions.addAll(p.setStanding(now, Standing.SERVING));
        assertThat(last(Action.Submit.class).command()).isEqualTo(new Command.Renew("a", 5, Standing.SERVING, 0, 0));
        actions.addAll(p.leave(now));
        assertThat(last(Action.Submit.class).command()).isEqualTo(new Command.Leave("a", 5));
        result(new Result.Done());
        assertThat(view().phase()).isEqualTo(Phase.LEFT);
    }

    @Test
    void doesNotVoteWithAnOutdatedFolderAndRetriesAPendingJoin() {
        actions.addAll(p.start(now));
        actions.addAll(p.folderOpened(now, new FolderResult.Open("f", 5, 88, 0, true)));
        assertThat(did(Action.StartVoting.class)).isFalse();
        assertThat(last(Action.QueryVoters.class)).isEqualTo(new Action.QueryVoters("f", 5, 0, 88));
        actions.addAll(p.votersAnswered(now, new VoterAnswers("it is older", true, 1)));
        assertThat(did(Action.StartVoting.class)).isFalse();
        assertThat(last(Action.Submit.class).command()).isEqualTo(new Command.Join("a", "", 5, 0, "x", false, "t", 88));
    }

    @Test
    void doesNotVoteWithAFolderThatWasNotInitializedForVoting() {
        actions.addAll(p.start(now));
        actions.addAll(p.folderOpened(now, new FolderResult.Open("g", 0, 0, 0, false)));
        assertThat(did(Action.StartVoting.class)).isFalse();
        assertThat(last(Action.Log.class).message()).contains("fleet init");
        actions.addAll(p.persisted(now, null));
        assertThat(last(Action.Submit.class).command()).isEqualTo(new Command.Join("a", "g", 0, 0, "x", false, "t", 77));
    }

    @Test
    void detectsALostQuorumWhileARenewalIsPending() {
        inTouch();
        long watch = actions.stream().filter(Action.StartTimer.class::isInstance).map(Action.StartTimer.class::cast)
                .filter(a -> a.delayMs() > CONFIG.suspectAfterMs()).reduce((x, y) -> y).orElseThrow().timerId();
        now = CONFIG.suspectAfterMs() + 1;
        actions.addAll(p.timerFired(now, watch));
        assertThat(view().phase()).isEqualTo(Phase.OUT_OF_TOUCH);
        assertThat(view().quorumReachable()).isFalse();
    }

    @Test
    void votesIfNoVoterAnswersAndStopsIfItsFolderIsRefusedLater() {
        actions.addAll(p.start(now));
        actions.addAll(p.folderOpened(now, new FolderResult.Open("f", 5, 0, 0, true)));
        actions.addAll(p.votersAnswered(now, VoterAnswers.NONE));
        assertThat(did(Action.StartVoting.class)).isTrue();
        actions.addAll(p.persisted(now, null));
        result(new Result.Refused(Result.Reason.FOLDER_OUTDATED, "old")); // refused only after it has started to vote
        assertThat(did(Action.StopVoting.class)).isTrue();
        assertThat(last(Action.Submit.class).command()).isEqualTo(new Command.Join("a", "", 5, 0, "x", false, "t", 77));
    }

    /** A folder was opened, and not all voters have answered when the instance begins to join. */
    private void joinBeforeAllVotersHaveAnswered() {
        actions.addAll(p.start(now));
        actions.addAll(p.folderOpened(now, new FolderResult.Open("f", 5, 0, 0, true)));
        actions.addAll(p.timerFired(now, last(Action.StartTimer.class).timerId()));
        actions.addAll(p.persisted(now, null));
        assertThat(did(Action.StartVoting.class)).isFalse();
        assertThat(last(Action.Submit.class).command()).isEqualTo(new Command.Join("a", "f", 5, 0, "x", true, "t", 77));
    }

    private void failJoin() {
        actions.addAll(p.commandFailed(now, last(Action.Submit.class).requestId(), "no leader"));
    }

    @Test
    void votesAfterAFailedJoinOnceTheVotersThatAnsweredAreNoQuorumWithoutIt() {
        joinBeforeAllVotersHaveAnswered();
        failJoin();
        assertThat(did(Action.StartVoting.class)).isFalse();
        actions.addAll(p.votersAnswered(now, new VoterAnswers("", true, 1)));
        assertThat(did(Action.StartVoting.class)).isTrue();
    }

    @Test
    void doesNotVoteAfterAFailedJoinUntilTheOtherVotersHaveAnswered() {
        joinBeforeAllVotersHaveAnswered();
        failJoin();
        actions.addAll(p.votersAnswered(now, new VoterAnswers("it is older", true, 1)));
        assertThat(did(Action.StartVoting.class)).isFalse();
        actions.addAll(p.timerFired(now, last(Action.StartTimer.class).timerId()));
        assertThat(last(Action.Submit.class).command()).isEqualTo(new Command.Join("a", "", 5, 0, "x", false, "t", 77));
    }

    /** The others may be in an election; if they are no quorum any more, it votes after all. */
    @Test
    void asksAgainInsteadOfVotingWhileTheOtherVotersAreAQuorum() {
        joinBeforeAllVotersHaveAnswered();
        actions.addAll(p.votersAnswered(now, new VoterAnswers("", true, 2)));
        failJoin();
        assertThat(did(Action.StartVoting.class)).isFalse();
        assertThat(actions.stream().filter(Action.QueryVoters.class::isInstance)).hasSize(2);
        actions.addAll(p.votersAnswered(now, new VoterAnswers("", true, 1)));
        assertThat(did(Action.StartVoting.class)).isTrue();
    }

    @Test
    void stopsVotingButKeepsServingAfterAFailedWrite() {
        actions.addAll(p.start(now));
        actions.addAll(p.folderOpened(now, new FolderResult.Open("f", 0, 0, 0, true)));
        actions.addAll(p.votersAnswered(now, VoterAnswers.NONE));
        actions.addAll(p.persisted(now, "No space left on device"));
        assertThat(did(Action.StopVoting.class)).isTrue();
        assertThat(last(Action.Log.class).message()).contains("No space left on device");
        result(new Result.Joined(5));
        assertThat(last(Action.Submit.class).command()).isInstanceOf(Command.Renew.class);
        assertThat(actions.stream().filter(Action.Persist.class::isInstance)).hasSize(1);
        result(new Result.Renewed(1, 10, new byte[0]));
        actions.addAll(p.diskRetryDue(now));
        assertThat(last(Action.Persist.class)).isEqualTo(new Action.Persist(0, 77));
        actions.addAll(p.persisted(now, "No space left on device"));
        assertThat(did(Action.RetryDisk.class)).isTrue();
        // space is free again: an incarnation with the folder replaces the one without, and votes
        actions.addAll(p.diskRetryDue(now));
        actions.addAll(p.persisted(now, null));
        assertThat(last(Action.Submit.class).command()).isEqualTo(new Command.Leave("a", 5));
        result(new Result.Done());
        actions.addAll(p.persisted(now, null));
        assertThat(last(Action.Submit.class).command()).isEqualTo(new Command.Join("a", "f", 0, 0, "x", true, "t", 78));
        result(new Result.Joined(6));
        assertThat(last(Action.Persist.class)).isEqualTo(new Action.Persist(6, 0));
        assertThat(actions.stream().filter(Action.StartVoting.class::isInstance)).hasSize(2);
    }

    @Test
    void reportsALostQuorumAndIgnoresLateResults() {
        inTouch();
        long renewal = actions.stream().filter(Action.StartTimer.class::isInstance).map(Action.StartTimer.class::cast)
                .filter(a -> a.delayMs() == CONFIG.renewIntervalMs()).reduce((x, y) -> y).orElseThrow().timerId();
        now = CONFIG.suspectAfterMs() + 1;
        actions.addAll(p.timerFired(now, renewal));
        long old = last(Action.Submit.class).requestId();
        actions.addAll(p.commandFailed(now, old, "no leader"));
        assertThat(view().phase()).isEqualTo(Phase.OUT_OF_TOUCH);
        assertThat(view().quorumReachable()).isFalse();
        assertThat(view().millisSinceContact(now)).isEqualTo(now);
        actions.addAll(p.timerFired(now, last(Action.StartTimer.class).timerId()));
        actions.addAll(p.commandCompleted(now, old, new Result.Renewed(9, 9, new byte[0])));
        assertThat(view().quorumReachable()).isFalse();
        result(new Result.Renewed(9, 9, new byte[0]));
        assertThat(view().quorumReachable()).isTrue();
        assertThat(actions).contains(new Action.Log("is in contact with a quorum again"));
    }

    @Test
    void rejoinsAfterExpiryButNotAfterBeingSuperseded() {
        inTouch();
        actions.addAll(p.timerFired(now, last(Action.StartTimer.class).timerId()));
        result(new Result.Refused(Result.Reason.INCARNATION_ENDED, "over"));
        actions.addAll(p.persisted(now, null));
        assertThat(last(Action.Submit.class).command()).isEqualTo(new Command.Join("a", "f", 5, 0, "x", true, "t", 78));
        result(new Result.Joined(6));
        actions.addAll(p.persisted(now, null));
        result(new Result.Refused(Result.Reason.SUPERSEDED, "followed by 7"));
        assertThat(view().phase()).isEqualTo(Phase.DISPLACED);
        assertThat(did(Action.StopVoting.class)).isTrue();
        int before = actions.size();
        actions.addAll(p.setStanding(now, Standing.LEAVING));
        assertThat(actions).hasSize(before); // no further actions
    }

    @Test
    void startsVotingAgainAfterTheLibraryHasStopped() {
        inTouch();
        actions.clear();
        actions.addAll(p.votingFailed(now, "disk full"));
        assertThat(did(Action.StopVoting.class)).isTrue();
        assertThat(view().statusLine()).isEqualTo("votes in nothing for now: disk full");
        actions.addAll(p.votingFailed(now, "disk full"));
        assertThat(actions.stream().filter(Action.RetryDisk.class::isInstance)).hasSize(1);
        actions.addAll(p.markPersisted(now, 1, "disk full")); // the mark that was being written
        actions.addAll(p.diskRetryDue(now));
        actions.addAll(p.markPersisted(now, 1, "disk full"));
        assertThat(did(Action.StartVoting.class)).isFalse(); // no write has succeeded yet
        actions.addAll(p.diskRetryDue(now));
        actions.addAll(p.markPersisted(now, 1, null));
        assertThat(did(Action.StartVoting.class)).isTrue();
    }

    private void renewal() {
        actions.addAll(p.timerFired(now, actions.stream().filter(Action.StartTimer.class::isInstance)
                .map(Action.StartTimer.class::cast)
                .filter(a -> a.delayMs() == CONFIG.renewIntervalMs()).reduce((x, y) -> y).orElseThrow().timerId()));
    }

    /** On a slow disk renewals go on with the last durable mark, and no second mark is requested. */
    @Test
    void reportsAMarkOnlyOnceItIsDurable() {
        inTouch();
        assertThat(last(Action.PersistMark.class)).isEqualTo(new Action.PersistMark(1));
        now = 5000;
        renewal();
        assertThat(last(Action.Submit.class).command()).isEqualTo(new Command.Renew("a", 5, Standing.JOINING, 0, 0));
        result(new Result.Renewed(1, 10, new byte[0]));
        assertThat(actions.stream().filter(Action.PersistMark.class::isInstance)).hasSize(1);
        actions.addAll(p.markPersisted(now, 1, null));
        renewal();
        assertThat(last(Action.Submit.class).command()).isEqualTo(new Command.Renew("a", 5, Standing.JOINING, 0, 1));
        result(new Result.Renewed(1, 10, new byte[0]));
        assertThat(last(Action.PersistMark.class)).isEqualTo(new Action.PersistMark(2));
        actions.addAll(p.markPersisted(now, 2, "Read-only file system"));
        assertThat(did(Action.StopVoting.class)).isTrue();
        assertThat(view().statusLine()).contains("Read-only file system");
        renewal();
        assertThat(last(Action.Submit.class).command()).isEqualTo(new Command.Renew("a", 5, Standing.JOINING, 0, 1));
    }

    @Test
    void waitsForALockedFolderAndGoesOnWithoutAFailedOne() {
        actions.addAll(p.start(now));
        actions.addAll(p.folderOpened(now, new FolderResult.Locked("another process has it")));
        actions.clear();
        actions.addAll(p.timerFired(now, 1));
        assertThat(did(Action.OpenFolder.class)).isTrue();
        actions.addAll(p.folderOpened(now, new FolderResult.Failed("read-only")));
        assertThat(did(Action.StartVoting.class)).isFalse();
        assertThat(last(Action.Submit.class).command()).isEqualTo(new Command.Join("a", "", 0, 0, "x", false, "t", 77));
    }
}
