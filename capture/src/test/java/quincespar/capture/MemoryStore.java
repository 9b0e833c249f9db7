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

/** A store in memory that fails where the test says, as a disk does: full, gone, not permitted. */
final class MemoryStore implements SegmentStore {
    final Map<String, ByteArrayOutputStream> files = new ConcurrentHashMap<>();
    volatile BooleanSupplier creates = () -> true;
    volatile BooleanSupplier writes = () -> true;
    volatile BooleanSupplier deletes = () -> true;
    volatile BooleanSupplier closes = () -> true;
    volatile long most;

    long bytes() {
        return files.values().stream().mapToLong(ByteArrayOutputStream::size).sum();
    }

    private static void check(BooleanSupplier works, String what) throws IOException {
        if (!works.getAsBoolean()) {
            throw new IOException(what);
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
        check(creates, "no folder");
        ByteArrayOutputStream to = new ByteArrayOutputStream();
        files.put(name, to);
        return new SegmentOutput() {
            @Override
            public void write(byte[] bytes) throws IOException {
                if (!writes.getAsBoolean()) {
                    to.write(bytes, 0, bytes.length / 2); // a full disk takes a part
                    throw new IOException("disk full");
                }
                to.write(bytes);
                most = Math.max(most, MemoryStore.this.bytes());
            }

            @Override
            public void flush() { }

            @Override
            public void close() throws IOException {
                check(closes, "not closed");
            }
        };
    }

    @Override
    public void delete(String name) throws IOException {
        check(deletes, "not permitted");
        files.remove(name);
    }
}
