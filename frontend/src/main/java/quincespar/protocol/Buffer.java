package quincespar.protocol;

import java.util.Arrays;

/** Bytes that have come and are not yet used up; the decoders look at it from {@code 0} to {@code size}. */
public final class Buffer {
    private byte[] bytes = new byte[1024];
    private int from;
    private int to;

    public void add(byte[] more, int count) {
        if (to + count > bytes.length) {
            int held = size();
            byte[] target = held + count > bytes.length ? new byte[Math.max(2 * bytes.length, held + count)] : bytes;
            System.arraycopy(bytes, from, target, 0, held);
            bytes = target;
            from = 0;
            to = held;
        }
        System.arraycopy(more, 0, bytes, to, count);
        to += count;
    }

    public int size() {
        return to - from;
    }

    public byte at(int i) {
        return bytes[from + i];
    }

    /** Four bytes, big end first. */
    public int int32(int i) {
        return at(i) << 24 | (at(i + 1) & 255) << 16 | (at(i + 2) & 255) << 8 | at(i + 3) & 255;
    }

    public byte[] take(int n) {
        byte[] out = Arrays.copyOfRange(bytes, from, from + n);
        skip(n);
        return out;
    }

    public void skip(int n) {
        from += n;
        if (from == to) {
            from = 0;
            to = 0;
            if (bytes.length > 64 * 1024) {
                bytes = new byte[1024]; // one long message must not keep its room for good
            }
        }
    }

    /** The next line without its CR LF, taken out; null while it has not come whole. */
    public String line(int most) {
        for (int i = 0; i + 1 < size(); i++) {
            if (at(i) == '\r' && at(i + 1) == '\n') {
                String s = new String(bytes, from, i, java.nio.charset.StandardCharsets.ISO_8859_1);
                skip(i + 2);
                return s;
            }
            if (i > most) {
                throw new MalformedException("a line of over " + most + " bytes");
            }
        }
        return null;
    }
}
