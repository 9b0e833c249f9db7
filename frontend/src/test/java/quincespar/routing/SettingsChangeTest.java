package quincespar.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import quincespar.decision.Scheduler;
import quincespar.metrics.MetricsSnapshot;
import quincespar.routing.SimulatedRouter.Spec;

/**
 * Settings that change under traffic, with the real decision module: classes are matched by name, and open requests keep the
 * settings under which they arrived.
 */
class SettingsChangeTest {
    private static final String[] EFFECTS = {"safe", "unsafe"};

    @Test
    void aNameKeepsItsNumberInWhateverOrderTheSettingsListIt() {
        RoutingSettings first = SimulatedRouter.settings(3, new Spec("a", "safe"), new Spec("b", "safe"));
        RoutingSettings second = SimulatedRouter.settings(3, new Spec("c", "safe"), new Spec("b", "unsafe"))
                .keepingNumbersOf(first);
        assertThat(second.classNumbers()).isEqualTo(Map.of("b", 1, "c", 2));
        assertThat(second.classNames()).containsExactly("a", "b", "c");
        assertThat(second.droppedClasses()).containsExactly(0);
        assertThat(second.decision().classes().get(1).idempotency()).isEqualTo(Scheduler.Idempotency.UNSAFE);
        RoutingSettings third = SimulatedRouter.settings(3, new Spec("a", "unsafe"), new Spec("c", "safe"))
                .keepingNumbersOf(second);
        assertThat(third.classNumbers()).isEqualTo(Map.of("a", 0, "c", 2));
        assertThat(third.droppedClasses()).containsExactly(1);
    }

    /** No front end would receive the messages, and their absence would be taken for engines that are idle. */
    @Test
    void messagesBetweenFrontEndsAreOffEvenIfTheSettingsAllowThem() {
        Map<String, String> pairs = new HashMap<>(Map.of("balancers", "3", "tick", "5", "limits.mayTell", "true",
                "limits.cancelling", "true", "limits.maxAttempts", "3", "requestClasses.count", "1",
                "requestClasses.0.slo", "800", "requestClasses.0.hardLimit", "4000"));
        Scheduler.Limits limits = RoutingSettings.of(pairs).decision().limits();
        assertThat(limits.mayTellPeers()).isFalse();
        assertThat(limits.mayCancel()).isTrue();
        assertThat(limits.maxAttempts()).isEqualTo(3);
    }

    @Test
    void aNewClassIsAcceptedAtOnceAndAMovedOneIsRecognized() {
        SimulatedRouter router = new SimulatedRouter(
                SimulatedRouter.settings(3, new Spec("a", "safe"), new Spec("b", "safe")));
        router.reload(SimulatedRouter.settings(3, new Spec("b", "safe"), new Spec("c", "unsafe"), new Spec("a", "safe")));
        Caller caller = router.request("c");
        assertThat(router.running.values()).extracting(Effect.Send::queue).containsExactly("c");
        router.engineAnswers(0, true);
        assertThat(router.replies.get(caller)).isInstanceOf(Reply.Served.class);
        router.request("a");
        assertThat(router.running.values()).extracting(Effect.Send::queue).containsExactly("a");
        assertThat(router.reducer.metrics().configurationsLoaded()).isEqualTo(1);
    }

    /** The class was safe, with two attempts, when the request arrived, so that it may be retried. */
    @Test
    void anOpenRequestKeepsTheEffectAndTheAttemptsOfItsClass() {
        SimulatedRouter router = new SimulatedRouter(SimulatedRouter.settings(2, new Spec("a", "safe")));
        Caller caller = router.request("a");
        router.reload(SimulatedRouter.settings(1, new Spec("a", "unsafe")));
        router.engineAnswers(0, false);
        assertThat(router.sends).containsEntry("0000000000000001", 2);
        router.engineAnswers(0, true);
        assertThat(router.replies.get(caller)).isInstanceOf(Reply.Served.class);
        Caller next = router.request("a");
        router.engineAnswers(0, false);
        assertThat(router.sends).containsEntry("0000000000000002", 1);
        assertThat(router.replies.get(next)).isInstanceOf(Reply.Failed.class);
    }

    @Test
    void anOpenRequestOfADroppedClassIsAnswered() {
        SimulatedRouter router = new SimulatedRouter(
                SimulatedRouter.settings(3, new Spec("a", "safe"), new Spec("b", "unsafe")));
        Caller caller = router.request("b");
        router.reload(SimulatedRouter.settings(3, new Spec("a", "safe")));
        assertThat(router.settings.classNumbers()).containsOnlyKeys("a");
        router.engineAnswers(0, true);
        assertThat(router.replies.get(caller)).isInstanceOf(Reply.Served.class);
        assertThat(router.reducer.metrics().answersByClass())
                .containsEntry("b", new MetricsSnapshot.AnswerCounts(1, 0, 0));
    }

