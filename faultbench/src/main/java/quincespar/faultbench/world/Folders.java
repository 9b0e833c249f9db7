package quincespar.faultbench.world;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** Copies and deletes folders. */
final class Folders {
    /** Bounds the copying of a folder whose files are replaced all the time. */
    private static final int MAX_COPY_ATTEMPTS = 50;

    private Folders() { }

    /**
     * Replaces a folder by a copy of another. The process that uses the other may be running: when it renames or deletes a file
     * between the listing and the copying, the copy is made anew.
     */
    static void copy(Path from, Path to) throws IOException {
        for (int attempt = 1;; attempt++) {
            try {
                copyOnce(from, to);
                return;
            } catch (NoSuchFileException e) {
                if (!Files.exists(from) || attempt == MAX_COPY_ATTEMPTS) {
                    throw e;
                }
            }
        }
    }

    private static void copyOnce(Path from, Path to) throws IOException {
        delete(to);
        try (Stream<Path> all = Files.walk(from)) {
            for (Path p : all.toList()) {
                Files.copy(p, to.resolve(from.relativize(p).toString()));
            }
        } catch (UncheckedIOException e) {
            throw e.getCause();
        }
    }

    /** Deletes a folder recursively if it exists. */
    static void delete(Path folder) throws IOException {
        if (Files.exists(folder)) {
            try (Stream<Path> all = Files.walk(folder)) {
                for (Path p : all.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(p);
                }
            }
        }
    }
}
