package quincespar.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import quincespar.protocol.FleetEvent.Phase;
import quincespar.recovery.DurableFact;
import quincespar.recovery.JournalEntry;
import quincespar.recovery.Recovery;
import quincespar.recovery.RecoveryTimeouts;
import quincespar.routing.SimulatedRouter.Spec;

/** What a return from a loss of power holds back in the reducer, and that a load goes out only once it is on disk that it may run. */
class RecoveryCoordinatorTest {
    private static final RoutingSettings SITE = SimulatedRouter.site(3, new Spec("lookup", "safe"), new Spec("load", "unsafe"));

    private final SimulatedRouter world = new SimulatedRouter(SITE, new Recovery(new RecoveryTimeouts(1000, 1000, 1000, 1000, 100, 0, 30_000), "a", false,
            Reducer.recoveryTerms(SITE)));

    private List<Effect.PersistEntry> kept() {
        return world.all.stream().filter(Effect.PersistEntry.class::isInstance).map(Effect.PersistEntry.class::cast).toList();
    }

    private void read(JournalEntry... entries) {
        world.step(new Input.RecoveryLogRead(DurableFact.FolderCondition.WHOLE, List.of(entries), ""));
    }

    /** The next wait of the return is over. */
    private void due() {
        List<TimerKey> keys = world.all.stream().filter(Effect.StartTimer.class::isInstance).map(e -> ((Effect.StartTimer) e).key())
                .filter(TimerKey.Recovery.class::isInstance).toList();
        world.step(new Input.TimerFired(keys.get(keys.size() - 1)));
    }

    private void full() {
        read();
        for (int i = 0; i < 5; i++) {
            due();
        }
        assertThat(world.reducer.recoveryReport().view().phase()).isEqualTo(Recovery.Phase.FULL);
    }

    @Test
    void beforeItsFolderIsReadNothingGoesAndClientsAreToldWhenToComeBack() {
        assertThat(world.reducer.canServe()).isFalse();
        Caller early = world.ask("lookup");
        assertThat(world.replies.get(early)).isInstanceOf(Reply.Refused.class);
        assertThat(world.sends).isEmpty();
        read();
        assertThat(world.reducer.canServe()).isTrue();
        Caller later = world.ask("lookup");
        Caller load = world.ask("load");
        world.settle();
        assertThat(world.replies.get(later)).isInstanceOf(Reply.Served.class);
        assertThat(world.replies.get(load)).isInstanceOf(Reply.Refused.class); // loads last
    }

    @Test
    void aLoadGoesOutOnceItIsOnDiskThatItMayRun() {
        full();
        Caller load = world.ask("load");
        Effect.PersistEntry begun = kept().get(kept().size() - 1);
        assertThat(begun.entry()).isInstanceOf(JournalEntry.LoadStarted.class);
        assertThat(world.sends).isEmpty();
        world.step(new Input.PersistFinished(begun.request(), true));
        assertThat(world.sends).hasSize(1);
        assertThat(kept().get(kept().size() - 1).entry()).isInstanceOf(JournalEntry.LoadSent.class);
        world.settle();
        assertThat(world.replies.get(load)).isInstanceOf(Reply.Served.class);
        assertThat(kept().get(kept().size() - 1).entry()).isEqualTo(new JournalEntry.LoadEnded(((JournalEntry.LoadStarted) begun.entry()).txn()));
        assertThat(world.reducer.retainedCounts().get("held.requests")).isZero();
    }

    @Test
    void aLoadWhoseClientGoesBeforeItIsOnDiskIsNeverSent() {
        full();
        Caller load = world.ask("load");
        long waiting = kept().get(kept().size() - 1).request();
        world.step(new Input.RequestCancelled(load));
        assertThat(kept().get(kept().size() - 1).entry()).isInstanceOf(JournalEntry.LoadEnded.class);
        world.step(new Input.PersistFinished(waiting, true));
        world.settle();
        assertThat(world.sends).isEmpty();
        assertThat(world.reducer.retainedCounts().get("held.requests")).isZero();
    }

    @Test
    void aDiskThatRefusesHoldsNothingUpAndIsTold() {
        full();
        Caller load = world.ask("load");
        world.step(new Input.PersistFinished(kept().get(kept().size() - 1).request(), false));
        world.settle();
        assertThat(world.replies.get(load)).isInstanceOf(Reply.Served.class);
        assertThat(world.reducer.recoveryReport().unpersistedLoads()).isEqualTo(1);
    }

    /** The configuration's list has both as up; one had drained before the loss. */
    @Test
    void anEngineThatHadDrainedTakesNothingUntilNewsOfIt() {
        read(new JournalEntry.EngineDeparted("s-1", 0));
        assertThat(world.reducer.recoveryReport().view().withheldEngines()).isEqualTo(1);
        for (int i = 0; i < 20; i++) {
            world.ask("lookup");
        }
        assertThat(world.out.values()).isNotEmpty();
        world.settle();
        assertThat(world.reducer.engineCounters().keySet()).noneMatch(k -> k.startsWith("s-1."));
        world.changes(SimulatedRouter.member("s-1", Phase.UP)); // the first answer may be as old as the configuration
        assertThat(world.reducer.recoveryReport().view().withheldEngines()).isEqualTo(1);
        world.changes(SimulatedRouter.member("s-1", Phase.UP));
        assertThat(world.reducer.recoveryReport().view().withheldEngines()).isZero();
        world.step(new Input.EngineAllowed("s-2"));
        for (int i = 0; i < 20; i++) {
            world.ask("lookup");
        }
        world.settle();
        assertThat(world.reducer.engineCounters().keySet()).anyMatch(k -> k.startsWith("s-1."));
    }

    /** Both engines count as cold here, as of their first connection, however long this process has run before it. */
    @Test
    void anEngineThatIsReachedLateIsCold() {
        world.now += 600_000;
        full();
        world.ask("lookup");
        assertThat(world.sends).hasSize(1);
        double met = world.now;
        world.settle();
        assertThat(world.told.values()).filteredOn(e -> e.startedAt() > met - 100 && e.startedAt() <= met).hasSize(1);
        assertThat(world.told.values()).filteredOn(e -> e.startedAt() > world.now).hasSize(1); // nobody has reached it yet
    }

    @Test
    void withoutAReturnNothingIsKeptOrHeldBack() {
        SimulatedRouter off = new SimulatedRouter(SITE);
        Caller load = off.ask("load");
        off.settle();
        assertThat(off.replies.get(load)).isInstanceOf(Reply.Served.class);
        assertThat(off.all).noneMatch(e -> e instanceof Effect.PersistEntry || e instanceof Effect.FetchFleetState);
        assertThat(off.reducer.recoveryReport()).isNull();
    }
}
