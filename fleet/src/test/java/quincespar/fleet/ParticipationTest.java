package quincespar.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import quincespar.fleet.Participation.Action;
import quincespar.fleet.Participation.FolderResult;
import quincespar.fleet.Participation.Phase;

class ParticipationTest {
    private static final FleetConfig PLAN = new FleetConfig("g", Map.of("a", "h:1", "b", "h:2", "c", "h:3"), Map.of(), 500, 2000, 6000,
            400, 10_000);

    private final Participation p = new Participation(PLAN, "a", "x", "t", 77);
    private final List<Action> acts = new ArrayList<>();
    private double now;

    private <T extends Action> T last(Class<T> type) {
        return acts.stream().filter(type::isInstance).map(type::cast).reduce((x, y) -> y).orElseThrow(
                () -> new AssertionError("no " + type.getSimpleName() + " in " + acts));
    }

    private boolean did(Class<? extends Action> type) {
        return acts.stream().anyMatch(type::isInstance);
    }

    private void result(Result r) {
        acts.addAll(p.commandCompleted(now, last(Action.Submit.class).requestId(), r));
    }

    private FleetView view() {
        return last(Action.Publish.class).view();
    }

    private void inTouch() {
        acts.addAll(p.start(now));
        acts.addAll(p.folderOpened(now, new FolderResult.Open("f", 0, 0, 0, true)));
        acts.addAll(p.votersAnswered(now, "", false));
        acts.addAll(p.persisted(now, null));
        result(new Result.Joined(5));
        acts.addAll(p.persisted(now, null));
        result(new Result.Renewed(1, 10, new byte[0]));
    }

    @Test
    void anIncarnationIsUsedOnceItIsKept() {
        acts.addAll(p.start(now));
        acts.addAll(p.folderOpened(now, new FolderResult.Open("f", 0, 0, 0, true)));
        acts.addAll(p.votersAnswered(now, "", false));
        assertThat(did(Action.StartVoting.class)).isTrue();
        assertThat(did(Action.Submit.class)).isFalse(); // first it is kept that a life is asked for
        assertThat(last(Action.Persist.class)).isEqualTo(new Action.Persist(0, 77));
        acts.addAll(p.persisted(now, null));
        assertThat(last(Action.Submit.class).command()).isEqualTo(new Command.Join("a", "f", 0, 0, "x", true, "t", 77));
        result(new Result.Joined(5));
        assertThat(last(Action.Persist.class)).isEqualTo(new Action.Persist(5, 0));
        assertThat(last(Action.Submit.class).command()).isInstanceOf(Command.Join.class);
        acts.addAll(p.persisted(now, null));
        assertThat(last(Action.Submit.class).command()).isEqualTo(new Command.Renew("a", 5, Standing.JOINING, 0, 0));
        result(new Result.Renewed(1, 10, new byte[0]));
        assertThat(view().quorumReachable()).isTrue();
        acts.addAll(p.setStanding(now, Standing.SERVING));
        assertThat(last(Action.Submit.class).command()).isEqualTo(new Command.Renew("a", 5, Standing.SERVING, 0, 0));
        acts.addAll(p.leave(now));
        assertThat(last(Action.Submit.class).command()).isEqualTo(new Command.Leave("a", 5));
        result(new Result.Done());
        assertThat(view().phase()).isEqualTo(Phase.LEFT);
    }

    @Test
    void aFolderThatOthersKnowMoreOfDoesNotVoteAndOneThatWasInterruptedAsksForTheSameLife() {
        acts.addAll(p.start(now));
        acts.addAll(p.folderOpened(now, new FolderResult.Open("f", 5, 88, 0, true)));
        assertThat(did(Action.StartVoting.class)).isFalse();
        assertThat(last(Action.QueryVoters.class)).isEqualTo(new Action.QueryVoters("f", 5, 0, 88));
        acts.addAll(p.votersAnswered(now, "it is older", true));
        assertThat(did(Action.StartVoting.class)).isFalse();
        assertThat(last(Action.Submit.class).command()).isEqualTo(new Command.Join("a", "", 5, 0, "x", false, "t", 88));
    }

    @Test
    void aVotersFolderThatIsFoundEmptyDoesNotVote() {
        acts.addAll(p.start(now));
        acts.addAll(p.folderOpened(now, new FolderResult.Open("g", 0, 0, 0, false)));
        assertThat(did(Action.StartVoting.class)).isFalse();
        assertThat(last(Action.Log.class).message()).contains("fleet init");
        acts.addAll(p.persisted(now, null));
        assertThat(last(Action.Submit.class).command()).isEqualTo(new Command.Join("a", "g", 0, 0, "x", false, "t", 77));
    }

