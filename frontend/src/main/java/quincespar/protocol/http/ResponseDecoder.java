package quincespar.protocol.http;

import java.io.ByteArrayOutputStream;
import java.util.Locale;
import java.util.function.Consumer;
import quincespar.protocol.Buffer;
import quincespar.protocol.MalformedException;

/** Decodes HTTP/1.1 responses incrementally, with a content length or in chunks. */
public final class ResponseDecoder {
    /** A complete response. */
    public record Response(int status, byte[] body) { }

    private enum State { STATUS, HEADERS, BODY, CHUNK_SIZE, CHUNK, CHUNK_END, TRAILER }

    private static final int MAX_LINE_BYTES = 8 * 1024;
    private static final int MAX_HEADERS = 100;
    private static final int MAX_BODY_BYTES = 4 << 20;

    private final Buffer buffer = new Buffer();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private State state = State.STATUS;
    private int status;
    private int headerCount;
    private int remaining;
    private boolean chunked;

    /** Feeds {@code count} bytes and passes on each complete response; throws {@link MalformedException} if one is invalid. */
    public void feed(byte[] bytes, int count, Consumer<Response> consumer) {
        buffer.add(bytes, count);
        while (advance(consumer)) {
            continue;
        }
    }

    private boolean advance(Consumer<Response> consumer) {
        if (state == State.BODY || state == State.CHUNK) {
            int n = Math.min(remaining, buffer.size());
            body.writeBytes(buffer.take(n));
            remaining -= n;
            if (remaining > 0) {
                return false;
            }
            if (state == State.BODY) {
                complete(consumer);
            } else {
                state = State.CHUNK_END;
            }
            return true;
        }
        String line = buffer.line(MAX_LINE_BYTES);
        if (line == null) {
            return false;
        }
        switch (state) {
            case STATUS -> status(line);
            case HEADERS -> header(line, consumer);
            case CHUNK_SIZE -> {
                remaining = size(line.split(";")[0].strip(), 16);
                state = remaining == 0 ? State.TRAILER : State.CHUNK;
            }
            case CHUNK_END -> state = State.CHUNK_SIZE;
            default -> {
                if (line.isEmpty()) {
                    complete(consumer);
                }
            }
        }
        return true;
    }

    private void status(String line) {
        String[] words = line.split(" ");
        if (!line.startsWith("HTTP/1.") || words.length < 2) {
            throw new MalformedException("invalid status line: '" + line + "'");
        }
        status = size(words[1], 10);
        headerCount = 0;
        remaining = 0;
        chunked = false;
        state = State.HEADERS;
    }

    private void header(String line, Consumer<Response> consumer) {
        if (line.isEmpty()) {
            if (status >= 100 && status < 200) {
                state = State.STATUS;
            } else {
                state = chunked ? State.CHUNK_SIZE : State.BODY;
            }
            return;
        }
        int colon = line.indexOf(':');
        if (colon <= 0 || ++headerCount > MAX_HEADERS) {
            throw new MalformedException("invalid header or too many: '" + line + "'");
        }
        String value = line.substring(colon + 1).strip();
        switch (line.substring(0, colon).toLowerCase(Locale.ROOT)) {
            case "content-length" -> remaining = size(value, 10);
            case "transfer-encoding" -> chunked = value.equalsIgnoreCase("chunked");
            default -> { }
        }
    }

    private int size(String text, int radix) {
        try {
            int n = Integer.parseInt(text, radix);
            if (n >= 0 && n <= MAX_BODY_BYTES && body.size() + n <= MAX_BODY_BYTES) {
                return n;
            }
        } catch (NumberFormatException e) {
            throw new MalformedException("invalid number: '" + text + "'");
        }
        throw new MalformedException("number out of range: '" + text + "'");
    }

    private void complete(Consumer<Response> consumer) {
        Response r = new Response(status, body.toByteArray());
        body.reset();
        state = State.STATUS;
        consumer.accept(r);
    }
}
