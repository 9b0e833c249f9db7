package quincespar.fleet;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.zip.CRC32C;
import quincespar.records.MalformedRecordException;
import quincespar.records.RecordCodec;
import quincespar.records.StoredNames;

/**
 * Commands, results and the state as bytes and back, behind a CRC32C of them: neither the links between instances nor the
 * library's log in memory tell a turned bit. Used by one thread.
 */
public final class FleetCodec {
    /** The stored names of commands, results and snapshots, and of all that they hold, where the code has other names. */
    private static final StoredNames STORED_NAMES = StoredNames.none();

    private final RecordCodec records = new RecordCodec(STORED_NAMES, Command.class, Result.class, Snapshot.class);

    /** The schema of the records, for the check that it stays as it is in stored data. */
    String schema() {
        return records.schema();
    }

    /** The bytes of a command, a result or a state. */
    public byte[] write(Record value) {
        byte[] record = records.write(value);
        return ByteBuffer.allocate(Integer.BYTES + record.length).putInt(sum(record)).put(record).array();
    }

    /** Whether these are bytes as {@link #write} makes them, whole and unchanged. */
    public static boolean whole(byte[] bytes) {
        return bytes.length > Integer.BYTES && ByteBuffer.wrap(bytes).getInt() == sum(Arrays.copyOfRange(bytes, Integer.BYTES,
                bytes.length));
    }

    private static int sum(byte[] record) {
        CRC32C crc = new CRC32C();
        crc.update(record);
        return (int) crc.getValue();
    }

    private <T> T read(byte[] bytes, Class<T> type) throws MalformedRecordException {
        if (!whole(bytes)) {
            throw new MalformedRecordException("bytes that are not what was written", null);
        }
        return records.read(Arrays.copyOfRange(bytes, Integer.BYTES, bytes.length), type);
    }

    /** Reads a command; throws {@link MalformedRecordException} at what is none. */
    public Command command(byte[] bytes) throws MalformedRecordException {
        return read(bytes, Command.class);
    }

    /** Reads a result; throws {@link MalformedRecordException} at what is none. */
    public Result result(byte[] bytes) throws MalformedRecordException {
        return read(bytes, Result.class);
    }

    /** Reads a state; throws {@link MalformedRecordException} at what is none, or at one of a form that is not known here. */
    public Snapshot snapshot(byte[] bytes) throws MalformedRecordException {
        Snapshot s = read(bytes, Snapshot.class);
        if (s.format() != Snapshot.FORMAT) {
            throw new MalformedRecordException("a fleet's state of format " + s.format() + ", and this program reads "
                    + Snapshot.FORMAT + " only", null);
        }
        return s;
    }
}
