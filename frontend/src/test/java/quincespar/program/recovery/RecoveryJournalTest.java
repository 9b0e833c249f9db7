package quincespar.program.recovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import quincespar.recovery.DurableFact;
import quincespar.recovery.JournalEntry;
import quincespar.routing.Input;
import quincespar.store.FolderDisk;
import quincespar.store.Journal;

/** The journal of facts that must survive a loss of power, on a real folder. */
@Timeout(30)
class RecoveryJournalTest {
    private final LinkedBlockingQueue<Input> inputs = new LinkedBlockingQueue<>();
    private final List<String> logLines = new ArrayList<>();
    @TempDir
    private Path folder;

    private static JournalEntry.LoadStarted load(String txn) {
        return new JournalEntry.LoadStarted(txn, "load", "acme", "d", 1, 2000, 5);
    }

    private RecoveryJournal open(String owner) {
        RecoveryJournal journal = new RecoveryJournal(folder, owner, inputs::add, logLines::add);
        journal.start();
        return journal;
    }

    private void appendUnknownRecord() throws IOException {
        try (FolderDisk disk = new FolderDisk(folder); Journal file = new Journal(disk, "kept")) {
            file.append(List.of(new byte[] {1, 2, 3}));
        }
    }

    private Input next() throws InterruptedException {
        return inputs.poll(20, TimeUnit.SECONDS);
    }

    private Input.RecoveryJournalRead nextRead() throws InterruptedException {
        return (Input.RecoveryJournalRead) next();
    }

    @Test
    void restoresEntriesAtTheNextStartAndWaitsForTheLock() throws InterruptedException {
        RecoveryJournal first = open("a");
        assertThat(nextRead().condition()).isEqualTo(DurableFact.FolderCondition.LOST);
        first.add(new JournalEntry.ProcessStarted("a", 1), 0);
        first.add(load("x"), 7);
        assertThat(next()).isEqualTo(new Input.PersistFinished(7, true));
        RecoveryJournal second = open("a");
        first.add(load("y"), 8);
        assertThat(next()).isEqualTo(new Input.PersistFinished(8, true)); // the second waits for the lock
        first.close(20_000);
        assertThat(nextRead()).isEqualTo(new Input.RecoveryJournalRead(DurableFact.FolderCondition.WHOLE,
                List.of(new JournalEntry.ProcessStarted("a", 1), load("x"), load("y")), ""));
        assertThat(first.counts().entries()).isEqualTo(3);
        second.close(20_000);
    }

    @Test
    void doesNotWriteTheFolderOfAnotherInstance() throws InterruptedException, IOException {
        RecoveryJournal first = open("a");
        nextRead();
        first.add(new JournalEntry.ProcessStarted("a", 1), 7);
        next();
        first.close(20_000);
        byte[] before = Files.readAllBytes(folder.resolve("kept"));
        RecoveryJournal second = open("b");
        assertThat(nextRead().condition()).isEqualTo(DurableFact.FolderCondition.ANOTHERS);
        second.add(load("z"), 9);
        assertThat(next()).isEqualTo(new Input.PersistFinished(9, false));
        second.close(20_000);
        assertThat(Files.readAllBytes(folder.resolve("kept"))).isEqualTo(before);
    }

    @Test
    void backsUpACorruptFileAndReturnsTheEntriesBeforeTheDamage() throws InterruptedException, IOException {
        RecoveryJournal first = open("a");
        nextRead();
        first.add(new JournalEntry.ProcessStarted("a", 1), 0);
        first.add(load("x"), 1);
        next();
        first.add(load("y"), 2);
        next();
        first.close(20_000);
        byte[] bad = Files.readAllBytes(folder.resolve("kept"));
        bad[bad.length / 2] ^= 1;
        Files.write(folder.resolve("kept"), bad);
        RecoveryJournal second = open("a");
        Input.RecoveryJournalRead r = nextRead();
        assertThat(r.condition()).isEqualTo(DurableFact.FolderCondition.CORRUPT);
        assertThat(r.entries()).startsWith(new JournalEntry.ProcessStarted("a", 1)).hasSizeLessThan(3);
        second.add(load("z"), 3);
        assertThat(next()).isEqualTo(new Input.PersistFinished(3, true));
        second.close(20_000);
        assertThat(Files.readAllBytes(folder.resolve("kept-spoilt"))).isEqualTo(bad);
        RecoveryJournal third = open("a"); // the rewritten file is intact
        assertThat(nextRead().condition()).isEqualTo(DurableFact.FolderCondition.WHOLE);
        third.close(20_000);
    }

