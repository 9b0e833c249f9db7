package quincespar.protocol.resp;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import quincespar.protocol.Buffer;
import quincespar.protocol.MalformedException;

/** Decodes RESP arrays of bulk strings incrementally. */
public final class RespDecoder {
    private static final int MAX_ITEMS = 16;
    private static final int MAX_ITEM_BYTES = 64 * 1024;
    private static final int MAX_LINE_BYTES = 32;

    private final Buffer buffer = new Buffer();
    private final List<byte[]> items = new ArrayList<>();
    private int expectedItems = -1;
    private int itemLength = -1;

    /** Feeds {@code count} bytes and passes on each complete array; throws {@link MalformedException} if one is invalid. */
    public void feed(byte[] bytes, int count, Consumer<List<byte[]>> consumer) {
        buffer.add(bytes, count);
        while (advance()) {
            if (expectedItems == items.size()) {
                expectedItems = -1;
                List<byte[]> message = List.copyOf(items);
                items.clear();
                consumer.accept(message);
            }
        }
    }

    /** Whether a message has begun and is incomplete. */
    public boolean hasPartialMessage() {
        return expectedItems >= 0 || buffer.size() > 0;
    }

    private boolean advance() {
        if (itemLength >= 0) {
            if (buffer.size() < itemLength + 2) {
                return false;
            }
            byte[] item = buffer.take(itemLength);
            if (buffer.at(0) != '\r' || buffer.at(1) != '\n') {
                throw new MalformedException("bulk string is longer than its declared length");
            }
            buffer.skip(2);
            items.add(item);
            itemLength = -1;
            return true;
        }
        String line = buffer.line(MAX_LINE_BYTES);
        if (line == null) {
            return false;
        }
        if (expectedItems < 0) {
            expectedItems = number(line, '*', 1, MAX_ITEMS);
        } else {
            itemLength = number(line, '$', 0, MAX_ITEM_BYTES);
        }
        return true;
    }

    private static int number(String line, char prefix, int min, int max) {
        if (line.isEmpty() || line.charAt(0) != prefix) {
            throw new MalformedException("'" + prefix + "' expected, got '" + line + "'");
        }
        try {
            int n = Integer.parseInt(line, 1, line.length(), 10);
            if (n >= min && n <= max) {
                return n;
            }
        } catch (NumberFormatException e) {
            throw new MalformedException("invalid length: '" + line + "'");
        }
        throw new MalformedException("length out of range: '" + line + "'");
    }
}
