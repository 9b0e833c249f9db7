package quincespar.program.captures;

import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.FileSystemException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import quincespar.capture.SegmentName;
import quincespar.capture.SegmentStore;

/** Segments as files of one folder; files that are no segments are left alone. */
public final class CaptureFolder implements SegmentStore {
    private static final int BUFFER = 64 * 1024;

    private final Path folder;

    public CaptureFolder(Path folder) {
        this.folder = folder;
    }

    @Override
    public List<StoredSegment> list() throws IOException {
        List<StoredSegment> out = new ArrayList<>();
        try (Stream<Path> all = Files.list(folder)) {
            for (Path p : all.filter(f -> SegmentName.parse(f.getFileName().toString()).isPresent()).sorted().toList()) {
                out.add(new StoredSegment(p.getFileName().toString(), Files.size(p)));
            }
        } catch (FileSystemException e) {
            throw plain(e);
        }
        return out;
    }

    @Override
    public InputStream open(String name) throws IOException {
        return Files.newInputStream(folder.resolve(name));
    }

    @Override
    public SegmentOutput create(String name) throws IOException {
        return new File(new FileOutputStream(folder.resolve(name).toFile()));
    }

    @Override
    public void delete(String name) throws IOException {
        try {
            Files.deleteIfExists(folder.resolve(name));
        } catch (FileSystemException e) {
            throw plain(e);
        }
    }

    /** The library's message is the path alone. */
    private static IOException plain(FileSystemException e) {
        return new IOException(e.getFile() + ": " + (e.getReason() == null ? e.getClass().getSimpleName() : e.getReason()), e);
    }

    /** Collects writes until a flush, a close, or its buffer is full. */
    private static final class File implements SegmentOutput {
        private final FileOutputStream to;
        private final byte[] buffer = new byte[BUFFER];
        private int held;

        File(FileOutputStream to) {
            this.to = to;
        }

        @Override
        public void write(byte[] bytes) throws IOException {
            if (bytes.length > BUFFER - held) {
                flush();
            }
            if (bytes.length > BUFFER) {
                to.write(bytes);
            } else {
                System.arraycopy(bytes, 0, buffer, held, bytes.length);
                held += bytes.length;
            }
        }

        @Override
        public void flush() throws IOException {
            int some = held;
            held = 0; // what could not be written is not tried again: a part of it may have been
            to.write(buffer, 0, some);
        }

        @Override
        public void close() throws IOException {
            try {
                flush();
            } finally {
                to.close();
            }
        }
    }
}