    /** Its checksum is right, as another version of the program wrote it. What is added after it must survive the next start. */
    @Test
    void rewritesAFileWithAnUnknownRecordAndReturnsTheEntriesBeforeIt() throws Exception {
        RecoveryJournal first = open("a");
        nextRead();
        first.add(new JournalEntry.ProcessStarted("a", 1), 0);
        first.add(load("x"), 1);
        next();
        first.close(20_000);
        appendUnknownRecord();
        byte[] unknown = Files.readAllBytes(folder.resolve("kept"));
        RecoveryJournal second = open("a");
        Input.RecoveryJournalRead read = nextRead();
        assertThat(read.condition()).isEqualTo(DurableFact.FolderCondition.CORRUPT);
        assertThat(read.entries()).containsExactly(new JournalEntry.ProcessStarted("a", 1), load("x"));
        second.add(load("y"), 2);
        assertThat(next()).isEqualTo(new Input.PersistFinished(2, true));
        second.close(20_000);
        assertThat(Files.readAllBytes(folder.resolve("kept-spoilt"))).isEqualTo(unknown);
        RecoveryJournal third = open("a");
        assertThat(nextRead().entries()).containsExactly(new JournalEntry.ProcessStarted("a", 1), load("x"), load("y"));
        third.close(20_000);
    }

    /** The owner is known from the entries before the unknown record. */
    @Test
    void doesNotWriteTheFolderOfAnotherInstanceThatHasAnUnknownRecord() throws Exception {
        RecoveryJournal first = open("a");
        nextRead();
        first.add(new JournalEntry.ProcessStarted("a", 1), 7);
        next();
        first.close(20_000);
        appendUnknownRecord();
        RecoveryJournal second = open("b");
        assertThat(nextRead().condition()).isEqualTo(DurableFact.FolderCondition.ANOTHERS);
        second.add(load("z"), 9);
        assertThat(next()).isEqualTo(new Input.PersistFinished(9, false));
        second.close(20_000);
    }

    @Test
    void retriesAFileThatCannotBeReadInsteadOfTakingItForLost() throws InterruptedException, IOException {
        RecoveryJournal first = open("a");
        nextRead();
        first.add(new JournalEntry.ProcessStarted("a", 1), 0);
        first.add(load("x"), 1);
        next();
        first.close(20_000);
        Files.move(folder.resolve("kept"), folder.resolve("whole"));
        Files.createDirectory(folder.resolve("kept")); // a directory cannot be read as a file
        RecoveryJournal second = open("a");
        second.add(load("y"), 2);
        assertThat(next()).isEqualTo(new Input.PersistFinished(2, false));
        Files.delete(folder.resolve("kept"));
        Files.move(folder.resolve("whole"), folder.resolve("kept"));
        assertThat(nextRead()).isEqualTo(new Input.RecoveryJournalRead(DurableFact.FolderCondition.WHOLE,
                List.of(new JournalEntry.ProcessStarted("a", 1), load("x")), ""));
        second.add(load("z"), 3);
        assertThat(next()).isEqualTo(new Input.PersistFinished(3, true));
        second.close(20_000);
        open("a").close(20_000);
        assertThat(nextRead().entries()).containsExactly(new JournalEntry.ProcessStarted("a", 1), load("x"), load("y"),
                load("z"));
    }

    @Test
    void logsADiskErrorOnceAndWritesTheMissedEntriesLater() throws InterruptedException, IOException {
        Files.writeString(folder.resolve("kept.next"), "");
        Files.delete(folder.resolve("kept.next"));
        Files.createDirectory(folder.resolve("kept.next")); // a rewrite cannot create its temporary file
        RecoveryJournal first = open("a");
        nextRead();
        first.add(load("x"), 1);
        assertThat(next()).isEqualTo(new Input.PersistFinished(1, false));
        first.add(load("y"), 2);
        assertThat(next()).isEqualTo(new Input.PersistFinished(2, false));
        assertThat(logLines).hasSize(1);
        Files.delete(folder.resolve("kept.next"));
        while (first.counts().forces() == 0) {
            Thread.sleep(10);
        }
        first.close(20_000);
        open("a").close(20_000);
        assertThat(nextRead().entries()).containsExactly(new JournalEntry.ProcessStarted("", 0), load("x"), load("y"));
    }
}
