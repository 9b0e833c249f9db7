package quincespar.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import quincespar.decision.Scheduler;
import quincespar.decision.Scheduler.Outcome;
import quincespar.membership.PollFailure;
import quincespar.membership.PollTiming;
import quincespar.protocol.FleetEvent;
import quincespar.protocol.FleetEvent.Phase;

/** The rules that the reducer keeps, with a module that does as the test says. */
class ReducerTest {
    private static final Caller CALLER = new Caller(1, 1);

    private final List<Scheduler.Event> told = new ArrayList<>();
    private final List<Scheduler.Action> plan = new ArrayList<>();
    private final List<Effect> effects = new ArrayList<>();
    private final Map<String, String> pairs = new HashMap<>();
    private Reducer reducer;
    private int decisions;
    private double now = 1000;

    @BeforeEach
    void start() {
        pairs.putAll(Map.of("requestClasses.count", "2", "tick", "5", "rules.drainGrace", "1000"));
        for (int c = 0; c < 2; c++) {
            pairs.putAll(Map.of("requestClasses." + c + ".slo", "800", "requestClasses." + c + ".hardLimit", "4000",
                    "requestClasses." + c + ".effect", c == 0 ? "safe" : "unsafe"));
        }
        reducer = new Reducer(RoutingSettings.of(pairs), new Bounds(3, 5, 2000, 2500, 8, 8, 500, new PollTiming(2000, 1000, 250, 1000, 250, 400, 5000, 10_000)), (time, events) -> {
            decisions++;
            told.addAll(events);
            List<Scheduler.Action> out = List.copyOf(plan);
            plan.clear();
            return out;
        });
        effects.addAll(reducer.start(now, "127.0.0.1:1", List.of(fleet(1, Phase.UP, "a", "b"))));
    }

    private static FleetEvent fleet(long seq, Phase phase, String... ids) {
        return new FleetEvent(seq, seq, seq == 1, java.util.Arrays.stream(ids).map(id ->
                new FleetEvent.Member(id, "127.0.0.1:1", "", "", 0, phase, 1, 0)).toList());
    }

    private void step(Input... inputs) {
        now += 10;
        effects.addAll(reducer.step(now, List.of(inputs)));
    }

    private <T> List<T> of(Class<T> type, List<?> all) {
        return all.stream().filter(type::isInstance).map(type::cast).toList();
    }

    private <T> T last(Class<T> type) {
        return last(type, effects);
    }

    private <T> T last(Class<T> type, List<?> from) {
        List<T> all = of(type, from);
        return all.get(all.size() - 1);
    }

    private long engine(int i) {
        return of(Scheduler.EngineList.class, told).get(0).engines().get(i).id();
    }

    /** Has a request of a class taken and sent to an engine, over a link that is up. */
    private Effect.Send sent(int cls) {
        plan.add(new Scheduler.SendAttempt(requestNumber(), engine(0), 0));
        step(new Input.RequestReceived(CALLER, new Query("00000000000000aa", cls, 0, 4000, false, 10, 0, 0, new byte[0]), now));
        if (of(Effect.Send.class, effects).isEmpty()) {
            step(new Input.LinkUp(last(Effect.OpenLink.class).link()));
        }
        return last(Effect.Send.class);
    }

    private long requestNumber() {
        return 1;
    }

    private Outcome outcome() {
        List<Scheduler.AttemptEnded> ends = of(Scheduler.AttemptEnded.class, told);
        return ends.isEmpty() ? null : ends.get(ends.size() - 1).outcome();
    }

    /** What the transport does when the first byte goes out, seen from here: the leave can't be taken back. */
    private static void begun(Effect.Send send) {
        assertThat(send.write().begin()).isTrue();
    }

    private static EngineMessage.Done done(Effect.Send s, int pages) {
        return new EngineMessage.Done(s.txn(), pages, new byte[] {'0'}, List.of());
    }

    private static EngineMessage.Page page(Effect.Send s, int number) {
        return new EngineMessage.Page(s.txn(), number, new byte[] {(byte) ('0' + number)});
    }

