package quincespar.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
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

/** The rules that the reducer keeps, with a decision module that returns the actions that a test has planned. */
class ReducerTest {
    private static final Caller CALLER = new Caller(1, 1);
    private static final int SAFE_CLASS = 0;
    private static final int UNSAFE_CLASS = 1;
    /** The number that the reducer gives to the first request. */
    private static final long REQUEST = 1;

    private final List<Scheduler.Event> events = new ArrayList<>();
    private final List<Scheduler.Action> plannedActions = new ArrayList<>();
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
                    "requestClasses." + c + ".effect", c == SAFE_CLASS ? "safe" : "unsafe"));
        }
        reducer = new Reducer(RoutingSettings.of(pairs), new Bounds(3, 10, 5, 1 << 20, 2000, 2500, 8, 8, 500,
                new PollTiming(2000, 1000, 250, 1000, 250, 400, 5000, 10_000)), (time, newEvents) -> {
            decisions++;
            events.addAll(newEvents);
            List<Scheduler.Action> actions = List.copyOf(plannedActions);
            plannedActions.clear();
            return actions;
        });
        effects.addAll(reducer.start(now, "127.0.0.1:1", List.of(fleetEvent(1, Phase.UP, "a", "b"))));
    }

    private static FleetEvent fleetEvent(long seq, Phase phase, String... ids) {
        return new FleetEvent(seq, seq, seq == 1, Arrays.stream(ids).map(id ->
                new FleetEvent.Member(id, id + ":1", "", "", 0, phase, 1, 0)).toList());
    }

    private void step(Input... inputs) {
        now += 10;
        effects.addAll(reducer.step(now, List.of(inputs)));
    }

    /** Lets the decision module run. */
    private void decide() {
        step(new Input.TimerFired(new TimerKey.Scheduler(1, 1)));
    }

    private <T> List<T> of(Class<T> type, List<?> all) {
        return all.stream().filter(type::isInstance).map(type::cast).toList();
    }

    private <T> T last(Class<T> type) {
        return last(type, effects);
    }

    private <T> T last(Class<T> type, List<?> all) {
        List<T> matching = of(type, all);
        return matching.get(matching.size() - 1);
    }

    private long engine(int index) {
        return of(Scheduler.EngineList.class, events).get(0).engines().get(index).id();
    }

    private static Query query(String txn, int classNumber) {
        return new Query(txn, classNumber, 0, 4000, false, 10, 0, 0, new byte[0]);
    }

    private static Input.RequestReceived request(Caller caller, String txn, double at) {
        return new Input.RequestReceived(caller, query(txn, SAFE_CLASS), at);
    }

    /** Receives a request of a class and sends it to the first engine, over a link that is up. */
    private Effect.Send sendRequest(int classNumber) {
        plannedActions.add(new Scheduler.SendAttempt(REQUEST, engine(0), 0));
        step(new Input.RequestReceived(CALLER, query("00000000000000aa", classNumber), now));
        if (of(Effect.Send.class, effects).isEmpty()) {
            step(new Input.LinkUp(last(Effect.OpenLink.class).link()));
        }
        return last(Effect.Send.class);
    }

    private Outcome lastOutcome() {
        List<Scheduler.AttemptEnded> ends = of(Scheduler.AttemptEnded.class, events);
        return ends.isEmpty() ? null : ends.get(ends.size() - 1).outcome();
    }

    /** Does what the transport does when the first byte of an attempt goes out: it can't be withdrawn any more. */
    private static void beginWrite(Effect.Send send) {
        assertThat(send.write().begin()).isTrue();
    }

    private static Input.EngineMessageReceived received(Effect.Send send, EngineMessage message) {
        return new Input.EngineMessageReceived(send.link(), message);
    }

    private static Input.EngineMessageReceived done(Effect.Send send, int pageCount) {
        return received(send, new EngineMessage.Done(send.txn(), pageCount, new byte[] {'0'}, List.of()));
    }

    private static Input.EngineMessageReceived page(Effect.Send send, int number) {
        return received(send, new EngineMessage.Page(send.txn(), number, new byte[] {(byte) ('0' + number)}));
    }

    @Test
    void pagesAreServedInOrderOnceAllHaveArrived() {
        Effect.Send send = sendRequest(SAFE_CLASS);
        beginWrite(send);
        step(done(send, 3));
        step(page(send, 2), page(send, 2));
        assertThat(of(Effect.Answer.class, effects)).isEmpty();
        step(page(send, 1));
        assertThat(((Reply.Served) last(Effect.Answer.class).reply()).result()).containsExactly('0', '1', '2');
        assertThat(lastOutcome()).isEqualTo(Outcome.OK);
    }

    /** Guards against a load that runs twice because its client has left and sends it again under the same txn. */
    @ParameterizedTest
    @ValueSource(ints = {SAFE_CLASS, UNSAFE_CLASS})
    void aTxnThatMayHaveRunAndMustNotRunTwiceIsNotTakenAgain(int classNumber) {
        Effect.Send send = sendRequest(classNumber);
        beginWrite(send);
        step(new Input.CallerDisconnected(1));
        plannedActions.add(new Scheduler.CancelAttempt(REQUEST, 0, Scheduler.CancelReason.REQUEST_OVER));
        decide();
        step(new Input.CancelWritten(send.key()));
        Caller again = new Caller(2, 1);
        step(new Input.RequestReceived(again, query(send.txn(), classNumber), now));
        decide();
        assertThat(of(Scheduler.Request.class, events)).hasSize(classNumber == UNSAFE_CLASS ? 1 : 2);
        assertThat(of(Effect.Answer.class, effects)).isEqualTo(classNumber == UNSAFE_CLASS
                ? List.of(new Effect.Answer(again, new Reply.Failed())) : List.of());
    }

    /** Guards against an attempt for a client whose end is among its unread input. */
    @Test
    void nothingIsSentForAConnectionUntilAllOfItsInputIsRead() {
        Effect.Send warm = sendRequest(SAFE_CLASS);
        beginWrite(warm);
        step(done(warm, 1));
        Caller caller = new Caller(1, 2);
        step(new Input.CallerInputUnread(1), request(caller, "00000000000000bb", now));
        decide();
        assertThat(of(Scheduler.Request.class, events)).hasSize(1);
        step(new Input.CallerInputRead(1));
        decide();
        assertThat(of(Scheduler.Request.class, events)).hasSize(2);
    }

    /** Guards against a retry that begins while the end of its client is among its unread input. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void anAttemptWaitsForUnreadInputAndIsWithdrawnIfThatTakesTooLong(boolean tooLong) {
        Effect.Send warm = sendRequest(SAFE_CLASS);
        beginWrite(warm);
        step(done(warm, 1));
        Caller caller = new Caller(1, 2);
        step(request(caller, "00000000000000bb", now));
        decide();
        long second = last(Scheduler.Request.class, events).id();
        step(new Input.CallerInputUnread(1));
        plannedActions.add(new Scheduler.SendAttempt(second, engine(0), 0));
        decide();
        assertThat(of(Effect.Send.class, effects)).hasSize(1);
        step(tooLong ? new Input.TimerFired(new TimerKey.CallerInputUnread(1)) : new Input.CallerInputRead(1));
        assertThat(of(Effect.Send.class, effects)).hasSize(tooLong ? 1 : 2);
        decide();
        if (tooLong) {
            assertThat(last(Effect.Answer.class)).isEqualTo(new Effect.Answer(caller, new Reply.Refused(0)));
            assertThat(lastOutcome()).isEqualTo(Outcome.MOOT);
            step(request(new Caller(1, 3), "00000000000000cc", now));
            assertThat(last(Effect.Answer.class).caller()).isEqualTo(new Caller(1, 3));
        }
    }

    /** Guards against a hang: the decision module keeps the place of an attempt whose end it is not told. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void anAttemptThatMayNotBeginEndsAllTheSame(boolean inputUnreadTooLong) {
        Effect.Send first = sendRequest(SAFE_CLASS);
        beginWrite(first);
        if (inputUnreadTooLong) {
            step(new Input.CallerInputUnread(1), new Input.TimerFired(new TimerKey.CallerInputUnread(1)));
            step(received(first, new EngineMessage.Full(first.txn(), List.of())));
        }
        plannedActions.add(new Scheduler.SendAttempt(REQUEST, engine(1), 0)); // else the first one runs, so that it may not be sent
        decide();
        decide();
        Scheduler.AttemptEnded end = last(Scheduler.AttemptEnded.class, events);
        assertThat(List.of(end.attempt(), end.outcome())).containsExactly(1, Outcome.MOOT);
        assertThat(of(Effect.Send.class, effects)).hasSize(1);
        assertThat(of(Effect.Answer.class, effects)).isEqualTo(inputUnreadTooLong
                ? List.of(new Effect.Answer(CALLER, new Reply.Refused(0))) : List.of());
        assertThat(reducer.retainedCounts()).containsEntry("held.attempts", inputUnreadTooLong ? 0 : 1);
    }

    /** Killed with requests open, the process would leave them unanswered. */
    @Test
    void openAndNewRequestsAreAnsweredBeforeAScheduledShutdown() {
        Effect.Send send = sendRequest(UNSAFE_CLASS);
        beginWrite(send);
        step(new Input.ShutdownScheduled(now + 1010));
        Effect.StartTimer deadline = last(Effect.StartTimer.class);
        assertThat(deadline.key()).isEqualTo(new TimerKey.RequestDeadline(REQUEST));
        assertThat(deadline.delayMs()).isEqualTo(1000);
        step(request(new Caller(1, 2), "00000000000000ab", now + 10));
        // the module is told the new deadline
        assertThat(of(Scheduler.Request.class, events).get(1).clientTimeout()).isLessThan(1000);
        step(new Input.TimerFired(deadline.key()));
        assertThat(last(Effect.Answer.class).reply()).isInstanceOf(Reply.Failed.class);
    }

    @Test
    void aLowerCallerLimitClosesUnusedConnections() {
        step(new Input.CallerConnected(1), new Input.CallerConnected(2));
        step(new Input.CallerLimitChanged(2, 10));
        step(new Input.CallerConnected(3));
        assertThat(last(Effect.CloseCaller.class).connection()).isEqualTo(1);
    }

    @Test
    void aLostPageIsAnErrorOfAQueryThatRan() {
        Effect.Send send = sendRequest(SAFE_CLASS);
        beginWrite(send);
        step(done(send, 2));
        step(new Input.LinkDown(send.link(), "reset"));
        assertThat(of(Effect.Answer.class, effects)).isEmpty();
        assertThat(lastOutcome()).isEqualTo(Outcome.ERROR);
    }

    /** Guards against a heap filled by results that are too long, as each could have 64 pages of 48,000 bytes until its last one. */
    @Test
    void aResultThatIsTooLongFailsBeforeAllOfItsPagesAreHeld() {
        Effect.Send send = sendRequest(SAFE_CLASS);
        beginWrite(send);
        step(received(send, new EngineMessage.Done(send.txn(), 64, new byte[48_000], List.of())));
        assertThat(lastOutcome()).isNull();
        step(received(send, new EngineMessage.Page(send.txn(), 1, new byte[1])));
        assertThat(lastOutcome()).isEqualTo(Outcome.ERROR);
        assertThat(of(Effect.Release.class, effects)).hasSize(1);
        assertThat(of(Effect.Answer.class, effects)).isEmpty();
        plannedActions.add(new Scheduler.SendAttempt(REQUEST, engine(0), 0));
        decide();
        assertThat(last(Effect.OpenLink.class).link()).isNotEqualTo(send.link()); // further pages may arrive on the first one
    }

    @Test
    void anUnsafeRequestIsNeitherRetriedNorRefusedOnceBytesWereWritten() {
        Effect.Send send = sendRequest(UNSAFE_CLASS);
        beginWrite(send);
        step(new Input.LinkDown(send.link(), "reset"));
        assertThat(lastOutcome()).isEqualTo(Outcome.RESET);
        plannedActions.add(new Scheduler.SendAttempt(REQUEST, engine(1), 0));
        plannedActions.add(new Scheduler.RefuseRequest(REQUEST, 0));
        decide();
        assertThat(of(Effect.Send.class, effects)).hasSize(1);
        assertThat(last(Effect.Answer.class).reply()).isInstanceOf(Reply.Failed.class);
    }

    @Test
    void engineCountersTellWhatWasSentHowItEndedAndWhichLinksFailed() {
        Effect.Send send = sendRequest(SAFE_CLASS);
        beginWrite(send);
        step(done(send, 1));
        assertThat(reducer.engineCounters()).containsEntry("a.sent", 1L).containsEntry("a.ok", 1L).containsEntry("a.links", 1L)
                .doesNotContainKeys("a.refused", "b.sent");
        step(request(new Caller(CALLER.connection(), 2), "00000000000000ab", now));
        plannedActions.add(new Scheduler.SendAttempt(of(Scheduler.Request.class, events).get(1).id(), engine(1), 0));
        decide();
        step(new Input.LinkDown(last(Effect.OpenLink.class).link(), "refused"));
        assertThat(reducer.engineCounters()).containsEntry("b.refused", 1L).containsEntry("b.connect_failed", 1L)
                .containsEntry("b.links", 1L).doesNotContainKey("b.sent");
    }

    @Test
    void anAttemptOfWhichNothingWasWrittenHasNotRun() {
        Effect.Send send = sendRequest(UNSAFE_CLASS);
        step(new Input.LinkDown(send.link(), "reset"));
        assertThat(lastOutcome()).isEqualTo(Outcome.CONNECT_FAILED);
    }

    @Test
    void aCancelledAttemptEndsOnlyWhenItsCancelIsWritten() {
        Effect.Send send = sendRequest(SAFE_CLASS);
        beginWrite(send);
        plannedActions.add(new Scheduler.CancelAttempt(REQUEST, 0, Scheduler.CancelReason.SLOW_PROGRESS));
        decide();
        assertThat(of(Effect.Cancel.class, effects)).hasSize(1);
        assertThat(lastOutcome()).isNull();
        step(new Input.CancelWritten(send.key()));
        assertThat(lastOutcome()).isEqualTo(Outcome.CANCELLED);
    }

    @Test
    void aRetryOnTheSameEngineFollowsTheCancelOnItsLink() {
        Effect.Send send = sendRequest(SAFE_CLASS);
        beginWrite(send);
        plannedActions.add(new Scheduler.CancelAttempt(REQUEST, 0, Scheduler.CancelReason.SLOW_PROGRESS));
        decide();
        plannedActions.add(new Scheduler.SendAttempt(REQUEST, engine(0), 0));
        step(new Input.CancelWritten(send.key()));
        assertThat(last(Effect.Send.class).key().attempt()).isEqualTo(1);
        assertThat(last(Effect.Send.class).link()).isEqualTo(send.link());
    }

    /** The message may have crossed the cancel on the wire: then the second attempt runs, and its key must not be free yet. */
    @ParameterizedTest
    @ValueSource(strings = {"done", "full", "expired"})
    void anAttemptThatFollowsACancelledOneOnItsLinkBlocksItsKeyUntilItIsCancelledToo(String message) {
        pairs.put("requestClasses." + SAFE_CLASS + ".keepOrder", "true");
        start();
        Effect.Send send = sendRequest(SAFE_CLASS);
        beginWrite(send);
        plannedActions.add(new Scheduler.CancelAttempt(REQUEST, 0, Scheduler.CancelReason.SLOW_PROGRESS));
        decide();
        plannedActions.add(new Scheduler.SendAttempt(REQUEST, engine(0), 0));
        step(new Input.CancelWritten(send.key()));
        beginWrite(last(Effect.Send.class));
        step(message.equals("done") ? done(send, 1) : received(send, message.equals("full")
                ? new EngineMessage.Full(send.txn(), List.of()) : new EngineMessage.Expired(send.txn(), List.of())));
        assertThat(of(Effect.Answer.class, effects)).hasSize(message.equals("done") ? 1 : 0);
        assertThat(of(Scheduler.AttemptEnded.class, events)).hasSize(1);
        assertThat(of(Effect.Cancel.class, effects)).hasSize(2);
        step(new Input.CancelWritten(last(Effect.Send.class).key()));
        assertThat(of(Scheduler.AttemptEnded.class, events)).hasSize(2);
        assertThat(lastOutcome().neverRan).isFalse();
    }

    @Test
    void anAttemptQueuedForADrainingEngineIsWithdrawn() {
        Effect.Send send = sendRequest(SAFE_CLASS);
        step(new Input.ChangesReceived(1, 2, List.of(fleetEvent(2, Phase.DRAINING, "a"))));
        assertThat(send.write().withdraw()).isTrue();
        assertThat(lastOutcome()).isEqualTo(Outcome.CONNECT_FAILED);
    }

    @Test
    void aLinkThatIsNotEstablishedInTimeIsClosed() {
        plannedActions.add(new Scheduler.SendAttempt(REQUEST, engine(0), 0));
        step(request(CALLER, "00000000000000aa", now));
        long link = last(Effect.OpenLink.class).link();
        step(new Input.TimerFired(new TimerKey.ConnectTimeout(link)));
        assertThat(last(Effect.CloseLink.class).link()).isEqualTo(link);
        assertThat(lastOutcome()).isEqualTo(Outcome.CONNECT_FAILED);
    }

    /** Asked to make room for itself again and again, a connection that can't be closed would keep the reducer busy for ever. */
    @Test
    void aConnectionThatStaysOpenClosesNoOther() {
        for (int i = 1; i <= 4; i++) { // one more than the limit
            step(new Input.CallerConnected(i), request(new Caller(i, 1), "00000000000000a" + i, now));
        }
        int closes = of(Effect.CloseCaller.class, effects).size();
        step(new Input.CallerNotClosed(4));
        assertThat(of(Effect.CloseCaller.class, effects)).hasSize(closes);
    }

    @Test
    void aLateAnswerToAnEndedAttemptIsDropped() {
        Effect.Send send = sendRequest(SAFE_CLASS);
        beginWrite(send);
        plannedActions.add(new Scheduler.RefuseRequest(REQUEST, 0));
        step(new Input.TimerFired(new TimerKey.AttemptTimeout(send.key())));
        step(new Input.CancelWritten(send.key()));
        step(done(send, 1));
        assertThat(of(Effect.Answer.class, effects)).hasSize(1);
        assertThat(last(Effect.Answer.class).reply()).isInstanceOf(Reply.Refused.class);
    }

    @Test
    void aRequestThatTheModuleDoesNotAnswerFailsAtItsDeadline() {
        step(request(CALLER, "00000000000000aa", now));
        step(new Input.TimerFired(new TimerKey.RequestDeadline(REQUEST)));
        assertThat(last(Effect.Answer.class).reply()).isInstanceOf(Reply.Failed.class);
        assertThat(of(Scheduler.ClientLeft.class, events)).hasSize(1);
        assertThat(reducer.openRequests()).isZero();
    }

    @Test
    void theModuleIsToldOfClientsThatDisconnect() {
        sendRequest(SAFE_CLASS);
        step(new Input.CallerDisconnected(CALLER.connection()));
        assertThat(of(Scheduler.ClientLeft.class, events)).hasSize(1);
        assertThat(reducer.openRequests()).isZero();
    }

    @Test
    void theModuleDecidesOnceInATick() {
        step(new Input.RequestCancelled(CALLER));
        int before = decisions;
        for (int i = 10; i < 13; i++) {
            effects.addAll(reducer.step(now + i, List.of(request(new Caller(2, i), "00000000000000" + i, now + i))));
        }
        assertThat(decisions).isEqualTo(before + 1);
        effects.addAll(reducer.step(now + 15, List.of(new Input.TimerFired(new TimerKey.DecisionTick()))));
        assertThat(decisions).isEqualTo(before + 2);
        assertThat(of(Scheduler.Request.class, events)).hasSize(3);
    }

    private static FleetEvent started(long seq, String id, double startedAt) {
        return new FleetEvent(seq, seq, false,
                List.of(new FleetEvent.Member(id, id + ":1", "", "", 0, Phase.UP, 1, startedAt)));
    }

    private double lastStartedAt() {
        return last(Scheduler.EngineList.class, events).engines().get(0).startedAt();
    }

    @ParameterizedTest
    @ValueSource(doubles = {3_600_000, -3_600_000, 5000})
    void aStartStampedByASteppedClockCountsAsNow(double clockStep) {
        now += 4_000_000;
        events.clear();
        step(new Input.ChangesReceived(1, 2, List.of(started(2, "c", now + clockStep))));
        assertThat(lastStartedAt()).isEqualTo(now);
        step(new Input.ChangesReceived(3, 3, List.of(fleetEvent(3, Phase.DRAINING, "a"))));
        step(new Input.ChangesReceived(5, 4, List.of(started(4, "c", now - 30 + clockStep))));
        assertThat(lastStartedAt()).as("another start").isEqualTo(now);
    }

    @Test
    void aRecentStartKeepsItsTimeStamp() {
        now += 4_000_000;
        double startedAt = now - 2000;
        step(new Input.ChangesReceived(1, 2, List.of(started(2, "c", startedAt))));
        assertThat(lastStartedAt()).isEqualTo(startedAt);
    }

    @Test
    void afterAFailedPollTheChangeLogIsPolledAgainAndTheListIsKept() {
        step(new Input.PollFailed(1, PollFailure.NO_ANSWER, "status 500"));
        assertThat(of(Effect.StartTimer.class, effects)).extracting(Effect.StartTimer::key)
                .contains(new TimerKey.ChangeLogTimer(3)); // 1 was the poll, 2 the timer for its answer
        step(new Input.TimerFired(new TimerKey.ChangeLogTimer(2))); // it had fired when it was stopped
        assertThat(of(Effect.PollChangeLog.class, effects)).hasSize(1);
        step(new Input.TimerFired(new TimerKey.ChangeLogTimer(3)));
        assertThat(of(Effect.PollChangeLog.class, effects)).extracting(Effect.PollChangeLog::afterEvent)
                .containsExactly(1L, 1L);
        step(new Input.HealthRequested(CALLER));
        assertThat(last(Effect.AnswerHealth.class).caller()).isEqualTo(CALLER);
        assertThat(reducer.canServe()).isTrue();
    }

    @Test
    void aNewConfigurationPollsTheNewAddressAtOnceAndKeepsRequests() {
        Effect.Send send = sendRequest(SAFE_CLASS);
        step(new Input.ReloadRequested(), new Input.ReloadRequested()); // only the last one counts
        List<Effect.ReloadConfiguration> reloads = of(Effect.ReloadConfiguration.class, effects);
        step(new Input.ConfigurationLoaded(reloads.get(1).reloadId(), "127.0.0.1:2", RoutingSettings.of(pairs), Map.of()),
                new Input.ConfigurationLoaded(reloads.get(0).reloadId(), "127.0.0.1:3", RoutingSettings.of(pairs), Map.of()));
        Effect.PollChangeLog poll = last(Effect.PollChangeLog.class);
        assertThat(poll.address()).isEqualTo("127.0.0.1:2");
        assertThat(poll.afterEvent()).isEqualTo(1);
        step(new Input.PollFailed(1, PollFailure.NO_ANSWER, "closed by the peer")); // of the old address
        step(done(send, 1));
        assertThat(last(Effect.Answer.class).reply()).isInstanceOf(Reply.Served.class);
        assertThat(last(Effect.PollChangeLog.class)).isEqualTo(poll);
        step(new Input.ReloadRequested());
        step(new Input.ConfigurationRejected(last(Effect.ReloadConfiguration.class).reloadId(), "not JSON"));
        assertThat(of(Effect.Log.class, effects)).hasSize(2);
        assertThat(last(Effect.PollChangeLog.class)).isEqualTo(poll);
    }

    @Test
    void unusedAndIdleConnectionsMakeRoomForNewOnes() {
        step(new Input.CallerConnected(7), new Input.CallerConnected(8), new Input.CallerConnected(9));
        step(request(new Caller(7, 1), "a", now), request(new Caller(8, 1), "b", now));
        step(new Input.CallerConnected(10)); // one more than the limit: 9 has sent nothing
        now += CallerConnections.FIRST_SEND_MS;
        step(new Input.RequestCancelled(new Caller(8, 1)), new Input.CallerConnected(11)); // 10 has sent nothing
        step(request(new Caller(11, 1), "c", now), new Input.CallerConnected(12)); // 8 has nothing open
        step(request(new Caller(12, 1), "d", now), new Input.CallerConnected(13)); // all others have requests open
        assertThat(last(Effect.StartTimer.class)).isEqualTo(new Effect.StartTimer(new TimerKey.CallerIdle(13),
                CallerConnections.FIRST_SEND_MS));
        step(new Input.TimerFired(new TimerKey.CallerIdle(13)));
        assertThat(of(Effect.CloseCaller.class, effects)).extracting(Effect.CloseCaller::connection)
                .containsExactly(9L, 10L, 8L, 13L);
    }

    /** Guards against new connections that are closed one after the other before their clients could send a request. */
    @Test
    void aNewConnectionHasTimeForItsFirstRequestThoughItsPlaceIsNeeded() {
        step(new Input.CallerLimitChanged(1, 10));
        step(request(new Caller(7, 1), "a", now), new Input.CallerConnected(8), new Input.CallerConnected(9));
        assertThat(of(Effect.CloseCaller.class, effects)).isEmpty();
        step(request(new Caller(8, 1), "b", now));
        now += CallerConnections.FIRST_SEND_MS;
        step(new Input.CallerConnected(10)); // 9 has sent nothing
        assertThat(of(Effect.CloseCaller.class, effects)).extracting(Effect.CloseCaller::connection).containsExactly(9L);
    }

    /** Guards against clients that connect and send nothing closing the idle connections of others. */
    @Test
    void anIdleConnectionIsKeptWhileNewOnesHaveSentNothing() {
        step(new Input.CallerLimitChanged(1, 10));
        step(request(new Caller(7, 1), "a", now), new Input.RequestCancelled(new Caller(7, 1)));
        step(request(new Caller(8, 1), "b", now), new Input.CallerConnected(9)); // takes the place of 7, which is idle
        step(new Input.RequestCancelled(new Caller(8, 1)), new Input.CallerConnected(10), new Input.CallerConnected(11));
        assertThat(of(Effect.CloseCaller.class, effects)).extracting(Effect.CloseCaller::connection).containsExactly(7L);
    }

    /** Guards against requests without an answer, as nobody accepts their connections while all places are busy. */
    @Test
    void aRequestBeyondTheLimitOnBusyConnectionsIsRefusedAndItsConnectionClosed() {
        step(new Input.CallerLimitChanged(1, 2));
        step(request(new Caller(7, 1), "a", now), request(new Caller(8, 1), "b", now), new Input.CallerConnected(9));
        step(request(new Caller(9, 1), "c", now), request(new Caller(9, 2), "d", now)); // sent at once
        assertThat(of(Effect.Answer.class, effects)).containsExactly(new Effect.Answer(new Caller(9, 1), new Reply.Refused(0)),
                new Effect.Answer(new Caller(9, 2), new Reply.Refused(0)));
        step(new Input.TimerFired(new TimerKey.CallerIdle(9)));
        assertThat(last(Effect.CloseCaller.class).connection()).isEqualTo(9);
        step(new Input.CallerDisconnected(9));
        assertThat(reducer.retainedCounts()).containsEntry("held.callers", 2).containsEntry("held.requests", 2);
    }

    /** Guards against clients with many requests on a connection that keep all others out. */
    @Test
    void theConnectionWithMostOpenRequestsLosesItsPlaceToANewOne() {
        for (int i = 1; i <= 4; i++) {
            step(request(new Caller(8, i), "b" + i, now));
        }
        step(new Input.CallerLimitChanged(1, 1));
        step(new Input.CallerConnected(9), request(new Caller(9, 1), "c", now));
        assertThat(of(Effect.Answer.class, effects)).extracting(Effect.Answer::caller).containsExactlyInAnyOrder(
                new Caller(8, 1), new Caller(8, 2), new Caller(8, 3), new Caller(8, 4));
        step(request(new Caller(8, 5), "b5", now)); // its place is taken
        assertThat(last(Effect.Answer.class)).isEqualTo(new Effect.Answer(new Caller(8, 5), new Reply.Refused(0)));
        for (int i = 2; i <= 4; i++) { // at the limit a connection may not open as many
            step(request(new Caller(9, i), "c" + i, now));
        }
        assertThat(last(Effect.Answer.class)).isEqualTo(new Effect.Answer(new Caller(9, 4), new Reply.Refused(0)));
        assertThat(of(Effect.Answer.class, effects)).hasSize(6);
    }

    /** Guards against a place that is never free again, because its client always has more to send. */
    @Test
    void aDisplacedConnectionWhoseClientSendsOnIsClosedInTheEnd() {
        step(new Input.CallerLimitChanged(1, 1));
        step(request(new Caller(7, 1), "a", now), request(new Caller(8, 1), "b", now));
        for (int call = 2; of(Effect.EndCaller.class, effects).isEmpty(); call++) {
            assertThat(call).isLessThan(20);
            step(new Input.TimerFired(new TimerKey.CallerIdle(8)));
            step(new Input.CallerNotClosed(8), request(new Caller(8, call), "b", now));
            assertThat(last(Effect.StartTimer.class).key()).isEqualTo(new TimerKey.CallerIdle(8));
        }
        assertThat(last(Effect.EndCaller.class).connection()).isEqualTo(8);
    }

    /** Guards against new connections that wait to be accepted for as long as idle ones are usually kept. */
    @Test
    void idleConnectionsBeyondTheLimitOnBusyOnesAreClosedSoon() {
        step(new Input.CallerLimitChanged(1, 1));
        step(new Input.CallerConnected(7), request(new Caller(7, 1), "a", now), new Input.CallerConnected(8));
        step(new Input.CallerNotClosed(8), new Input.RequestCancelled(new Caller(7, 1)));
        assertThat(last(Effect.StartTimer.class).key()).isEqualTo(new TimerKey.CallerIdle(7));
        assertThat(last(Effect.StartTimer.class).delayMs()).isLessThan(100);
    }

    /** Guards against the close of a connection that its client uses while others beyond the limit have sent nothing. */
    @Test
    void beyondTheLimitOnBusyOnesAnUnusedConnectionIsClosedBeforeAnIdleOne() {
        step(new Input.CallerLimitChanged(1, 1));
        step(new Input.CallerConnected(7), request(new Caller(7, 1), "a", now), new Input.CallerConnected(8));
        step(new Input.RequestCancelled(new Caller(7, 1)));
        now += CallerConnections.FIRST_SEND_MS;
        step(new Input.TimerFired(new TimerKey.CallerIdle(7)));
        assertThat(of(Effect.CloseCaller.class, effects)).extracting(Effect.CloseCaller::connection).containsExactly(8L);
        now += 2500;
        step(new Input.TimerFired(new TimerKey.CallerIdle(7)));
        assertThat(of(Effect.CloseCaller.class, effects)).extracting(Effect.CloseCaller::connection).containsExactly(8L, 7L);
    }

    /** Guards against a client that is refused while it sends losing its connection as one that has sent nothing. */
    @Test
    void aConnectionWhoseRequestsAreRefusedIsInUse() {
        step(new Input.CallerConnected(7), new Input.CallerConnected(8), new Input.CallerConnected(9));
        step(new Input.RefuseNewRequests());
        step(request(new Caller(7, 1), "a", now), new Input.RequestDropped(8));
        assertThat(of(Effect.StartTimer.class, effects)).contains(new Effect.StartTimer(new TimerKey.CallerIdle(7), 2500),
                new Effect.StartTimer(new TimerKey.CallerIdle(8), 2500));
        step(new Input.CallerConnected(10)); // one more than the limit: 9 has sent nothing
        step(request(new Caller(10, 1), "b", now), new Input.CallerConnected(11)); // 7 was used before the others
        assertThat(of(Effect.CloseCaller.class, effects)).extracting(Effect.CloseCaller::connection).containsExactly(9L, 7L);
    }

    @Test
    void onlyAnIdleConnectionIsClosedByItsTimer() {
        step(new Input.CallerConnected(7), new Input.CallerConnected(8), request(new Caller(8, 1), "a", now));
        step(new Input.TimerFired(new TimerKey.CallerIdle(7)), new Input.TimerFired(new TimerKey.CallerIdle(8)));
        assertThat(of(Effect.CloseCaller.class, effects)).extracting(Effect.CloseCaller::connection)
                .containsExactly(7L);
        assertThat(reducer.retainedCounts()).containsEntry("held.callers", 1).containsEntry("held.names", 1);
        step(new Input.CallerDisconnected(8));
        assertThat(reducer.retainedCounts()).containsEntry("held.callers", 0).containsEntry("held.names", 0)
                .containsEntry("held.requests", 0);
    }

    @Test
    void theTxnOfAnOpenRequestIsNotAcceptedTwiceAndOpenRequestsAreBounded() {
        step(request(new Caller(1, 1), "a", now), request(new Caller(2, 1), "a", now));
        assertThat(last(Effect.Answer.class).caller()).isEqualTo(new Caller(2, 1));
        assertThat(last(Effect.Answer.class).reply()).isInstanceOf(Reply.Failed.class);
        for (int i = 0; i < 5; i++) {
            step(request(new Caller(3, i), "b" + i, now));
        }
        assertThat(last(Effect.Answer.class).caller()).isEqualTo(new Caller(3, 4));
        assertThat(last(Effect.Answer.class).reply()).isInstanceOf(Reply.Refused.class);
        assertThat(of(Effect.Answer.class, effects)).hasSize(2);
    }

    @Test
    void aMalformedMessageClosesItsLinkOnlyForAnOpenId() {
        Effect.Send send = sendRequest(SAFE_CLASS);
        beginWrite(send);
        step(received(send, new EngineMessage.Malformed("another", "count is no number")));
        assertThat(lastOutcome()).isNull();
        step(received(send, new EngineMessage.Malformed(send.txn(), "count is no number")));
        assertThat(last(Effect.CloseLink.class).link()).isEqualTo(send.link());
        assertThat(lastOutcome()).isEqualTo(Outcome.RESET);
    }

    /** Guards against attempts that end because another one does not fit into the outbox of their link. */
    @Test
    void anAttemptThatDoesNotFitEndsAloneAndItsLinkTakesNoMore() {
        Effect.Send first = sendRequest(SAFE_CLASS);
        beginWrite(first);
        plannedActions.add(new Scheduler.SendAttempt(receiveUnsafe("b"), engine(0), 0));
        decide();
        Effect.Send second = last(Effect.Send.class);
        assertThat(second.link()).isEqualTo(first.link());
        step(new Input.SendRejected(second.key()));
        assertThat(lastOutcome()).isEqualTo(Outcome.CONNECT_FAILED);
        assertThat(of(Effect.CloseLink.class, effects)).isEmpty();
        plannedActions.add(new Scheduler.SendAttempt(receiveUnsafe("c"), engine(0), 0));
        decide();
        step(new Input.LinkUp(last(Effect.OpenLink.class).link()));
        assertThat(last(Effect.Send.class).link()).isNotEqualTo(first.link());
        step(done(first, 1));
        assertThat(last(Effect.Answer.class).reply()).isInstanceOf(Reply.Served.class);
    }

    @Test
    void aMessageThatIsNotCompletedClosesItsLink() {
        Effect.Send send = sendRequest(SAFE_CLASS);
        beginWrite(send);
        step(new Input.PartialMessage(send.link(), true), new Input.PartialMessage(send.link(), false));
        assertThat(last(Effect.StopTimer.class).key()).isEqualTo(new TimerKey.PartialMessage(send.link()));
        step(new Input.PartialMessage(send.link(), true));
        step(new Input.TimerFired(new TimerKey.PartialMessage(send.link())));
        assertThat(last(Effect.CloseLink.class).link()).isEqualTo(send.link());
        assertThat(lastOutcome()).isEqualTo(Outcome.RESET);
    }

    @Test
    void fullAndExpiredProveNothingAfterDone() {
        Effect.Send send = sendRequest(UNSAFE_CLASS);
        beginWrite(send);
        step(done(send, 2), received(send, new EngineMessage.Full(send.txn(), List.of())),
                received(send, new EngineMessage.Expired(send.txn(), List.of())));
        assertThat(lastOutcome()).isNull();
        step(page(send, 2)); // there is no such page
        assertThat(lastOutcome()).isEqualTo(Outcome.ERROR);
    }

    @Test
    void anInputThatFailsDoesNotLoseTheOthers() {
        step(new Input.RequestReceived(new Caller(1, 1), null, now), request(new Caller(1, 2), "a", now));
        assertThat(of(Effect.UnexpectedError.class, effects)).hasSize(1);
        assertThat(reducer.openRequests()).isEqualTo(1);
    }

    @Test
    void anUnsafeRequestHasItsOwnLinkOnceAnAnswerWasMalformed() {
        Effect.Send malformed = sendRequest(SAFE_CLASS);
        beginWrite(malformed);
        step(received(malformed, new EngineMessage.Malformed(malformed.txn(), "invalid")));
        plannedActions.add(new Scheduler.SendAttempt(receiveUnsafe("c"), engine(0), 0));
        decide();
        step(new Input.LinkUp(last(Effect.OpenLink.class).link()));
        Effect.Send first = last(Effect.Send.class);
        plannedActions.add(new Scheduler.SendAttempt(receiveUnsafe("b"), engine(0), 0));
        decide();
        assertThat(of(Effect.OpenLink.class, effects)).hasSize(3);
        step(new Input.LinkUp(last(Effect.OpenLink.class).link()));
        assertThat(last(Effect.Send.class).txn()).isEqualTo("b");
        assertThat(last(Effect.Send.class).link()).isNotEqualTo(first.link());
    }

    /** In a large fleet a link for each unsafe request would nearly double the links, and each costs a handshake. */
    @Test
    void unsafeRequestsShareALinkWhileNoAnswerWasMalformed() {
        Effect.Send first = sendRequest(UNSAFE_CLASS);
        plannedActions.add(new Scheduler.SendAttempt(receiveUnsafe("b"), engine(0), 0));
        decide();
        assertThat(last(Effect.Send.class).txn()).isEqualTo("b");
        assertThat(last(Effect.Send.class).link()).isEqualTo(first.link());
        assertThat(of(Effect.OpenLink.class, effects)).hasSize(1);
    }

    /** Receives a further unsafe request; returns its number. */
    private long receiveUnsafe(String txn) {
        step(new Input.RequestReceived(new Caller(1, 2 + of(Scheduler.Request.class, events).size()), query(txn, UNSAFE_CLASS),
                now));
        return last(Scheduler.Request.class, events).id();
    }
}
