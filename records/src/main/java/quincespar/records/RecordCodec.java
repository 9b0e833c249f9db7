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

/**
 * Writes and reads records as CBOR arrays of their components, in the order in which they are declared. A record of a sealed
 * family has its number in the family before its components: its place among the stored names of the family's records. Doubles
 * keep all their bits, NaN and infinities included. {@link #schema} describes the records; a reader accepts data of its own
 * schema only.
 */
public final class RecordCodec {
    /** One component: how it is read from its record, and what it holds. */
    private record Part(String name, Type type, MethodHandle accessor) { }

    /** One kind of record: its components and how it is made of them. */
    private record Shape(Class<?> type, List<Part> parts, MethodHandle constructor) { }

    private final CBORFactory cbor = new CBORFactory();
    private final StoredNames names;
    private final Map<Class<?>, Shape> shapes = new HashMap<>();
    /** The records of each sealed family, by name: a record's number is its place. */
    private final Map<Class<?>, List<Class<?>>> families = new HashMap<>();
    private final Map<Class<?>, Integer> numbers = new HashMap<>();

    /** Creates a codec for these records and sealed families of records and all that they hold, under their names in the code. */
    public RecordCodec(Class<?>... types) {
        this(StoredNames.none(), types);
    }

    /** Creates a codec for these records and sealed families of records and all that they hold, under the names of a table. */
    public RecordCodec(StoredNames names, Class<?>... types) {
        this.names = names;
        for (Class<?> t : types) {
            learn(t);
        }
    }

    private void learn(Type type) {
        if (type instanceof ParameterizedType p) {
            learn(p.getActualTypeArguments()[0]);
        } else if (type instanceof Class<?> c && c.isSealed() && !families.containsKey(c)) {
            List<Class<?>> family = Arrays.stream(c.getPermittedSubclasses())
                    .sorted(Comparator.comparing(names::of)).toList();
            families.put(c, family);
            family.forEach(f -> numbers.put(f, family.indexOf(f)));
            family.forEach(this::learn);
        } else if (type instanceof Class<?> c && c.isRecord() && !shapes.containsKey(c)) {
            shapes.put(c, shape(c));
            shapes.get(c).parts().forEach(p -> learn(p.type()));
        }
    }

    private static Shape shape(Class<?> c) {
        try {
            MethodHandles.Lookup lookup = MethodHandles.lookup();
            List<Part> parts = new ArrayList<>();
            for (RecordComponent r : c.getRecordComponents()) {
                parts.add(new Part(r.getName(), r.getGenericType(), lookup.unreflect(r.getAccessor())
                        .asType(MethodType.methodType(Object.class, Object.class))));
            }
            Class<?>[] types = Arrays.stream(c.getRecordComponents()).map(RecordComponent::getType)
                    .toArray(Class<?>[]::new);
            MethodHandle made = lookup.findConstructor(c, MethodType.methodType(void.class, types));
            return new Shape(c, List.copyOf(parts), made.asSpreader(Object[].class, types.length)
                    .asType(MethodType.methodType(Object.class, Object[].class)));
        } catch (ReflectiveOperationException e) {
            throw new IllegalArgumentException("a record that can't be read: " + c, e);
        }
    }

    /** All records with their components and families, as one text of stored names: it changes where their form does. */
    public String schema() {
        StringBuilder out = new StringBuilder();
        families.entrySet().stream().sorted(Comparator.comparing(e -> names.of(e.getKey()))).forEach(e -> {
            out.append(names.of(e.getKey())).append(" = ");
            e.getValue().forEach(c -> out.append(names.of(c)).append(' '));
            out.append('\n');
        });
        shapes.values().stream().sorted(Comparator.comparing(s -> names.of(s.type()))).forEach(s -> {
            out.append(names.of(s.type())).append('(');
            s.parts().forEach(p -> out.append(names.of(s.type(), p.name())).append(' ')
                    .append(words(p.type())).append(' '));
            out.append(")\n");
        });
        return out.toString();
    }

    /** The text of a component's type: "double", "Outcome[OK, ERROR]", "Gateway$Limits"; "Gateway$Event>" for a list of these. */
    private String words(Type type) {
        if (type instanceof ParameterizedType p) {
            return typeName((Class<?>) p.getActualTypeArguments()[0]) + ">";
        }
        Class<?> c = (Class<?>) type;
        return c.isEnum() ? names.of(c) + names.constantsOf(c) : typeName(c);
    }

    /** The stored name of a type behind those of the types that enclose it. */
    private String typeName(Class<?> type) {
        return type.isMemberClass() ? typeName(type.getDeclaringClass()) + "$" + names.of(type) : names.of(type);
    }