    @Test
    void pagesAreServedInOrderWhenAllAreIn() {
        Effect.Send s = sent(0);
        begun(s);
        step(new Input.EngineMessageReceived(s.link(), done(s, 3)));
        step(new Input.EngineMessageReceived(s.link(), page(s, 2)), new Input.EngineMessageReceived(s.link(), page(s, 2)));
        assertThat(of(Effect.Answer.class, effects)).isEmpty();
        step(new Input.EngineMessageReceived(s.link(), page(s, 1)));
        assertThat(((Reply.Served) last(Effect.Answer.class).reply()).result()).containsExactly('0', '1', '2');
        assertThat(outcome()).isEqualTo(Outcome.OK);
    }

    /** The system's own end would leave it without an answer: what is open has one before that, new ones too. */
    @Test
    void whatIsOpenIsAnsweredBeforeTheProcessEnds() {
        Effect.Send s = sent(1);
        begun(s);
        step(new Input.ShutdownScheduled(now + 1010));
        Effect.StartTimer end = last(Effect.StartTimer.class);
        assertThat(end.key()).isEqualTo(new TimerKey.RequestDeadline(requestNumber()));
        assertThat(end.delayMs()).isEqualTo(1000);
        step(new Input.RequestReceived(new Caller(1, 2), new Query("00000000000000ab", 0, 0, 4000, false, 10, 0, 0, new byte[0]),
                now + 10));
        assertThat(of(Scheduler.Request.class, told).get(1).clientTimeout()).isLessThan(1000); // the module knows of it
        step(new Input.TimerFired(end.key()));
        assertThat(last(Effect.Answer.class).reply()).isInstanceOf(Reply.Failed.class);
    }

    @Test
    void fewerPlacesForClientsMakeThoseThatSayNothingMakeRoom() {
        step(new Input.CallerConnected(1), new Input.CallerConnected(2));
        step(new Input.CallerLimitChanged(2));
        step(new Input.CallerConnected(3));
        assertThat(last(Effect.CloseCaller.class).connection()).isEqualTo(1);
    }

    @Test
    void aLostPageIsAnErrorThatRan() {
        Effect.Send s = sent(0);
        begun(s);
        step(new Input.EngineMessageReceived(s.link(), done(s, 2)));
        step(new Input.LinkDown(s.link(), "reset"));
        assertThat(of(Effect.Answer.class, effects)).isEmpty();
        assertThat(outcome()).isEqualTo(Outcome.ERROR);
    }

    @Test
    void aResetProvesNothingOnceBytesWentOut() {
        Effect.Send s = sent(1);
        begun(s);
        step(new Input.LinkDown(s.link(), "reset"));
        assertThat(outcome()).isEqualTo(Outcome.RESET);
        plan.add(new Scheduler.SendAttempt(requestNumber(), engine(1), 0));
        plan.add(new Scheduler.RefuseRequest(requestNumber(), 0));
        step(new Input.TimerFired(new TimerKey.Gateway(1, 1)));
        assertThat(of(Effect.Send.class, effects)).hasSize(1); // a load is never sent twice,
        assertThat(last(Effect.Answer.class).reply()).isInstanceOf(Reply.Failed.class); // nor refused
    }

    /** What each engine got, how it ended, and which of its links never came up. */
    @Test
    void engineCountsTellWhatWasSentAndWhatWasRefused() {
        Effect.Send s = sent(0);
        begun(s);
        step(new Input.EngineMessageReceived(s.link(), done(s, 1)));
        assertThat(reducer.engineCounters()).containsEntry("a.sent", 1L).containsEntry("a.ok", 1L).containsEntry("a.links", 1L)
                .doesNotContainKeys("a.refused", "b.sent");
        step(new Input.RequestReceived(new Caller(CALLER.connection(), 2),
                new Query("00000000000000ab", 0, 0, 4000, false, 10, 0, 0, new byte[0]), now));
        plan.add(new Scheduler.SendAttempt(of(Scheduler.Request.class, told).get(1).id(), engine(1), 0));
        step(new Input.TimerFired(new TimerKey.Gateway(1, 1)));
        step(new Input.LinkDown(last(Effect.OpenLink.class).link(), "refused"));
        assertThat(reducer.engineCounters()).containsEntry("b.refused", 1L).containsEntry("b.connect_failed", 1L)
                .containsEntry("b.links", 1L).doesNotContainKey("b.sent");
    }

