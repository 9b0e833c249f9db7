package quincespar.protocol;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** JSON as maps, lists, strings, numbers, booleans and nulls, by way of Jackson's streaming parser. */
public final class Json {
    private Json() { }

    /** Reads one value; throws {@link MalformedException} where it is none. */
    public static Object read(byte[] text) {
        try (JsonParser in = new JsonFactory().createParser(text)) {
            in.nextToken();
            Object value = value(in);
            if (in.nextToken() != null) {
                throw new MalformedException("more than one JSON value");
            }
            return value;
        } catch (IOException e) {
            throw new MalformedException("not JSON: " + e.getMessage().lines().findFirst().orElse(""));
        }
    }

    private static Object value(JsonParser in) throws IOException {
        JsonToken t = in.currentToken();
        if (t == null) {
            throw new MalformedException("no JSON value");
        }
        switch (t) {
            case START_OBJECT -> {
                Map<String, Object> out = new LinkedHashMap<>();
                while (in.nextToken() != JsonToken.END_OBJECT) {
                    String name = in.currentName();
                    in.nextToken();
                    out.put(name, value(in));
                }
                return out;
            }
            case START_ARRAY -> {
                List<Object> out = new ArrayList<>();
                while (in.nextToken() != JsonToken.END_ARRAY) {
                    out.add(value(in));
                }
                return out;
            }
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> {
                return in.getNumberValue();
            }
            case VALUE_TRUE, VALUE_FALSE -> {
                return in.getBooleanValue();
            }
            case VALUE_NULL -> {
                return null;
            }
            default -> {
                return in.getText();
            }
        }
    }

    /** The value as an object; {@code what} names it in the complaint where it is none. */
    @SuppressWarnings("unchecked")
    public static Map<String, Object> object(Object value, String what) {
        if (value instanceof Map<?, ?> m) {
            return (Map<String, Object>) m;
        }
        throw new MalformedException(what + " is no object");
    }

    /** The value as a list. */
    public static List<?> list(Object value, String what) {
        if (value instanceof List<?> l) {
            return l;
        }
        throw new MalformedException(what + " is no list");
    }

    /** The value as text. */
    public static String text(Object value, String what) {
        if (value instanceof String s) {
            return s;
        }
        throw new MalformedException(what + " is no text");
    }

    /** The value as a number. */
    public static double number(Object value, String what) {
        if (value instanceof Number n) {
            return n.doubleValue();
        }
        throw new MalformedException(what + " is no number");
    }

    /**
     * Nested objects as the simulator's wire writes them: paths and values, lists of plain values joined with
     * commas, lists of objects with their length under {@code .count}.
     */
    public static Map<String, String> flatten(Map<String, Object> nested) {
        Map<String, String> out = new LinkedHashMap<>();
        nested.forEach((k, v) -> flatten(k, v, out));
        return out;
    }

    private static void flatten(String path, Object value, Map<String, String> out) {
        if (value instanceof Map<?, ?> m) {
            m.forEach((k, v) -> flatten(path + "." + k, v, out));
        } else if (value instanceof List<?> l && l.stream().anyMatch(Map.class::isInstance)) {
            out.put(path + ".count", Integer.toString(l.size()));
            for (int i = 0; i < l.size(); i++) {
                flatten(path + "." + i, l.get(i), out);
            }
        } else if (value instanceof List<?> l) {
            out.put(path, String.join(",", l.stream().map(String::valueOf).toList()));
        } else if (value != null) {
            out.put(path, value.toString());
        }
    }
}
