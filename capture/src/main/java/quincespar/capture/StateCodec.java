package quincespar.capture;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
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
import java.util.HexFormat;
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
        schema = HexFormat.of().formatHex(Digests.sha256(text.toString().getBytes(StandardCharsets.UTF_8)), 0, 8);
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
        } catch (IOException e) { // nothing is written anywhere but to memory
            throw new UncheckedIOException(e);
        } catch (IllegalAccessException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A module of its own in that state; throws {@link MalformedCapture} at what is none. */
    public <T> T read(byte[] bytes, Class<T> type) throws IOException {
        Reader in = new Reader(bytes);
        try {
            Object module = in.read();
            if (module.getClass() != root) {
                throw new MalformedCapture("a state of " + module.getClass().getSimpleName(), null);
            }
            return type.cast(module);
        } catch (MalformedCapture e) {
            throw e;
        } catch (IOException | RuntimeException | ReflectiveOperationException e) { // of whatever the bytes claim
            throw new MalformedCapture("a state that can't be read: " + e, e);
        }
    }

    private static void writeCount(DataOutputStream out, int n) throws IOException {
        int rest = n;
        while (rest > 127) {
            out.writeByte(rest & 127 | 128);
            rest >>>= 7;
        }
        out.writeByte(rest);
    }

    /** Writes one state: values, then the forms of all objects, then what each holds. */
    private final class Writer {
        private final Map<Object, Integer> values = new HashMap<>();
        /** Values that were met, by who they are: to find equal ones costs more. */
        private final Map<Object, Integer> met = new IdentityHashMap<>();
        private final Map<Object, Integer> objects = new IdentityHashMap<>();
        private final ArrayDeque<Object> next = new ArrayDeque<>();
        private final ByteArrayOutputStream valueBytes = new ByteArrayOutputStream();
        private final ByteArrayOutputStream formBytes = new ByteArrayOutputStream();
        private final ByteArrayOutputStream contentBytes = new ByteArrayOutputStream();
        private final DataOutputStream value = new DataOutputStream(valueBytes);
        private final DataOutputStream form = new DataOutputStream(formBytes);
        private final DataOutputStream content = new DataOutputStream(contentBytes);

        byte[] write(Object module) throws IOException, IllegalAccessException {
            reference(module);
            for (Object o = next.poll(); o != null; o = next.poll()) {
                content(o);
            }
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            DataOutputStream out = new DataOutputStream(all);
            out.write(schema.getBytes(StandardCharsets.US_ASCII));
            writeCount(out, values.size());
            valueBytes.writeTo(out);
            writeCount(out, objects.size());
            formBytes.writeTo(out);
            contentBytes.writeTo(out);
            return all.toByteArray();
        }

        /** 0 for none, odd for a value, even for an object. */
        private int reference(Object o) throws IOException, IllegalAccessException {
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
            return o instanceof Number || o instanceof String || o instanceof Boolean || o instanceof Enum<?>
                    || o instanceof Record || o instanceof List<?> && !(o instanceof ArrayList<?>);
        }

        /** A value's number; it is written the first time, after those that it is made of. */
        private int value(Object o) throws IOException, IllegalAccessException {
            Integer known = met.get(o);
            if (known == null) {
                known = values.get(o);
                if (known == null) {
                    write(o, values);
                    known = values.size() - 1;
                }
                met.put(o, known);
            }
            return known;
        }

        private void write(Object o, Map<Object, Integer> to) throws IOException, IllegalAccessException {
            if (o instanceof Record || o instanceof List<?>) {
                composed(o);
            } else if (o instanceof Integer n) {
                value.writeByte(Value.INTEGER.ordinal());
                value.writeInt(n);
            } else if (o instanceof Long n) {
                value.writeByte(Value.LONG.ordinal());
                value.writeLong(n);
            } else if (o instanceof Double n) {
                value.writeByte(Value.DOUBLE.ordinal());
                value.writeDouble(n);
            } else if (o instanceof Boolean b) {
                value.writeByte(Value.BOOLEAN.ordinal());
                value.writeBoolean(b);
            } else if (o instanceof String s) {
                byte[] bytes = s.getBytes(StandardCharsets.UTF_8);
                value.writeByte(Value.TEXT.ordinal());
                writeCount(value, bytes.length);
                value.write(bytes);
            } else if (o instanceof Enum<?> e) {
                value.writeByte(Value.CONSTANT.ordinal());
                writeCount(value, number(e.getDeclaringClass()));
                writeCount(value, e.ordinal());
            } else {
                throw new IllegalStateException("a snapshot does not know " + o.getClass());
            }
            to.put(o, to.size());
        }

        private void composed(Object o) throws IOException, IllegalAccessException {
            List<Integer> parts = new ArrayList<>();
            if (o instanceof List<?> l) {
                for (Object x : l) {
                    parts.add(part(x));
                }
                value.writeByte(Value.FIXED_LIST.ordinal());
                writeCount(value, parts.size());
            } else {
                int number = number(o.getClass());
                for (Field f : fields.get(o.getClass())) {
                    parts.add(part(f.get(o)));
                }
                value.writeByte(Value.RECORD.ordinal());
                writeCount(value, number);
            }
            for (int p : parts) {
                writeCount(value, p);
            }
        }

        /** What a value is made of is a value, a list of any kind included, or none: 0. */
        private int part(Object o) throws IOException, IllegalAccessException {
            return o == null ? 0 : 1 + value(o);
        }

        private int number(Class<?> c) {
            Integer n = numbers.get(c);
            if (n == null) {
                throw new IllegalStateException("a snapshot does not know " + c);
            }
            return n;
        }

        private void form(Object o) throws IOException {
            Form f = o instanceof double[] ? Form.DOUBLES : o instanceof int[] ? Form.INTS
                    : o instanceof Object[] ? Form.OBJECTS : o.getClass() == ArrayList.class ? Form.LIST
                    : o.getClass() == LinkedHashMap.class ? Form.MAP : o.getClass() == LinkedHashSet.class ? Form.SET
                    : o.getClass() == ArrayDeque.class ? Form.QUEUE : o.getClass() == TreeSet.class ? Form.SORTED
                    : Form.PLAIN;
            form.writeByte(f.ordinal());
            if (f == Form.PLAIN) {
                writeCount(form, number(o.getClass()));
            } else if (o.getClass().isArray()) {
                writeCount(form, Array.getLength(o));
                if (f == Form.OBJECTS) {
                    writeCount(form, number(o.getClass().getComponentType()));
                }
            } else if (o instanceof TreeSet<?> t) {
                Enum<?> order = (Enum<?>) t.comparator();
                writeCount(form, number(order.getDeclaringClass()));
                writeCount(form, order.ordinal());
            }
        }

        private void content(Object o) throws IOException, IllegalAccessException {
            if (o instanceof double[] d) {
                for (double x : d) {
                    content.writeDouble(x);
                }
            } else if (o instanceof int[] n) {
                for (int x : n) {
                    content.writeInt(x);
                }
            } else if (o instanceof Object[] a) {
                for (Object x : a) {
                    writeCount(content, reference(x));
                }
            } else if (o instanceof Collection<?> c) {
                writeCount(content, c.size());
                for (Object x : c) {
                    writeCount(content, reference(x));
                }
            } else if (o instanceof Map<?, ?> m) {
                writeCount(content, m.size());
                for (Map.Entry<?, ?> e : m.entrySet()) {
                    writeCount(content, reference(e.getKey()));
                    writeCount(content, reference(e.getValue()));
                }
            } else {
                for (Field f : fields.get(o.getClass())) {
                    field(f, o);
                }
            }
        }

        private void field(Field f, Object of) throws IOException, IllegalAccessException {
            Class<?> type = f.getType();
            if (type == double.class) {
                content.writeDouble(f.getDouble(of));
            } else if (type == int.class) {
                content.writeInt(f.getInt(of));
            } else if (type == long.class) {
                content.writeLong(f.getLong(of));
            } else if (type == boolean.class) {
                content.writeBoolean(f.getBoolean(of));
            } else {
                writeCount(content, reference(f.get(of)));
            }
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
                throw new MalformedCapture("a state of schema " + found + ", and this module's is " + schema, null);
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
                throw new MalformedCapture("bytes after the end of a state", null);
            }
            later.forEach(Runnable::run);
            return objects[0];
        }

        /** A count of things of a byte or more each: no more than there are bytes. */
        private int count() throws IOException {
            int n = number();
            if (n > bytes.available()) {
                throw new MalformedCapture("a state claims " + n + " things in " + bytes.available() + " bytes", null);
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
            throw new MalformedCapture("a number out of range in a state", null);
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
                    Constructor<?> made = constructors.get(classes.get(number()));
                    Object[] parts = new Object[made.getParameterCount()];
                    for (int i = 0; i < parts.length; i++) {
                        parts[i] = part();
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

        private Class<?> plain(Class<?> c) throws MalformedCapture {
            if (c.isEnum() || c.isRecord()) {
                throw new MalformedCapture("a state holds a " + c.getSimpleName() + " that is no object", null);
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
                    field(f, o);
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

        private void field(Field f, Object of) throws IOException, IllegalAccessException {
            Class<?> type = f.getType();
            if (type == double.class) {
                f.setDouble(of, in.readDouble());
            } else if (type == int.class) {
                f.setInt(of, in.readInt());
            } else if (type == long.class) {
                f.setLong(of, in.readLong());
            } else if (type == boolean.class) {
                f.setBoolean(of, in.readBoolean());
            } else {
                f.set(of, reference());
            }
        }
    }
}