    @Test
    void whatWasNotWrittenNeverRan() {
        Effect.Send s = sent(1);
        step(new Input.LinkDown(s.link(), "reset"));
        assertThat(outcome()).isEqualTo(Outcome.CONNECT_FAILED);
    }

    @Test
    void aCancelledAttemptEndsOnlyWhenItsCancelIsWritten() {
        Effect.Send s = sent(0);
        begun(s);
        plan.add(new Scheduler.CancelAttempt(requestNumber(), 0, Scheduler.CancelReason.SLOW_PROGRESS));
        step(new Input.TimerFired(new TimerKey.Gateway(1, 1)));
        assertThat(of(Effect.Cancel.class, effects)).hasSize(1);
        assertThat(outcome()).isNull();
        step(new Input.CancelWritten(s.key()));
        assertThat(outcome()).isEqualTo(Outcome.CANCELLED);
    }

    @Test
    void aRetryOnTheSameEngineFollowsItsCancelOnTheSameLink() {
        Effect.Send s = sent(0);
        begun(s);
        plan.add(new Scheduler.CancelAttempt(requestNumber(), 0, Scheduler.CancelReason.SLOW_PROGRESS));
        step(new Input.TimerFired(new TimerKey.Gateway(1, 1)));
        plan.add(new Scheduler.SendAttempt(requestNumber(), engine(0), 0));
        step(new Input.CancelWritten(s.key()));
        assertThat(last(Effect.Send.class).key().attempt()).isEqualTo(1);
        assertThat(last(Effect.Send.class).link()).isEqualTo(s.link());
    }

    @Test
    void whatIsQueuedForADrainingEngineNeverGoesOut() {
        Effect.Send s = sent(0);
        step(new Input.ChangesReceived(1, 2, List.of(fleet(2, Phase.DRAINING, "a"))));
        assertThat(s.write().withdraw()).isTrue();
        assertThat(outcome()).isEqualTo(Outcome.CONNECT_FAILED);
    }

    @Test
    void aConnectIsGivenUpWithItsEngineOrInTime() {
        plan.add(new Scheduler.SendAttempt(requestNumber(), engine(0), 0));
        step(new Input.RequestReceived(CALLER, new Query("00000000000000aa", 0, 0, 4000, false, 10, 0, 0, new byte[0]), now));
        long link = last(Effect.OpenLink.class).link();
        step(new Input.TimerFired(new TimerKey.ConnectTimeout(link)));
        assertThat(last(Effect.CloseLink.class).link()).isEqualTo(link);
        assertThat(outcome()).isEqualTo(Outcome.CONNECT_FAILED);
    }

    /** Asked to make room once more by a connection that can't be closed, the loop and the reducer would go round for good. */
    @Test
    void aConnectionThatStaysMakesNoRoomForItself() {
        for (int i = 1; i <= 4; i++) { // one more than there is room for
            step(new Input.CallerConnected(i), new Input.RequestReceived(new Caller(i, 1), new Query("00000000000000a" + i, 0, 0, 4000, false, 10, 0, 0,
                    new byte[0]), now));
        }
        int closes = of(Effect.CloseCaller.class, effects).size();
        step(new Input.CallerNotClosed(4));
        assertThat(of(Effect.CloseCaller.class, effects)).hasSize(closes);
    }

    @Test
    void lateBytesOfAnEndedAttemptAreDropped() {
        Effect.Send s = sent(0);
        begun(s);
        plan.add(new Scheduler.RefuseRequest(requestNumber(), 0));
        step(new Input.TimerFired(new TimerKey.AttemptTimeout(s.key())));
        step(new Input.CancelWritten(s.key()));
        step(new Input.EngineMessageReceived(s.link(), done(s, 1)));
        assertThat(of(Effect.Answer.class, effects)).hasSize(1);
        assertThat(last(Effect.Answer.class).reply()).isInstanceOf(Reply.Refused.class);
    }

    @Test
    void aRequestThatTheModuleForgetsIsFailedInTime() {
        step(new Input.RequestReceived(CALLER, new Query("00000000000000aa", 0, 0, 4000, false, 10, 0, 0, new byte[0]), now));
        step(new Input.TimerFired(new TimerKey.RequestDeadline(requestNumber())));
        assertThat(last(Effect.Answer.class).reply()).isInstanceOf(Reply.Failed.class);
        assertThat(of(Scheduler.ClientLeft.class, told)).hasSize(1);
        assertThat(reducer.openRequests()).isZero();
    }

