package quincespar.capture;

import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * The framing of records in a segment file: a file header with the schema, then each record as its length, the CRC32C of its
 * bytes, and its bytes; both numbers are four bytes, big-endian. Truncation or corruption loses the records from that
 * position on, and none before it.
 */
public final class Frames {
    /** Above the length of any record that is written. */
    static final int MAX_RECORD_BYTES = 16 << 20;
    private static final String MAGIC = "QCAP1 ";
    private static final int FRAME_HEADER_BYTES = 8;

    private Frames() { }

    /** The header of a file whose entries have this schema. */
    public static byte[] header(String schema) {
        return (MAGIC + schema + "\n").getBytes(StandardCharsets.US_ASCII);
    }

    /** A record in its frame. */
    public static byte[] frame(byte[] record) {
        return ByteBuffer.allocate(FRAME_HEADER_BYTES + record.length).putInt(record.length).putInt(checksum(record))
                .put(record).array();
    }

    private static int checksum(byte[] record) {
        CRC32C crc = new CRC32C();
        crc.update(record);
        return (int) crc.getValue();
    }

    /** Reads the records of a file one by one. Not thread-safe; the caller closes the stream. */
    public static final class Reader {
        private final DataInputStream in;
        private long offset;
        private long records;
        private String damage;

        /** Reads the file header; throws {@link MalformedCaptureException} if it is of another format or schema. */
        public Reader(InputStream stream, String schema) throws IOException {
            in = new DataInputStream(stream);
            byte[] expected = header(schema);
            byte[] found = in.readNBytes(expected.length);
            String text = new String(found, StandardCharsets.US_ASCII);
            if (found.length < expected.length || !text.startsWith(MAGIC)) {
                throw new MalformedCaptureException("not a capture: the file does not begin with '" + MAGIC.strip() + "'", null);
            }
            if (!text.equals(new String(expected, StandardCharsets.US_ASCII))) {
                throw new MalformedCaptureException("the capture has schema " + text.substring(MAGIC.length()).strip()
                        + ", and this program reads only " + schema, null);
            }
            offset = expected.length;
        }

        /** The next record; null at the end or at the first damaged record, which {@link #damage} then describes. */
        public byte[] next() throws IOException {
            if (damage != null) {
                return null;
            }
            byte[] header = in.readNBytes(FRAME_HEADER_BYTES);
            if (header.length == 0) {
                return null;
            }
            if (header.length < FRAME_HEADER_BYTES) {
                return damaged("cut off within the header of a record");
            }
            int length = ByteBuffer.wrap(header).getInt();
            int expectedChecksum = ByteBuffer.wrap(header).getInt(4);
            if (length < 0 || length > MAX_RECORD_BYTES) {
                return damaged("invalid record length " + length);
            }
            byte[] record = new byte[length];
            try {
                in.readFully(record);
            } catch (EOFException e) {
                return damaged("cut off within a record of " + length + " bytes");
            }
            if (checksum(record) != expectedChecksum) {
                return damaged("checksum mismatch in a record of " + length + " bytes");
            }
            offset += FRAME_HEADER_BYTES + length;
            records++;
            return record;
        }

        private byte[] damaged(String reason) {
            damage = reason + ", at byte " + offset + ", record " + (records + 1);
            return null;
        }

        /** What is damaged at which byte and record, or null if nothing is. */
        public String damage() {
            return damage;
        }

        /** The number of intact records read so far. */
        public long records() {
            return records;
        }

        /** The offset of the next record in the file, in bytes; everything before it is intact. */
        public long offset() {
            return offset;
        }
    }
}
