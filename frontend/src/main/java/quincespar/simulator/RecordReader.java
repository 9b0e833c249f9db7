package quincespar.simulator;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;

/** Reads the packed little-endian fields of one record; a field past the end is reported with record and offset. */
final class RecordReader {
    private final ByteBuffer bytes;
    private final String record;
    private final int start;
    private final int end;
    private int position;

    /** Reads from {@code position} up to {@code end}; messages name {@code record} and offsets relative to {@code start}. */
    RecordReader(byte[] bytes, int start, int position, int end, String record) {
        this.bytes = ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
        this.start = start;
        this.position = position;
        this.end = end;
        this.record = record;
    }

    private int advance(int n) {
        if (n < 0 || n > end - position) {
            throw new SimulatorProtocolException(record + ": field of " + Integer.toUnsignedString(n) + " bytes at offset "
                    + (position - start) + " runs past the end at offset " + (end - start));
        }
        int fieldStart = position;
        position += n;
        return fieldStart;
    }

    int u8() {
        return bytes.get(advance(1)) & 0xff;
    }

    int u16() {
        return bytes.getShort(advance(2)) & 0xffff;
    }

    int i32() {
        return bytes.getInt(advance(4));
    }

    long u32() {
        return i32() & 0xffffffffL;
    }

    long u64() {
        return bytes.getLong(advance(8));
    }

    double f32() {
        return bytes.getFloat(advance(4));
    }

    double f64() {
        return bytes.getDouble(advance(8));
    }

    /** Reads an engine id: four bytes of address and two of port, as one number. */
    long engine() {
        long address = u32();
        return address | (long) u16() << 32;
    }

    byte[] raw(int n) {
        int from = advance(n);
        byte[] out = new byte[n];
        System.arraycopy(bytes.array(), from, out, 0, n);
        return out;
    }

    String text(int n) {
        return new String(raw(n), StandardCharsets.UTF_8);
    }
}
