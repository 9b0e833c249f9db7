package quincespar.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class JournalTest {
    @TempDir
    private Path folder;

    private static byte[] bytes(String s) {
        return s.getBytes(StandardCharsets.UTF_8);
    }

    private List<String> read(Journal.Condition expected) throws IOException {
        Journal.Contents f = new Journal(new FolderDisk(folder), "j").read();
        assertThat(f.condition()).isEqualTo(expected);
        return f.records().stream().map(r -> new String(r, StandardCharsets.UTF_8)).toList();
    }

    @Test
    void returnsRecordsInOrderAfterAppendAndRewrite() throws IOException {
        assertThat(read(Journal.Condition.MISSING)).isEmpty();
        try (Journal j = new Journal(new FolderDisk(folder), "j")) {
            j.append(List.of(bytes("one"), bytes("two")));
            j.append(List.of(bytes("three")));
            assertThat(read(Journal.Condition.INTACT)).containsExactly("one", "two", "three");
            j.rewrite(List.of(bytes("two")));
            j.append(List.of(bytes("four")));
        }
        assertThat(read(Journal.Condition.INTACT)).containsExactly("two", "four");
    }

    /** The file is truncated at each byte: only the records that are complete are returned. */
    @Test
    void losesOnlyTheIncompleteLastRecord() throws IOException {
        try (Journal j = new Journal(new FolderDisk(folder), "j")) {
            j.append(List.of(bytes("one"), bytes("two")));
        }
        byte[] all = Files.readAllBytes(folder.resolve("j"));
        int first = all.length / 2;
        for (int n = 1; n < all.length; n++) {
            Files.write(folder.resolve("j"), Arrays.copyOf(all, n));
            assertThat(read(n == first ? Journal.Condition.INTACT : Journal.Condition.TORN))
                    .isEqualTo(n < first ? List.of() : List.of("one"));
        }
    }

    /** Each bit is flipped in turn: the file is corrupt if an intact record follows, and the records before it are returned. */
    @Test
    void detectsEachFlippedBit() throws IOException {
        try (Journal j = new Journal(new FolderDisk(folder), "j")) {
            j.append(List.of(bytes("one"), bytes("two"), bytes("three")));
        }
        byte[] all = Files.readAllBytes(folder.resolve("j"));
        for (int bit = 0; bit < 8 * all.length; bit++) {
            byte[] bad = all.clone();
            bad[bit / 8] ^= (byte) (1 << bit % 8);
            Files.write(folder.resolve("j"), bad);
            Journal.Contents f = new Journal(new FolderDisk(folder), "j").read();
            int before = bit / 8 < 11 ? 0 : bit / 8 < 22 ? 1 : 2;
            assertThat(f.records()).hasSize(before);
            assertThat(f.condition()).isIn(before < 2 ? List.of(Journal.Condition.CORRUPT)
                    : List.of(Journal.Condition.CORRUPT, Journal.Condition.TORN));
        }
    }
}