    /** A value of one of the known types as bytes. */
    public byte[] write(Object value) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(256);
        try (JsonGenerator to = cbor.createGenerator(out)) {
            write(to, value);
        } catch (IOException x) { // nothing is written anywhere but to memory
            throw new UncheckedIOException(x);
        }
        return out.toByteArray();
    }

    /** Reads a value whole; throws {@link MalformedRecord} at what is none. */
    public <T> T read(byte[] bytes, Class<T> type) throws MalformedRecord {
        try (JsonParser in = cbor.createParser(bytes)) {
            if (in.nextToken() == null) {
                throw new MalformedRecord("an empty record", null);
            }
            Object value = read(in, type);
            if (in.nextToken() != null) {
                throw new MalformedRecord("bytes after the end of a record", null);
            }
            return type.cast(value);
        } catch (MalformedRecord e) {
            throw e;
        } catch (StreamReadException e) {
            throw new MalformedRecord("no CBOR: " + e.getOriginalMessage(), e);
        } catch (IOException | RuntimeException e) { // spoilt bytes may claim anything, and are no reason to fail otherwise
            throw new MalformedRecord("a record that can't be read: " + e.getMessage(), e);
        }
    }

    /** Writes a value of one of the known types. */
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
        Shape s = shapes.get(value.getClass());
        if (s == null) {
            throw new IllegalArgumentException("not a known record: " + value.getClass());
        }
        Integer number = numbers.get(value.getClass());
        out.writeStartArray(value, s.parts().size() + (number == null ? 0 : 1));
        if (number != null) {
            out.writeNumber(number);
        }
        for (Part p : s.parts()) {
            write(out, get(p, value));
        }
        out.writeEndArray();
    }

    private static Object get(Part p, Object value) {
        try {
            return (Object) p.accessor().invokeExact(value);
        } catch (RuntimeException | Error e) {
            throw e;
        } catch (Throwable e) { // accessors of records throw nothing else
            throw new IllegalStateException(p.name(), e);
        }
    }

    /** Reads a value of this type, which begins at the parser's current token; throws {@link MalformedRecord}. */
    private Object read(JsonParser in, Type type) throws IOException {
        if (type instanceof ParameterizedType p) {
            return readList(in, p.getActualTypeArguments()[0]);
        }
        Class<?> c = (Class<?>) type;
        if (c == double.class) {
            expect(in.currentToken().isNumeric(), in, "a number");
            return in.getDoubleValue();
        } else if (c == long.class || c == Long.class) {
            expect(in.currentToken() == JsonToken.VALUE_NUMBER_INT, in, "a whole number");
            return in.getLongValue();
        } else if (c == int.class || c == Integer.class) {
            expect(in.currentToken() == JsonToken.VALUE_NUMBER_INT, in, "a whole number");
            return in.getIntValue();
        } else if (c == Double.class) {
            expect(in.currentToken().isNumeric(), in, "a number");
            return in.getDoubleValue();
        } else if (c == boolean.class) {
            expect(in.currentToken().isBoolean(), in, "a truth value");
            return in.getBooleanValue();
        } else if (c == String.class) {
            expect(in.currentToken() == JsonToken.VALUE_STRING, in, "text");
            return in.getText();
        } else if (c == byte[].class) {
            expect(in.currentToken() == JsonToken.VALUE_EMBEDDED_OBJECT, in, "bytes");
            return in.getBinaryValue();
        } else if (c.isEnum()) {
            expect(in.currentToken() == JsonToken.VALUE_NUMBER_INT, in, "a number of " + c.getSimpleName());
            int n = in.getIntValue();
            expect(n >= 0 && n < c.getEnumConstants().length, in, "a number of " + c.getSimpleName());
            return c.getEnumConstants()[n];
        }
        return readRecord(in, c);
    }

    private List<Object> readList(JsonParser in, Type of) throws IOException {
        if (in.currentToken() == JsonToken.VALUE_NULL) {
            return null;
        }
        expect(in.currentToken() == JsonToken.START_ARRAY, in, "a list");
        List<Object> out = new ArrayList<>();
        while (next(in) != JsonToken.END_ARRAY) {
            out.add(read(in, of));
        }
        return out;
    }

    private Object readRecord(JsonParser in, Class<?> type) throws IOException {
        expect(in.currentToken() == JsonToken.START_ARRAY, in, type.getSimpleName());
        Class<?> c = type;
        if (families.containsKey(type)) {
            expect(next(in) == JsonToken.VALUE_NUMBER_INT, in, "a number of " + type.getSimpleName());
            int n = in.getIntValue();
            expect(n >= 0 && n < families.get(type).size(), in, "a number of " + type.getSimpleName());
            c = families.get(type).get(n);
        }
        Shape s = shapes.get(c);
        Object[] values = new Object[s.parts().size()];
        for (int i = 0; i < values.length; i++) {
            next(in);
            values[i] = read(in, s.parts().get(i).type());
        }
        expect(next(in) == JsonToken.END_ARRAY, in, "the end of " + c.getSimpleName());
        try {
            return (Object) s.constructor().invokeExact(values);
        } catch (IllegalArgumentException | NullPointerException e) { // a record that checks what it is made of
            throw new MalformedRecord(c.getSimpleName() + ": " + e.getMessage(), e);
        } catch (RuntimeException | Error e) {
            throw e;
        } catch (Throwable e) { // constructors of the module's records throw nothing else
            throw new IllegalStateException(c.getSimpleName(), e);
        }
    }

    private static JsonToken next(JsonParser in) throws IOException {
        JsonToken t = in.nextToken();
        expect(t != null, in, "more");
        return t;
    }

    private static void expect(boolean right, JsonParser in, String what) throws IOException {
        if (!right) {
            throw new MalformedRecord(what + " expected at byte " + in.currentTokenLocation().getByteOffset()
                    + " of a record", null);
        }
    }
}
