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

/** Stores capture segments as files of one folder; ignores files that are not segments. */
public final class CaptureFolder implements SegmentStore {
    private static final int BUFFER_BYTES = 64 * 1024;

    private final Path folder;

    /** Uses an existing folder. */
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
            throw withReason(e);
        }
        return out;
    }

    @Override
    public InputStream open(String name) throws IOException {
        return Files.newInputStream(folder.resolve(name));
    }

    @Override
    public SegmentOutput create(String name) throws IOException {
        return new SegmentFile(new FileOutputStream(folder.resolve(name).toFile()));
    }

    @Override
    public void delete(String name) throws IOException {
        try {
            Files.deleteIfExists(folder.resolve(name));
        } catch (FileSystemException e) {
            throw withReason(e);
        }
    }

    /** Adds the reason: the message of the original exception is only the path. */
    private static IOException withReason(FileSystemException e) {
        return new IOException(e.getFile() + ": " + (e.getReason() == null ? e.getClass().getSimpleName() : e.getReason()), e);
    }

    /** Buffers writes until a flush, a close, or a full buffer. */
    private static final class SegmentFile implements SegmentOutput {
        private final FileOutputStream file;
        private final byte[] buffer = new byte[BUFFER_BYTES];
        private int buffered;

        SegmentFile(FileOutputStream file) {
            this.file = file;
        }

        @Override
        public void write(byte[] bytes) throws IOException {
            if (bytes.length > BUFFER_BYTES - buffered) {
                flush();
            }
            if (bytes.length > BUFFER_BYTES) {
                file.write(bytes);
            } else {
                System.arraycopy(bytes, 0, buffer, buffered, bytes.length);
                buffered += bytes.length;
            }
        }

        @Override
        public void flush() throws IOException {
            int length = buffered;
            buffered = 0; // a failed write is not retried: a part of it may have been written
            file.write(buffer, 0, length);
        }

        @Override
        public void close() throws IOException {
            try {
                flush();
            } finally {
                file.close();
            }
        }
    }
}
