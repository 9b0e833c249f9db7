package quincespar.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.zip.CRC32C;
import quincespar.records.MalformedRecordException;
import quincespar.records.RecordCodec;
import quincespar.records.StoredNames;

/**
 * An instance's durable facts: the identity of its folder, and the last incarnation that it was assigned. They are durable only
 * once {@link #persist} has returned. Not thread-safe.
 */
public final class StateFolder implements AutoCloseable {
    /** The file that holds the facts. */
    static final String FACTS = "facts";
    /** The file that holds the mark: a counter that rises while the folder is in use, by which an older copy is detected. */
    static final String MARK = "mark";
    /** The format version of the facts; a reader refuses any that it does not know. */
    static final int FORMAT = 1;

    /**
     * The contents of the facts file.
     *
     * @param format the format version of this record
     * @param identity random, drawn once for the folder
     * @param name the name of the instance that the folder belongs to
     * @param incarnation the last incarnation that the instance was assigned, 0 for none
     * @param pendingNonce the nonce of a join that was submitted since and may have been granted; 0 for none
     * @param initializedForVoting whether it was created as a voter's folder before the fleet's first start; a folder that is
     *     found empty later is not
     */
    public record Facts(int format, String identity, String name, long incarnation, long pendingNonce,
            boolean initializedForVoting) { }

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
     * Opens a folder that is locked already, or initializes an empty one with {@code identity} and {@code forVoting}. Throws an
     * {@link IOException} with a one-line message if the folder can't be read, is corrupt, or belongs to another instance.
     */
    public static StateFolder open(Disk disk, String name, String identity, boolean forVoting) throws IOException {
        StateFolder f = new StateFolder(disk, new Facts(FORMAT, identity, name, 0, 0, forVoting));
        byte[] bytes = disk.read(FACTS);
        if (bytes == null) {
            disk.replace(FACTS, f.frame());
            return f;
        }
        f.facts = f.read(bytes);
        if (f.facts.format() != FORMAT) {
            throw new IOException("the folder has format " + f.facts.format() + ", but this program reads only " + FORMAT);
        }
        if (!f.facts.name().equals(name)) {
            throw new IOException("the folder belongs to " + f.facts.name() + ", not to " + name);
        }
        byte[] marked = disk.read(MARK);
        if (marked != null) {
            if (marked.length != Integer.BYTES + Long.BYTES || ByteBuffer.wrap(marked).getInt() != checksum(record(marked))) {
                throw new IOException("the folder's mark does not match its checksum");
            }
            f.mark = ByteBuffer.wrap(marked).getLong(Integer.BYTES);
        }
        return f;
    }

    /** The schema of the stored record; a test checks that it stays as it is in stored data. */
    String schema() {
        return codec.schema();
    }

    private byte[] frame() {
        return frame(codec.write(facts));
    }

    private static byte[] frame(byte[] record) {
        return ByteBuffer.allocate(Integer.BYTES + record.length).putInt(checksum(record)).put(record).array();
    }

    private static byte[] record(byte[] framed) {
        return Arrays.copyOfRange(framed, Integer.BYTES, framed.length);
    }

    private Facts read(byte[] bytes) throws IOException {
        if (bytes.length < Integer.BYTES) {
            throw new IOException("the folder's facts are truncated");
        }
        byte[] record = record(bytes);
        if (ByteBuffer.wrap(bytes).getInt() != checksum(record)) {
            throw new IOException("the folder's facts do not match their checksum");
        }
        try {
            return codec.read(record, Facts.class);
        } catch (MalformedRecordException e) {
            throw new IOException("the folder's facts can't be decoded: " + e.getMessage(), e);
        }
    }

    private static int checksum(byte[] record) {
        CRC32C crc = new CRC32C();
        crc.update(record);
        return (int) crc.getValue();
    }

    /** The last mark that is durable, 0 for none. */
    public long mark() {
        return mark;
    }

    /** Persists a mark; once this has returned, an older copy can be detected by its lower mark. */
    public void persistMark(long number) throws IOException {
        disk.replace(MARK, frame(ByteBuffer.allocate(Long.BYTES).putLong(number).array()));
        mark = number;
    }

    /** The facts that are durable. */
    public Facts facts() {
        return facts;
    }

    /** Persists these; after it throws, the next start may find either the old facts or these. */
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
