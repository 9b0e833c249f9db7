package quincespar.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class StateFolderTest {
    @TempDir
    private Path folder;

    private StateFolder open(String name) throws IOException {
        FolderDisk disk = new FolderDisk(folder.resolve("state"));
        assertThat(disk.lock()).isTrue();
        try {
            return StateFolder.open(disk, name, "drawn", true);
        } catch (IOException e) {
            disk.close();
            throw e;
        }
    }

    @Test
    void keepsFactsAcrossReopenAndHasOneOwner() throws IOException {
        try (StateFolder f = open("a")) {
            assertThat(f.mark()).isZero();
            assertThat(new FolderDisk(folder.resolve("state")).freeBytes()).isPositive();
            f.persist(7, 8);
            f.persistMark(9);
            assertThat(new FolderDisk(folder.resolve("state")).lock()).isFalse();
        }
        try (StateFolder f = open("a")) {
            assertThat(f.facts()).isEqualTo(new StateFolder.Facts(StateFolder.FORMAT, "drawn", "a", 7, 8, true));
            assertThat(f.mark()).isEqualTo(9);
        }
        assertThatThrownBy(() -> open("b")).hasMessage("the folder belongs to a, not to b");
    }

    /** Folders of earlier versions stay readable: a renamed component needs its stored name in the table. */
    @Test
    void factsAreStoredUnderTheNamesOfEarlierVersions() throws IOException {
        try (StateFolder f = open("a"); InputStream pinned = StateFolderTest.class.getResourceAsStream("/schemas/facts.txt")) {
            assertThat(f.schema()).isEqualTo(new String(pinned.readAllBytes(), StandardCharsets.UTF_8));
        }
    }

    /** Each byte is changed in turn, and the file is truncated at each length: both are refused. */
    @Test
    void reportsACorruptFile() throws IOException {
        StateFolder begun = open("a");
        begun.persistMark(3);
        begun.close();
        for (String file : java.util.List.of(StateFolder.FACTS, StateFolder.MARK)) {
            Path at = folder.resolve("state").resolve(file);
            byte[] good = Files.readAllBytes(at);
            for (int i = 0; i < good.length; i++) {
                byte[] bad = good.clone();
                bad[i] ^= 4;
                Files.write(at, bad);
                assertThatThrownBy(() -> open("a")).isInstanceOf(IOException.class).hasMessageContaining("the folder's " + file);
                Files.write(at, java.util.Arrays.copyOf(good, i));
                assertThatThrownBy(() -> open("a")).isInstanceOf(IOException.class).hasMessageContaining("the folder's " + file);
            }
            Files.write(at, good);
        }
    }

    @Test
    void keepsOldFactsAfterAFailedWrite() throws IOException {
        boolean[] full = {false};
        Disk disk = new FolderDisk(folder.resolve("state")) {
            @Override
            public void replace(String name, byte[] bytes) throws IOException {
                if (full[0]) {
                    throw new IOException("No space left on device");
                }
                super.replace(name, bytes);
            }
        };
        assertThat(disk.lock()).isTrue();
        StateFolder f = StateFolder.open(disk, "a", "drawn", true);
        f.persist(1, 0);
        full[0] = true;
        assertThatThrownBy(() -> f.persist(2, 0)).hasMessage("No space left on device");
        assertThat(f.facts().incarnation()).isEqualTo(1);
    }
}
