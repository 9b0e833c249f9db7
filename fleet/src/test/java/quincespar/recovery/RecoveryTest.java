package quincespar.recovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import quincespar.fleet.FleetView;
import quincespar.fleet.Instance;
import quincespar.fleet.Participation;
import quincespar.fleet.Result;
import quincespar.fleet.Snapshot;
import quincespar.fleet.Standing;
import quincespar.recovery.Recovery.Action;
import quincespar.recovery.Recovery.ListSource;
import quincespar.recovery.Recovery.Phase;

class RecoveryTest {
    private static final RecoveryTimeouts TIMEOUTS = new RecoveryTimeouts(1000, 3000, 4000, 2000, 500, 2000, 30_000);
    private static final int REPORT = 0, LOAD = 1, LOOKUP = 2;
    private static final List<ClassTraits> CLASSES = List.of(new ClassTraits("report", true, false, 5, 30_000),
            new ClassTraits("load", false, true, 9, 60_000),
            new ClassTraits("lookup", true, false, 1, 800));

    private final List<Action> actions = new ArrayList<>();
    private Recovery r = new Recovery(TIMEOUTS, "a", true, CLASSES);
    private double now = 1000;

    private void due() {
        Action.StartTimer last = actions.stream().filter(Action.StartTimer.class::isInstance)
                .map(Action.StartTimer.class::cast).reduce((x, y) -> y).orElseThrow();
        now += last.delayMs();
        actions.addAll(r.timerFired(now, last.timerId()));
    }

    private Phase phase() {
        return r.view(now).phase();
    }

    private List<String> sends() {
        return r.view(now).openClasses();
    }

    private static FleetView inTouch(boolean is) {
        return new FleetView(Participation.Phase.IN_TOUCH, "", 9, Snapshot.EMPTY, 1, is);
    }

    private static Instance instance(String name, long incarnation, Standing s, long renewedAt, long since) {
        return new Instance(name, incarnation, "", "", true, "t", s, s, renewedAt, since, 0, new Result.Done());
    }

    private static Snapshot state(long time, Instance... all) {
        return new Snapshot(Snapshot.FORMAT, 1, time, 9, List.of(all), List.of(), List.of());
    }

    private void read(DurableFact.FolderCondition found, JournalEntry... entries) {
        actions.addAll(r.start(now, false));
        actions.addAll(r.folderRead(now, found, List.of(entries), ""));
    }

    @Test
    void admitsClassesInOrderAndLoadsLastIfAllWereLost() {
        actions.addAll(r.start(now, false));
        assertThat(r.maySend()).isFalse();
        assertThat(r.waitMs(now, LOOKUP, 0)).isPositive();
        actions.addAll(r.folderRead(now, DurableFact.FolderCondition.WHOLE, List.of(new JournalEntry.ProcessStarted("a", 4)),
                ""));
        assertThat(actions).contains(new Action.Persist(new JournalEntry.ProcessStarted("a", 5)));
        assertThat(phase()).isEqualTo(Phase.FINDING);
        assertThat(sends()).containsExactly("lookup");
        actions.addAll(r.fleetChanged(now, inTouch(true)));
        assertThat(phase()).isEqualTo(Phase.AGREEING);
        Instance me = instance("a", 9, Standing.JOINING, 500, 500);
        Instance before = instance("b", 4, Standing.SERVING, 400, 100); // not restarted yet: it has not renewed since
        actions.addAll(r.fleetStateRead(now, state(40_000, me, before)));
        actions.addAll(r.fleetStateRead(now, state(40_500, me, before)));
        assertThat(phase()).isEqualTo(Phase.AGREEING);
        due();
        assertThat(phase()).isEqualTo(Phase.PROBING);
        assertThat(r.coldFrom("e", 0)).isGreaterThan(now); // every engine may be cold, above all one that was never reached
        actions.addAll(r.changeLogAnswered(now));
        assertThat(phase()).isEqualTo(Phase.RETURNING);
        assertThat(r.waitMs(now, REPORT, 0)).isEqualTo(TIMEOUTS.classIntervalMs());
        assertThat(r.waitMs(now, LOAD, 0)).isEqualTo(2 * TIMEOUTS.classIntervalMs());
        due();
        assertThat(sends()).containsExactly("lookup", "report");
        due();
        assertThat(phase()).isEqualTo(Phase.FULL);
        assertThat(r.waitMs(now, LOAD, 0)).isZero();
        now += 60_000; // its power may have come back only now
        assertThat(r.engineConnected(now, "e")).containsExactly(new Action.RefreshEngineList());
        assertThat(r.engineConnected(now + 5000, "e")).isEmpty();
        assertThat(r.coldFrom("e", 0)).isEqualTo(now); // until the configured time for cold engines has passed
        assertThat(r.coldFrom("e", now + 1)).isEqualTo(now + 1);
    }

