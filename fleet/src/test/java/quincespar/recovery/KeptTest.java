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

class KeptTest {
    static Entry.Begun load(String txn, int tables) {
        return new Entry.Begun(txn, "load", "acme", "d", tables, 2000, 5);
    }

    @Test
    void whatWasOpenWhenAProcessEndedIsInDoubtUntilStaffHaveLooked() {
        Kept k = Kept.of(List.of(new Entry.Life("n1", 1), load("a", 1), new Entry.SentTo("a", "s-1"), load("b", 2), load("c", 3),
                new Entry.Ended("b"), new Entry.Life("n1", 2), load("d", 1)));
        assertThat(k.doubtful()).containsExactly(new Kept.Load(load("a", 1), "s-1"), new Kept.Load(load("c", 3), ""));
        assertThat(k.open()).isEqualTo(1);
        assertThat(k.apply(new Entry.Ended("a"))).isFalse(); // of another life: its client can't have been told by this one
        assertThat(k.apply(new Entry.Acknowledged("a"))).isTrue();
        assertThat(k.doubtful()).containsExactly(new Kept.Load(load("c", 3), ""));
        k.apply(new Entry.Life("n1", 3));
        assertThat(k.doubtful()).hasSize(2);
    }

    @Test
    void anEngineThatLeftIsRememberedByItsStart() {
        Kept k = Kept.of(List.of(new Entry.Left("s-1", 100)));
        assertThat(k.apply(new Entry.Left("s-1", 50))).isFalse(); // older news
        assertThat(k.left("s-1").startedAt()).isEqualTo(100);
        assertThat(k.apply(new Entry.Back("s-1"))).isTrue();
        assertThat(k.left("s-1")).isNull();
    }

    @Test
    void theListOfDoubtsIsBoundedAndWhatWentIsCounted() {
        List<Entry> all = new ArrayList<>();
        for (int i = 0; i < Kept.MOST_DOUBTS + 3; i++) {
            all.add(load("t" + i, 0));
        }
        all.add(new Entry.Life("n1", 1));
        Kept k = Kept.of(all);
        assertThat(k.doubtful()).hasSize(Kept.MOST_DOUBTS);
        assertThat(k.forgotten()).isEqualTo(3);
    }

    /** Files of earlier versions stay readable: a renamed entry needs its stored name in {@link Entry#STORED_NAMES}. */
    @Test
    void entriesAreStoredUnderTheNamesOfEarlierVersions() throws IOException {
        try (InputStream pinned = KeptTest.class.getResourceAsStream("/schemas/kept.txt")) {
            assertThat(new RecordCodec(Entry.STORED_NAMES, Entry.class).schema())
                    .isEqualTo(new String(pinned.readAllBytes(), StandardCharsets.UTF_8));
        }
    }

    /** A file rewritten at any place, and read back through its bytes, comes to the same. */
    @Property(tries = 200)
    void theFewestEntriesComeToTheSame(@ForAll long seed) throws MalformedRecordException {
        Random chance = new Random(seed);
        RecordCodec codec = new RecordCodec(Entry.STORED_NAMES, Entry.class);
        Kept one = Kept.of(List.of());
        Kept other = Kept.of(List.of());
        for (int i = 0; i < 60; i++) {
            String txn = "t" + chance.nextInt(8);
            String engine = "s" + chance.nextInt(3);
            Entry e = switch (chance.nextInt(8)) {
                case 0 -> new Entry.Life("n1", i);
                case 1, 2 -> load(txn, chance.nextInt(3));
                case 3 -> new Entry.SentTo(txn, engine);
                case 4 -> new Entry.Acknowledged(txn);
                case 5 -> new Entry.Left(engine, chance.nextInt(5));
                case 6 -> new Entry.Back(engine);
                default -> new Entry.Ended(txn);
            };
            one.apply(codec.read(codec.write((Record) e), Entry.class));
            other.apply(e);
            if (chance.nextInt(6) == 0) {
                other = Kept.of(other.entries());
            }
        }
        assertThat(other.entries()).isEqualTo(one.entries());
        assertThat(other.doubtful()).containsExactlyElementsOf(one.doubtful());
    }
}
