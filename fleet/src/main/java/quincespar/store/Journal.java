package quincespar.store;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Records in one file, each behind its length and CRC32C, appended in groups and rewritten whole when it has grown. What {@link #append} has
 * returned from is there after a loss of power. One thread uses it.
 */
public final class Journal implements AutoCloseable {
    private static final int HEAD = 2 * Integer.BYTES, LONGEST = 1 << 20;

    /** How a file was found. */
    public enum Condition {
        /** There was none. */
        MISSING,
        /** As it was written. */
        INTACT,
        /** Its last record is not whole: nobody was told that it was there. */
        TORN,
        /** A record in its midst is not what was written; those before it are given. */
        CORRUPT
    }

    /** What was found. */
    public record Contents(Condition condition, List<byte[]> records) { }

    private final Disk disk;
    private final String name;
    private Disk.Appender file;

    /** The file of that name; nothing is read or written yet. */
    public Journal(Disk disk, String name) {
        this.disk = disk;
        this.name = name;
    }

    /** What the file holds. */
    public Contents read() throws IOException {
        byte[] all = disk.read(name);
        return all == null ? new Contents(Condition.MISSING, List.of()) : parse(all);
    }

    private static Contents parse(byte[] all) {
        List<byte[]> out = new ArrayList<>();
        ByteBuffer in = ByteBuffer.wrap(all);
        while (in.remaining() > 0) {
            int at = in.position();
            int length = in.remaining() < HEAD ? -1 : in.getInt();
            int sum = length < 0 ? 0 : in.getInt();
            boolean whole = length >= 0 && length <= LONGEST && length <= in.remaining();
            byte[] record = new byte[whole ? length : 0];
            in.get(record);
            if (!whole || sum != sum(record)) {
                // a write that was cut off ends the file; a record that is followed by another was whole once
                return new Contents(whole && in.remaining() > 0 || isSpoiltLength(all, at) ? Condition.CORRUPT : Condition.TORN, out);
            }
            out.add(record);
        }
        return new Contents(Condition.INTACT, out);
    }

    /** Whether somewhere behind {@code at} a whole record stands: then the one at {@code at} was once written whole too. */
    private static boolean isSpoiltLength(byte[] all, int at) {
        for (int i = at + 1; i + HEAD < all.length; i++) {
            ByteBuffer b = ByteBuffer.wrap(all, i, all.length - i);
            int length = b.getInt();
            int sum = b.getInt();
            if (length > 0 && length <= b.remaining()) {
                byte[] record = new byte[length];
                b.get(record);
                if (sum == sum(record)) {
                    return true;
                }
            }
        }
        return false;
    }

    private static int sum(byte[] record) {
        CRC32C crc = new CRC32C();
        crc.update(record);
        return (int) crc.getValue();
    }

    private static byte[] frames(List<byte[]> records) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (byte[] r : records) {
            out.writeBytes(ByteBuffer.allocate(HEAD).putInt(r.length).putInt(sum(r)).array());
            out.writeBytes(r);
        }
        return out.toByteArray();
    }

    /** Keeps a copy of the file as it is, beside it: what is spoilt may still be of use to people. */
    public void backUp() throws IOException {
        byte[] all = disk.read(name);
        if (all != null) {
            disk.replace(name + "-spoilt", all);
        }
    }

    /** Replaces the file by these records, whole; after it throws, either the old ones or these are there. */
    public void rewrite(List<byte[]> records) throws IOException {
        close();
        disk.replace(name, frames(records));
        file = disk.openForAppend(name);
    }

    /** Adds a group of records, forced out once; after it throws, any first part of them may be there. */
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
