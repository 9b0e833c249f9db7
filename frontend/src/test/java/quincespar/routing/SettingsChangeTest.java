package quincespar.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import quincespar.decision.Scheduler;
import quincespar.metrics.MetricsSnapshot;
import quincespar.routing.SimulatedRouter.Spec;

/** Settings that change under traffic, with the module itself: classes go by name, and what is open keeps its terms. */
class SettingsChangeTest {
    private static final String[] EFFECTS = {"safe", "unsafe"};

    @Test
    void aNameKeepsItsNumberHoweverTheSettingsListIt() {
        RoutingSettings first = SimulatedRouter.site(3, new Spec("a", "safe"), new Spec("b", "safe"));
        RoutingSettings second = SimulatedRouter.site(3, new Spec("c", "safe"), new Spec("b", "unsafe")).keepingNumbersOf(first);
        assertThat(second.classNumbers()).isEqualTo(Map.of("b", 1, "c", 2));
        assertThat(second.classNames()).containsExactly("a", "b", "c");
        assertThat(second.droppedClasses()).containsExactly(0);
        assertThat(second.decision().classes().get(1).idempotency()).isEqualTo(Scheduler.Idempotency.UNSAFE);
        RoutingSettings third = SimulatedRouter.site(3, new Spec("a", "unsafe"), new Spec("c", "safe")).keepingNumbersOf(second);
        assertThat(third.classNumbers()).isEqualTo(Map.of("a", 0, "c", 2));
        assertThat(third.droppedClasses()).containsExactly(1);
    }

    /** Nobody would hear its words, and its silence would pass for that of engines that stand idle. */
    @Test
    void aFrontEndCountsOnNoWordsBetweenFrontEndsThoughTheSiteAllowsThem() {
        Map<String, String> pairs = new java.util.HashMap<>(Map.of("balancers", "3", "tick", "5", "limits.mayTell", "true",
                "limits.cancelling", "true", "limits.maxAttempts", "3", "requestClasses.count", "1",
                "requestClasses.0.slo", "800", "requestClasses.0.hardLimit", "4000"));
        Scheduler.Limits limits = RoutingSettings.of(pairs).decision().limits();
        assertThat(limits.mayTellPeers()).isFalse();
        assertThat(limits.mayCancel()).isTrue();
        assertThat(limits.maxAttempts()).isEqualTo(3);
    }

    @Test
    void aNewClassIsTakenAtOnceAndOneInAnotherPlaceIsStillItself() {
        SimulatedRouter w = new SimulatedRouter(SimulatedRouter.site(3, new Spec("a", "safe"), new Spec("b", "safe")));
        w.retune(SimulatedRouter.site(3, new Spec("b", "safe"), new Spec("c", "unsafe"), new Spec("a", "safe")));
        Caller c = w.ask("c");
        assertThat(w.out.values()).extracting(Effect.Send::queue).containsExactly("c");
        w.say(0, true);
        assertThat(w.replies.get(c)).isInstanceOf(Reply.Served.class);
        w.ask("a");
        assertThat(w.out.values()).extracting(Effect.Send::queue).containsExactly("a");
        assertThat(w.reducer.metrics().configurationsLoaded()).isEqualTo(1);
    }

    /** It was safe when it was taken, so it may be tried again, and as often as the settings had it then. */
    @Test
    void anOpenRequestKeepsItsEffectAndItsNumberOfAttempts() {
        SimulatedRouter w = new SimulatedRouter(SimulatedRouter.site(2, new Spec("a", "safe")));
        Caller c = w.ask("a");
        w.retune(SimulatedRouter.site(1, new Spec("a", "unsafe")));
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
        SimulatedRouter w = new SimulatedRouter(SimulatedRouter.site(3, new Spec("a", "safe"), new Spec("b", "unsafe")));
        Caller c = w.ask("b");
        w.retune(SimulatedRouter.site(3, new Spec("a", "safe")));
        assertThat(w.site.classNumbers()).containsOnlyKeys("a");
        w.say(0, true);
        assertThat(w.replies.get(c)).isInstanceOf(Reply.Served.class);
        assertThat(w.reducer.metrics().answersByClass()).containsEntry("b", new MetricsSnapshot.AnswerCounts(1, 0, 0));
    }

    @Test
    void ofSeveralSignalsTheLastCountsAndABadFileChangesNothing() {
        SimulatedRouter w = new SimulatedRouter(SimulatedRouter.site(3, new Spec("a", "safe")));
        w.step(new Input.ReloadRequested(), new Input.ReloadRequested());
        List<Effect.ReloadConfiguration> asked = w.all.stream().filter(Effect.ReloadConfiguration.class::isInstance).map(Effect.ReloadConfiguration.class::cast)
                .toList();
        w.step(new Input.ConfigurationLoaded(asked.get(0).reloadId(), "127.0.0.1:1", SimulatedRouter.site(3, new Spec("b", "safe")),
                Map.of("overtaken", true)));
        assertThat(w.site.classNumbers()).containsOnlyKeys("a");
        assertThat(w.all).noneMatch(Effect.ConfigurationAccepted.class::isInstance); // nor is the next one held against it
        w.step(new Input.ConfigurationRejected(asked.get(1).reloadId(), "it is empty"));
        assertThat(w.site.classNumbers()).containsOnlyKeys("a");
        assertThat(w.reducer.metrics().configurationsRejected()).isEqualTo(1);
        assertThat(w.reducer.metrics().configurationsLoaded()).isZero();
    }

    /** The same settings once more are no news: the module must not be told a whole list for nothing. */
    @Test
    void aFileWithTheSameSettingsTellsTheModuleNothing() {
        SimulatedRouter w = new SimulatedRouter(SimulatedRouter.site(3, new Spec("a", "safe")));
        w.retune(SimulatedRouter.site(3, new Spec("a", "safe")));
        assertThat(w.all).noneMatch(Effect.ApplySettings.class::isInstance).contains(new Effect.ConfigurationAccepted(Map.of()));
        assertThat(w.reducer.metrics().configurationsLoaded()).isEqualTo(1);
    }

    @Property(tries = 300, seed = "20261201")
    void whateverTheSettingsBecomeEachRequestHasOneAnswerAndWhatMayNotRunTwiceIsSentOnce(@ForAll long seed) {
        Random chance = new Random(seed);
        SimulatedRouter w = new SimulatedRouter(SimulatedRouter.site(3, new Spec("a", "safe"), new Spec("b", "unsafe")));
        Map<String, MetricsSnapshot.AnswerCounts> before = Map.of();
        for (int i = 0; i < 120; i++) {
            int what = chance.nextInt(10);
            if (what < 5) {
                List<String> names = w.site.classNumbers().keySet().stream().sorted().toList();
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
                    w.retune(SimulatedRouter.site(1 + chance.nextInt(4), specs.toArray(new Spec[0])));
                }
            }
            Map<String, MetricsSnapshot.AnswerCounts> now = w.reducer.metrics().answersByClass();
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
        MetricsSnapshot f = w.reducer.metrics();
        assertThat(f.answersByClass().values().stream().mapToLong(r -> r.answered() + r.deferred() + r.errored()).sum())
                .isEqualTo(w.asked);
        assertThat(f.attemptsSent()).isEqualTo(w.sends.values().stream().mapToInt(n -> n).sum());
        assertThat(f.openRequests()).isZero();
    }
}
