package quincespar.capture;

import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.lang.reflect.Array;
import java.lang.reflect.Constructor;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.objenesis.Objenesis;
import org.objenesis.ObjenesisStd;

/**
 * Encodes and decodes the state of a decision module: the whole object graph that it reaches, references and random generator
 * included. Equal states give equal bytes, whether or not they were decoded from bytes, so that two modules can be compared.
 *
 * <p>Immutable things (numbers, strings, enum constants, records and the lists in them) are values: equal ones are written
 * once, after the values of which they consist. Everything else is an object with an identity, written by number. Objects are
 * written one after another from a queue instead of recursively: open requests refer to each other through engines in chains
 * as long as the number of requests, and recursion would overflow the stack. Not thread-safe.
 */
public final class StateCodec {
    /** The kinds of objects, stored by ordinal; a plain one is an instance of one of the module's own classes. */
    private enum ObjectKind { PLAIN, LIST, MAP, SET, QUEUE, SORTED_SET, DOUBLES, INTS, OBJECTS }

    /** The kinds of values, stored by ordinal. */
    private enum ValueKind { INTEGER, LONG, DOUBLE, BOOLEAN, STRING, ENUM_CONSTANT, RECORD, FIXED_LIST }

    private final Class<?> root;
    /** All classes that may occur, sorted by name: a class's number is its index. */
    private final List<Class<?>> classes;
    private final Map<Class<?>, Integer> numbers = new HashMap<>();
    private final Map<Class<?>, Field[]> fields = new HashMap<>();
    private final Map<Class<?>, Constructor<?>> constructors = new HashMap<>();
    private final Objenesis instantiator = new ObjenesisStd();
    private final String schema;