    @Test
    void clientsThatLeaveAreToldToTheModule() {
        sent(0);
        step(new Input.CallerDisconnected(CALLER.connection()));
        assertThat(of(Scheduler.ClientLeft.class, told)).hasSize(1);
        assertThat(reducer.openRequests()).isZero();
    }

    @Test
    void theModuleDecidesOnceATick() {
        step(new Input.RequestCancelled(CALLER));
        int before = decisions;
        for (int i = 10; i < 13; i++) {
            effects.addAll(reducer.step(now + i, List.of(new Input.RequestReceived(new Caller(2, i),
                    new Query("00000000000000" + i, 0, 0, 4000, false, 10, 0, 0, new byte[0]), now + i))));
        }
        assertThat(decisions).isEqualTo(before + 1);
        effects.addAll(reducer.step(now + 15, List.of(new Input.TimerFired(new TimerKey.DecisionTick()))));
        assertThat(decisions).isEqualTo(before + 2);
        assertThat(of(Scheduler.Request.class, told)).hasSize(3);
    }

    private FleetEvent started(long seq, String id, double at) {
        return new FleetEvent(seq, seq, false, List.of(new FleetEvent.Member(id, "127.0.0.1:1", "", "", 0, Phase.UP, 1, at)));
    }

    @ParameterizedTest
    @ValueSource(doubles = {3_600_000, -3_600_000, 5000})
    void aStartStampedByAClockThatHasSteppedCountsAsAStartOfNow(double step) {
        now += 4_000_000;
        told.clear();
        step(new Input.ChangesReceived(1, 2, List.of(started(2, "c", now + step))));
        double startedAt = last(Scheduler.EngineList.class, told).engines().get(0).startedAt();
        assertThat(startedAt).isEqualTo(now);
        step(new Input.ChangesReceived(3, 3, List.of(fleet(3, Phase.DRAINING, "a"))));
        step(new Input.ChangesReceived(5, 4, List.of(started(4, "c", now - 30 + step))));
        assertThat(last(Scheduler.EngineList.class, told).engines().get(0).startedAt()).as("another start").isEqualTo(now);
    }

    @Test
    void aStartOfAMomentAgoKeepsItsStamp() {
        now += 4_000_000;
        double at = now - 2000;
        step(new Input.ChangesReceived(1, 2, List.of(started(2, "c", at))));
        assertThat(last(Scheduler.EngineList.class, told).engines().get(0).startedAt()).isEqualTo(at);
    }

    @Test
    void aSilentChangeLogIsAskedAgainAndTheListKept() {
        step(new Input.PollFailed(1, PollFailure.NO_ANSWER, "status 500"));
        assertThat(of(Effect.StartTimer.class, effects)).extracting(Effect.StartTimer::key)
                .contains(new TimerKey.ChangeLogTimer(3)); // 1 was the question, 2 the wait for its answer
        step(new Input.TimerFired(new TimerKey.ChangeLogTimer(2))); // it had fired when it was stopped
        assertThat(of(Effect.PollChangeLog.class, effects)).hasSize(1);
        step(new Input.TimerFired(new TimerKey.ChangeLogTimer(3)));
        assertThat(of(Effect.PollChangeLog.class, effects)).extracting(Effect.PollChangeLog::afterEvent).containsExactly(1L, 1L);
        step(new Input.HealthRequested(CALLER));
        assertThat(last(Effect.AnswerHealth.class).caller()).isEqualTo(CALLER);
        assertThat(reducer.canServe()).isTrue();
    }

