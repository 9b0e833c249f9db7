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
class ProcessLocksTest {
    @TempDir
    private Path folder;

    private ProcessLocks join() {
        return join(8080);
    }

    private ProcessLocks join(int port) {
        return ProcessLocks.acquire(Map.of("TMPDIR", folder.toString()), listen(port));
    }

    private static InetSocketAddress listen(int port) {
        return InetSocketAddress.createUnresolved("127.0.0.1", port);
    }

    /** A front end at another address may use the same folder: taken for a new version it would have the clients moved to it. */
    @Test
    void oneAtAnotherAddressIsNoSibling() throws IOException {
        try (ProcessLocks one = join(8080); ProcessLocks other = join(8081)) {
            other.markServing();
            assertThat(one.othersAlive()).isFalse();
            assertThat(one.othersServing()).isFalse();
        }
    }

    @Test
    void oneThatLivesIsSeenAndOneThatServesIsToldApart() throws IOException {
        ProcessLocks first = join();
        assertThat(first.othersAlive()).isFalse();
        try (ProcessLocks second = join()) {
            assertThat(first.othersAlive()).isTrue();
            assertThat(second.othersAlive()).isTrue();
            assertThat(first.othersServing()).isFalse();
            second.markServing();
            assertThat(first.othersServing()).isTrue();
            assertThat(second.othersServing()).isFalse();
            second.clearServing();
            assertThat(first.othersServing()).isFalse();
        }
        assertThat(first.othersAlive()).isFalse();
    }

    @Test
    void filesThatAreLeftOverStopNoStartAndSayNothing() throws IOException {
        for (int i = 0; i < 8; i++) {
            Files.writeString(folder.resolve("quincespar-127.0.0.1_8080-" + i + ".lock"), "left over");
        }
        try (ProcessLocks alone = join()) {
            assertThat(alone.othersAlive()).isFalse();
            assertThat(alone.othersServing()).isFalse();
            try (ProcessLocks second = join()) {
                assertThat(second.othersAlive()).isTrue();
            }
        }
    }

    @Test
    void withoutAFolderThereIsNoWordOfOthers() throws IOException {
        for (Map<String, String> none : java.util.List.of(Map.<String, String>of(),
                Map.of("TMPDIR", folder.resolve("none").toString()))) {
            try (ProcessLocks alone = ProcessLocks.acquire(none, listen(8080))) {
                alone.markServing();
                assertThat(alone.othersAlive()).isFalse();
                alone.clearServing();
            }
        }
    }
}