    /** Creates a codec for modules of class {@code root} and all classes of its package that its state can reach. */
    public StateCodec(Class<?> root) {
        this.root = root;
        Set<Class<?>> reached = new LinkedHashSet<>();
        collectClasses(root, reached);
        classes = reached.stream().filter(c -> !c.isInterface()).sorted(Comparator.comparing(Class::getName)).toList();
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < classes.size(); i++) {
            Class<?> c = classes.get(i);
            numbers.put(c, i);
            text.append(c.getName());
            if (c.isEnum()) {
                text.append(Arrays.toString(c.getEnumConstants()));
            } else {
                fields.put(c, fieldsOf(c));
                Arrays.stream(fields.get(c)).forEach(f -> text.append(' ').append(f.getName()).append(':')
                        .append(f.getGenericType().getTypeName()));
            }
            if (c.isRecord()) {
                constructors.put(c, constructorOf(c));
            }
            text.append('\n');
        }
        schema = Digests.shortHex(text.toString());
    }

    /** Sixteen hex digits that identify the classes and fields of the state. */
    public String schema() {
        return schema;
    }

    /** Collects a class with all its nest members, such as the records of a sealed interface, and the classes of its fields. */
    private static void collectClasses(Class<?> c, Set<Class<?>> reached) {
        for (Class<?> member : c.getNestMembers()) {
            if (!member.isAnonymousClass() && !member.isSynthetic() && reached.add(member)) {
                for (Field f : member.getDeclaredFields()) {
                    collectClasses(f.getGenericType(), member.getPackage(), reached);
                }
            }
        }
    }

    private static void collectClasses(Type type, Package modulePackage, Set<Class<?>> reached) {
        if (type instanceof ParameterizedType p) {
            Arrays.stream(p.getActualTypeArguments()).forEach(a -> collectClasses(a, modulePackage, reached));
        } else if (type instanceof Class<?> c && c.isArray()) {
            collectClasses(c.getComponentType(), modulePackage, reached);
        } else if (type instanceof Class<?> c && modulePackage.equals(c.getPackage())) {
            collectClasses(c, reached);
        }
    }

    /** The components of a record as declared, or the instance fields of any other class sorted by name. */
    private static Field[] fieldsOf(Class<?> c) {
        if (c.isRecord()) {
            return Arrays.stream(c.getRecordComponents()).map(r -> field(c, r)).toArray(Field[]::new);
        }
        if (c.getSuperclass() != Object.class) {
            throw new IllegalArgumentException(c + " may have state in its superclass, which is not encoded");
        }
        Field[] all = Arrays.stream(c.getDeclaredFields()).filter(f -> !Modifier.isStatic(f.getModifiers()))
                .sorted(Comparator.comparing(Field::getName)).toArray(Field[]::new);
        Arrays.stream(all).forEach(f -> f.setAccessible(true));
        return all;
    }

    private static Field field(Class<?> c, RecordComponent r) {
        try {
            Field f = c.getDeclaredField(r.getName());
            f.setAccessible(true);
            return f;
        } catch (NoSuchFieldException e) {
            throw new IllegalStateException(e);
        }
    }

    private static Constructor<?> constructorOf(Class<?> c) {
        try {
            Constructor<?> constructor = c.getDeclaredConstructor(Arrays.stream(c.getRecordComponents())
                    .map(RecordComponent::getType).toArray(Class<?>[]::new));
            constructor.setAccessible(true);
            return constructor;
        } catch (NoSuchMethodException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Encodes a module's state; throws {@link IllegalStateException} if it holds an object of an unsupported class. */
    public byte[] write(Object module) {
        try {
            return new Writer().write(module);
        } catch (IllegalAccessException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Decodes a state into a new module; throws {@link MalformedCaptureException} for any other bytes. */
    public <T> T read(byte[] bytes, Class<T> type) throws IOException {
        Reader in = new Reader(bytes);
        try {
            Object module = in.read();
            if (module.getClass() != root) {
                throw new MalformedCaptureException("the state is that of a " + module.getClass().getSimpleName(), null);
            }
            return type.cast(module);
        } catch (MalformedCaptureException e) {
            throw e;
        } catch (IOException | RuntimeException | ReflectiveOperationException e) { // damaged bytes can fail anywhere
            throw new MalformedCaptureException("unreadable state: " + e, e);
        }
    }

    /**
     * A growing buffer that holds equal values only once: a value that was just appended and occurs earlier is removed again.
     * Values are compared by their encoded bytes, as hashing a record would visit everything that it holds.
     */
    private static final class Buffer {
        private static final int INITIAL_SIZE = 1 << 12;
        /** A slot of the hash table holds four ints: the offset of a value, its length, its hash, and its number plus one. */
        private static final int SLOT = 4;
        private static final int LENGTH = 1;
        private static final int HASH = 2;
        /** 0 in an empty slot. */
        private static final int NUMBER = 3;
        private byte[] bytes = new byte[INITIAL_SIZE];
        private int size;
        private int[] table = new int[INITIAL_SIZE];
        private int values;

        private void ensureCapacity(int moreBytes) {
            if (size + moreBytes > bytes.length) {
                bytes = Arrays.copyOf(bytes, Math.max(2 * bytes.length, size + moreBytes));
            }
        }

        void putByte(int b) {
            ensureCapacity(1);
            bytes[size++] = (byte) b;
        }

        /** Appends a non-negative number in seven bits a byte, lowest first. */
        void putVarint(int n) {
            int rest = n;
            while (rest > 127) {
                putByte(rest & 127 | 128);
                rest >>>= 7;
            }
            putByte(rest);
        }

        void putInt(int n) {
            ensureCapacity(Integer.BYTES);
            for (int shift = 24; shift >= 0; shift -= 8) {
                bytes[size++] = (byte) (n >>> shift);
            }
        }

        void putLong(long n) {
            putInt((int) (n >>> 32));
            putInt((int) n);
        }

        void putDouble(double x) {
            putLong(Double.doubleToRawLongBits(x));
        }

        void putBytes(byte[] more) {
            ensureCapacity(more.length);
            System.arraycopy(more, 0, bytes, size, more.length);
            size += more.length;
        }

        /** Ends the value that starts at an offset, and returns its number; an equal value before it takes its place. */
        int endValue(int from) {
            int length = size - from;
            int hash = 1;
            for (int i = from; i < size; i++) {
                hash = 31 * hash + bytes[i];
            }
            if (4 * SLOT * values >= 2 * table.length) { // at most half full
                growTable();
            }
            int slot = slotOf(hash);
            while (table[slot + NUMBER] != 0) {
                if (table[slot + HASH] == hash && table[slot + LENGTH] == length
                        && Arrays.equals(bytes, table[slot], table[slot] + length, bytes, from, size)) {
                    size = from;
                    return table[slot + NUMBER] - 1;
                }
                slot = (slot + SLOT) % table.length;
            }
            setSlot(slot, from, length, hash, ++values);
            return values - 1;
        }

        /** Mixes the hash, as consecutive hashes would fill consecutive slots, and each search would walk along all of them. */
        private int slotOf(int hash) {
            int mixed = hash * 0x9E3779B9;
            return SLOT * Math.floorMod(mixed ^ mixed >>> 15, table.length / SLOT);
        }

        private void setSlot(int slot, int from, int length, int hash, int number) {
            table[slot] = from;
            table[slot + LENGTH] = length;
            table[slot + HASH] = hash;
            table[slot + NUMBER] = number;
        }

        private void growTable() {
            int[] old = table;
            table = new int[2 * old.length];
            for (int i = 0; i < old.length; i += SLOT) {
                if (old[i + NUMBER] != 0) {
                    int slot = slotOf(old[i + HASH]);
                    while (table[slot + NUMBER] != 0) {
                        slot = (slot + SLOT) % table.length;
                    }
                    setSlot(slot, old[i], old[i + LENGTH], old[i + HASH], old[i + NUMBER]);
                }
            }
        }
    }

    /** Writes one state: the values, then the kinds of all objects, then their contents. */
    private final class Writer {
        /** Numbers of the records and lists written so far, by identity: encoding them again only to find them costs more. */
        private final Map<Object, Integer> compositeValues = new IdentityHashMap<>();
        private final Map<Object, Integer> objects = new IdentityHashMap<>();
        private final ArrayDeque<Object> unwritten = new ArrayDeque<>();
        private final Buffer values = new Buffer();
        private final Buffer kinds = new Buffer();
        private final Buffer contents = new Buffer();

        byte[] write(Object module) throws IllegalAccessException {
            reference(module);
            for (Object o = unwritten.poll(); o != null; o = unwritten.poll()) {
                writeContent(o);
            }
            Buffer out = new Buffer();
            out.putBytes(schema.getBytes(StandardCharsets.US_ASCII));
            out.putVarint(values.values);
            out.putBytes(Arrays.copyOf(values.bytes, values.size));
            out.putVarint(objects.size());
            out.putBytes(Arrays.copyOf(kinds.bytes, kinds.size));
            out.putBytes(Arrays.copyOf(contents.bytes, contents.size));
            return Arrays.copyOf(out.bytes, out.size);
        }

        /** 0 for null, odd for a value, even for an object. */
        private int reference(Object o) throws IllegalAccessException {
            if (o == null) {
                return 0;
            }
            if (isValue(o)) {
                return 2 * value(o) + 1;
            }
            Integer number = objects.get(o);
            if (number == null) {
                number = objects.size();
                objects.put(o, number);
                writeKind(o);
                unwritten.add(o);
            }
            return 2 * number + 2;
        }

        private boolean isValue(Object o) {
            return o instanceof Number || o instanceof Record || o instanceof Enum<?> || o instanceof String
                    || o instanceof Boolean || o instanceof List<?> && !(o instanceof ArrayList<?>);
        }

        /** Returns a value's number; a new value is written after the values of which it consists. */
        private int value(Object o) throws IllegalAccessException {
            if (!(o instanceof Record || o instanceof List<?>)) {
                return simpleValue(o);
            }
            Integer number = compositeValues.get(o);
            if (number == null) {
                number = o instanceof List<?> l ? listValue(l) : recordValue(o);
                compositeValues.put(o, number);
            }
            return number;
        }

        private int simpleValue(Object o) {
            int from = values.size;
            if (o instanceof Integer n) {
                values.putByte(ValueKind.INTEGER.ordinal());
                values.putInt(n);
            } else if (o instanceof Long n) {
                values.putByte(ValueKind.LONG.ordinal());
                values.putLong(n);
            } else if (o instanceof Double n) {
                values.putByte(ValueKind.DOUBLE.ordinal());
                values.putDouble(n);
            } else if (o instanceof Boolean b) {
                values.putByte(ValueKind.BOOLEAN.ordinal());
                values.putByte(b ? 1 : 0);
            } else if (o instanceof String s) {
                byte[] bytes = s.getBytes(StandardCharsets.UTF_8);
                values.putByte(ValueKind.STRING.ordinal());
                values.putVarint(bytes.length);
                values.putBytes(bytes);
            } else if (o instanceof Enum<?> e) {
                values.putByte(ValueKind.ENUM_CONSTANT.ordinal());
                values.putVarint(classNumber(e.getDeclaringClass()));
                values.putVarint(e.ordinal());
            } else {
                throw new IllegalStateException("unsupported class in a module's state: " + o.getClass().getName());
            }
            return values.endValue(from);
        }

        private int listValue(List<?> l) throws IllegalAccessException {
            int[] parts = new int[l.size()];
            int i = 0;
            for (Object x : l) {
                parts[i++] = part(x);
            }
            int from = values.size;
            values.putByte(ValueKind.FIXED_LIST.ordinal());
            values.putVarint(parts.length);
            for (int p : parts) {
                values.putVarint(p);
            }
            return values.endValue(from);
        }

        private int recordValue(Object o) throws IllegalAccessException {
            int number = classNumber(o.getClass());
            Field[] components = fields.get(o.getClass());
            int[] parts = new int[components.length];
            for (int i = 0; i < components.length; i++) {
                parts[i] = components[i].getType().isPrimitive() ? 0 : part(components[i].get(o));
            }
            int from = values.size;
            values.putByte(ValueKind.RECORD.ordinal());
            values.putVarint(number);
            for (int i = 0; i < components.length; i++) {
                if (!writePrimitive(components[i], o, values)) {
                    values.putVarint(parts[i]);
                }
            }
            return values.endValue(from);
        }

        /** A part of a value is a value too, including a list of any class; 0 for null. */
        private int part(Object o) throws IllegalAccessException {
            return o == null ? 0 : 1 + value(o);
        }

        private int classNumber(Class<?> c) {
            Integer n = numbers.get(c);
            if (n == null) {
                throw new IllegalStateException("unsupported class in a module's state: " + c.getName());
            }
            return n;
        }

        private void writeKind(Object o) {
            ObjectKind kind = o instanceof double[] ? ObjectKind.DOUBLES : o instanceof int[] ? ObjectKind.INTS
                    : o instanceof Object[] ? ObjectKind.OBJECTS : o.getClass() == ArrayList.class ? ObjectKind.LIST
                    : o.getClass() == LinkedHashMap.class ? ObjectKind.MAP
                    : o.getClass() == LinkedHashSet.class ? ObjectKind.SET
                    : o.getClass() == ArrayDeque.class ? ObjectKind.QUEUE
                    : o.getClass() == TreeSet.class ? ObjectKind.SORTED_SET : ObjectKind.PLAIN;
            kinds.putByte(kind.ordinal());
            if (kind == ObjectKind.PLAIN) {
                kinds.putVarint(classNumber(o.getClass()));
            } else if (o.getClass().isArray()) {
                kinds.putVarint(Array.getLength(o));
                if (kind == ObjectKind.OBJECTS) {
                    kinds.putVarint(classNumber(o.getClass().getComponentType()));
                }
            } else if (o instanceof TreeSet<?> t) {
                Enum<?> order = (Enum<?>) t.comparator();
                kinds.putVarint(classNumber(order.getDeclaringClass()));
                kinds.putVarint(order.ordinal());
            }
        }

        private void writeContent(Object o) throws IllegalAccessException {
            if (o instanceof double[] d) {
                for (double x : d) {
                    contents.putDouble(x);
                }
            } else if (o instanceof int[] n) {
                for (int x : n) {
                    contents.putInt(x);
                }
            } else if (o instanceof Object[] a) {
                for (Object x : a) {
                    contents.putVarint(reference(x));
                }
            } else if (o instanceof Collection<?> c) {
                contents.putVarint(c.size());
                for (Object x : c) {
                    contents.putVarint(reference(x));
                }
            } else if (o instanceof Map<?, ?> m) {
                contents.putVarint(m.size());
                for (Map.Entry<?, ?> e : m.entrySet()) {
                    contents.putVarint(reference(e.getKey()));
                    contents.putVarint(reference(e.getValue()));
                }
            } else {
                for (Field f : fields.get(o.getClass())) {
                    if (!writePrimitive(f, o, contents)) {
                        contents.putVarint(reference(f.get(o)));
                    }
                }
            }
        }

        /** Writes a field of a primitive type; false if it is of another type. */
        private boolean writePrimitive(Field f, Object holder, Buffer out) throws IllegalAccessException {
            Class<?> type = f.getType();
            if (type == double.class) {
                out.putDouble(f.getDouble(holder));
            } else if (type == int.class) {
                out.putInt(f.getInt(holder));
            } else if (type == long.class) {
                out.putLong(f.getLong(holder));
            } else if (type == boolean.class) {
                out.putByte(f.getBoolean(holder) ? 1 : 0);
            } else {
                return false;
            }
            return true;
        }
    }

    /**
     * Reads one state: creates all objects empty, fills the plain ones and arrays, and then the collections, whose comparators
     * and hash codes may use the fields of plain objects.
     */
    private final class Reader {
        private final ByteArrayInputStream bytes;
        private final DataInputStream in;
        private Object[] values;
        private Object[] objects;

        Reader(byte[] bytes) {
            this.bytes = new ByteArrayInputStream(bytes);
            in = new DataInputStream(this.bytes);
        }

        Object read() throws IOException, ReflectiveOperationException {
            String found = new String(in.readNBytes(schema.length()), StandardCharsets.US_ASCII);
            if (!found.equals(schema)) {
                throw new MalformedCaptureException("the state has schema " + found + ", and this module reads only " + schema,
                        null);
            }
            values = new Object[readCount()];
            for (int i = 0; i < values.length; i++) {
                values[i] = readValue();
            }
            objects = new Object[readCount()];
            for (int i = 0; i < objects.length; i++) {
                objects[i] = createEmpty();
            }
            List<Runnable> fillCollections = new ArrayList<>();
            for (Object o : objects) {
                fill(o, fillCollections);
            }
            if (bytes.available() > 0) {
                throw new MalformedCaptureException("bytes after the end of the state", null);
            }
            fillCollections.forEach(Runnable::run);
            return objects[0];
        }

        /** Reads the count of elements that take a byte or more each, and so cannot exceed the number of bytes left. */
        private int readCount() throws IOException {
            int n = readVarint();
            if (n > bytes.available()) {
                throw new MalformedCaptureException("a count of " + n + " in the state exceeds the " + bytes.available()
                        + " bytes left", null);
            }
            return n;
        }

        private int readVarint() throws IOException {
            int n = 0;
            for (int shift = 0; shift < 32; shift += 7) {
                int b = in.readUnsignedByte();
                n |= (b & 127) << shift;
                if (b < 128) {
                    if (n < 0) {
                        break;
                    }
                    return n;
                }
            }
            throw new MalformedCaptureException("a number out of range in the state", null);
        }

        private Object readValue() throws IOException, ReflectiveOperationException {
            return switch (ValueKind.values()[in.readUnsignedByte()]) {
                case INTEGER -> in.readInt();
                case LONG -> in.readLong();
                case DOUBLE -> in.readDouble();
                case BOOLEAN -> in.readBoolean();
                case STRING -> new String(in.readNBytes(readCount()), StandardCharsets.UTF_8);
                case ENUM_CONSTANT -> classes.get(readVarint()).getEnumConstants()[readVarint()];
                case RECORD -> {
                    Class<?> c = classes.get(readVarint());
                    Constructor<?> constructor = constructors.get(c);
                    Object[] parts = new Object[constructor.getParameterCount()];
                    for (int i = 0; i < parts.length; i++) {
                        Object primitive = readPrimitive(fields.get(c)[i].getType());
                        parts[i] = primitive != null ? primitive : readPart();
                    }
                    yield constructor.newInstance(parts);
                }
                case FIXED_LIST -> {
                    Object[] parts = new Object[readCount()];
                    for (int i = 0; i < parts.length; i++) {
                        parts[i] = readPart();
                    }
                    yield Collections.unmodifiableList(Arrays.asList(parts));
                }
            };
        }

        /** Reads a value of a primitive type; null for any other type. */
        private Object readPrimitive(Class<?> type) throws IOException {
            if (type == double.class) {
                return in.readDouble();
            } else if (type == int.class) {
                return in.readInt();
            } else if (type == long.class) {
                return in.readLong();
            }
            return type == boolean.class ? in.readBoolean() : null;
        }

        private Object readPart() throws IOException {
            int n = readVarint();
            return n == 0 ? null : values[n - 1];
        }

        private Object createEmpty() throws IOException {
            return switch (ObjectKind.values()[in.readUnsignedByte()]) {
                case PLAIN -> instantiator.newInstance(requirePlain(classes.get(readVarint())));
                case LIST -> new ArrayList<>();
                case MAP -> new LinkedHashMap<>();
                case SET -> new LinkedHashSet<>();
                case QUEUE -> new ArrayDeque<>();
                case SORTED_SET -> new TreeSet<>(
                        comparator((Comparator<?>) classes.get(readVarint()).getEnumConstants()[readVarint()]));
                case DOUBLES -> new double[readCount()];
                case INTS -> new int[readCount()];
                case OBJECTS -> {
                    int length = readCount();
                    yield Array.newInstance(classes.get(readVarint()), length);
                }
            };
        }

        @SuppressWarnings("unchecked")
        private Comparator<Object> comparator(Comparator<?> c) {
            return (Comparator<Object>) c;
        }

        private Class<?> requirePlain(Class<?> c) throws MalformedCaptureException {
            if (c.isEnum() || c.isRecord()) {
                throw new MalformedCaptureException("the state holds a " + c.getSimpleName() + " as a plain object", null);
            }
            return c;
        }

        private Object readReference() throws IOException {
            int n = readVarint();
            return n == 0 ? null : n % 2 == 1 ? values[n / 2] : objects[n / 2 - 1];
        }

        private void fill(Object o, List<Runnable> fillCollections) throws IOException, ReflectiveOperationException {
            if (o instanceof double[] d) {
                for (int i = 0; i < d.length; i++) {
                    d[i] = in.readDouble();
                }
            } else if (o instanceof int[] n) {
                for (int i = 0; i < n.length; i++) {
                    n[i] = in.readInt();
                }
            } else if (o instanceof Object[] a) {
                for (int i = 0; i < a.length; i++) {
                    a[i] = readReference();
                }
            } else if (o instanceof Collection<?> c) {
                Object[] parts = new Object[readCount()];
                for (int i = 0; i < parts.length; i++) {
                    parts[i] = readReference();
                }
                fillCollections.add(() -> addAll(c, parts));
            } else if (o instanceof Map<?, ?> m) {
                Object[] parts = new Object[2 * readCount()];
                for (int i = 0; i < parts.length; i++) {
                    parts[i] = readReference();
                }
                fillCollections.add(() -> putAll(m, parts));
            } else {
                for (Field f : fields.get(o.getClass())) {
                    Object primitive = readPrimitive(f.getType());
                    f.set(o, primitive != null ? primitive : readReference());
                }
            }
        }

        @SuppressWarnings("unchecked")
        private static void addAll(Collection<?> collection, Object[] parts) {
            ((Collection<Object>) collection).addAll(Arrays.asList(parts));
        }

        @SuppressWarnings("unchecked")
        private static void putAll(Map<?, ?> map, Object[] parts) {
            for (int i = 0; i < parts.length; i += 2) {
                ((Map<Object, Object>) map).put(parts[i], parts[i + 1]);
            }
        }
    }
}