    @Test
    void aRenewalThatGoesOnTryingTellsOfALostMajorityInTime() {
        inTouch();
        long watch = acts.stream().filter(Action.StartTimer.class::isInstance).map(Action.StartTimer.class::cast)
                .filter(a -> a.delayMs() > PLAN.suspectAfterMs()).reduce((x, y) -> y).orElseThrow().timerId();
        now = PLAN.suspectAfterMs() + 1;
        acts.addAll(p.timerFired(now, watch));
        assertThat(view().phase()).isEqualTo(Phase.OUT_OF_TOUCH);
        assertThat(view().quorumReachable()).isFalse();
    }

    @Test
    void aFleetThatStartsWholeVotesThoughNobodyAnswersYet() {
        acts.addAll(p.start(now));
        acts.addAll(p.folderOpened(now, new FolderResult.Open("f", 5, 0, 0, true)));
        acts.addAll(p.votersAnswered(now, "", false));
        assertThat(did(Action.StartVoting.class)).isTrue();
        acts.addAll(p.persisted(now, null));
        result(new Result.Refused(Result.Reason.FOLDER_OUTDATED, "old")); // found out late: it votes no more
        assertThat(did(Action.StopVoting.class)).isTrue();
        assertThat(last(Action.Submit.class).command()).isEqualTo(new Command.Join("a", "", 5, 0, "x", false, "t", 77));
    }

    @Test
    void whereAnyoneAnswersItJoinsBeforeItVotesAndVotesWhereThatComesToNothing() {
        acts.addAll(p.start(now));
        acts.addAll(p.folderOpened(now, new FolderResult.Open("f", 5, 0, 0, true)));
        acts.addAll(p.timerFired(now, last(Action.StartTimer.class).timerId())); // some say nothing
        acts.addAll(p.persisted(now, null));
        assertThat(did(Action.StartVoting.class)).isFalse();
        assertThat(last(Action.Submit.class).command()).isEqualTo(new Command.Join("a", "f", 5, 0, "x", true, "t", 77));
        acts.addAll(p.commandFailed(now, last(Action.Submit.class).requestId(), "no leader"));
        assertThat(did(Action.StartVoting.class)).isTrue();
    }

    @Test
    void aDiskThatKeepsNothingEndsItsVoteAndNotItsService() {
        acts.addAll(p.start(now));
        acts.addAll(p.folderOpened(now, new FolderResult.Open("f", 0, 0, 0, true)));
        acts.addAll(p.votersAnswered(now, "", false));
        acts.addAll(p.persisted(now, "No space left on device"));
        assertThat(did(Action.StopVoting.class)).isTrue();
        assertThat(last(Action.Log.class).message()).contains("No space left on device");
        result(new Result.Joined(5));
        assertThat(last(Action.Submit.class).command()).isInstanceOf(Command.Renew.class);
        assertThat(acts.stream().filter(Action.Persist.class::isInstance)).hasSize(1);
        result(new Result.Renewed(1, 10, new byte[0]));
        acts.addAll(p.diskRetryDue(now));
        assertThat(last(Action.Persist.class)).isEqualTo(new Action.Persist(0, 77));
        acts.addAll(p.persisted(now, "No space left on device"));
        assertThat(did(Action.RetryDisk.class)).isTrue();
        acts.addAll(p.diskRetryDue(now)); // there is room: a life with the folder follows the one without, and votes
        acts.addAll(p.persisted(now, null));
        assertThat(last(Action.Submit.class).command()).isEqualTo(new Command.Leave("a", 5));
        result(new Result.Done());
        acts.addAll(p.persisted(now, null));
        assertThat(last(Action.Submit.class).command()).isEqualTo(new Command.Join("a", "f", 0, 0, "x", true, "t", 78));
        result(new Result.Joined(6));
        assertThat(last(Action.Persist.class)).isEqualTo(new Action.Persist(6, 0));
        assertThat(acts.stream().filter(Action.StartVoting.class::isInstance)).hasSize(2);
    }

    @Test
    void aLostMajorityIsToldAndAnswersThatAreLateCountForNothing() {
        inTouch();
        long renewal = acts.stream().filter(Action.StartTimer.class::isInstance).map(Action.StartTimer.class::cast)
                .filter(a -> a.delayMs() == PLAN.renewIntervalMs()).reduce((x, y) -> y).orElseThrow().timerId();
        now = PLAN.suspectAfterMs() + 1;
        acts.addAll(p.timerFired(now, renewal));
        long old = last(Action.Submit.class).requestId();
        acts.addAll(p.commandFailed(now, old, "no leader"));
        assertThat(view().phase()).isEqualTo(Phase.OUT_OF_TOUCH);
        assertThat(view().quorumReachable()).isFalse();
        assertThat(view().millisSinceContact(now)).isEqualTo(now);
        acts.addAll(p.timerFired(now, last(Action.StartTimer.class).timerId()));
        acts.addAll(p.commandCompleted(now, old, new Result.Renewed(9, 9, new byte[0])));
        assertThat(view().quorumReachable()).isFalse();
        result(new Result.Renewed(9, 9, new byte[0]));
        assertThat(view().quorumReachable()).isTrue();
        assertThat(acts).contains(new Action.Log("is in contact with a quorum again"));
    }