    @Test
    void aNewConfigurationMovesThePollAtOnceAndKeepsTheRest() {
        Effect.Send s = sent(0);
        step(new Input.ReloadRequested(), new Input.ReloadRequested()); // the file may be replaced again at once: the last counts
        List<Effect.ReloadConfiguration> rereads = of(Effect.ReloadConfiguration.class, effects);
        step(new Input.ConfigurationLoaded(rereads.get(1).reloadId(), "127.0.0.1:2", RoutingSettings.of(pairs), Map.of()),
                new Input.ConfigurationLoaded(rereads.get(0).reloadId(), "127.0.0.1:3", RoutingSettings.of(pairs), Map.of()));
        Effect.PollChangeLog poll = last(Effect.PollChangeLog.class);
        assertThat(poll.address()).isEqualTo("127.0.0.1:2");
        assertThat(poll.afterEvent()).isEqualTo(1);
        step(new Input.PollFailed(1, PollFailure.NO_ANSWER, "closed by the peer")); // the old one's end says nothing of the new one
        step(new Input.EngineMessageReceived(s.link(), done(s, 1)));
        assertThat(last(Effect.Answer.class).reply()).isInstanceOf(Reply.Served.class);
        assertThat(last(Effect.PollChangeLog.class)).isEqualTo(poll);
        step(new Input.ReloadRequested());
        step(new Input.ConfigurationRejected(last(Effect.ReloadConfiguration.class).reloadId(), "not JSON"));
        assertThat(of(Effect.Log.class, effects)).hasSize(2);
        assertThat(last(Effect.PollChangeLog.class)).isEqualTo(poll);
    }

    private static Input.RequestReceived asked(Caller caller, String txn, double at) {
        return new Input.RequestReceived(caller, new Query(txn, 0, 0, 4000, false, 10, 0, 0, new byte[0]), at);
    }

    @Test
    void silentAndIdleCallersMakeRoomForNewOnes() {
        step(new Input.CallerConnected(7), new Input.CallerConnected(8), new Input.CallerConnected(9));
        step(asked(new Caller(7, 1), "a", now), asked(new Caller(8, 1), "b", now));
        step(new Input.CallerConnected(10)); // one more than fits: 9 has said nothing
        step(new Input.RequestCancelled(new Caller(8, 1)), new Input.CallerConnected(11)); // 10 is the silent one now
        step(asked(new Caller(11, 1), "c", now), new Input.CallerConnected(12)); // and now 8 has nothing open
        step(asked(new Caller(12, 1), "d", now), new Input.CallerConnected(13)); // all others are being served
        assertThat(of(Effect.CloseCaller.class, effects)).extracting(Effect.CloseCaller::connection)
                .containsExactly(9L, 10L, 8L, 13L);
    }

    @Test
    void aCallerWithNothingOpenIsClosedInTimeAndOneThatWaitsIsNot() {
        step(new Input.CallerConnected(7), new Input.CallerConnected(8), asked(new Caller(8, 1), "a", now));
        step(new Input.TimerFired(new TimerKey.CallerIdle(7)), new Input.TimerFired(new TimerKey.CallerIdle(8)));
        assertThat(of(Effect.CloseCaller.class, effects)).extracting(Effect.CloseCaller::connection)
                .containsExactly(7L);
        assertThat(reducer.retainedCounts()).containsEntry("held.callers", 1).containsEntry("held.names", 1);
        step(new Input.CallerDisconnected(8));
        assertThat(reducer.retainedCounts()).containsEntry("held.callers", 0).containsEntry("held.names", 0)
                .containsEntry("held.requests", 0);
    }

    @Test
    void theIdOfAnOpenRequestIsNotTakenTwiceAndOpenRequestsAreBounded() {
        step(asked(new Caller(1, 1), "a", now), asked(new Caller(2, 1), "a", now));
        assertThat(last(Effect.Answer.class).caller()).isEqualTo(new Caller(2, 1));
        assertThat(last(Effect.Answer.class).reply()).isInstanceOf(Reply.Failed.class);
        for (int i = 0; i < 5; i++) {
            step(asked(new Caller(3, i), "b" + i, now));
        }
        assertThat(last(Effect.Answer.class).caller()).isEqualTo(new Caller(3, 4));
        assertThat(last(Effect.Answer.class).reply()).isInstanceOf(Reply.Refused.class);
        assertThat(of(Effect.Answer.class, effects)).hasSize(2);
    }

