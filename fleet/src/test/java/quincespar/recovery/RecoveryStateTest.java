package quincespar.recovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import quincespar.records.MalformedRecordException;
import quincespar.records.RecordCodec;

class RecoveryStateTest {
    static JournalEntry.LoadStarted load(String txn, int tables) {
        return new JournalEntry.LoadStarted(txn, "load", "acme", "d", tables, 2000, 5);
    }

    @Test
    void keepsLoadsOfAnEndedProcessInDoubtUntilAcknowledged() {
        RecoveryState state = RecoveryState.replay(List.of(new JournalEntry.ProcessStarted("n1", 1), load("a", 1),
                new JournalEntry.LoadSent("a", "s-1"), load("b", 2), load("c", 3),
                new JournalEntry.LoadEnded("b"), new JournalEntry.ProcessStarted("n1", 2), load("d", 1)));
        assertThat(state.doubtfulLoads()).containsExactly(new RecoveryState.Load(load("a", 1), "s-1"),
                new RecoveryState.Load(load("c", 3), ""));
        assertThat(state.openLoads()).isEqualTo(1);
        // of an earlier process: this one can't have told its client
        assertThat(state.apply(new JournalEntry.LoadEnded("a"))).isFalse();
        assertThat(state.apply(new JournalEntry.LoadAcknowledged("a"))).isTrue();
        assertThat(state.doubtfulLoads()).containsExactly(new RecoveryState.Load(load("c", 3), ""));
        state.apply(new JournalEntry.ProcessStarted("n1", 3));
        assertThat(state.doubtfulLoads()).hasSize(2);
    }

    @Test
    void keepsADepartedEngineWithItsStartTime() {
        RecoveryState state = RecoveryState.replay(List.of(new JournalEntry.EngineDeparted("s-1", 100)));
        assertThat(state.apply(new JournalEntry.EngineDeparted("s-1", 50))).isFalse(); // an older event
        assertThat(state.departure("s-1").startedAt()).isEqualTo(100);
        assertThat(state.apply(new JournalEntry.EngineReturned("s-1"))).isTrue();
        assertThat(state.departure("s-1")).isNull();
    }

    @Test
    void boundsTheDoubtfulLoadsAndCountsTheDropped() {
        List<JournalEntry> all = new ArrayList<>();
        for (int i = 0; i < RecoveryState.MAX_DOUBTFUL_LOADS + 3; i++) {
            all.add(load("t" + i, 0));
        }
        all.add(new JournalEntry.ProcessStarted("n1", 1));
        RecoveryState state = RecoveryState.replay(all);
        assertThat(state.doubtfulLoads()).hasSize(RecoveryState.MAX_DOUBTFUL_LOADS);
        assertThat(state.droppedLoads()).isEqualTo(3);
    }

    /** Files of earlier versions stay readable: a renamed entry needs its stored name in {@link JournalEntry#STORED_NAMES}. */
    @Test
    void entriesAreStoredUnderTheNamesOfEarlierVersions() throws IOException {
        try (InputStream pinned = RecoveryStateTest.class.getResourceAsStream("/schemas/kept.txt")) {
            assertThat(new RecordCodec(JournalEntry.STORED_NAMES, JournalEntry.class).schema())
                    .isEqualTo(new String(pinned.readAllBytes(), StandardCharsets.UTF_8));
        }
    }

    /** Compaction at any point, and encoding and decoding, leave the state the same. */
    @Property(tries = 200)
    void compactedEntriesGiveTheSameState(@ForAll long seed) throws MalformedRecordException {
        Random chance = new Random(seed);
        RecordCodec codec = new RecordCodec(JournalEntry.STORED_NAMES, JournalEntry.class);
        RecoveryState one = RecoveryState.replay(List.of());
        RecoveryState other = RecoveryState.replay(List.of());
        for (int i = 0; i < 60; i++) {
            String txn = "t" + chance.nextInt(8);
            String engine = "s" + chance.nextInt(3);
            JournalEntry e = switch (chance.nextInt(8)) {
                case 0 -> new JournalEntry.ProcessStarted("n1", i);
                case 1, 2 -> load(txn, chance.nextInt(3));
                case 3 -> new JournalEntry.LoadSent(txn, engine);
                case 4 -> new JournalEntry.LoadAcknowledged(txn);
                case 5 -> new JournalEntry.EngineDeparted(engine, chance.nextInt(5));
                case 6 -> new JournalEntry.EngineReturned(engine);
                default -> new JournalEntry.LoadEnded(txn);
            };
            one.apply(codec.read(codec.write((Record) e), JournalEntry.class));
            other.apply(e);
            if (chance.nextInt(6) == 0) {
                other = RecoveryState.replay(other.compactedEntries());
            }
        }
        assertThat(other.compactedEntries()).isEqualTo(one.compactedEntries());
        assertThat(other.doubtfulLoads()).containsExactlyElementsOf(one.doubtfulLoads());
    }
}
