package quincespar.protocol.http;

import java.io.ByteArrayOutputStream;
import java.util.Locale;
import java.util.function.Consumer;
import quincespar.protocol.Buffer;
import quincespar.protocol.MalformedException;

/** Takes the bytes of HTTP/1.1 responses as they come, with a length or in chunks, and hands on each whole one. */
public final class ResponseDecoder {
    /** A whole response. */
    public record Response(int status, byte[] body) { }

    private enum Part { STATUS, HEADERS, BODY, CHUNK_SIZE, CHUNK, CHUNK_END, TRAILER }

    private static final int LINE = 8 * 1024;
    private static final int MOST_HEADERS = 100;
    private static final int LONGEST = 4 << 20;

    private final Buffer buffer = new Buffer();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private Part part = Part.STATUS;
    private int status;
    private int headers;
    private int left;
    private boolean chunked;

    /** Feeds {@code count} bytes; throws {@link MalformedException} at what can't be a response. */
    public void feed(byte[] bytes, int count, Consumer<Response> taker) {
        buffer.add(bytes, count);
        while (advance(taker)) {
            continue;
        }
    }

    private boolean advance(Consumer<Response> taker) {
        if (part == Part.BODY || part == Part.CHUNK) {
            int n = Math.min(left, buffer.size());
            body.writeBytes(buffer.take(n));
            left -= n;
            if (left > 0) {
                return false;
            }
            if (part == Part.BODY) {
                whole(taker);
            } else {
                part = Part.CHUNK_END;
            }
            return true;
        }
        String line = buffer.line(LINE);
        if (line == null) {
            return false;
        }
        switch (part) {
            case STATUS -> status(line);
            case HEADERS -> header(line, taker);
            case CHUNK_SIZE -> {
                left = size(line.split(";")[0].strip(), 16);
                part = left == 0 ? Part.TRAILER : Part.CHUNK;
            }
            case CHUNK_END -> part = Part.CHUNK_SIZE;
            default -> {
                if (line.isEmpty()) {
                    whole(taker);
                }
            }
        }
        return true;
    }

    private void status(String line) {
        String[] words = line.split(" ");
        if (!line.startsWith("HTTP/1.") || words.length < 2) {
            throw new MalformedException("no status line: '" + line + "'");
        }
        status = size(words[1], 10);
        headers = 0;
        left = 0;
        chunked = false;
        part = Part.HEADERS;
    }

    private void header(String line, Consumer<Response> taker) {
        if (line.isEmpty()) {
            if (status >= 100 && status < 200) {
                part = Part.STATUS;
            } else {
                part = chunked ? Part.CHUNK_SIZE : Part.BODY;
            }
            return;
        }
        int colon = line.indexOf(':');
        if (colon <= 0 || ++headers > MOST_HEADERS) {
            throw new MalformedException("no header: '" + line + "'");
        }
        String value = line.substring(colon + 1).strip();
        switch (line.substring(0, colon).toLowerCase(Locale.ROOT)) {
            case "content-length" -> left = size(value, 10);
            case "transfer-encoding" -> chunked = value.equalsIgnoreCase("chunked");
            default -> { }
        }
    }

    private int size(String text, int radix) {
        try {
            int n = Integer.parseInt(text, radix);
            if (n >= 0 && n <= LONGEST && body.size() + n <= LONGEST) {
                return n;
            }
        } catch (NumberFormatException e) {
            throw new MalformedException("no number: '" + text + "'");
        }
        throw new MalformedException("a number out of bounds: '" + text + "'");
    }

    private void whole(Consumer<Response> taker) {
        Response r = new Response(status, body.toByteArray());
        body.reset();
        part = Part.STATUS;
        taker.accept(r);
    }
}
