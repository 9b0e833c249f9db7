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

@Timeout(30)
class RecoveryJournalTest {
    private final LinkedBlockingQueue<Input> heard = new LinkedBlockingQueue<>();
    private final List<String> said = new ArrayList<>();
    @TempDir
    private Path folder;

    private static JournalEntry.LoadStarted load(String txn) {
        return new JournalEntry.LoadStarted(txn, "load", "acme", "d", 1, 2000, 5);
    }

    private RecoveryJournal open(String owner) {
        RecoveryJournal k = new RecoveryJournal(folder, owner, heard::add, said::add);
        k.start();
        return k;
    }

    private Input next() throws InterruptedException {
        return heard.poll(20, TimeUnit.SECONDS);
    }

    private Input.RecoveryJournalRead read() throws InterruptedException {
        return (Input.RecoveryJournalRead) next();
    }

    @Test
    void whatWasNotedIsThereAtTheNextStartAndASecondProcessWaits() throws InterruptedException {
        RecoveryJournal one = open("a");
        assertThat(read().condition()).isEqualTo(DurableFact.FolderCondition.LOST);
        one.add(new JournalEntry.ProcessStarted("a", 1), 0);
        one.add(load("x"), 7);
        assertThat(next()).isEqualTo(new Input.PersistFinished(7, true));
        RecoveryJournal two = open("a");
        one.add(load("y"), 8);
        assertThat(next()).isEqualTo(new Input.PersistFinished(8, true)); // the second reads nothing meanwhile
        one.close(20_000);
        assertThat(read()).isEqualTo(new Input.RecoveryJournalRead(DurableFact.FolderCondition.WHOLE, List.of(new JournalEntry.ProcessStarted("a", 1), load("x"), load("y")), ""));
        assertThat(one.counts().entries()).isEqualTo(3);
        two.close(20_000);
    }

    @Test
    void anothersFolderIsReadByNobodyAndNotWritten() throws InterruptedException, IOException {
        RecoveryJournal one = open("a");
        read();
        one.add(new JournalEntry.ProcessStarted("a", 1), 7);
        next();
        one.close(20_000);
        byte[] before = Files.readAllBytes(folder.resolve("kept"));
        RecoveryJournal two = open("b");
        assertThat(read().condition()).isEqualTo(DurableFact.FolderCondition.ANOTHERS);
        two.add(load("z"), 9);
        assertThat(next()).isEqualTo(new Input.PersistFinished(9, false));
        two.close(20_000);
        assertThat(Files.readAllBytes(folder.resolve("kept"))).isEqualTo(before);
    }

    @Test
    void aSpoiltFileGivesWhatStandsBeforeAndIsSetAside() throws InterruptedException, IOException {
        RecoveryJournal one = open("a");
        read();
        one.add(new JournalEntry.ProcessStarted("a", 1), 0);
        one.add(load("x"), 1);
        next();
        one.add(load("y"), 2);
        next();
        one.close(20_000);
        byte[] bad = Files.readAllBytes(folder.resolve("kept"));
        bad[bad.length / 2] ^= 1;
        Files.write(folder.resolve("kept"), bad);
        RecoveryJournal two = open("a");
        Input.RecoveryJournalRead r = read();
        assertThat(r.condition()).isEqualTo(DurableFact.FolderCondition.CORRUPT);
        assertThat(r.entries()).startsWith(new JournalEntry.ProcessStarted("a", 1)).hasSizeLessThan(3);
        two.add(load("z"), 3);
        assertThat(next()).isEqualTo(new Input.PersistFinished(3, true));
        two.close(20_000);
        assertThat(Files.readAllBytes(folder.resolve("kept-spoilt"))).isEqualTo(bad);
        RecoveryJournal three = open("a"); // written anew, it is whole
        assertThat(read().condition()).isEqualTo(DurableFact.FolderCondition.WHOLE);
        three.close(20_000);
    }

    @Test
    void aFileThatCanNotBeReadForAMomentIsNotTakenForLost() throws InterruptedException, IOException {
        RecoveryJournal one = open("a");
        read();
        one.add(new JournalEntry.ProcessStarted("a", 1), 0);
        one.add(load("x"), 1);
        next();
        one.close(20_000);
        Files.move(folder.resolve("kept"), folder.resolve("whole"));
        Files.createDirectory(folder.resolve("kept")); // a folder can't be read as a file
        RecoveryJournal two = open("a");
        two.add(load("y"), 2);
        assertThat(next()).isEqualTo(new Input.PersistFinished(2, false));
        Files.delete(folder.resolve("kept"));
        Files.move(folder.resolve("whole"), folder.resolve("kept"));
        assertThat(read()).isEqualTo(new Input.RecoveryJournalRead(DurableFact.FolderCondition.WHOLE, List.of(new JournalEntry.ProcessStarted("a", 1), load("x")), ""));
        two.add(load("z"), 3);
        assertThat(next()).isEqualTo(new Input.PersistFinished(3, true));
        two.close(20_000);
        open("a").close(20_000);
        assertThat(read().entries()).containsExactly(new JournalEntry.ProcessStarted("a", 1), load("x"), load("y"), load("z"));
    }

    @Test
    void aDiskThatRefusesIsToldOnceAndWhatItMissedIsWrittenLater() throws InterruptedException, IOException {
        Files.writeString(folder.resolve("kept.next"), "");
        Files.delete(folder.resolve("kept.next"));
        Files.createDirectory(folder.resolve("kept.next")); // nothing can be written under that name
        RecoveryJournal one = open("a");
        read();
        one.add(load("x"), 1);
        assertThat(next()).isEqualTo(new Input.PersistFinished(1, false));
        one.add(load("y"), 2);
        assertThat(next()).isEqualTo(new Input.PersistFinished(2, false));
        assertThat(said).hasSize(1);
        Files.delete(folder.resolve("kept.next"));
        while (one.counts().forces() == 0) {
            Thread.sleep(10);
        }
        one.close(20_000);
        open("a").close(20_000);
        assertThat(read().entries()).containsExactly(new JournalEntry.ProcessStarted("", 0), load("x"), load("y"));
    }
}
