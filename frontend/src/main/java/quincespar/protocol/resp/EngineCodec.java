package quincespar.protocol.resp;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import quincespar.protocol.MalformedException;
import quincespar.protocol.Utf8;

/** The engines' commands and answers, as RESP arrays of bulk strings. */
public final class EngineCodec {
    private static final int LONGEST_PAGE = 6000;
    private static final int COLUMNS = 3;

    private EngineCodec() { }

    /** An answer of an engine: {@code word} is one of the protocol's, or an unknown one as it came. */
    public record Reply(String id, String type, Map<String, String> fields, byte[] body) {
        /** A field that must be a whole number. */
        public int number(String field) {
            try {
                return Integer.parseInt(fields.getOrDefault(field, ""));
            } catch (NumberFormatException e) {
                throw new MalformedException(type + ": field " + field + " is no number");
            }
        }
    }

    /** The command that starts an attempt; an empty idempotency key is none. */
    public static byte[] serve(String id, String queue, String idempotencyKey, long budget, byte[] body) {
        String unique = idempotencyKey.isEmpty() ? "" : ",uniq=" + idempotencyKey;
        return command(ascii("serve"), ascii(id), utf8("queue=" + queue + ",budget=" + budget + unique), body);
    }

    /** Gives a request up. */
    public static byte[] cancel(String id) {
        return command(ascii("cancel"), ascii(id));
    }

    /** Asks for a further page of a result. */
    public static byte[] read(String id, int page) {
        return command(ascii("read"), ascii(id), ascii(Integer.toString(page)));
    }

    /** Says that no more pages are wanted. */
    public static byte[] release(String id) {
        return command(ascii("release"), ascii(id));
    }

    /** A probe that brings a load report. */
    public static byte[] gauges(String tag) {
        return command(ascii("gauges"), ascii(tag));
    }

    /** Reads an answer; throws {@link MalformedException} where it is none. */
    public static Reply readReply(List<byte[]> items) {
        if (items.size() < 2 || items.size() > 4) {
            throw new MalformedException("an answer of " + items.size() + " parts");
        }
        byte[] body = items.size() > 3 ? items.get(3) : new byte[0];
        return new Reply(Utf8.text(items.get(0)), Utf8.text(items.get(1)),
                items.size() > 2 ? fields(Utf8.text(items.get(2))) : Map.of(), body);
    }

    /**
     * Judges a page by its shape: text in whole rows of three columns, within its bound. What arrives spoilt may
     * still stand in a good frame, and passed on it would be an answer that no engine made.
     */
    public static void requirePage(byte[] page) {
        if (page.length > LONGEST_PAGE) {
            throw new MalformedException("a page of " + page.length + " bytes");
        }
        int tabs = 0;
        for (byte b : page) {
            if (b == '\n') {
                if (tabs != COLUMNS - 1) {
                    throw new MalformedException("a row of " + (tabs + 1) + " columns");
                }
                tabs = 0;
            } else if (b == '\t') {
                tabs++;
            }
        }
        if (tabs != 0 || page.length > 0 && page[page.length - 1] != '\n') {
            throw new MalformedException("a row that does not end");
        }
        Utf8.text(page);
    }

    private static Map<String, String> fields(String s) {
        Map<String, String> out = new LinkedHashMap<>();
        if (s.equals("-") || s.isEmpty()) {
            return out;
        }
        for (String pair : s.split(",")) {
            int eq = pair.indexOf('=');
            if (eq <= 0) {
                throw new MalformedException("not name=value: '" + pair + "'");
            }
            out.put(pair.substring(0, eq), pair.substring(eq + 1));
        }
        return out;
    }

    private static byte[] ascii(String s) {
        return s.getBytes(StandardCharsets.US_ASCII);
    }

    private static byte[] utf8(String s) {
        return s.getBytes(StandardCharsets.UTF_8);
    }

    private static byte[] command(byte[]... items) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(ascii("*" + items.length + "\r\n"));
        for (byte[] item : items) {
            out.writeBytes(ascii("$" + item.length + "\r\n"));
            out.writeBytes(item);
            out.writeBytes(ascii("\r\n"));
        }
        return out.toByteArray();
    }
}
