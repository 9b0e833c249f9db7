package quincespar.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.zip.CRC32C;
import quincespar.records.MalformedRecordException;
import quincespar.records.RecordCodec;
import quincespar.records.StoredNames;

/**
 * The facts that an instance keeps for itself: who its folder is, and the last incarnation that it was given. A fact counts
 * as kept only once {@link #persist} has returned. One thread uses it.
 */
public final class StateFolder implements AutoCloseable {
    /** The file that holds the facts. */
    static final String FACTS = "facts";
    /** The file that holds the mark: a number that rises while the folder is in use. */
    static final String MARK = "mark";
    /** The form of that file; a reader refuses one that it does not know. */
    static final int FORMAT = 1;

    /**
     * What is kept.
     *
     * @param format the form of this record
     * @param identity drawn once for the folder
     * @param name the instance that it belongs to
     * @param incarnation the last that it was given, 0 for none
     * @param nonce of the join under way since, which may have been granted; 0 where there is none
     * @param votes whether it was begun as a voter's, before the fleet's first start; one that is found empty later is not
     */
    public record Facts(int format, String identity, String name, long incarnation, long pendingNonce, boolean initializedForVoting) { }

    /** The stored names of {@link Facts} and its components, where the code has other names. */
    private static final StoredNames STORED_NAMES = StoredNames.none()
            .component(Facts.class, "pendingNonce", "nonce")
            .component(Facts.class, "initializedForVoting", "votes");

    private final RecordCodec codec = new RecordCodec(STORED_NAMES, Facts.class);
    private final Disk disk;
    private Facts facts;
    private long mark;

    private StateFolder(Disk disk, Facts facts) {
        this.disk = disk;
        this.facts = facts;
    }

    /**
     * Opens a folder that is locked already, or begins one; {@code identity} and {@code votes} are for a new one. Throws
     * {@link IOException} in one plain line where it can't be read, is spoilt, or is another instance's.
     */
    public static StateFolder open(Disk disk, String name, String identity, boolean votes) throws IOException {
        StateFolder f = new StateFolder(disk, new Facts(FORMAT, identity, name, 0, 0, votes));
        byte[] bytes = disk.read(FACTS);
        if (bytes == null) {
            disk.replace(FACTS, f.frame());
            return f;
        }
        f.facts = f.read(bytes);
        if (f.facts.format() != FORMAT) {
            throw new IOException("the folder is of format " + f.facts.format() + ", and this program knows " + FORMAT
                    + " only");
        }
        if (!f.facts.name().equals(name)) {
            throw new IOException("the folder is that of " + f.facts.name() + ", not of " + name);
        }
        byte[] marked = disk.read(MARK);
        if (marked != null) {
            if (marked.length != Integer.BYTES + Long.BYTES || ByteBuffer.wrap(marked).getInt() != sum(record(marked))) {
                throw new IOException("the folder's mark is not what was written");
            }
            f.mark = ByteBuffer.wrap(marked).getLong(Integer.BYTES);
        }
        return f;
    }

    /** The schema of the stored record, for the check that it stays as it is in stored data. */
    String schema() {
        return codec.schema();
    }

    private byte[] frame() {
        return frame(codec.write(facts));
    }

    private static byte[] frame(byte[] record) {
        return ByteBuffer.allocate(Integer.BYTES + record.length).putInt(sum(record)).put(record).array();
    }

    private static byte[] record(byte[] framed) {
        return Arrays.copyOfRange(framed, Integer.BYTES, framed.length);
    }

    private Facts read(byte[] bytes) throws IOException {
        if (bytes.length < Integer.BYTES) {
            throw new IOException("the folder's facts are cut off");
        }
        byte[] record = record(bytes);
        if (ByteBuffer.wrap(bytes).getInt() != sum(record)) {
            throw new IOException("the folder's facts are not what was written");
        }
        try {
            return codec.read(record, Facts.class);
        } catch (MalformedRecordException e) {
            throw new IOException("the folder's facts can't be read: " + e.getMessage(), e);
        }
    }

    private static int sum(byte[] record) {
        CRC32C crc = new CRC32C();
        crc.update(record);
        return (int) crc.getValue();
    }

    /** The last mark, 0 for none. */
    public long mark() {
        return mark;
    }

    /** Marks the folder; once this has returned, a copy from before can be told by its lower mark. */
    public void persistMark(long number) throws IOException {
        disk.replace(MARK, frame(ByteBuffer.allocate(Long.BYTES).putLong(number).array()));
        mark = number;
    }

    /** What is kept, for certain. */
    public Facts facts() {
        return facts;
    }

    /** Keeps these; after it throws, what was kept before may still be found at the next start, or these. */
    public void persist(long incarnation, long nonce) throws IOException {
        Facts before = facts;
        facts = new Facts(FORMAT, before.identity(), before.name(), incarnation, nonce, before.initializedForVoting());
        try {
            disk.replace(FACTS, frame());
        } catch (IOException e) {
            facts = before;
            throw e;
        }
    }

    @Override
    public void close() throws IOException {
        disk.close();
    }
}
