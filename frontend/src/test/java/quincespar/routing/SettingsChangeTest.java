package quincespar.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import quincespar.decision.Brain;
import quincespar.decision.Gateway;
import quincespar.membership.Pace;
import quincespar.metrics.Figures;
import quincespar.protocol.FleetEvent;
import quincespar.protocol.FleetEvent.Phase;
import quincespar.transport.PassageAccess;

/** Settings that change under traffic, with the module itself: classes go by name, and what is open keeps its terms. */
class SettingsChangeTest {
    private static final String[] EFFECTS = {"safe", "unsafe"};

    /** A class as settings list it. */
    private record Spec(String name, String effect) { }

    private static Site site(int attempts, Spec... specs) {
        Map<String, String> pairs = new HashMap<>(Map.of("requestClasses.count", "" + specs.length, "tick", "1",
                "limits.maxAttempts", "" + attempts, "limits.cancelling", "true", "projects.count", "1",
                "projects.0.name", "acme", "projects.0.quotaPerS", "1000"));
        for (int i = 0; i < specs.length; i++) {
            pairs.putAll(Map.of("requestClasses." + i + ".name", specs[i].name(), "requestClasses." + i + ".slo", "800",
                    "requestClasses." + i + ".hardLimit", "4000", "requestClasses." + i + ".effect", specs[i].effect()));
        }
        return Site.of(pairs);
    }

    @Test
    void aNameKeepsItsNumberHoweverTheSettingsListIt() {
        Site first = site(3, new Spec("a", "safe"), new Spec("b", "safe"));
        Site second = site(3, new Spec("c", "safe"), new Spec("b", "unsafe")).following(first);
        assertThat(second.classes()).isEqualTo(Map.of("b", 1, "c", 2));
        assertThat(second.classNames()).containsExactly("a", "b", "c");
        assertThat(second.dropped()).containsExactly(0);
        assertThat(second.module().classes().get(1).effect()).isEqualTo(Gateway.Effect.UNSAFE);
        Site third = site(3, new Spec("a", "unsafe"), new Spec("c", "safe")).following(second);
        assertThat(third.classes()).isEqualTo(Map.of("a", 0, "c", 2));
        assertThat(third.dropped()).containsExactly(1);
    }

    /** One front end without sockets: engines that take all and answer when they are told to. */
    private static final class World {
        final Map<Caller, Integer> answers = new HashMap<>();
        final Map<Caller, String> effects = new HashMap<>();
        final Map<Caller, Reply> replies = new HashMap<>();
        final Map<String, Integer> sends = new HashMap<>();
        final Map<String, Effect.Send> out = new LinkedHashMap<>();
        final List<Effect> all = new ArrayList<>();
        final Reducer reducer;
        Site site;
        double now = 1000;
        int asked;
        private long hangups;

        World(Site start) {
            site = start;
            reducer = new Reducer(site, new Bounds(100, 1000, 2000, 2500, 8, 8, 500,
                    new Pace(2000, 1000, 250, 1000, 10_000)), new Brain(site.module(), 7));
            follow(reducer.start(now, "127.0.0.1:1", List.of(new FleetEvent(1, 1, true, List.of(
                    new FleetEvent.Member("s-1", "127.0.0.1:1", "", "", 0, Phase.UP, 1, 0),
                    new FleetEvent.Member("s-2", "127.0.0.1:2", "", "", 0, Phase.UP, 1, 0))))));
        }

        void step(Input... inputs) {
            now += 5;
            follow(reducer.step(now, List.of(inputs)));
        }

