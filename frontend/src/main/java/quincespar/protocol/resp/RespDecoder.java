package quincespar.protocol.resp;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import quincespar.protocol.Buffer;
import quincespar.protocol.MalformedException;

/** Takes bytes as they come and hands on each whole RESP array of bulk strings. */
public final class RespDecoder {
    private static final int MOST_ITEMS = 16;
    private static final int LONGEST = 64 * 1024;
    private static final int LINE = 32;

    private final Buffer buffer = new Buffer();
    private final List<byte[]> items = new ArrayList<>();
    private int expected = -1;
    private int length = -1;

    /** Feeds {@code count} bytes; throws {@link MalformedException} at the first that can't be right. */
    public void feed(byte[] bytes, int count, Consumer<List<byte[]>> taker) {
        buffer.add(bytes, count);
        while (advance()) {
            if (expected == items.size()) {
                expected = -1;
                List<byte[]> whole = List.copyOf(items);
                items.clear();
                taker.accept(whole);
            }
        }
    }

    /** Whether a message has begun and is not yet whole. */
    public boolean hasPartialMessage() {
        return expected >= 0 || buffer.size() > 0;
    }

    private boolean advance() {
        if (length >= 0) {
            if (buffer.size() < length + 2) {
                return false;
            }
            byte[] item = buffer.take(length);
            if (buffer.at(0) != '\r' || buffer.at(1) != '\n') {
                throw new MalformedException("a bulk string is longer than its length says");
            }
            buffer.skip(2);
            items.add(item);
            length = -1;
            return true;
        }
        String line = buffer.line(LINE);
        if (line == null) {
            return false;
        }
        if (expected < 0) {
            expected = number(line, '*', 1, MOST_ITEMS);
        } else {
            length = number(line, '$', 0, LONGEST);
        }
        return true;
    }

    private static int number(String line, char mark, int least, int most) {
        if (line.isEmpty() || line.charAt(0) != mark) {
            throw new MalformedException("'" + mark + "' expected, got '" + line + "'");
        }
        try {
            int n = Integer.parseInt(line, 1, line.length(), 10);
            if (n >= least && n <= most) {
                return n;
            }
        } catch (NumberFormatException e) {
            throw new MalformedException("not a length: '" + line + "'");
        }
        throw new MalformedException("a length out of bounds: '" + line + "'");
    }
}
