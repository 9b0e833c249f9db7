package quincespar.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import quincespar.protocol.FleetEvent;
import quincespar.protocol.FleetEvent.Member;
import quincespar.protocol.FleetEvent.Phase;

/**
 * Plays sequences of what can happen between a change log and its follower, in virtual time, against a model that knows the
 * whole history. Whatever the sequence, the list of engines is what the received events make it, and once the change log
 * works again all events are received in time.
 */
class MembershipModelTest {
    /** An event must be received at most this long after the change log works again. */
    private static final double MAX_DELAY_MS = 7000;
    private static final PollTiming TIMING = new PollTiming(1000, 1000, 50, 1000, 250, 400, 5000, 10_000);

    /** What may happen; the number beside it in a step chooses an engine, a poll or a timer. */
    private enum Op {
        EVENT, COMPLETE_LIST, UNRELATED_EVENT, ANSWER, OLDEST_ANSWER, TRUNCATED_ANSWER, TIMER, RESET, OLDEST_RESET, ADDRESS_CHANGED,
        ADDRESS_CHANGED_TWICE, LATE_ANSWER, STALE_TIMER, EVENTS_MISSING, REPEATED_EVENTS, TIME_PASSES, RESTART
    }

    private record Step(Op op, int pick) { }

    private record OpenPoll(long pollId, String address, long afterEvent) { }

    /** A change log, its network and its clock. */
    private static final class World {
        final List<FleetEvent> history = new ArrayList<>();
        final List<OpenPoll> openPolls = new ArrayList<>();
        final List<OpenPoll> cancelledPolls = new ArrayList<>();
        final Map<Long, Double> timers = new TreeMap<>();
        final List<Long> stoppedTimers = new ArrayList<>();
        final Set<Long> received = new HashSet<>();
        Membership membership = new Membership(TIMING);
        String address = "a:1";
        double now = 5000;
        long seq;

        World() {
            addEvent(true, 0);
            perform(membership.start(now, address, List.copyOf(history)));
        }

        void addEvent(boolean complete, int pick) {
            List<Member> changed = new ArrayList<>();
            for (int i = 0; i < (complete ? 3 : 1); i++) {
                changed.add(new Member("s-" + (pick + i) % 5, "127.0.0.1:" + (1 + pick % 7), "", "", 0,
                        complete ? Phase.UP : Phase.values()[pick / 5 % 3], 1, 0));
            }
            seq++;
            history.add(new FleetEvent(seq, seq, complete, changed));
        }

        List<FleetEvent> eventsAfter(long number) {
            return history.stream().filter(e -> e.seq() > number).toList();
        }

        void perform(List<Membership.Action> actions) {
            for (Membership.Action action : actions) {
                if (action instanceof Membership.Poll a) {
                    openPolls.add(new OpenPoll(a.pollId(), a.address(), a.afterEvent()));
                } else if (action instanceof Membership.CancelPoll a) {
                    openPolls.stream().filter(p -> p.pollId() == a.pollId()).forEach(cancelledPolls::add);
                    openPolls.removeIf(p -> p.pollId() == a.pollId());
                } else if (action instanceof Membership.StartTimer a) {
                    timers.put(a.timerId(), now + a.delayMs());
                } else if (action instanceof Membership.StopTimer a) {
                    timers.remove(a.timerId());
                    stoppedTimers.add(a.timerId());
                } else if (action instanceof Membership.EventReceived a) {
                    assertThat(received.add(a.event().seq())).as("event " + a.event().seq() + " received twice").isTrue();
                }
            }
        }

        /** Fires the timer that is due first. */
        void nextTimer() {
            Map.Entry<Long, Double> first = timers.entrySet().stream().min(Map.Entry.comparingByValue()).orElseThrow();
            timers.remove(first.getKey());
            now = Math.max(now, first.getValue());
            perform(membership.timerFired(now, first.getKey()));
        }