    @Test
    void admitsEverythingIfAnInstanceKeptRunning() {
        read(DurableFact.FolderCondition.WHOLE);
        actions.addAll(r.fleetChanged(now, inTouch(true)));
        Instance me = instance("a", 9, Standing.JOINING, 40_000, 40_000);
        actions.addAll(r.fleetStateRead(now, state(40_000, me, instance("b", 4, Standing.SERVING, 39_900, 100))));
        assertThat(phase()).isEqualTo(Phase.AGREEING); // its renewal may be from before the loss
        actions.addAll(r.fleetStateRead(now, state(40_400, me, instance("b", 4, Standing.SERVING, 40_300, 100))));
        assertThat(phase()).isEqualTo(Phase.FULL);
        assertThat(r.coldFrom("e", 0)).isZero();
        assertThat(actions).contains(new Action.RefreshEngineList());
    }

    @Test
    void goesOnAtOnceIfAllKnownInstancesHaveRestarted() {
        read(DurableFact.FolderCondition.WHOLE);
        actions.addAll(r.fleetChanged(now, inTouch(true)));
        actions.addAll(r.fleetStateRead(now, null));
        assertThat(phase()).isEqualTo(Phase.AGREEING);
        actions.addAll(r.fleetStateRead(now, state(40_000, instance("a", 9, Standing.JOINING, 40_000, 40_000),
                instance("b", 10, Standing.JOINING, 40_000, 40_000), instance("c", 8, Standing.SERVING, 39_900, 39_000),
                instance("d", 2, Standing.GONE, 100, 100))));
        assertThat(phase()).isEqualTo(Phase.PROBING);
        assertThat(r.coldFrom("e", 0)).isPositive();
    }

    @Test
    void servesWithoutAQuorumAndWithoutTheChangeLog() {
        read(DurableFact.FolderCondition.LOST);
        due();
        assertThat(phase()).isEqualTo(Phase.PROBING);
        assertThat(r.view(now).withoutQuorum()).isTrue();
        due();
        assertThat(phase()).isEqualTo(Phase.RETURNING);
        actions.addAll(r.fleetChanged(now, inTouch(true)));
        assertThat(r.view(now).withoutQuorum()).isFalse();
        assertThat(phase()).isEqualTo(Phase.RETURNING); // phases never go back
        due();
        due();
        assertThat(phase()).isEqualTo(Phase.FULL);
    }

    @Test
    void usesAJournalThatIsReadAfterTheTimeLimit() {
        actions.addAll(r.start(now, false));
        actions.addAll(r.engineListed(ListSource.SNAPSHOT, "s-1", true, 0));
        due();
        assertThat(phase()).isEqualTo(Phase.FINDING);
        actions.addAll(r.recordEntry(RecoveryStateTest.load("new", 1)));
        actions.addAll(r.folderRead(now, DurableFact.FolderCondition.CORRUPT, List.of(RecoveryStateTest.load("old", 7),
                new JournalEntry.EngineDeparted("s-1", 0)), "a bit turned"));
        assertThat(r.state().doubtfulLoads()).extracting(l -> l.start().txn()).containsExactly("old");
        assertThat(r.state().openLoads()).isEqualTo(1);
        assertThat(r.isWithheld("s-1")).isTrue();
        assertThat(actions).contains(new Action.RefreshEngineList());
        assertThat(actions).anySatisfy(a -> assertThat(a.toString()).contains("corrupt: a bit turned"));
    }

    @Test
    void usesNothingOfAnotherInstancesFolder() {
        read(DurableFact.FolderCondition.ANOTHERS, RecoveryStateTest.load("theirs", 7),
                new JournalEntry.EngineDeparted("s-1", 0));
        assertThat(r.state().doubtfulLoads()).isEmpty();
        assertThat(r.state().departedEngines()).isZero();
    }

