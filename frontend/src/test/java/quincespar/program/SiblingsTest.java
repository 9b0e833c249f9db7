package quincespar.program;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
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
        return join(8080);
    }

    private Siblings join(int port) {
        return Siblings.join(Map.of("TMPDIR", folder.toString()), listen(port));
    }

    private static InetSocketAddress listen(int port) {
        return InetSocketAddress.createUnresolved("127.0.0.1", port);
    }

    /** A front end at another address may use the same folder: taken for a new version it would have the clients moved to it. */
    @Test
    void oneAtAnotherAddressIsNoSibling() throws IOException {
        try (Siblings one = join(8080); Siblings other = join(8081)) {
            other.serves();
            assertThat(one.beside()).isFalse();
            assertThat(one.othersServe()).isFalse();
        }
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
            Files.writeString(folder.resolve("quincespar-127.0.0.1_8080-" + i + ".lock"), "left over");
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
            try (Siblings alone = Siblings.join(none, listen(8080))) {
                alone.serves();
                assertThat(alone.beside()).isFalse();
                alone.leaves();
            }
        }
    }
}
