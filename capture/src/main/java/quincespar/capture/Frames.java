package quincespar.capture;

import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * Records in a file: a head that names the form, then each record as its length, the CRC32C of its bytes, and its bytes;
 * numbers are four bytes, most significant first. What was cut off or spoilt loses the tail from there on and no more.
 */
public final class Frames {
    /** Longer than any record that is written. */
    static final int LONGEST = 16 << 20;
    private static final String MAGIC = "QCAP1 ";
    private static final int FRAME_HEAD = 8;

    private Frames() { }

    /** The first bytes of a file whose entries have this schema. */
    public static byte[] header(String schema) {
        return (MAGIC + schema + "\n").getBytes(StandardCharsets.US_ASCII);
    }

    /** One record as it stands in a file. */
    public static byte[] frame(byte[] record) {
        CRC32C crc = new CRC32C();
        crc.update(record);
        return ByteBuffer.allocate(FRAME_HEAD + record.length).putInt(record.length).putInt((int) crc.getValue())
                .put(record).array();
    }

    /** Reads the records of a file one by one. Used by one thread; closing it is its owner's. */
    public static final class Reader {
        private final DataInputStream in;
        private long offset;
        private long records;
        private String damage;

        /** Reads the head; throws {@link MalformedCaptureException} where it is of another form. */
        public Reader(InputStream from, String schema) throws IOException {
            in = new DataInputStream(from);
            byte[] wanted = header(schema);
            byte[] found = in.readNBytes(wanted.length);
            String text = new String(found, StandardCharsets.US_ASCII);
            if (found.length < wanted.length || !text.startsWith(MAGIC)) {
                throw new MalformedCaptureException("this is no capture: it does not begin with '" + MAGIC.strip() + "'", null);
            }
            if (!text.equals(new String(wanted, StandardCharsets.US_ASCII))) {
                throw new MalformedCaptureException("this capture is of schema " + text.substring(MAGIC.length()).strip()
                        + ", and this program reads " + schema + " only", null);
            }
            offset = wanted.length;
        }

        /** The next record; null at the end, and then {@link #damage} tells whether something was lost there. */
        public byte[] next() throws IOException {
            if (damage != null) {
                return null;
            }
            byte[] head = in.readNBytes(FRAME_HEAD);
            if (head.length == 0) {
                return null;
            }
            if (head.length < FRAME_HEAD) {
                return lost("it is cut off within a record's head");
            }
            int length = ByteBuffer.wrap(head).getInt();
            int crc = ByteBuffer.wrap(head).getInt(4);
            if (length < 0 || length > LONGEST) {
                return lost("a record claims " + length + " bytes");
            }
            byte[] record = new byte[length];
            try {
                in.readFully(record);
            } catch (EOFException e) {
                return lost("it is cut off within a record of " + length + " bytes");
            }
            CRC32C found = new CRC32C();
            found.update(record);
            if ((int) found.getValue() != crc) {
                return lost("a record of " + length + " bytes is not what was written");
            }
            offset += FRAME_HEAD + length;
            records++;
            return record;
        }

        private byte[] lost(String why) {
            damage = why + ", at byte " + offset + ", record " + (records + 1);
            return null;
        }

        /** What was lost at the end, in one sentence with byte and record, or null where all is whole. */
        public String damage() {
            return damage;
        }

        /** Records read whole. */
        public long records() {
            return records;
        }

        /** Where the next record begins, in bytes from the start of the file: what is before is whole. */
        public long offset() {
            return offset;
        }
    }
}