        /** Removes the last open poll, which is then answered or fails; without one, a poll whose number was never used. */
        OpenPoll takePoll() {
            return takePoll(openPolls.size() - 1);
        }

        private OpenPoll takePoll(int index) {
            return openPolls.isEmpty() ? new OpenPoll(-1, address, 0) : openPolls.remove(index);
        }

        void answer(OpenPoll poll, long lastEvent, List<FleetEvent> events) {
            perform(membership.answered(now, poll.pollId(), lastEvent, events));
        }

        void play(Step step) {
            switch (step.op()) {
                case EVENT -> addEvent(false, step.pick());
                case COMPLETE_LIST -> addEvent(true, step.pick());
                case UNRELATED_EVENT -> history.add(new FleetEvent(++seq, 0, false, List.of()));
                case ANSWER -> {
                    OpenPoll poll = takePoll();
                    answer(poll, seq, eventsAfter(poll.afterEvent()));
                }
                case OLDEST_ANSWER -> { // formed some time ago: it may lack the last events
                    OpenPoll poll = takePoll(0);
                    long known = Math.max(poll.afterEvent(), seq - step.pick() % 3);
                    answer(poll, known, eventsAfter(poll.afterEvent()).stream().filter(e -> e.seq() <= known).toList());
                }
                case OLDEST_RESET -> perform(membership.failed(now, takePoll(0).pollId(), PollFailure.NO_ANSWER, "reset"));
                case REPEATED_EVENTS -> answer(takePoll(), seq, List.copyOf(history));
                case EVENTS_MISSING -> {
                    OpenPoll poll = takePoll();
                    List<FleetEvent> all = eventsAfter(poll.afterEvent());
                    answer(poll, seq, all.subList(0, Math.min(all.size(), step.pick() % 3)));
                }
                case TRUNCATED_ANSWER ->
                        perform(membership.failed(now, takePoll().pollId(), PollFailure.NO_ANSWER, "truncated answer"));
                case RESET -> {
                    OpenPoll poll = takePoll();
                    perform(membership.failed(now, poll.pollId(), PollFailure.values()[step.pick() % 4], "reset"));
                    // the end of the connection is reported besides
                    perform(membership.failed(now, poll.pollId(), PollFailure.NO_ANSWER, "closed"));
                }
                case TIMER -> nextTimer();
                case ADDRESS_CHANGED -> changeAddress(step.pick());
                case ADDRESS_CHANGED_TWICE -> {
                    changeAddress(step.pick());
                    changeAddress(step.pick() + 1);
                }
                case LATE_ANSWER -> {
                    if (!cancelledPolls.isEmpty()) { // the old address may know fewer events
                        OpenPoll poll = cancelledPolls.get(step.pick() % cancelledPolls.size());
                        List<FleetEvent> firstEvent = eventsAfter(poll.afterEvent()).stream().limit(1).toList();
                        assertIgnored(membership.answered(now, poll.pollId(), seq, firstEvent));
                        assertIgnored(membership.failed(now, poll.pollId(), PollFailure.NO_ANSWER, "closed by the peer"));
                    }
                }
                case STALE_TIMER -> {
                    if (!stoppedTimers.isEmpty()) { // it had fired when it was stopped
                        assertIgnored(membership.timerFired(now, stoppedTimers.get(step.pick() % stoppedTimers.size())));
                    }
                }
                case TIME_PASSES -> now += step.pick();
                case RESTART -> restart(step.pick());
                default -> throw new AssertionError(step);
            }
        }

        /** What arrives late from an earlier poll or timer must change nothing. */
        private static void assertIgnored(List<Membership.Action> actions) {
            assertThat(actions).isEmpty();
        }

        void changeAddress(int pick) {
            address = "a:" + (1 + pick % 3);
            perform(membership.addressChanged(now, address));
        }

