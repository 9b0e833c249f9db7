package quincespar.protocol.http;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.regex.Pattern;
import quincespar.protocol.Buffer;

/**
 * Decodes the head of one HTTP/1.1 request incrementally (RFC 9112). Whatever follows the head, a body or a further
 * request, is ignored: a connection serves one request.
 */
public final class RequestDecoder {
    /** The head of a request: its method, and its target without the query. */
    public record Request(String method, String path) { }

    /** The head is invalid or too large; {@code status} is the status to answer with. */
    public static final class RejectedException extends RuntimeException {
        private static final long serialVersionUID = 1;
        private final int status;

        RejectedException(int status, String why) {
            super(why, null, false, false);
            this.status = status;
        }

        public int status() {
            return status;
        }
    }

    private static final int BAD_REQUEST = 400;
    private static final int TOO_LARGE = 431;
    /** Limit on the size of the head. */
    private static final int MAX_HEAD_BYTES = 8 * 1024;
    private static final Pattern TOKEN = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+");
    private static final Pattern TARGET = Pattern.compile("[!-~]+");

    private final Buffer buffer = new Buffer();
    private int scanned;
    private int lineStart;
    private Request request;
    private boolean done;

    /**
     * Feeds {@code count} bytes; returns the request once its head is complete. Throws {@link RejectedException} if the
     * head is invalid. Nothing may be fed after either.
     */
    public Optional<Request> feed(byte[] bytes, int count) {
        if (done) {
            throw new IllegalStateException("the request is complete or rejected");
        }
        int remaining = MAX_HEAD_BYTES - buffer.size();
        buffer.add(bytes, Math.min(count, remaining + 1));
        for (; scanned < buffer.size(); scanned++) {
            if (buffer.at(scanned) == '\n' && decodeLine()) {
                done = true;
                return Optional.of(request);
            }
        }
        if (buffer.size() > MAX_HEAD_BYTES) {
            throw reject(TOO_LARGE, "request head exceeds " + MAX_HEAD_BYTES + " bytes");
        }
        return Optional.empty();
    }

    /** Decodes the line that ends here, with or without a CR before its LF; true if it ends the head. */
    private boolean decodeLine() {
        int lineEnd = scanned > lineStart && buffer.at(scanned - 1) == '\r' ? scanned - 1 : scanned;
        byte[] text = new byte[lineEnd - lineStart];
        for (int i = 0; i < text.length; i++) {
            text[i] = buffer.at(lineStart + i);
        }
        String line = new String(text, StandardCharsets.ISO_8859_1);
        lineStart = scanned + 1;
        if (request == null) {
            request = line.isEmpty() ? null : requestLine(line); // empty lines before the request line are skipped (RFC 9112)
            return false;
        }
        if (line.isEmpty()) {
            return true;
        }
        int colon = line.indexOf(':');
        if (colon <= 0 || !TOKEN.matcher(line.substring(0, colon)).matches()) {
            throw reject(BAD_REQUEST, "invalid header: '" + line + "'");
        }
        if (line.chars().anyMatch(c -> c < ' ' && c != '\t' || c == 0x7f)) {
            throw reject(BAD_REQUEST, "control character in a header");
        }
        return false;
    }

    private Request requestLine(String line) {
        String[] words = line.split(" ", -1);
        if (words.length != 3 || !TOKEN.matcher(words[0]).matches() || !TARGET.matcher(words[1]).matches()
                || !words[2].matches("HTTP/1\\.[0-9]")) {
            throw reject(BAD_REQUEST, "invalid request line");
        }
        int query = words[1].indexOf('?');
        return new Request(words[0], query < 0 ? words[1] : words[1].substring(0, query));
    }

    private RejectedException reject(int status, String why) {
        done = true;
        return new RejectedException(status, why);
    }
}
