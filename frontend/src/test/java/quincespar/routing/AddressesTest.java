package quincespar.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import quincespar.decision.Scheduler;
import quincespar.protocol.FleetEvent.Member;
import quincespar.protocol.FleetEvent.Phase;
import quincespar.routing.SimulatedRouter.Spec;

/** An address is one process: of several engines that are listed there only the one that is certainly there gets work. */
class AddressesTest {
    private static final String ADDRESS = "127.0.0.1:9";
    private final SimulatedRouter router = new SimulatedRouter(SimulatedRouter.settings(3, new Spec("load", "keyed")));

    private static Member member(String id, Phase phase, double startedAt) {
        return new Member(id, ADDRESS, "", "", 0, phase, 1, startedAt);
    }

    private static Member up(String id) {
        return member(id, Phase.UP, 0);
    }

    @BeforeEach
    void removeFirstEngines() {
        router.changes(SimulatedRouter.member("s-1", Phase.REMOVED), SimulatedRouter.member("s-2", Phase.REMOVED));
    }

    private List<String> ready(String... ids) {
        List<String> out = new ArrayList<>();
        for (String id : ids) {
            Scheduler.Engine told = router.listedEngines.get(EngineNumber.of(id));
            if (told != null && told.state() == Scheduler.EngineState.READY) {
                out.add(id);
            }
        }
        return out;
    }

    /** Guards against a load that runs at another engine than the one it was sent to, and is repeated elsewhere. */
    @Test
    void ofTwoEnginesThatOneEventListsAtAnAddressNoneGetsWorkUntilOneIsLeft() {
        router.changes(up("old"), up("new"));
        assertThat(ready("old", "new")).isEmpty();
        assertThat(router.effects).filteredOn(e -> e instanceof Effect.Log l && l.line().contains("[old, new]")).hasSize(1);
        assertThat(router.reducer.retainedCounts()).containsEntry("engines.in_doubt", 2);
        router.changes(member("old", Phase.DRAINING, 0));
        assertThat(ready("old", "new")).isEmpty();
        router.changes(member("old", Phase.REMOVED, 0));
        assertThat(ready("old", "new")).containsExactly("new");
        assertThat(router.reducer.retainedCounts()).containsEntry("engines.in_doubt", 0);
    }

    /** Guards against a counter that goes on to report a doubt which a later event has ended. */
    @Test
    void aNewEngineEndsTheDoubtBetweenOlderOnes() {
        router.changes(up("old"), up("other"));
        router.changes(up("new"));
        assertThat(ready("old", "other", "new")).containsExactly("new");
        assertThat(router.reducer.retainedCounts()).containsEntry("engines.in_doubt", 0);
    }

    @Test
    void anEngineThatStartedLateIsNewerThanOneThatDidNot() {
        router.changes(up("old"), member("new", Phase.UP, 900));
        assertThat(ready("old", "new")).containsExactly("new");
    }

    /** Guards against an event that names a replaced engine again, and against work for it once its successor has gone too. */
    @Test
    void aReplacedEngineStaysReplacedUntilItRestarts() {
        router.changes(up("old"));
        router.changes(up("new"));
        assertThat(ready("old", "new")).containsExactly("new");
        router.changes(up("old"));
        assertThat(ready("old", "new")).containsExactly("new");
        router.changes(member("new", Phase.REMOVED, 0));
        assertThat(ready("old", "new")).isEmpty();
        router.changes(member("old", Phase.UP, 950));
        assertThat(ready("old", "new")).containsExactly("old");
    }

    /** Guards against any order of events that leaves two engines at one address ready. */
    @Property(tries = 200, seed = "20261206")
    void atMostOneEngineAtAnAddressIsReady(@ForAll long seed) {
        Random random = new Random(seed);
        String[] ids = {"a", "b", "c"};
        for (int event = 0; event < 40; event++) {
            List<Member> members = new ArrayList<>();
            for (String id : ids) {
                if (random.nextBoolean()) {
                    members.add(member(id, Phase.values()[random.nextInt(Phase.values().length)], random.nextInt(3) * 300));
                }
            }
            router.changes(members.toArray(Member[]::new));
            assertThat(ready(ids)).hasSizeLessThanOrEqualTo(1);
        }
    }
}