        /** The program restarts with the events that its configuration file holds, which may not be the latest. */
        void restart(int pick) {
            List<FleetEvent> known = history.subList(0, 1 + pick % history.size());
            membership = new Membership(TIMING);
            openPolls.clear();
            cancelledPolls.clear();
            timers.clear();
            stoppedTimers.clear();
            received.clear();
            perform(membership.start(now, address, known));
        }

        /** The list that results from all events up to a number. */
        Map<String, Member> expectedMembers(long lastEvent) {
            Map<String, Member> expected = new LinkedHashMap<>();
            for (FleetEvent e : history) {
                if (e.seq() <= lastEvent) {
                    if (e.complete()) {
                        expected.clear();
                    }
                    e.members().forEach(m -> expected.put(m.id(), m));
                }
            }
            expected.values().removeIf(m -> m.phase() == Phase.REMOVED);
            return expected;
        }

        void check(String after) {
            assertThat(membership.members()).as(after).containsExactlyInAnyOrderElementsOf(
                    expectedMembers(membership.lastEvent()).values());
            assertThat(timers).as("one timer runs after " + after).hasSize(1);
            assertThat(openPolls.size()).as("open polls after " + after).isLessThanOrEqualTo(Membership.MAX_OPEN_POLLS);
            assertThat(openPolls).as("all open polls after " + after).allMatch(p -> p.address().equals(address));
            if (membership.phase() == Membership.Phase.POLLING) {
                assertThat(membership.ageMs(now)).as(after).isNotNegative();
            }
        }

        /** A poll that is awaited is open; so the change log can answer it. */
        void checkAwaitedPoll(String after) {
            if (membership.phase() == Membership.Phase.POLLING) {
                assertThat(openPolls).as("a poll is open after " + after).isNotEmpty();
            }
        }

        /** From now on every new poll is answered; those open before are lost. */
        void assertRecovers() {
            long last = history.get(history.size() - 1).seq();
            double deadline = now + MAX_DELAY_MS;
            openPolls.clear();
            while (membership.lastEvent() < last) {
                if (openPolls.isEmpty()) {
                    nextTimer();
                } else {
                    OpenPoll poll = takePoll();
                    assertThat(poll.address()).isEqualTo(address);
                    answer(poll, seq, eventsAfter(poll.afterEvent()));
                }
                assertThat(now).as("all events are received in time").isLessThanOrEqualTo(deadline);
            }
            check("the change log works again");
            assertThat(membership.members()).containsExactlyInAnyOrderElementsOf(expectedMembers(last).values());
        }
    }

    @Provide
    Arbitrary<List<Step>> steps() {
        Arbitrary<Op> ops = Arbitraries.of(Op.values());
        Arbitrary<Integer> picks = Arbitraries.integers().between(0, 1000);
        return net.jqwik.api.Combinators.combine(ops, picks).as(Step::new).list().ofMaxSize(60);
    }

    @Property(tries = 4000, seed = "20261201", shrinking = ShrinkingMode.BOUNDED)
    void theListMatchesTheEventsAfterAnySequence(@ForAll("steps") List<Step> steps) {
        World world = new World();
        for (Step step : steps) {
            world.play(step);
            world.check(step.toString());
            world.checkAwaitedPoll(step.toString());
        }
        world.assertRecovers();
    }

    /** Plays every sequence of four operations, as random ones may miss the one that matters. */
    @Property(tries = 1, seed = "20261201")
    void everySequenceOfFourRecovers() {
        Op[] ops = Op.values();
        int sequences = (int) Math.pow(ops.length, 4);
        for (int n = 0; n < sequences; n++) {
            World world = new World();
            world.addEvent(false, n);
            for (int i = 0, rest = n; i < 4; i++, rest /= ops.length) {
                Step step = new Step(ops[rest % ops.length], n / 7 + i);
                world.play(step);
                world.check(step.toString());
                world.checkAwaitedPoll(step.toString());
            }
            world.assertRecovers();
        }
    }
}
