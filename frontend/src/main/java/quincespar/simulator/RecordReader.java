package quincespar.simulator;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;

/** Reads packed little-endian fields of one record, and names record and offset where they run out. */
final class RecordReader {
    private final ByteBuffer bytes;
    private final String what;
    private final int start;
    private final int end;
    private int at;

    /** A reader over {@code bytes} from {@code at} up to {@code end}; offsets are told from {@code start}. */
    RecordReader(byte[] bytes, int start, int at, int end, String what) {
        this.bytes = ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
        this.start = start;
        this.at = at;
        this.end = end;
        this.what = what;
    }

    private int take(int n) {
        if (n < 0 || n > end - at) {
            throw new SimulatorProtocolException(what + ": field of " + Integer.toUnsignedString(n) + " bytes at offset "
                    + (at - start) + " runs past the end at offset " + (end - start));
        }
        int old = at;
        at += n;
        return old;
    }


    int u8() {
        return bytes.get(take(1)) & 0xff;
    }

    int u16() {
        return bytes.getShort(take(2)) & 0xffff;
    }

    int i32() {
        return bytes.getInt(take(4));
    }

    long u32() {
        return i32() & 0xffffffffL;
    }

    long u64() {
        return bytes.getLong(take(8));
    }

    double f32() {
        return bytes.getFloat(take(4));
    }

    double f64() {
        return bytes.getDouble(take(8));
    }

    /** Four bytes of address and a port, kept as they are in one number. */
    long engine() {
        long address = u32();
        return address | (long) u16() << 32;
    }

    byte[] raw(int n) {
        int from = take(n);
        byte[] out = new byte[n];
        System.arraycopy(bytes.array(), from, out, 0, n);
        return out;
    }

    String text(int n) {
        return new String(raw(n), StandardCharsets.UTF_8);
    }
}
