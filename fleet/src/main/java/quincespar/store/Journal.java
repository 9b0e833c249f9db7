package quincespar.store;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * A write-ahead log in one file. Each record is preceded by its length and CRC32C; records are appended in groups, and the file
 * is rewritten as a whole to compact it. What {@link #append} has returned from survives a loss of power. Not thread-safe.
 */
public final class Journal implements AutoCloseable {
    private static final int HEADER_BYTES = 2 * Integer.BYTES;
    private static final int MAX_RECORD_BYTES = 1 << 20;
    private static final String BACKUP_SUFFIX = "-spoilt";

    /** The condition in which the file was found. */
    public enum Condition {
        /** There is no file. */
        MISSING,
        /** All records are as they were written. */
        INTACT,
        /** The last record is incomplete: its write was never acknowledged. */
        TORN,
        /** A record before the last is corrupt; the records before it are returned. */
        CORRUPT
    }

    /** The contents of the file. */
    public record Contents(Condition condition, List<byte[]> records) { }

    private final Disk disk;
    private final String name;
    private Disk.Appender file;

    /** Does not read or write the file yet. */
    public Journal(Disk disk, String name) {
        this.disk = disk;
        this.name = name;
    }

    /** Reads the file. */
    public Contents read() throws IOException {
        byte[] all = disk.read(name);
        return all == null ? new Contents(Condition.MISSING, List.of()) : parse(all);
    }

    private static Contents parse(byte[] all) {
        List<byte[]> out = new ArrayList<>();
        ByteBuffer in = ByteBuffer.wrap(all);
        while (in.remaining() > 0) {
            int at = in.position();
            int length = in.remaining() < HEADER_BYTES ? -1 : in.getInt();
            int checksum = length < 0 ? 0 : in.getInt();
            boolean complete = length >= 0 && length <= MAX_RECORD_BYTES && length <= in.remaining();
            byte[] record = new byte[complete ? length : 0];
            in.get(record);
            if (!complete || checksum != checksum(record)) {
                // an interrupted write is at the end of the file; a record that another one follows was complete once
                boolean corrupt = complete && in.remaining() > 0 || intactRecordFollows(all, at);
                return new Contents(corrupt ? Condition.CORRUPT : Condition.TORN, out);
            }
            out.add(record);
        }
        return new Contents(Condition.INTACT, out);
    }

    /** Whether an intact record follows anywhere after {@code at}; then the one at {@code at} was complete once, too. */
    private static boolean intactRecordFollows(byte[] all, int at) {
        for (int i = at + 1; i + HEADER_BYTES < all.length; i++) {
            ByteBuffer b = ByteBuffer.wrap(all, i, all.length - i);
            int length = b.getInt();
            int checksum = b.getInt();
            if (length > 0 && length <= b.remaining()) {
                byte[] record = new byte[length];
                b.get(record);
                if (checksum == checksum(record)) {
                    return true;
                }
            }
        }
        return false;
    }

    private static int checksum(byte[] record) {
        CRC32C crc = new CRC32C();
        crc.update(record);
        return (int) crc.getValue();
    }

    private static byte[] frames(List<byte[]> records) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (byte[] r : records) {
            out.writeBytes(ByteBuffer.allocate(HEADER_BYTES).putInt(r.length).putInt(checksum(r)).array());
            out.writeBytes(r);
        }
        return out.toByteArray();
    }

    /** Copies the file as it is to a backup beside it, for people to look at. */
    public void backUp() throws IOException {
        byte[] all = disk.read(name);
        if (all != null) {
            disk.replace(name + BACKUP_SUFFIX, all);
        }
    }

    /** Replaces the file atomically by these records; after it throws, it has either the old records or these. */
    public void rewrite(List<byte[]> records) throws IOException {
        close();
        disk.replace(name, frames(records));
        file = disk.openForAppend(name);
    }

    /** Appends a group of records with one force to disk; after it throws, any prefix of them may have been written. */
    public void append(List<byte[]> records) throws IOException {
        if (file == null) {
            file = disk.openForAppend(name);
        }
        file.write(frames(records));
        file.force();
    }

    @Override
    public void close() throws IOException {
        if (file != null) {
            file.close();
            file = null;
        }
    }
}
