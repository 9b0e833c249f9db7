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
 * Plays orders of what can happen between a change log and its follower, in virtual time, against a model that knows
 * the whole history: whatever the order, what is held is what was told, and once the change log is well again all of
 * it is known in time.
 */
class MembershipModelTest {
    /** What the change log has to tell counts as told no later than this afterwards. */
    private static final double TOLD = 7000;
    private static final PollTiming PACE = new PollTiming(1000, 1000, 50, 1000, 250, 400, 5000, 10_000);

    /** What may happen; the number beside it in a step chooses which engine, question or timer. */
    private enum Op {
        EVENT, COMPLETE_LIST, OTHER_NEWS, ANSWER, HALF_ANSWER, SILENCE, RESET, MOVE, MOVE_TWICE, LATE_ANSWER,
        STALE_TIMER, SEQ_AHEAD, REPEATED_EVENTS, TIME, RESTART
    }

    private record Step(Op op, int pick) { }

    private record Question(long number, String address, long since) { }

    /** A change log, its network and its clock. */
    private static final class World {
        final List<FleetEvent> history = new ArrayList<>();
        final List<Question> open = new ArrayList<>();
        final List<Question> old = new ArrayList<>();
        final Map<Long, Double> timers = new TreeMap<>();
        final List<Long> stopped = new ArrayList<>();
        final Set<Long> learned = new HashSet<>();
        Membership membership = new Membership(PACE);
        String address = "a:1";
        double now = 5000;
        long seq;

        World() {
            event(true, 0);
            perform(membership.start(now, address, List.copyOf(history)));
        }

        void event(boolean complete, int pick) {
            List<Member> some = new ArrayList<>();
            for (int i = 0; i < (complete ? 3 : 1); i++) {
                some.add(new Member("s-" + (pick + i) % 5, "127.0.0.1:" + (1 + pick % 7), "", "", 0,
                        complete ? Phase.UP : Phase.values()[pick / 5 % 3], 1, 0));
            }
            seq++;
            history.add(new FleetEvent(seq, seq, complete, some));
        }

        List<FleetEvent> since(long from) {
            return history.stream().filter(e -> e.seq() > from).toList();
        }