    @Test
    void onlyTheLastOfSeveralReloadsCountsAndARejectedFileChangesNothing() {
        SimulatedRouter router = new SimulatedRouter(SimulatedRouter.settings(3, new Spec("a", "safe")));
        router.step(new Input.ReloadRequested(), new Input.ReloadRequested());
        List<Effect.ReloadConfiguration> reloads = router.effects.stream().filter(Effect.ReloadConfiguration.class::isInstance)
                .map(Effect.ReloadConfiguration.class::cast).toList();
        router.step(new Input.ConfigurationLoaded(reloads.get(0).reloadId(), "127.0.0.1:1",
                SimulatedRouter.settings(3, new Spec("b", "safe")), Map.of("overtaken", true)));
        assertThat(router.settings.classNumbers()).containsOnlyKeys("a");
        // nor is the next file compared with it
        assertThat(router.effects).noneMatch(Effect.ConfigurationAccepted.class::isInstance);
        router.step(new Input.ConfigurationRejected(reloads.get(1).reloadId(), "it is empty"));
        assertThat(router.settings.classNumbers()).containsOnlyKeys("a");
        assertThat(router.reducer.metrics().configurationsRejected()).isEqualTo(1);
        assertThat(router.reducer.metrics().configurationsLoaded()).isZero();
    }

    /** Unchanged settings must not make the module process a whole list of engines. */
    @Test
    void unchangedSettingsAreNotPassedToTheModule() {
        SimulatedRouter router = new SimulatedRouter(SimulatedRouter.settings(3, new Spec("a", "safe")));
        router.reload(SimulatedRouter.settings(3, new Spec("a", "safe")));
        assertThat(router.effects).noneMatch(Effect.ApplySettings.class::isInstance)
                .contains(new Effect.ConfigurationAccepted(Map.of()));
        assertThat(router.reducer.metrics().configurationsLoaded()).isEqualTo(1);
    }

    @Property(tries = 300, seed = "20261201")
    void underAnySettingsEachRequestHasOneAnswerAndAnUnsafeOneIsSentOnce(@ForAll long seed) {
        Random random = new Random(seed);
        SimulatedRouter router = new SimulatedRouter(
                SimulatedRouter.settings(3, new Spec("a", "safe"), new Spec("b", "unsafe")));
        Map<String, MetricsSnapshot.AnswerCounts> before = Map.of();
        for (int i = 0; i < 120; i++) {
            int operation = random.nextInt(10);
            if (operation < 5) {
                List<String> names = router.settings.classNumbers().keySet().stream().sorted().toList();
                router.request(names.get(random.nextInt(names.size())));
            } else if (operation < 9 && !router.running.isEmpty()) {
                router.engineAnswers(random.nextInt(100), random.nextInt(3) > 0);
            } else {
                reloadRandomSettings(router, random);
            }
            Map<String, MetricsSnapshot.AnswerCounts> now = router.reducer.metrics().answersByClass();
            before.forEach((name, counts) -> assertThat(total(now.get(name))).isGreaterThanOrEqualTo(total(counts)));
            before = now;
        }
        router.settle();
        assertThat(router.answers).hasSize(router.requests).allSatisfy((caller, n) -> assertThat(n).isEqualTo(1));
        router.classEffects.forEach((caller, effect) -> {
            if (effect.equals("UNSAFE")) {
                assertThat(router.sends.getOrDefault(String.format("%016x", caller.call()), 0)).isLessThanOrEqualTo(1);
            }
        });
        MetricsSnapshot metrics = router.reducer.metrics();
        assertThat(metrics.answersByClass().values().stream().mapToLong(SettingsChangeTest::total).sum())
                .isEqualTo(router.requests);
        assertThat(metrics.attemptsSent()).isEqualTo(router.sends.values().stream().mapToInt(n -> n).sum());
        assertThat(metrics.openRequests()).isZero();
    }

    private static void reloadRandomSettings(SimulatedRouter router, Random random) {
        List<Spec> specs = new ArrayList<>();
        for (String name : List.of("d", "b", "a", "c")) {
            if (random.nextBoolean()) {
                specs.add(random.nextInt(specs.size() + 1), new Spec(name, EFFECTS[random.nextInt(2)]));
            }
        }
        if (!specs.isEmpty()) {
            router.reload(SimulatedRouter.settings(1 + random.nextInt(4), specs.toArray(new Spec[0])));
        }
    }

    private static long total(MetricsSnapshot.AnswerCounts counts) {
        return counts.answered() + counts.deferred() + counts.errored();
    }
}
