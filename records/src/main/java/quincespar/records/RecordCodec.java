package quincespar.records;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.exc.StreamReadException;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.invoke.MethodHandle;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.MethodType;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Writes and reads records as CBOR arrays of their components, in the order in which they are declared. A record of a sealed
 * family has its number in the family before its components: its place among the stored names of the family's records. Doubles
 * keep all their bits, NaN and infinities included. {@link #schema} describes the records; data can only be read with the schema
 * with which it was written.
 */
public final class RecordCodec {
    private record Component(String name, Type type, MethodHandle accessor) { }

    private record Layout(Class<?> type, List<Component> components, MethodHandle constructor) { }

    private final CBORFactory cbor = new CBORFactory();
    private final StoredNames names;
    private final Map<Class<?>, Layout> layouts = new HashMap<>();
    /** The records of each sealed family, sorted by stored name: a record's number is its index. */
    private final Map<Class<?>, List<Class<?>>> families = new HashMap<>();
    private final Map<Class<?>, Integer> numbers = new HashMap<>();

    /** Creates a codec for these records and sealed families of records and all that they hold, under their names in the code. */
    public RecordCodec(Class<?>... types) {
        this(StoredNames.none(), types);
    }

    /** Creates a codec for these records and sealed families of records and all that they hold, under the names of a table. */
    public RecordCodec(StoredNames names, Class<?>... types) {
        this.names = names;
        for (Class<?> type : types) {
            register(type);
        }
    }

    private void register(Type type) {
        if (type instanceof ParameterizedType list) {
            register(elementType(list));
        } else if (type instanceof Class<?> c && c.isSealed() && !families.containsKey(c)) {
            List<Class<?>> family = Arrays.stream(c.getPermittedSubclasses())
                    .sorted(Comparator.comparing(names::of)).toList();
            families.put(c, family);
            family.forEach(f -> numbers.put(f, family.indexOf(f)));
            family.forEach(this::register);
        } else if (type instanceof Class<?> c && c.isRecord() && !layouts.containsKey(c)) {
            layouts.put(c, layout(c));
            layouts.get(c).components().forEach(p -> register(p.type()));
        }
    }

    private static Type elementType(ParameterizedType list) {
        return list.getActualTypeArguments()[0];
    }

    private static Layout layout(Class<?> type) {
        try {
            MethodHandles.Lookup lookup = MethodHandles.lookup();
            List<Component> components = new ArrayList<>();
            for (RecordComponent c : type.getRecordComponents()) {
                components.add(new Component(c.getName(), c.getGenericType(), lookup.unreflect(c.getAccessor())
                        .asType(MethodType.methodType(Object.class, Object.class))));
            }
            Class<?>[] types = Arrays.stream(type.getRecordComponents()).map(RecordComponent::getType)
                    .toArray(Class<?>[]::new);
            MethodHandle constructor = lookup.findConstructor(type, MethodType.methodType(void.class, types));
            return new Layout(type, List.copyOf(components), constructor.asSpreader(Object[].class, types.length)
                    .asType(MethodType.methodType(Object.class, Object[].class)));
        } catch (ReflectiveOperationException e) {
            throw new IllegalArgumentException("no access to the components of " + type, e);
        }
    }

    /** All records with their components and families as text, under their stored names: it differs if the format does. */
    public String schema() {
        StringBuilder out = new StringBuilder();
        families.entrySet().stream().sorted(Comparator.comparing(e -> names.of(e.getKey()))).forEach(e -> {
            out.append(names.of(e.getKey())).append(" = ");
            e.getValue().forEach(c -> out.append(names.of(c)).append(' '));
            out.append('\n');
        });
        layouts.values().stream().sorted(Comparator.comparing(l -> names.of(l.type()))).forEach(l -> {
            out.append(names.of(l.type())).append('(');
            l.components().forEach(c -> out.append(names.of(l.type(), c.name())).append(' ')
                    .append(typeText(c.type())).append(' '));
            out.append(")\n");
        });
        return out.toString();
    }

    /** The text of a component's type: "double", "Outcome[OK, ERROR]", "Gateway$Limits"; "Gateway$Event>" for a list of these. */
    private String typeText(Type type) {
        if (type instanceof ParameterizedType list) {
            return typeName((Class<?>) elementType(list)) + ">";
        }
        Class<?> c = (Class<?>) type;
        return c.isEnum() ? names.of(c) + names.constantsOf(c) : typeName(c);
    }

    /** The stored name of a type, after those of its enclosing types. */
    private String typeName(Class<?> type) {
        return type.isMemberClass() ? typeName(type.getDeclaringClass()) + "$" + names.of(type) : names.of(type);
    }

    /** Encodes a record of a registered type. */
    public byte[] write(Object value) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(256);
        try (JsonGenerator generator = cbor.createGenerator(out)) {
            write(generator, value);
        } catch (IOException e) { // does not happen: output goes to memory only
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }

    /** Decodes one record that fills {@code bytes}; throws {@link MalformedRecordException} for any other bytes. */
    public <T> T read(byte[] bytes, Class<T> type) throws MalformedRecordException {
        try (JsonParser in = cbor.createParser(bytes)) {
            if (in.nextToken() == null) {
                throw new MalformedRecordException("no bytes where a record was expected", null);
            }
            Object value = read(in, type);
            if (in.nextToken() != null) {
                throw new MalformedRecordException("bytes after the end of a record", null);
            }
            return type.cast(value);
        } catch (MalformedRecordException e) {
            throw e;
        } catch (StreamReadException e) {
            throw new MalformedRecordException("not valid CBOR: " + e.getOriginalMessage(), e);
        } catch (IOException | RuntimeException e) { // damaged bytes can fail anywhere in the parser or in a constructor
            throw new MalformedRecordException("unreadable record: " + e.getMessage(), e);
        }
    }

    /**
     * A record of a registered type, or a list of these, in the form of {@link Record#toString()}, but with the stored names of
     * types, components and enum constants.
     */
    public String toText(Object value) {
        if (value instanceof Enum<?> constant) {
            return names.of(constant);
        } else if (value instanceof List<?> list) {
            return list.stream().map(this::toText).collect(Collectors.joining(", ", "[", "]"));
        } else if (value instanceof Record) {
            Layout layout = layoutOf(value);
            return layout.components().stream()
                    .map(c -> names.of(layout.type(), c.name()) + "=" + toText(get(c, value)))
                    .collect(Collectors.joining(", ", names.of(layout.type()) + "[", "]"));
        }
        return String.valueOf(value);
    }

    private void write(JsonGenerator out, Object value) throws IOException {
        if (value == null) {
            out.writeNull();
        } else if (value instanceof Double d) {
            out.writeNumber(d.doubleValue());
        } else if (value instanceof Long n) {
            out.writeNumber(n.longValue());
        } else if (value instanceof Integer n) {
            out.writeNumber(n.intValue());
        } else if (value instanceof Boolean b) {
            out.writeBoolean(b);
        } else if (value instanceof String s) {
            out.writeString(s);
        } else if (value instanceof byte[] b) {
            out.writeBinary(b);
        } else if (value instanceof Enum<?> e) {
            out.writeNumber(e.ordinal());
        } else if (value instanceof List<?> l) {
            out.writeStartArray(l, l.size());
            for (Object o : l) {
                write(out, o);
            }
            out.writeEndArray();
        } else {
            writeRecord(out, value);
        }
    }

    private void writeRecord(JsonGenerator out, Object value) throws IOException {
        Layout layout = layoutOf(value);
        Integer number = numbers.get(value.getClass());
        out.writeStartArray(value, layout.components().size() + (number == null ? 0 : 1));
        if (number != null) {
            out.writeNumber(number);
        }
        for (Component c : layout.components()) {
            write(out, get(c, value));
        }
        out.writeEndArray();
    }

    private Layout layoutOf(Object value) {
        Layout layout = layouts.get(value.getClass());
        if (layout == null) {
            throw new IllegalArgumentException("not a registered record: " + value.getClass());
        }
        return layout;
    }

    private static Object get(Component component, Object value) {
        try {
            return (Object) component.accessor().invokeExact(value);
        } catch (RuntimeException | Error e) {
            throw e;
        } catch (Throwable e) { // record accessors throw no checked exceptions
            throw new IllegalStateException(component.name(), e);
        }
    }

    /** Reads a value of this type that starts at the parser's current token. */
    private Object read(JsonParser in, Type type) throws IOException {
        if (type instanceof ParameterizedType list) {
            return readList(in, elementType(list));
        }
        Class<?> c = (Class<?>) type;
        if (c == double.class) {
            expect(in.currentToken().isNumeric(), in, "a number");
            return in.getDoubleValue();
        } else if (c == long.class || c == Long.class) {
            expect(in.currentToken() == JsonToken.VALUE_NUMBER_INT, in, "an integer");
            return in.getLongValue();
        } else if (c == int.class || c == Integer.class) {
            expect(in.currentToken() == JsonToken.VALUE_NUMBER_INT, in, "an integer");
            return in.getIntValue();
        } else if (c == Double.class) {
            expect(in.currentToken().isNumeric(), in, "a number");
            return in.getDoubleValue();
        } else if (c == boolean.class) {
            expect(in.currentToken().isBoolean(), in, "a boolean");
            return in.getBooleanValue();
        } else if (c == String.class) {
            expect(in.currentToken() == JsonToken.VALUE_STRING, in, "a string");
            return in.getText();
        } else if (c == byte[].class) {
            expect(in.currentToken() == JsonToken.VALUE_EMBEDDED_OBJECT, in, "bytes");
            return in.getBinaryValue();
        } else if (c.isEnum()) {
            expect(in.currentToken() == JsonToken.VALUE_NUMBER_INT, in, "an ordinal of " + c.getSimpleName());
            int n = in.getIntValue();
            expect(n >= 0 && n < c.getEnumConstants().length, in, "an ordinal of " + c.getSimpleName());
            return c.getEnumConstants()[n];
        }
        return readRecord(in, c);
    }

    private List<Object> readList(JsonParser in, Type elementType) throws IOException {
        if (in.currentToken() == JsonToken.VALUE_NULL) {
            return null;
        }
        expect(in.currentToken() == JsonToken.START_ARRAY, in, "a list");
        List<Object> out = new ArrayList<>();
        while (next(in) != JsonToken.END_ARRAY) {
            out.add(read(in, elementType));
        }
        return out;
    }

    private Object readRecord(JsonParser in, Class<?> type) throws IOException {
        expect(in.currentToken() == JsonToken.START_ARRAY, in, type.getSimpleName());
        Class<?> c = type;
        if (families.containsKey(type)) {
            expect(next(in) == JsonToken.VALUE_NUMBER_INT, in, "a record number of " + type.getSimpleName());
            int n = in.getIntValue();
            expect(n >= 0 && n < families.get(type).size(), in, "a record number of " + type.getSimpleName());
            c = families.get(type).get(n);
        }
        Layout layout = layouts.get(c);
        Object[] values = new Object[layout.components().size()];
        for (int i = 0; i < values.length; i++) {
            next(in);
            values[i] = read(in, layout.components().get(i).type());
        }
        expect(next(in) == JsonToken.END_ARRAY, in, "the end of " + c.getSimpleName());
        try {
            return (Object) layout.constructor().invokeExact(values);
        } catch (IllegalArgumentException | NullPointerException e) { // rejected by the record's constructor
            throw new MalformedRecordException(c.getSimpleName() + ": " + e.getMessage(), e);
        } catch (RuntimeException | Error e) {
            throw e;
        } catch (Throwable e) { // record constructors throw no checked exceptions here
            throw new IllegalStateException(c.getSimpleName(), e);
        }
    }

    private static JsonToken next(JsonParser in) throws IOException {
        JsonToken token = in.nextToken();
        expect(token != null, in, "more data");
        return token;
    }

    private static void expect(boolean condition, JsonParser in, String expected) throws IOException {
        if (!condition) {
            throw new MalformedRecordException(expected + " expected at byte " + in.currentTokenLocation().getByteOffset()
                    + " of a record", null);
        }
    }
}
