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

/**
 * What the reducer holds back while it recovers from a power loss, and that a load is sent only once an entry of it is on
 * disk.
 */
class RecoveryCoordinatorTest {
    private static final RoutingSettings SETTINGS =
            SimulatedRouter.settings(3, new Spec("lookup", "safe", true), new Spec("load", "unsafe", true));

    private final SimulatedRouter router = new SimulatedRouter(SETTINGS, new Recovery(
            new RecoveryTimeouts(1000, 1000, 1000, 1000, 100, 0, 30_000), "a", false, Reducer.classTraits(SETTINGS)));

    private Effect.PersistEntry lastPersisted() {
        List<Effect.PersistEntry> persisted = router.effects.stream().filter(Effect.PersistEntry.class::isInstance)
                .map(Effect.PersistEntry.class::cast).toList();
        return persisted.get(persisted.size() - 1);
    }

    private void readJournal(JournalEntry... entries) {
        router.step(new Input.RecoveryJournalRead(DurableFact.FolderCondition.WHOLE, List.of(entries), ""));
    }

    /** Fires the timer of the current phase. */
    private void phaseTimesOut() {
        List<TimerKey> keys = router.effects.stream().filter(Effect.StartTimer.class::isInstance)
                .map(e -> ((Effect.StartTimer) e).key()).filter(TimerKey.Recovery.class::isInstance).toList();
        router.step(new Input.TimerFired(keys.get(keys.size() - 1)));
    }

    private void recover() {
        readJournal();
        for (int i = 0; i < 5; i++) {
            phaseTimesOut();
        }
        assertThat(router.reducer.recoveryReport().view().phase()).isEqualTo(Recovery.Phase.FULL);
    }

    @Test
    void nothingIsSentBeforeTheJournalIsReadAndClientsAreRefused() {
        assertThat(router.reducer.canServe()).isFalse();
        Caller early = router.request("lookup");
        assertThat(router.replies.get(early)).isInstanceOf(Reply.Refused.class);
        assertThat(router.sends).isEmpty();
        readJournal();
        assertThat(router.reducer.canServe()).isTrue();
        Caller later = router.request("lookup");
        Caller load = router.request("load");
        router.settle();
        assertThat(router.replies.get(later)).isInstanceOf(Reply.Served.class);
        assertThat(router.replies.get(load)).isInstanceOf(Reply.Refused.class); // loads are admitted last
    }

    @Test
    void aLoadIsSentOnceItsEntryIsOnDisk() {
        recover();
        Caller load = router.request("load");
        Effect.PersistEntry start = lastPersisted();
        assertThat(start.entry()).isInstanceOf(JournalEntry.LoadStarted.class);
        assertThat(router.sends).isEmpty();
        router.step(new Input.PersistFinished(start.request(), true));
        assertThat(router.sends).hasSize(1);
        assertThat(lastPersisted().entry()).isInstanceOf(JournalEntry.LoadSent.class);
        router.settle();
        assertThat(router.replies.get(load)).isInstanceOf(Reply.Served.class);
        assertThat(lastPersisted().entry())
                .isEqualTo(new JournalEntry.LoadEnded(((JournalEntry.LoadStarted) start.entry()).txn()));
        assertThat(router.reducer.retainedCounts().get("held.requests")).isZero();
    }

    /** Only loads wait for the disk, and what arrives behind one would overtake it. */
    @Test
    void requestsOfAKeyAreNotSentBeforeAnEarlierLoadWhoseEntryIsNotOnDisk() {
        recover();
        router.request("load", "a");
        router.request("lookup", "a");
        Caller load = router.request("load", "b");
        router.request("lookup", "b");
        assertThat(router.sends).isEmpty();
        router.step(new Input.RequestCancelled(load));
        assertThat(router.sends).containsOnlyKeys("0000000000000004");
        router.step(new Input.PersistFinished(router.effects.stream().filter(Effect.PersistEntry.class::isInstance)
                .mapToLong(e -> ((Effect.PersistEntry) e).request()).filter(r -> r != 0).findFirst().orElseThrow(), true));
        assertThat(router.sends).containsOnlyKeys("0000000000000004", "0000000000000001");
        router.settle();
        assertThat(router.sends).hasSize(3);
    }

    @Test
    void aLoadThatIsCancelledBeforeItsEntryIsOnDiskIsNeverSent() {
        recover();
        Caller load = router.request("load");
        long waiting = lastPersisted().request();
        router.step(new Input.RequestCancelled(load));
        assertThat(lastPersisted().entry()).isInstanceOf(JournalEntry.LoadEnded.class);
        router.step(new Input.PersistFinished(waiting, true));
        router.settle();
        assertThat(router.sends).isEmpty();
        assertThat(router.reducer.retainedCounts().get("held.requests")).isZero();
    }

    @Test
    void aDiskFailureStopsNoLoadAndIsReported() {
        recover();
        Caller load = router.request("load");
        router.step(new Input.PersistFinished(lastPersisted().request(), false));
        router.settle();
        assertThat(router.replies.get(load)).isInstanceOf(Reply.Served.class);
        assertThat(router.reducer.recoveryReport().unpersistedLoads()).isEqualTo(1);
    }

    /** The list in the configuration has both engines as up; one had drained before the power loss. */
    @Test
    void anEngineThatHadDrainedGetsNoWorkUntilTheChangeLogReportsIt() {
        readJournal(new JournalEntry.EngineDeparted("s-1", 0));
        assertThat(router.reducer.recoveryReport().view().withheldEngines()).isEqualTo(1);
        for (int i = 0; i < 20; i++) {
            router.request("lookup");
        }
        assertThat(router.running.values()).isNotEmpty();
        router.settle();
        assertThat(router.reducer.engineCounters().keySet()).noneMatch(k -> k.startsWith("s-1."));
        router.changes(SimulatedRouter.member("s-1", Phase.UP)); // the first answer may be as old as the configuration
        assertThat(router.reducer.recoveryReport().view().withheldEngines()).isEqualTo(1);
        router.changes(SimulatedRouter.member("s-1", Phase.UP));
        assertThat(router.reducer.recoveryReport().view().withheldEngines()).isZero();
        router.step(new Input.EngineAllowed("s-2"));
        for (int i = 0; i < 20; i++) {
            router.request("lookup");
        }
        router.settle();
        assertThat(router.reducer.engineCounters().keySet()).anyMatch(k -> k.startsWith("s-1."));
    }

    /** An engine counts as cold from its first connection, however long this process had run before. */
    @Test
    void anEngineThatIsReachedLateIsCold() {
        router.now += 600_000;
        recover();
        router.request("lookup");
        assertThat(router.sends).hasSize(1);
        double reachedAt = router.now;
        router.settle();
        assertThat(router.listedEngines.values())
                .filteredOn(e -> e.startedAt() > reachedAt - 100 && e.startedAt() <= reachedAt).hasSize(1);
        assertThat(router.listedEngines.values()).filteredOn(e -> e.startedAt() > router.now).hasSize(1); // not reached yet
    }

    @Test
    void withoutRecoveryNothingIsPersistedOrHeldBack() {
        SimulatedRouter plain = new SimulatedRouter(SETTINGS);
        Caller load = plain.request("load");
        plain.settle();
        assertThat(plain.replies.get(load)).isInstanceOf(Reply.Served.class);
        assertThat(plain.effects)
                .noneMatch(e -> e instanceof Effect.PersistEntry || e instanceof Effect.ReadFleetState);
        assertThat(plain.reducer.recoveryReport()).isNull();
    }
}