    @Test
    void whoWasGivenUpJoinsAsAnotherLifeAndWhoWasFollowedDoesNot() {
        inTouch();
        acts.addAll(p.timerFired(now, last(Action.StartTimer.class).timerId()));
        result(new Result.Refused(Result.Reason.INCARNATION_ENDED, "over"));
        acts.addAll(p.persisted(now, null));
        assertThat(last(Action.Submit.class).command()).isEqualTo(new Command.Join("a", "f", 5, 0, "x", true, "t", 78));
        result(new Result.Joined(6));
        acts.addAll(p.persisted(now, null));
        result(new Result.Refused(Result.Reason.SUPERSEDED, "followed by 7"));
        assertThat(view().phase()).isEqualTo(Phase.DISPLACED);
        assertThat(did(Action.StopVoting.class)).isTrue();
        int before = acts.size();
        acts.addAll(p.setStanding(now, Standing.LEAVING));
        assertThat(acts).hasSize(before); // it has nothing more to say
    }

    @Test
    void aVoteThatTheLibraryEndsIsBegunAgainLater() {
        inTouch();
        acts.clear();
        acts.addAll(p.votingFailed(now, "disk full"));
        assertThat(did(Action.StopVoting.class)).isTrue();
        assertThat(view().statusLine()).isEqualTo("votes in nothing for now: disk full");
        acts.addAll(p.votingFailed(now, "disk full"));
        assertThat(acts.stream().filter(Action.RetryDisk.class::isInstance)).hasSize(1);
        acts.addAll(p.markPersisted(now, 1, "disk full")); // the mark that was under way
        acts.addAll(p.diskRetryDue(now));
        acts.addAll(p.markPersisted(now, 1, "disk full"));
        assertThat(did(Action.StartVoting.class)).isFalse(); // the disk has taken nothing yet
        acts.addAll(p.diskRetryDue(now));
        acts.addAll(p.markPersisted(now, 1, null));
        assertThat(did(Action.StartVoting.class)).isTrue();
    }

    private void renewal() {
        acts.addAll(p.timerFired(now, acts.stream().filter(Action.StartTimer.class::isInstance).map(Action.StartTimer.class::cast)
                .filter(a -> a.delayMs() == PLAN.renewIntervalMs()).reduce((x, y) -> y).orElseThrow().timerId()));
    }

    /** On a slow disk renewals go on, with the last mark that is there for certain, and no second one is asked for. */
    @Test
    void aMarkIsToldOnceItIsThere() {
        inTouch();
        assertThat(last(Action.PersistMark.class)).isEqualTo(new Action.PersistMark(1));
        now = 5000;
        renewal();
        assertThat(last(Action.Submit.class).command()).isEqualTo(new Command.Renew("a", 5, Standing.JOINING, 0, 0));
        result(new Result.Renewed(1, 10, new byte[0]));
        assertThat(acts.stream().filter(Action.PersistMark.class::isInstance)).hasSize(1);
        acts.addAll(p.markPersisted(now, 1, null));
        renewal();
        assertThat(last(Action.Submit.class).command()).isEqualTo(new Command.Renew("a", 5, Standing.JOINING, 0, 1));
        result(new Result.Renewed(1, 10, new byte[0]));
        assertThat(last(Action.PersistMark.class)).isEqualTo(new Action.PersistMark(2));
        acts.addAll(p.markPersisted(now, 2, "Read-only file system"));
        assertThat(did(Action.StopVoting.class)).isTrue();
        assertThat(view().statusLine()).contains("Read-only file system");
        renewal();
        assertThat(last(Action.Submit.class).command()).isEqualTo(new Command.Renew("a", 5, Standing.JOINING, 0, 1));
    }

    @Test
    void aFolderThatIsHeldIsWaitedForAndOneThatFailsIsDoneWithout() {
        acts.addAll(p.start(now));
        acts.addAll(p.folderOpened(now, new FolderResult.Locked("another process has it")));
        acts.clear();
        acts.addAll(p.timerFired(now, 1));
        assertThat(did(Action.OpenFolder.class)).isTrue();
        acts.addAll(p.folderOpened(now, new FolderResult.Failed("read-only")));
        assertThat(did(Action.StartVoting.class)).isFalse();
        assertThat(last(Action.Submit.class).command()).isEqualTo(new Command.Join("a", "", 0, 0, "x", false, "t", 77));
    }
}
