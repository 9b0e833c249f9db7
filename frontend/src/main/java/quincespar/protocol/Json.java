package quincespar.protocol;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Parses JSON into maps, lists, strings, numbers, booleans and nulls, with Jackson's streaming parser. */
public final class Json {
    private Json() { }

    /** Parses a single JSON value; throws {@link MalformedException} if the text is anything else. */
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
        JsonToken token = in.currentToken();
        if (token == null) {
            throw new MalformedException("missing JSON value");
        }
        switch (token) {
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

    /** Casts the value to an object; {@code what} names it in the message of the {@link MalformedException} if it is none. */
    @SuppressWarnings("unchecked")
    public static Map<String, Object> object(Object value, String what) {
        if (value instanceof Map<?, ?> m) {
            return (Map<String, Object>) m;
        }
        throw new MalformedException(what + " is not an object");
    }

    /** Casts the value to a list. */
    public static List<?> list(Object value, String what) {
        if (value instanceof List<?> l) {
            return l;
        }
        throw new MalformedException(what + " is not a list");
    }

    /** Casts the value to a string. */
    public static String text(Object value, String what) {
        if (value instanceof String s) {
            return s;
        }
        throw new MalformedException(what + " is not a string");
    }

    /** Casts the value to a number. */
    public static double number(Object value, String what) {
        if (value instanceof Number n) {
            return n.doubleValue();
        }
        throw new MalformedException(what + " is not a number");
    }

    /**
     * Flattens nested objects to dotted paths and values, as in the settings of the simulator's protocol: lists of plain
     * values are joined with commas, lists of objects have their length under {@code .count}.
     */
    public static Map<String, String> flatten(Map<String, Object> nested) {
        Map<String, String> out = new LinkedHashMap<>();
        nested.forEach((k, v) -> flattenInto(k, v, out));
        return out;
    }

    private static void flattenInto(String path, Object value, Map<String, String> out) {
        if (value instanceof Map<?, ?> m) {
            m.forEach((k, v) -> flattenInto(path + "." + k, v, out));
        } else if (value instanceof List<?> l && l.stream().anyMatch(Map.class::isInstance)) {
            out.put(path + ".count", Integer.toString(l.size()));
            for (int i = 0; i < l.size(); i++) {
                flattenInto(path + "." + i, l.get(i), out);
            }
        } else if (value instanceof List<?> l) {
            out.put(path, String.join(",", l.stream().map(String::valueOf).toList()));
        } else if (value != null) {
            out.put(path, value.toString());
        }
    }
}