        void perform(List<Membership.Action> acts) {
            for (Membership.Action act : acts) {
                if (act instanceof Membership.Poll a) {
                    open.add(new Question(a.pollId(), a.address(), a.afterEvent()));
                } else if (act instanceof Membership.CancelPoll) {
                    old.addAll(open);
                    open.clear();
                } else if (act instanceof Membership.StartTimer a) {
                    timers.put(a.timerId(), now + a.delayMs());
                } else if (act instanceof Membership.StopTimer a) {
                    timers.remove(a.timerId());
                    stopped.add(a.timerId());
                } else if (act instanceof Membership.EventReceived a) {
                    assertThat(learned.add(a.event().seq())).as("event " + a.event().seq() + " told twice").isTrue();
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

        /** Takes the question that is out, which is then answered or fails; its number may be an old one's. */
        Question take() {
            return open.isEmpty() ? new Question(-1, address, 0) : open.remove(open.size() - 1);
        }

        void answer(Question q, long claimed, List<FleetEvent> events) {
            perform(membership.answered(now, q.number(), claimed, events));
        }

        void play(Step s) {
            switch (s.op()) {
                case EVENT -> event(false, s.pick());
                case COMPLETE_LIST -> event(true, s.pick());
                case OTHER_NEWS -> history.add(new FleetEvent(++seq, 0, false, List.of()));
                case ANSWER -> {
                    Question q = take();
                    answer(q, seq, since(q.since()));
                }
                case REPEATED_EVENTS -> answer(take(), seq, List.copyOf(history));
                case SEQ_AHEAD -> {
                    Question q = take();
                    List<FleetEvent> all = since(q.since());
                    answer(q, seq, all.subList(0, Math.min(all.size(), s.pick() % 3)));
                }
                case HALF_ANSWER -> perform(membership.failed(now, take().number(), PollFailure.NO_ANSWER, "half an answer"));
                case RESET -> {
                    Question q = take();
                    perform(membership.failed(now, q.number(), PollFailure.values()[s.pick() % 4], "reset"));
                    perform(membership.failed(now, q.number(), PollFailure.NO_ANSWER, "closed")); // and the end of the connection besides
                }
                case SILENCE -> nextTimer();
                case MOVE -> move(s.pick());
                case MOVE_TWICE -> {
                    move(s.pick());
                    move(s.pick() + 1);
                }
                case LATE_ANSWER -> {
                    if (!old.isEmpty()) { // what the old address knew then, which may be less
                        Question q = old.get(s.pick() % old.size());
                        noNews(membership.answered(now, q.number(), seq, since(q.since()).stream().limit(1).toList()));
                        noNews(membership.failed(now, q.number(), PollFailure.NO_ANSWER, "closed by the peer"));
                    }
                }
                case STALE_TIMER -> {
                    if (!stopped.isEmpty()) { // it had fired when it was stopped
                        noNews(membership.timerFired(now, stopped.get(s.pick() % stopped.size())));
                    }
                }
                case TIME -> now += s.pick();
                case RESTART -> restart(s.pick());
                default -> throw new AssertionError(s);
            }
        }

        /** What comes late of an earlier question or wait changes nothing. */
        private static void noNews(List<Membership.Action> acts) {
            assertThat(acts).isEmpty();
        }

        void move(int pick) {
            address = "a:" + (1 + pick % 3);
            perform(membership.addressChanged(now, address));
        }

        /** The program starts anew, with what the configuration's file knew: perhaps not the latest. */
        void restart(int pick) {
            List<FleetEvent> known = history.subList(0, 1 + pick % history.size());
            membership = new Membership(PACE);
            open.clear();
            old.clear();
            timers.clear();
            stopped.clear();
            learned.clear();
            perform(membership.start(now, address, known));
        }

        /** What all events up to one make of the list. */
        Map<String, Member> told(long upTo) {
            Map<String, Member> out = new LinkedHashMap<>();
            for (FleetEvent e : history) {
                if (e.seq() <= upTo) {
                    if (e.complete()) {
                        out.clear();
                    }
                    e.members().forEach(m -> out.put(m.id(), m));
                }
            }
            out.values().removeIf(m -> m.phase() == Phase.REMOVED);
            return out;
        }

        void check(String after) {
            assertThat(membership.members()).as(after).containsExactlyInAnyOrderElementsOf(
                    told(membership.lastEvent()).values());
            assertThat(timers).as("one wait runs after " + after).hasSize(1);
            assertThat(open.size()).as("no two questions are out after " + after).isLessThanOrEqualTo(1);
            if (membership.phase() == Membership.Phase.POLLING) {
                assertThat(membership.ageMs(now)).as(after).isNotNegative();
            }
        }

        /** From now on every question that is asked is answered; those asked before were lost. */
        void wellAgain() {
            long last = history.get(history.size() - 1).seq();
            double until = now + TOLD;
            open.clear();
            while (membership.lastEvent() < last) {
                if (open.isEmpty()) {
                    nextTimer();
                } else {
                    Question q = take();
                    assertThat(q.address()).isEqualTo(address);
                    answer(q, seq, since(q.since()));
                }
                assertThat(now).as("what was to be told is known in time").isLessThanOrEqualTo(until);
            }
            check("all is well again");
            assertThat(membership.members()).containsExactlyInAnyOrderElementsOf(told(last).values());
        }
    }

    @Provide
    Arbitrary<List<Step>> steps() {
        Arbitrary<Op> ops = Arbitraries.of(Op.values());
        Arbitrary<Integer> picks = Arbitraries.integers().between(0, 1000);
        return net.jqwik.api.Combinators.combine(ops, picks).as(Step::new).list().ofMaxSize(60);
    }

    @Property(tries = 4000, seed = "20261201", shrinking = ShrinkingMode.BOUNDED)
    void whateverTheOrderTheListIsWhatWasTold(@ForAll("steps") List<Step> steps) {
        World w = new World();
        for (Step s : steps) {
            w.play(s);
            w.check(s.toString());
        }
        w.wellAgain();
    }

    /** Every order of four of these, as chance may miss the one that matters. */
    @Property(tries = 1, seed = "20261201")
    void everyOrderOfFourEndsWell() {
        Op[] ops = Op.values();
        int orders = (int) Math.pow(ops.length, 4);
        for (int n = 0; n < orders; n++) {
            World w = new World();
            w.event(false, n);
            for (int i = 0, rest = n; i < 4; i++, rest /= ops.length) {
                Step s = new Step(ops[rest % ops.length], n / 7 + i);
                w.play(s);
                w.check(s.toString());
            }
            w.wellAgain();
        }
    }
}