        void follow(List<Effect> effects) {
            all.addAll(effects);
            List<Input> next = new ArrayList<>();
            for (Effect e : effects) {
                if (e instanceof Effect.OpenLink x) {
                    next.add(new Input.LinkUp(x.link()));
                } else if (e instanceof Effect.Send x) {
                    assertThat(out).as("two at once").doesNotContainKey(x.txn());
                    PassageAccess.begin(x.passage());
                    next.add(new Input.SendWritten(x.key()));
                    sends.merge(x.txn(), 1, Integer::sum);
                    out.put(x.txn(), x);
                } else if (e instanceof Effect.Cancel x) {
                    out.remove(x.txn());
                    next.add(new Input.CancelWritten(x.key()));
                } else if (e instanceof Effect.Answer x) {
                    answers.merge(x.caller(), 1, Integer::sum);
                    replies.put(x.caller(), x.reply());
                } else if (e instanceof Effect.Adopt x) {
                    site = x.site();
                } else if (e instanceof Effect.Uncaught x) {
                    throw new AssertionError(x.where(), x.error());
                }
            }
            if (!next.isEmpty()) {
                step(next.toArray(new Input[0]));
            }
        }

        Caller ask(String cls) {
            Caller c = new Caller(1, ++asked);
            int number = site.classes().get(cls);
            effects.put(c, site.module().classes().get(number).effect().name());
            step(new Input.Asked(c, new Query(String.format("%016x", asked), number, 0, 4000, false, 10, 0, 0, new byte[0]),
                    now));
            return c;
        }

        void retune(Site to) {
            step(new Input.Hangup());
            List<Effect.Reread> rereads = all.stream().filter(Effect.Reread.class::isInstance).map(Effect.Reread.class::cast)
                    .toList();
            step(new Input.Reconfigured(rereads.get(rereads.size() - 1).serial(), "127.0.0.1:1", to));
        }

        /** An engine's word on one of what it holds. */
        void say(int which, boolean served) {
            Effect.Send s = List.copyOf(out.values()).get(which % out.size());
            out.remove(s.txn());
            step(new Input.Said(s.link(), served ? new EngineNews.Done(s.txn(), 1, new byte[] {'r'}, List.of())
                    : new EngineNews.Broke(s.txn(), List.of())));
        }

        /** Time goes on until all that is open has had its answer, at the latest when its client gives up. */
        void settle() {
            for (int i = 0; i < 2000 && (reducer.open() > 0 || !out.isEmpty()); i++) {
                if (!out.isEmpty()) {
                    say(0, true);
                } else {
                    step(new Input.TimerFired(new TimerKey.Module(1, i)));
                }
            }
        }
    }

    @Test
    void aNewClassIsTakenAtOnceAndOneInAnotherPlaceIsStillItself() {
        World w = new World(site(3, new Spec("a", "safe"), new Spec("b", "safe")));
        w.retune(site(3, new Spec("b", "safe"), new Spec("c", "unsafe"), new Spec("a", "safe")));
        Caller c = w.ask("c");
        assertThat(w.out.values()).extracting(Effect.Send::queue).containsExactly("c");
        w.say(0, true);
        assertThat(w.replies.get(c)).isInstanceOf(Reply.Served.class);
        w.ask("a");
        assertThat(w.out.values()).extracting(Effect.Send::queue).containsExactly("a");
        assertThat(w.reducer.figures().confLoaded()).isEqualTo(1);
    }

    /** It was safe when it was taken, so it may be tried again, and as often as the settings had it then. */
    @Test
    void anOpenRequestKeepsItsEffectAndItsNumberOfAttempts() {
        World w = new World(site(2, new Spec("a", "safe")));
        Caller c = w.ask("a");
        w.retune(site(1, new Spec("a", "unsafe")));
        w.say(0, false);
        assertThat(w.sends).containsEntry("0000000000000001", 2);
        w.say(0, true);
        assertThat(w.replies.get(c)).isInstanceOf(Reply.Served.class);
        Caller next = w.ask("a");
        w.say(0, false);
        assertThat(w.sends).containsEntry("0000000000000002", 1);
        assertThat(w.replies.get(next)).isInstanceOf(Reply.Failed.class);
    }

