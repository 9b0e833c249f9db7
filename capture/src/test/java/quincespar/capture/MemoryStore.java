package quincespar.capture;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.NoSuchFileException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;

/** A store in memory with injected failures: full disk, missing folder, missing permission. */
final class MemoryStore implements SegmentStore {
    final Map<String, ByteArrayOutputStream> files = new ConcurrentHashMap<>();
    volatile BooleanSupplier createSucceeds = () -> true;
    volatile BooleanSupplier writeSucceeds = () -> true;
    volatile BooleanSupplier deleteSucceeds = () -> true;
    volatile BooleanSupplier closeSucceeds = () -> true;
    /** The largest total size so far, in bytes. */
    volatile long peakBytes;

    long bytes() {
        return files.values().stream().mapToLong(ByteArrayOutputStream::size).sum();
    }

    private static void check(BooleanSupplier succeeds, String message) throws IOException {
        if (!succeeds.getAsBoolean()) {
            throw new IOException(message);
        }
    }

    @Override
    public List<StoredSegment> list() {
        return new TreeMap<>(files).entrySet().stream().map(e -> new StoredSegment(e.getKey(), e.getValue().size())).toList();
    }

    @Override
    public InputStream open(String name) throws IOException {
        ByteArrayOutputStream file = files.get(name);
        if (file == null) {
            throw new NoSuchFileException(name);
        }
        return new ByteArrayInputStream(file.toByteArray());
    }

    @Override
    public SegmentOutput create(String name) throws IOException {
        check(createSucceeds, "no folder");
        ByteArrayOutputStream file = new ByteArrayOutputStream();
        files.put(name, file);
        return new SegmentOutput() {
            @Override
            public void write(byte[] bytes) throws IOException {
                if (!writeSucceeds.getAsBoolean()) {
                    file.write(bytes, 0, bytes.length / 2); // a full disk stores a part of it
                    throw new IOException("disk full");
                }
                file.write(bytes);
                peakBytes = Math.max(peakBytes, MemoryStore.this.bytes());
            }

            @Override
            public void flush() { }

            @Override
            public void close() throws IOException {
                check(closeSucceeds, "not closed");
            }
        };
    }

    @Override
    public void delete(String name) throws IOException {
        check(deleteSucceeds, "not permitted");
        files.remove(name);
    }
}
