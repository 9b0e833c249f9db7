package quincespar.program;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What processes of one front end know of each other; that a killed one gives its locks back is the system's word. */
class SiblingsTest {
    @TempDir
    private Path folder;

    private Siblings join() {
        return Siblings.join(Map.of("TMPDIR", folder.toString()));
    }

    @Test
    void oneThatLivesIsSeenAndOneThatServesIsToldApart() throws IOException {
        Siblings first = join();
        assertThat(first.beside()).isFalse();
        try (Siblings second = join()) {
            assertThat(first.beside()).isTrue();
            assertThat(second.beside()).isTrue();
            assertThat(first.othersServe()).isFalse();
            second.serves();
            assertThat(first.othersServe()).isTrue();
            assertThat(second.othersServe()).isFalse();
            second.leaves();
            assertThat(first.othersServe()).isFalse();
        }
        assertThat(first.beside()).isFalse();
    }

    @Test
    void filesThatAreLeftOverStopNoStartAndSayNothing() throws IOException {
        for (int i = 0; i < 8; i++) {
            Files.writeString(folder.resolve("quincespar-" + i + ".lock"), "left over");
        }
        try (Siblings alone = join()) {
            assertThat(alone.beside()).isFalse();
            assertThat(alone.othersServe()).isFalse();
            try (Siblings second = join()) {
                assertThat(second.beside()).isTrue();
            }
        }
    }

    @Test
    void withoutAFolderThereIsNoWordOfOthers() throws IOException {
        for (Map<String, String> none : java.util.List.of(Map.<String, String>of(),
                Map.of("TMPDIR", folder.resolve("none").toString()))) {
            try (Siblings alone = Siblings.join(none)) {
                alone.serves();
                assertThat(alone.beside()).isFalse();
                alone.leaves();
            }
        }
    }
}
