package quincespar.fleet;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.zip.CRC32C;
import quincespar.records.MalformedRecordException;
import quincespar.records.RecordCodec;
import quincespar.records.StoredNames;

/**
 * Encodes commands, results and snapshots, each behind a CRC32C: neither the connections between instances nor the consensus
 * library's log in memory detect a flipped bit. Not thread-safe.
 */
public final class FleetCodec {
    /** The stored names of commands, results and snapshots, and of all that they hold, where the code has other names. */
    private static final StoredNames STORED_NAMES = StoredNames.none()
            .component(Command.Tick.class, "suspectAfterMs", "suspectMs")
            .component(Command.Tick.class, "goneAfterMs", "goneMs")
            .component(Command.Join.class, "lastIncarnation", "last")
            .component(Command.Renew.class, "knownVersion", "known")
            .component(Command.Write.class, "sequence", "serial")
            .component(Command.Write.class, "expectedVersion", "ifVersion")
            .component(Instance.class, "reportedStanding", "claimed")
            .component(Instance.class, "standingSince", "since")
            .component(Instance.class, "lastWriteSequence", "serial")
            .component(Instance.class, "lastWriteResult", "last")
            .component(Register.class, "writer", "by")
            .component(Register.class, "writerIncarnation", "incarnation")
            .component(Result.Refused.class, "reason", "why")
            .component(Result.Refused.class, "message", "line")
            .type(Result.Reason.class, "Why")
            .constant(Result.Reason.FOLDER_OUTDATED, "FOLDER_OLD")
            .constant(Result.Reason.INCARNATION_ENDED, "LIFE_OVER")
            .constant(Result.Reason.SUPERSEDED, "FOLLOWED")
            .constant(Result.Reason.LIMIT_REACHED, "FULL")
            .component(Snapshot.class, "lastIncarnation", "incarnations")
            .type(Snapshot.NameRecord.class, "Known")
            .component(Snapshot.NameRecord.class, "lastJoinNonce", "nonce")
            .component(Snapshot.NameRecord.class, "votingFolder", "votes")
            .component(Snapshot.NameRecord.class, "votingIncarnation", "incarnation");

    private final RecordCodec records = new RecordCodec(STORED_NAMES, Command.class, Result.class, Snapshot.class);

    /** The schema of the records; a test checks that it stays as it is in stored data. */
    String schema() {
        return records.schema();
    }

    /** Encodes a command, a result or a snapshot. */
    public byte[] write(Record value) {
        byte[] record = records.write(value);
        return ByteBuffer.allocate(Integer.BYTES + record.length).putInt(checksum(record)).put(record).array();
    }

    /** Whether these bytes match their checksum. */
    public static boolean isIntact(byte[] bytes) {
        return bytes.length > Integer.BYTES && ByteBuffer.wrap(bytes).getInt() == checksum(Arrays.copyOfRange(bytes,
                Integer.BYTES, bytes.length));
    }

    private static int checksum(byte[] record) {
        CRC32C crc = new CRC32C();
        crc.update(record);
        return (int) crc.getValue();
    }

    private <T> T read(byte[] bytes, Class<T> type) throws MalformedRecordException {
        if (!isIntact(bytes)) {
            throw new MalformedRecordException("the checksum does not match the record", null);
        }
        return records.read(Arrays.copyOfRange(bytes, Integer.BYTES, bytes.length), type);
    }

    /** Decodes a command; throws {@link MalformedRecordException} if the bytes are none. */
    public Command readCommand(byte[] bytes) throws MalformedRecordException {
        return read(bytes, Command.class);
    }

    /** Decodes a result; throws {@link MalformedRecordException} if the bytes are none. */
    public Result readResult(byte[] bytes) throws MalformedRecordException {
        return read(bytes, Result.class);
    }

    /** Decodes a snapshot; throws {@link MalformedRecordException} if the bytes are none or of an unknown format version. */
    public Snapshot readSnapshot(byte[] bytes) throws MalformedRecordException {
        Snapshot s = read(bytes, Snapshot.class);
        if (s.format() != Snapshot.FORMAT) {
            throw new MalformedRecordException("the fleet state has format " + s.format() + ", but this program reads only "
                    + Snapshot.FORMAT, null);
        }
        return s;
    }
}
