package quincespar.protocol.http;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.regex.Pattern;
import quincespar.protocol.Buffer;

/**
 * Takes the bytes of one HTTP/1.1 request as they come and hands on its head once that is whole (RFC 9112). What
 * follows the head, a body or a further request, is not looked at: there is one call to a connection.
 */
public final class RequestDecoder {
    /** The head of a request: its method, and its target without the query. */
    public record Request(String method, String path) { }

    /** The head can't be taken; {@code status} is the answer that this deserves. */
    public static final class RejectedException extends RuntimeException {
        private static final long serialVersionUID = 1;
        private final int status;

        RejectedException(int status, String why) {
            super(why, null, false, false);
            this.status = status;
        }

        /** The status to answer with. */
        public int status() {
            return status;
        }
    }

    private static final int BAD_REQUEST = 400;
    private static final int TOO_LARGE = 431;
    /** The whole head, in bytes. */
    private static final int LONGEST = 8 * 1024;
    private static final Pattern TOKEN = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+");
    private static final Pattern TARGET = Pattern.compile("[!-~]+");

    private final Buffer buffer = new Buffer();
    private int seen;
    private int lineFrom;
    private Request request;
    private boolean done;

    /**
     * Feeds {@code count} bytes; the request once its head is whole, and only then. Throws {@link RejectedException}
     * where it can't become one. Nothing may be fed after either.
     */
    public Optional<Request> feed(byte[] bytes, int count) {
        if (done) {
            throw new IllegalStateException("the request is over");
        }
        int room = LONGEST - buffer.size();
        buffer.add(bytes, Math.min(count, room + 1));
        for (; seen < buffer.size(); seen++) {
            if (buffer.at(seen) == '\n' && line()) {
                done = true;
                return Optional.of(request);
            }
        }
        if (buffer.size() > LONGEST) {
            throw refused(TOO_LARGE, "a head of over " + LONGEST + " bytes");
        }
        return Optional.empty();
    }

    /** Takes the line that ends here, with or without a CR before its LF; true where it ends the head. */
    private boolean line() {
        int to = seen > lineFrom && buffer.at(seen - 1) == '\r' ? seen - 1 : seen;
        byte[] text = new byte[to - lineFrom];
        for (int i = 0; i < text.length; i++) {
            text[i] = buffer.at(lineFrom + i);
        }
        String line = new String(text, StandardCharsets.ISO_8859_1);
        lineFrom = seen + 1;
        if (request == null) {
            request = line.isEmpty() ? null : start(line); // an empty line ahead is passed over, as RFC 9112 has it
            return false;
        }
        if (line.isEmpty()) {
            return true;
        }
        int colon = line.indexOf(':');
        if (colon <= 0 || !TOKEN.matcher(line.substring(0, colon)).matches()) {
            throw refused(BAD_REQUEST, "no header: '" + line + "'");
        }
        if (line.chars().anyMatch(c -> c < ' ' && c != '\t' || c == 0x7f)) {
            throw refused(BAD_REQUEST, "a control character in a header");
        }
        return false;
    }

    private Request start(String line) {
        String[] words = line.split(" ", -1);
        if (words.length != 3 || !TOKEN.matcher(words[0]).matches() || !TARGET.matcher(words[1]).matches()
                || !words[2].matches("HTTP/1\\.[0-9]")) {
            throw refused(BAD_REQUEST, "no request line");
        }
        int query = words[1].indexOf('?');
        return new Request(words[0], query < 0 ? words[1] : words[1].substring(0, query));
    }

    private RejectedException refused(int status, String why) {
        done = true;
        return new RejectedException(status, why);
    }
}
