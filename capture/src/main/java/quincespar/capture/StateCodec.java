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
 * A module's state as bytes and back: all objects that it reaches, with who refers to whom, its source of chance
 * included. The same state gives the same bytes, whatever it was read from, so that two modules can be compared by them.
 *
 * <p>What never changes (numbers, texts, constants, records and the lists in them) is a value: equal ones are written
 * once, those before that a later one is made of. All else is an object with a number of its own. Objects are written one
 * after another and not one within another: open requests refer to each other through engines in chains as long as there
 * are requests, which a walk that calls itself would not survive. Used by one thread.
 */
public final class StateCodec {
    /** The forms of objects; a plain one is of a class of the module's own. */
    private enum Form { PLAIN, LIST, MAP, SET, QUEUE, SORTED, DOUBLES, INTS, OBJECTS }

    private enum Value { INTEGER, LONG, DOUBLE, BOOLEAN, TEXT, CONSTANT, RECORD, FIXED_LIST }

    private final Class<?> root;
    /** All classes that may appear, by name: a class's number is its place. */
    private final List<Class<?>> classes;
    private final Map<Class<?>, Integer> numbers = new HashMap<>();
    private final Map<Class<?>, Field[]> fields = new HashMap<>();
    private final Map<Class<?>, Constructor<?>> constructors = new HashMap<>();
    private final Objenesis instances = new ObjenesisStd();
    private final String schema;

