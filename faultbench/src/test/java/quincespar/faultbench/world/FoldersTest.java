package quincespar.faultbench.world;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

@Timeout(60)
class FoldersTest {
    private static final int COPIES = 500;

    @TempDir
    private Path folder;

    /** Guards against schedules that fail because a running process renames its temporary file while its folder is copied. */
    @Test
    void copiesAFolderWhoseFilesAreReplacedMeanwhile() throws Exception {
        Path from = Files.createDirectory(folder.resolve("state"));
        Path to = folder.resolve("copy");
        replaceMark(from);
        AtomicBoolean copied = new AtomicBoolean();
        CompletableFuture<Void> writer = CompletableFuture.runAsync(() -> replaceMarkUntil(copied, from));
        try {
            for (int i = 0; i < COPIES; i++) {
                Folders.copy(from, to);
                assertThat(to.resolve("mark")).hasContent("value");
            }
        } finally {
            copied.set(true);
        }
        writer.get(10, TimeUnit.SECONDS);
    }

    private static void replaceMarkUntil(AtomicBoolean ended, Path from) {
        try {
            while (!ended.get()) {
                replaceMark(from);
                TimeUnit.MILLISECONDS.sleep(1);
            }
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void replaceMark(Path from) throws IOException {
        Path next = from.resolve("mark.next");
        Files.writeString(next, "value");
        Files.move(next, from.resolve("mark"), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }
}
