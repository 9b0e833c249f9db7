package quincespar.protocol.resp;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import quincespar.protocol.MalformedException;
import quincespar.protocol.Utf8;

/** Encodes commands to engines and decodes their replies, as RESP arrays of bulk strings. */
public final class EngineCodec {
    /** The priority of an attempt whose command names none. */
    public static final int DEFAULT_PRIORITY = 1;
    private static final int MAX_PAGE_BYTES = 6000;
    private static final int COLUMNS = 3;

    private EngineCodec() { }

    /** A reply of an engine; {@code type} is the name of the reply as received, which may be unknown. */
    public record Reply(String id, String type, Map<String, String> fields, byte[] body) {
        /** The value of a field that must be an integer; throws {@link MalformedException} if it is not. */
        public int number(String field) {
            try {
                return Integer.parseInt(fields.getOrDefault(field, ""));
            } catch (NumberFormatException e) {
                throw new MalformedException(type + ": field " + field + " is not an integer");
            }
        }
    }

    /** Starts an attempt; an empty idempotency key means none. The priority is sent only if it is not the engine's default. */
    public static byte[] serve(String id, String queue, String idempotencyKey, int priority, long budget, byte[] body) {
        String unique = idempotencyKey.isEmpty() ? "" : ",uniq=" + idempotencyKey;
        String order = priority == DEFAULT_PRIORITY ? "" : ",order=" + priority;
        return command(ascii("serve"), ascii(id), utf8("queue=" + queue + ",budget=" + budget + unique + order), body);
    }

    /** Cancels a request. */
    public static byte[] cancel(String id) {
        return command(ascii("cancel"), ascii(id));
    }

    /** Requests a further page of a result. */
    public static byte[] read(String id, int page) {
        return command(ascii("read"), ascii(id), ascii(Integer.toString(page)));
    }

    /** Releases a result whose further pages are not needed. */
    public static byte[] release(String id) {
        return command(ascii("release"), ascii(id));
    }

    /** Probes an engine, which replies with a load report. */
    public static byte[] gauges(String tag) {
        return command(ascii("gauges"), ascii(tag));
    }

    /** Decodes a reply; throws {@link MalformedException} if it is invalid. */
    public static Reply readReply(List<byte[]> items) {
        if (items.size() < 2 || items.size() > 4) {
            throw new MalformedException("reply of " + items.size() + " items");
        }
        byte[] body = items.size() > 3 ? items.get(3) : new byte[0];
        return new Reply(Utf8.text(items.get(0)), Utf8.text(items.get(1)),
                items.size() > 2 ? fields(Utf8.text(items.get(2))) : Map.of(), body);
    }

    /**
     * Requires a page to be UTF-8 text of complete rows with three columns, within the size limit. A valid frame can
     * still carry a corrupt page, which must not reach a client as a result.
     */
    public static void requirePage(byte[] page) {
        if (page.length > MAX_PAGE_BYTES) {
            throw new MalformedException("page of " + page.length + " bytes");
        }
        int tabs = 0;
        for (byte b : page) {
            if (b == '\n') {
                if (tabs != COLUMNS - 1) {
                    throw new MalformedException("row of " + (tabs + 1) + " columns");
                }
                tabs = 0;
            } else if (b == '\t') {
                tabs++;
            }
        }
        if (tabs != 0 || page.length > 0 && page[page.length - 1] != '\n') {
            throw new MalformedException("incomplete last row");
        }
        Utf8.text(page);
    }

    private static Map<String, String> fields(String text) {
        Map<String, String> out = new LinkedHashMap<>();
        if (text.equals("-") || text.isEmpty()) {
            return out;
        }
        for (String pair : text.split(",")) {
            int equals = pair.indexOf('=');
            if (equals <= 0) {
                throw new MalformedException("field is not name=value: '" + pair + "'");
            }
            out.put(pair.substring(0, equals), pair.substring(equals + 1));
        }
        return out;
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
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