    /** Knows the module {@code root} and all classes of its package that its state can reach. */
    public StateCodec(Class<?> root) {
        this.root = root;
        Set<Class<?>> reached = new LinkedHashSet<>();
        reach(root, reached);
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

    /** Sixteen hex digits that change where what the module remembers does. */
    public String schema() {
        return schema;
    }

    /** With a class all that is nested beside it, as actions and their kind are; fields tell of further classes. */
    private static void reach(Class<?> c, Set<Class<?>> reached) {
        for (Class<?> member : c.getNestMembers()) {
            if (!member.isAnonymousClass() && !member.isSynthetic() && reached.add(member)) {
                for (Field f : member.getDeclaredFields()) {
                    reach(f.getGenericType(), member.getPackage(), reached);
                }
            }
        }
    }

    private static void reach(Type type, Package in, Set<Class<?>> reached) {
        if (type instanceof ParameterizedType p) {
            Arrays.stream(p.getActualTypeArguments()).forEach(a -> reach(a, in, reached));
        } else if (type instanceof Class<?> c && c.isArray()) {
            reach(c.getComponentType(), in, reached);
        } else if (type instanceof Class<?> c && in.equals(c.getPackage())) {
            reach(c, reached);
        }
    }

    /** A record's components in their order, else all fields by name. */
    private static Field[] fieldsOf(Class<?> c) {
        if (c.isRecord()) {
            return Arrays.stream(c.getRecordComponents()).map(r -> field(c, r)).toArray(Field[]::new);
        }
        if (c.getSuperclass() != Object.class) {
            throw new IllegalArgumentException(c + " has state in what it extends");
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
            Constructor<?> made = c.getDeclaredConstructor(Arrays.stream(c.getRecordComponents())
                    .map(RecordComponent::getType).toArray(Class<?>[]::new));
            made.setAccessible(true);
            return made;
        } catch (NoSuchMethodException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The state's bytes; throws {@link IllegalStateException} where the module holds what a snapshot does not know. */
    public byte[] write(Object module) {
        try {
            return new Writer().write(module);
        } catch (IllegalAccessException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A module of its own in that state; throws {@link MalformedCaptureException} at what is none. */
    public <T> T read(byte[] bytes, Class<T> type) throws IOException {
        Reader in = new Reader(bytes);
        try {
            Object module = in.read();
            if (module.getClass() != root) {
                throw new MalformedCaptureException("a state of " + module.getClass().getSimpleName(), null);
            }
            return type.cast(module);
        } catch (MalformedCaptureException e) {
            throw e;
        } catch (IOException | RuntimeException | ReflectiveOperationException e) { // of whatever the bytes claim
            throw new MalformedCaptureException("a state that can't be read: " + e, e);
        }
    }

    /**
     * Bytes that grow. Values are kept in it once: what was written last and stands there already is taken back. Found by
     * their bytes, as records would each be hashed over all that they hold.
     */
    private static final class Bytes {
        private static final int FIRST = 1 << 12;
        private byte[] bytes = new byte[FIRST];
        private int size;
        /** Of the values, by place in an open table: where each begins, its length, its hash, and its number plus one. */
        private int[] table = new int[FIRST];
        private int values;

        private void room(int more) {
            if (size + more > bytes.length) {
                bytes = Arrays.copyOf(bytes, Math.max(2 * bytes.length, size + more));
            }
        }

        void put(int b) {
            room(1);
            bytes[size++] = (byte) b;
        }

        void count(int n) {
            int rest = n;
            while (rest > 127) {
                put(rest & 127 | 128);
                rest >>>= 7;
            }
            put(rest);
        }

        void number(int n) {
            room(Integer.BYTES);
            for (int shift = 24; shift >= 0; shift -= 8) {
                bytes[size++] = (byte) (n >>> shift);
            }
        }

        void number(long n) {
            number((int) (n >>> 32));
            number((int) n);
        }

        void number(double x) {
            number(Double.doubleToRawLongBits(x));
        }

        void all(byte[] some) {
            room(some.length);
            System.arraycopy(some, 0, bytes, size, some.length);
            size += some.length;
        }

        /** The number of the value that was written from there on, which is taken back where it stood there before. */
        int value(int from) {
            int length = size - from;
            int hash = 1;
            for (int i = from; i < size; i++) {
                hash = 31 * hash + bytes[i];
            }
            if (4 * 4 * values >= 2 * table.length) {
                rehash();
            }
            int at = place(hash);
            while (table[at + 3] != 0) {
                if (table[at + 2] == hash && table[at + 1] == length
                        && Arrays.equals(bytes, table[at], table[at] + length, bytes, from, size)) {
                    size = from;
                    return table[at + 3] - 1;
                }
                at = (at + 4) % table.length;
            }
            enter(at, from, length, hash, ++values);
            return values - 1;
        }

        private int place(int hash) {
            int mixed = hash * 0x9E3779B9; // numbers in a row would lie in a row, and each be looked for along all of them
            return 4 * Math.floorMod(mixed ^ mixed >>> 15, table.length / 4);
        }

        private void enter(int at, int from, int length, int hash, int number) {
            table[at] = from;
            table[at + 1] = length;
            table[at + 2] = hash;
            table[at + 3] = number;
        }

        private void rehash() {
            int[] old = table;
            table = new int[2 * old.length];
            for (int i = 0; i < old.length; i += 4) {
                if (old[i + 3] != 0) {
                    int at = place(old[i + 2]);
                    while (table[at + 3] != 0) {
                        at = (at + 4) % table.length;
                    }
                    enter(at, old[i], old[i + 1], old[i + 2], old[i + 3]);
                }
            }
        }
    }

    /** Writes one state: values, then the forms of all objects, then what each holds. */
    private final class Writer {
        /** Composed values that were met, by who they are: to write them again only to find them costs more. */
        private final Map<Object, Integer> met = new IdentityHashMap<>();
        private final Map<Object, Integer> objects = new IdentityHashMap<>();
        private final ArrayDeque<Object> next = new ArrayDeque<>();
        private final Bytes value = new Bytes();
        private final Bytes form = new Bytes();
        private final Bytes content = new Bytes();

        byte[] write(Object module) throws IllegalAccessException {
            reference(module);
            for (Object o = next.poll(); o != null; o = next.poll()) {
                content(o);
            }
            Bytes out = new Bytes();
            out.all(schema.getBytes(StandardCharsets.US_ASCII));
            out.count(value.values);
            out.all(Arrays.copyOf(value.bytes, value.size));
            out.count(objects.size());
            out.all(Arrays.copyOf(form.bytes, form.size));
            out.all(Arrays.copyOf(content.bytes, content.size));
            return Arrays.copyOf(out.bytes, out.size);
        }

        /** 0 for none, odd for a value, even for an object. */
        private int reference(Object o) throws IllegalAccessException {
            if (o == null) {
                return 0;
            }
            if (isValue(o)) {
                return 2 * value(o) + 1;
            }
            Integer known = objects.get(o);
            if (known == null) {
                known = objects.size();
                objects.put(o, known);
                form(o);
                next.add(o);
            }
            return 2 * known + 2;
        }

        private boolean isValue(Object o) {
            return o instanceof Number || o instanceof Record || o instanceof Enum<?> || o instanceof String
                    || o instanceof Boolean || o instanceof List<?> && !(o instanceof ArrayList<?>);
        }

        /** A value's number; it is written the first time, after those that it is made of. */
        private int value(Object o) throws IllegalAccessException {
            if (!(o instanceof Record || o instanceof List<?>)) {
                return simple(o);
            }
            Integer known = met.get(o);
            if (known == null) {
                known = o instanceof List<?> l ? list(l) : record(o);
                met.put(o, known);
            }
            return known;
        }

        private int simple(Object o) {
            int from = value.size;
            if (o instanceof Integer n) {
                value.put(Value.INTEGER.ordinal());
                value.number(n.intValue());
            } else if (o instanceof Long n) {
                value.put(Value.LONG.ordinal());
                value.number(n.longValue());
            } else if (o instanceof Double n) {
                value.put(Value.DOUBLE.ordinal());
                value.number(n.doubleValue());
            } else if (o instanceof Boolean b) {
                value.put(Value.BOOLEAN.ordinal());
                value.put(b ? 1 : 0);
            } else if (o instanceof String s) {
                byte[] bytes = s.getBytes(StandardCharsets.UTF_8);
                value.put(Value.TEXT.ordinal());
                value.count(bytes.length);
                value.all(bytes);
            } else if (o instanceof Enum<?> e) {
                value.put(Value.CONSTANT.ordinal());
                value.count(number(e.getDeclaringClass()));
                value.count(e.ordinal());
            } else {
                throw new IllegalStateException("a snapshot does not know " + o.getClass());
            }
            return value.value(from);
        }

        private int list(List<?> l) throws IllegalAccessException {
            int[] parts = new int[l.size()];
            int i = 0;
            for (Object x : l) {
                parts[i++] = part(x);
            }
            int from = value.size;
            value.put(Value.FIXED_LIST.ordinal());
            value.count(parts.length);
            for (int p : parts) {
                value.count(p);
            }
            return value.value(from);
        }

        private int record(Object o) throws IllegalAccessException {
            int number = number(o.getClass());
            Field[] all = fields.get(o.getClass());
            int[] parts = new int[all.length];
            for (int i = 0; i < all.length; i++) {
                parts[i] = all[i].getType().isPrimitive() ? 0 : part(all[i].get(o));
            }
            int from = value.size;
            value.put(Value.RECORD.ordinal());
            value.count(number);
            for (int i = 0; i < all.length; i++) {
                if (!primitive(all[i], o, value)) {
                    value.count(parts[i]);
                }
            }
            return value.value(from);
        }

        /** What a value is made of is a value, a list of any kind included, or none: 0. */
        private int part(Object o) throws IllegalAccessException {
            return o == null ? 0 : 1 + value(o);
        }

        private int number(Class<?> c) {
            Integer n = numbers.get(c);
            if (n == null) {
                throw new IllegalStateException("a snapshot does not know " + c);
            }
            return n;
        }

        private void form(Object o) {
            Form f = o instanceof double[] ? Form.DOUBLES : o instanceof int[] ? Form.INTS
                    : o instanceof Object[] ? Form.OBJECTS : o.getClass() == ArrayList.class ? Form.LIST
                    : o.getClass() == LinkedHashMap.class ? Form.MAP : o.getClass() == LinkedHashSet.class ? Form.SET
                    : o.getClass() == ArrayDeque.class ? Form.QUEUE : o.getClass() == TreeSet.class ? Form.SORTED
                    : Form.PLAIN;
            form.put(f.ordinal());
            if (f == Form.PLAIN) {
                form.count(number(o.getClass()));
            } else if (o.getClass().isArray()) {
                form.count(Array.getLength(o));
                if (f == Form.OBJECTS) {
                    form.count(number(o.getClass().getComponentType()));
                }
            } else if (o instanceof TreeSet<?> t) {
                Enum<?> order = (Enum<?>) t.comparator();
                form.count(number(order.getDeclaringClass()));
                form.count(order.ordinal());
            }
        }

        private void content(Object o) throws IllegalAccessException {
            if (o instanceof double[] d) {
                for (double x : d) {
                    content.number(x);
                }
            } else if (o instanceof int[] n) {
                for (int x : n) {
                    content.number(x);
                }
            } else if (o instanceof Object[] a) {
                for (Object x : a) {
                    content.count(reference(x));
                }
            } else if (o instanceof Collection<?> c) {
                content.count(c.size());
                for (Object x : c) {
                    content.count(reference(x));
                }
            } else if (o instanceof Map<?, ?> m) {
                content.count(m.size());
                for (Map.Entry<?, ?> e : m.entrySet()) {
                    content.count(reference(e.getKey()));
                    content.count(reference(e.getValue()));
                }
            } else {
                for (Field f : fields.get(o.getClass())) {
                    if (!primitive(f, o, content)) {
                        content.count(reference(f.get(o)));
                    }
                }
            }
        }

        /** Writes a field of a primitive type; false where it is of another. */
        private boolean primitive(Field f, Object of, Bytes to) throws IllegalAccessException {
            Class<?> type = f.getType();
            if (type == double.class) {
                to.number(f.getDouble(of));
            } else if (type == int.class) {
                to.number(f.getInt(of));
            } else if (type == long.class) {
                to.number(f.getLong(of));
            } else if (type == boolean.class) {
                to.put(f.getBoolean(of) ? 1 : 0);
            } else {
                return false;
            }
            return true;
        }
    }

    /** Reads one state: makes all objects empty, then fills the plain ones, then the others, which may look into those. */
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
                throw new MalformedCaptureException("a state of schema " + found + ", and this module's is " + schema, null);
            }
            values = new Object[count()];
            for (int i = 0; i < values.length; i++) {
                values[i] = value();
            }
            objects = new Object[count()];
            for (int i = 0; i < objects.length; i++) {
                objects[i] = empty();
            }
            List<Runnable> later = new ArrayList<>();
            for (Object o : objects) {
                fill(o, later);
            }
            if (bytes.available() > 0) {
                throw new MalformedCaptureException("bytes after the end of a state", null);
            }
            later.forEach(Runnable::run);
            return objects[0];
        }

        /** A count of things of a byte or more each: no more than there are bytes. */
        private int count() throws IOException {
            int n = number();
            if (n > bytes.available()) {
                throw new MalformedCaptureException("a state claims " + n + " things in " + bytes.available() + " bytes", null);
            }
            return n;
        }

        private int number() throws IOException {
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
            throw new MalformedCaptureException("a number out of range in a state", null);
        }

        private Object value() throws IOException, ReflectiveOperationException {
            return switch (Value.values()[in.readUnsignedByte()]) {
                case INTEGER -> in.readInt();
                case LONG -> in.readLong();
                case DOUBLE -> in.readDouble();
                case BOOLEAN -> in.readBoolean();
                case TEXT -> new String(in.readNBytes(count()), StandardCharsets.UTF_8);
                case CONSTANT -> classes.get(number()).getEnumConstants()[number()];
                case RECORD -> {
                    Class<?> c = classes.get(number());
                    Constructor<?> made = constructors.get(c);
                    Object[] parts = new Object[made.getParameterCount()];
                    for (int i = 0; i < parts.length; i++) {
                        Object primitive = primitive(fields.get(c)[i].getType());
                        parts[i] = primitive != null ? primitive : part();
                    }
                    yield made.newInstance(parts);
                }
                case FIXED_LIST -> {
                    Object[] parts = new Object[count()];
                    for (int i = 0; i < parts.length; i++) {
                        parts[i] = part();
                    }
                    yield Collections.unmodifiableList(Arrays.asList(parts));
                }
            };
        }

        /** A value of a primitive type; null where it is of another. */
        private Object primitive(Class<?> type) throws IOException {
            if (type == double.class) {
                return in.readDouble();
            } else if (type == int.class) {
                return in.readInt();
            } else if (type == long.class) {
                return in.readLong();
            }
            return type == boolean.class ? in.readBoolean() : null;
        }

        private Object part() throws IOException {
            int n = number();
            return n == 0 ? null : values[n - 1];
        }

        private Object empty() throws IOException {
            return switch (Form.values()[in.readUnsignedByte()]) {
                case PLAIN -> instances.newInstance(plain(classes.get(number())));
                case LIST -> new ArrayList<>();
                case MAP -> new LinkedHashMap<>();
                case SET -> new LinkedHashSet<>();
                case QUEUE -> new ArrayDeque<>();
                case SORTED -> new TreeSet<>(order((Comparator<?>) classes.get(number()).getEnumConstants()[number()]));
                case DOUBLES -> new double[count()];
                case INTS -> new int[count()];
                case OBJECTS -> {
                    int length = count();
                    yield Array.newInstance(classes.get(number()), length);
                }
            };
        }

        @SuppressWarnings("unchecked")
        private Comparator<Object> order(Comparator<?> c) {
            return (Comparator<Object>) c;
        }

        private Class<?> plain(Class<?> c) throws MalformedCaptureException {
            if (c.isEnum() || c.isRecord()) {
                throw new MalformedCaptureException("a state holds a " + c.getSimpleName() + " that is no object", null);
            }
            return c;
        }

        private Object reference() throws IOException {
            int n = number();
            return n == 0 ? null : n % 2 == 1 ? values[n / 2] : objects[n / 2 - 1];
        }

        private void fill(Object o, List<Runnable> later) throws IOException, ReflectiveOperationException {
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
                    a[i] = reference();
                }
            } else if (o instanceof Collection<?> c) {
                Object[] parts = new Object[count()];
                for (int i = 0; i < parts.length; i++) {
                    parts[i] = reference();
                }
                later.add(() -> addAll(c, parts));
            } else if (o instanceof Map<?, ?> m) {
                Object[] parts = new Object[2 * count()];
                for (int i = 0; i < parts.length; i++) {
                    parts[i] = reference();
                }
                later.add(() -> putAll(m, parts));
            } else {
                for (Field f : fields.get(o.getClass())) {
                    Object primitive = primitive(f.getType());
                    f.set(o, primitive != null ? primitive : reference());
                }
            }
        }

        @SuppressWarnings("unchecked")
        private static void addAll(Collection<?> to, Object[] parts) {
            ((Collection<Object>) to).addAll(Arrays.asList(parts));
        }

        @SuppressWarnings("unchecked")
        private static void putAll(Map<?, ?> to, Object[] parts) {
            for (int i = 0; i < parts.length; i += 2) {
                ((Map<Object, Object>) to).put(parts[i], parts[i + 1]);
            }
        }
    }
}
