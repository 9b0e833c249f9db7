package quincespar.program;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Detection of other processes of a front end. Release of a killed process's locks is left to the operating system. */
class ProcessLocksTest {
    @TempDir
    private Path folder;

    private ProcessLocks acquire() {
        return acquire(8080);
    }

    private ProcessLocks acquire(int port) {
        return ProcessLocks.acquire(Map.of("TMPDIR", folder.toString()), listen(port));
    }

    private static InetSocketAddress listen(int port) {
        return InetSocketAddress.createUnresolved("127.0.0.1", port);
    }

    /** A front end at another address may use the same folder; as a new process it would get the clients moved to it. */
    @Test
    void aProcessAtAnotherAddressIsNotDetected() throws IOException {
        try (ProcessLocks one = acquire(8080); ProcessLocks other = acquire(8081)) {
            other.markServing();
            assertThat(one.othersAlive()).isFalse();
            assertThat(one.othersServing()).isFalse();
        }
    }

    @Test
    void aLiveProcessAndAServingProcessAreDistinguished() throws IOException {
        ProcessLocks first = acquire();
        assertThat(first.othersAlive()).isFalse();
        try (ProcessLocks second = acquire()) {
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
    void leftOverFilesHaveNoEffect() throws IOException {
        for (int i = 0; i < 8; i++) {
            Files.writeString(folder.resolve("quincespar-127.0.0.1_8080-" + i + ".lock"), "left over");
        }
        try (ProcessLocks alone = acquire()) {
            assertThat(alone.othersAlive()).isFalse();
            assertThat(alone.othersServing()).isFalse();
            try (ProcessLocks second = acquire()) {
                assertThat(second.othersAlive()).isTrue();
            }
        }
    }

    @Test
    void withoutAFolderNoOtherProcessIsDetected() throws IOException {
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