    @Test
    void aRequestOfADroppedClassIsFollowedToItsAnswer() {
        World w = new World(site(3, new Spec("a", "safe"), new Spec("b", "unsafe")));
        Caller c = w.ask("b");
        w.retune(site(3, new Spec("a", "safe")));
        assertThat(w.site.classes()).containsOnlyKeys("a");
        w.say(0, true);
        assertThat(w.replies.get(c)).isInstanceOf(Reply.Served.class);
        assertThat(w.reducer.figures().transactions()).containsEntry("b", new Figures.Row(1, 0, 0));
    }

    @Test
    void ofSeveralSignalsTheLastCountsAndABadFileChangesNothing() {
        World w = new World(site(3, new Spec("a", "safe")));
        w.step(new Input.Hangup(), new Input.Hangup());
        List<Effect.Reread> asked = w.all.stream().filter(Effect.Reread.class::isInstance).map(Effect.Reread.class::cast)
                .toList();
        w.step(new Input.Reconfigured(asked.get(0).serial(), "127.0.0.1:1", site(3, new Spec("b", "safe"))));
        assertThat(w.site.classes()).containsOnlyKeys("a");
        w.step(new Input.ReconfigureFailed(asked.get(1).serial(), "it is empty"));
        assertThat(w.site.classes()).containsOnlyKeys("a");
        assertThat(w.reducer.figures().confInvalid()).isEqualTo(1);
        assertThat(w.reducer.figures().confLoaded()).isZero();
    }

    /** The same settings once more are no news: the module must not be told a whole list for nothing. */
    @Test
    void aFileWithTheSameSettingsTellsTheModuleNothing() {
        World w = new World(site(3, new Spec("a", "safe")));
        w.retune(site(3, new Spec("a", "safe")));
        assertThat(w.all).noneMatch(Effect.Adopt.class::isInstance);
        assertThat(w.reducer.figures().confLoaded()).isEqualTo(1);
    }

    @Property(tries = 300, seed = "20261201")
    void whateverTheSettingsBecomeEachRequestHasOneAnswerAndWhatMayNotRunTwiceIsSentOnce(@ForAll long seed) {
        Random chance = new Random(seed);
        World w = new World(site(3, new Spec("a", "safe"), new Spec("b", "unsafe")));
        Map<String, Figures.Row> before = Map.of();
        for (int i = 0; i < 120; i++) {
            int what = chance.nextInt(10);
            if (what < 5) {
                List<String> names = w.site.classes().keySet().stream().sorted().toList();
                w.ask(names.get(chance.nextInt(names.size())));
            } else if (what < 9 && !w.out.isEmpty()) {
                w.say(chance.nextInt(100), chance.nextInt(3) > 0);
            } else {
                List<Spec> specs = new ArrayList<>();
                for (String name : List.of("d", "b", "a", "c")) {
                    if (chance.nextBoolean()) {
                        specs.add(chance.nextInt(specs.size() + 1), new Spec(name, EFFECTS[chance.nextInt(2)]));
                    }
                }
                if (!specs.isEmpty()) {
                    w.retune(site(1 + chance.nextInt(4), specs.toArray(new Spec[0])));
                }
            }
            Map<String, Figures.Row> now = w.reducer.figures().transactions();
            before.forEach((name, row) -> assertThat(now.get(name).answered() + now.get(name).errored()
                    + now.get(name).deferred()).isGreaterThanOrEqualTo(row.answered() + row.errored() + row.deferred()));
            before = now;
        }
        w.settle();
        assertThat(w.answers).hasSize(w.asked).allSatisfy((caller, n) -> assertThat(n).isEqualTo(1));
        w.effects.forEach((caller, effect) -> {
            if (effect.equals("UNSAFE")) {
                assertThat(w.sends.getOrDefault(String.format("%016x", caller.call()), 0)).isLessThanOrEqualTo(1);
            }
        });
        Figures f = w.reducer.figures();
        assertThat(f.transactions().values().stream().mapToLong(r -> r.answered() + r.deferred() + r.errored()).sum())
                .isEqualTo(w.asked);
        assertThat(f.sends()).isEqualTo(w.sends.values().stream().mapToInt(n -> n).sum());
        assertThat(f.current()).isZero();
    }
}