    @Test
    void whatMakesNoSenseMattersUnderAnOpenIdOnly() {
        Effect.Send s = sent(0);
        begun(s);
        step(new Input.EngineMessageReceived(s.link(), new EngineMessage.Malformed("another", "count is no number")));
        assertThat(outcome()).isNull();
        step(new Input.EngineMessageReceived(s.link(), new EngineMessage.Malformed(s.txn(), "count is no number")));
        assertThat(last(Effect.CloseLink.class).link()).isEqualTo(s.link());
        assertThat(outcome()).isEqualTo(Outcome.RESET);
    }

    @Test
    void anAnswerThatStopsShortEndsItsLink() {
        Effect.Send s = sent(0);
        begun(s);
        step(new Input.PartialMessage(s.link(), true), new Input.PartialMessage(s.link(), false));
        assertThat(last(Effect.StopTimer.class).key()).isEqualTo(new TimerKey.PartialMessage(s.link()));
        step(new Input.PartialMessage(s.link(), true));
        step(new Input.TimerFired(new TimerKey.PartialMessage(s.link())));
        assertThat(last(Effect.CloseLink.class).link()).isEqualTo(s.link());
        assertThat(outcome()).isEqualTo(Outcome.RESET);
    }

    @Test
    void whatFollowsAWholeFirstPageProvesNothing() {
        Effect.Send s = sent(1);
        begun(s);
        step(new Input.EngineMessageReceived(s.link(), done(s, 2)), new Input.EngineMessageReceived(s.link(), new EngineMessage.Full(s.txn(), List.of())),
                new Input.EngineMessageReceived(s.link(), new EngineMessage.Expired(s.txn(), List.of())));
        assertThat(outcome()).isNull();
        step(new Input.EngineMessageReceived(s.link(), page(s, 2))); // there is no such page
        assertThat(outcome()).isEqualTo(Outcome.ERROR);
    }

    @Test
    void oneInputThatFailsDoesNotLoseTheOthers() {
        step(new Input.RequestReceived(new Caller(1, 1), null, now), asked(new Caller(1, 2), "a", now));
        assertThat(of(Effect.UnexpectedError.class, effects)).hasSize(1);
        assertThat(reducer.openRequests()).isEqualTo(1);
    }

    @Test
    void whatMayNotRunTwiceGoesAloneOnceAnAnswerHasComeSpoilt() {
        Effect.Send spoilt = sent(0);
        begun(spoilt);
        step(new Input.EngineMessageReceived(spoilt.link(), new EngineMessage.Malformed(spoilt.txn(), "no sense")));
        plan.add(new Scheduler.SendAttempt(load("c"), engine(0), 0));
        step(new Input.TimerFired(new TimerKey.Gateway(1, 1)));
        step(new Input.LinkUp(last(Effect.OpenLink.class).link()));
        Effect.Send load = last(Effect.Send.class);
        plan.add(new Scheduler.SendAttempt(load("b"), engine(0), 0));
        step(new Input.TimerFired(new TimerKey.Gateway(1, 1)));
        assertThat(of(Effect.OpenLink.class, effects)).hasSize(3);
        step(new Input.LinkUp(last(Effect.OpenLink.class).link()));
        assertThat(last(Effect.Send.class).txn()).isEqualTo("b");
        assertThat(last(Effect.Send.class).link()).isNotEqualTo(load.link());
    }

    /** Over a large fleet a link for each load is nearly twice the links, and each costs a handshake. */
    @Test
    void whatMayNotRunTwiceSharesALinkWhileNoAnswerHasComeSpoilt() {
        Effect.Send first = sent(1);
        plan.add(new Scheduler.SendAttempt(load("b"), engine(0), 0));
        step(new Input.TimerFired(new TimerKey.Gateway(1, 1)));
        assertThat(last(Effect.Send.class).txn()).isEqualTo("b");
        assertThat(last(Effect.Send.class).link()).isEqualTo(first.link());
        assertThat(of(Effect.OpenLink.class, effects)).hasSize(1);
    }

    /** Has a further load taken and tells its number. */
    private long load(String txn) {
        step(new Input.RequestReceived(new Caller(1, 2 + of(Scheduler.Request.class, told).size()),
                new Query(txn, 1, 0, 4000, false, 10, 0, 0, new byte[0]), now));
        List<Scheduler.Request> all = of(Scheduler.Request.class, told);
        return all.get(all.size() - 1).id();
    }
}
