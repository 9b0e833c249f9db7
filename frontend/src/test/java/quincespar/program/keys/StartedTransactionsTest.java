package quincespar.program.keys;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class StartedTransactionsTest {
    @TempDir
    private Path folder;

    private StartedTransactions open(int slot) throws IOException {
        return StartedTransactions.open(folder.resolve("txns"), 3, slot);
    }

    private static String txn(int number) {
        return String.format("%016x", number);
    }

    /** Guards against a load that a second process runs again, also once more than the ring holds were written. */
    @Test
    void aProcessKnowsTheLastTransactionsOfTheOthersAndNotItsOwn() throws IOException {
        StartedTransactions first = open(0);
        StartedTransactions second = open(2);
        assertThat(second.startedByOther(txn(0))).isFalse();
        for (int i = 0; i <= StartedTransactions.CAPACITY; i++) {
            first.add(txn(i));
        }
        assertThat(second.startedByOther(txn(0))).isFalse();
        assertThat(second.startedByOther(txn(1))).isTrue();
        assertThat(second.startedByOther(txn(StartedTransactions.CAPACITY))).isTrue();
        assertThat(first.startedByOther(txn(1))).isFalse();
        open(0);
        assertThat(second.startedByOther(txn(1))).isFalse();
    }
}
