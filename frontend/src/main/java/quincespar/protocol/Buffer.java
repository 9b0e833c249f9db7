package quincespar.protocol;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** A growing buffer of received bytes that are not yet consumed; index 0 is the first unconsumed byte. */
public final class Buffer {
    private static final int INITIAL_BYTES = 1024;
    private static final int MAX_RETAINED_BYTES = 64 * 1024;

    private byte[] bytes = new byte[INITIAL_BYTES];
    private int start;
    private int end;

    /** Appends the first {@code count} bytes of {@code more}. */
    public void add(byte[] more, int count) {
        if (end + count > bytes.length) {
            int retained = size();
            byte[] target = retained + count > bytes.length ? new byte[Math.max(2 * bytes.length, retained + count)] : bytes;
            System.arraycopy(bytes, start, target, 0, retained);
            bytes = target;
            start = 0;
            end = retained;
        }
        System.arraycopy(more, 0, bytes, end, count);
        end += count;
    }

    /** The number of unconsumed bytes. */
    public int size() {
        return end - start;
    }

    /** The byte at index {@code i}, without consuming it. */
    public byte at(int i) {
        return bytes[start + i];
    }

    /** Reads a big-endian 32-bit integer at index {@code i} without consuming it. */
    public int int32(int i) {
        return at(i) << 24 | (at(i + 1) & 255) << 16 | (at(i + 2) & 255) << 8 | at(i + 3) & 255;
    }

    /** Consumes {@code n} bytes and returns them. */
    public byte[] take(int n) {
        byte[] out = Arrays.copyOfRange(bytes, start, start + n);
        skip(n);
        return out;
    }

    /** Consumes {@code n} bytes. */
    public void skip(int n) {
        start += n;
        if (start == end) {
            start = 0;
            end = 0;
            if (bytes.length > MAX_RETAINED_BYTES) {
                bytes = new byte[INITIAL_BYTES]; // a long message must not hold its memory for the life of the connection
            }
        }
    }

    /**
     * Consumes the next line and returns it without its CR LF; null while it is incomplete. Throws
     * {@link MalformedException} if it is longer than {@code maxLength} bytes.
     */
    public String line(int maxLength) {
        for (int i = 0; i + 1 < size(); i++) {
            if (at(i) == '\r' && at(i + 1) == '\n') {
                String s = new String(bytes, start, i, StandardCharsets.ISO_8859_1);
                skip(i + 2);
                return s;
            }
            if (i > maxLength) {
                throw new MalformedException("line exceeds " + maxLength + " bytes");
            }
        }
        return null;
    }
}