    /** A list that may be older does not bring a drained engine back; an update or a later start does. */
    @Test
    void withholdsAnEngineThatHadDrainedUntilTheChangeLogReportsItAgain() {
        read(DurableFact.FolderCondition.WHOLE, new JournalEntry.EngineDeparted("s-1", 50),
                new JournalEntry.EngineDeparted("s-2", 50), new JournalEntry.EngineDeparted("s-3", 0));
        actions.addAll(r.engineListed(ListSource.SNAPSHOT, "s-1", true, 50));
        actions.addAll(r.engineListed(ListSource.SNAPSHOT, "s-2", true, 60));
        actions.addAll(r.engineListed(ListSource.SNAPSHOT, "s-3", true, 0));
        assertThat(r.isWithheld("s-1")).isTrue();
        assertThat(r.isWithheld("s-2")).isFalse(); // it has restarted
        assertThat(r.isWithheld("s-3")).isTrue();
        assertThat(r.view(now).withheldEngines()).isEqualTo(2);
        actions.addAll(r.engineListed(ListSource.UPDATE, "s-1", true, 50));
        assertThat(r.isWithheld("s-1")).isFalse();
        actions.addAll(r.engineListed(ListSource.UPDATE, "s-3", false, 0));
        assertThat(r.isWithheld("s-3")).isFalse(); // not listed as taking work: nothing to withhold
        actions.addAll(r.engineListed(ListSource.SNAPSHOT, "s-3", true, 0));
        assertThat(r.isWithheld("s-3")).isTrue();
    }

    @Test
    void holdsTheTablesOfADoubtfulLoadForItsTimeLimit() {
        read(DurableFact.FolderCondition.WHOLE, RecoveryStateTest.load("x", 7), new JournalEntry.ProcessStarted("a", 1));
        while (phase() != Phase.FULL) {
            due();
        }
        double full = now;
        assertThat(r.waitMs(1500, LOAD, 7)).isGreaterThan(0);
        now = 1000 + 2000 - 1;
        assertThat(r.waitMs(now, LOAD, 7)).isEqualTo(1);
        assertThat(r.waitMs(full, LOAD, 7)).isZero();
        assertThat(r.waitMs(full, REPORT, 7)).isZero();
        assertThat(r.isDoubtful("x")).isTrue();
        actions.addAll(r.recordEntry(new JournalEntry.LoadAcknowledged("x")));
        assertThat(r.isDoubtful("x")).isFalse();
    }

    @Test
    void spreadsTheRetriesOfRefusedClients() {
        List<Double> all = new ArrayList<>();
        for (int i = 0; i < 1000; i++) {
            all.add(r.retryAfterMs(100, "txn-" + i));
        }
        assertThat(all).allSatisfy(ms -> assertThat(ms).isBetween(100.0, 100 + TIMEOUTS.retrySpreadMs()));
        Map<Long, Long> tenths = all.stream().collect(java.util.stream.Collectors.groupingBy(
                ms -> (long) ((ms - 100) / TIMEOUTS.retrySpreadMs() * 10), java.util.stream.Collectors.counting()));
        assertThat(tenths).hasSize(10);
        assertThat(tenths.values()).allSatisfy(n -> assertThat(n).isBetween(50L, 200L));
    }

    @Test
    void doesNotRecoverAtAnUpgrade() {
        actions.addAll(r.start(now, true));
        assertThat(phase()).isEqualTo(Phase.FULL);
        assertThat(r.coldFrom("e", 0)).isZero();
        assertThat(r.waitMs(now, LOAD, 0)).isZero();
    }

    @Test
    void admitsNewClassesInOrderAndHoldsUnknownOnes() {
        read(DurableFact.FolderCondition.WHOLE);
        r.setClasses(List.of(CLASSES.get(0), CLASSES.get(1), CLASSES.get(2), new ClassTraits("peek", true, false, 1, 100)));
        assertThat(sends()).containsExactly("peek");
        assertThat(r.waitMs(now, 3, 0)).isZero();
        assertThat(r.waitMs(now, 99, 0)).isPositive();
    }
}
