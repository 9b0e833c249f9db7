package quincespar.records;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Table of the names under which types, record components and enum constants are stored, where these differ from the names in
 * the code. With an entry here something can be renamed in the code while {@link RecordCodec#schema()}, and the numbers of the
 * records of a sealed family, stay as they are in stored data. Immutable: each method returns a new table.
 */
public final class StoredNames {
    private record Component(Class<? extends Record> type, String name) { }

    private static final StoredNames NONE = new StoredNames(Map.of(), Map.of(), Map.of());

    private final Map<Class<?>, String> types;
    private final Map<Component, String> components;
    private final Map<Enum<?>, String> constants;

    private StoredNames(Map<Class<?>, String> types, Map<Component, String> components, Map<Enum<?>, String> constants) {
        this.types = types;
        this.components = components;
        this.constants = constants;
    }

    /** The empty table: everything is stored under its name in the code. */
    public static StoredNames none() {
        return NONE;
    }

    /** Adds the stored simple name of a record, a sealed interface, an enum or a type that encloses one of these. */
    public StoredNames type(Class<?> type, String storedName) {
        return new StoredNames(with(types, type, storedName), components, constants);
    }

    /** Adds the stored name of a component; throws {@link IllegalArgumentException} if the record has no such component. */
    public StoredNames component(Class<? extends Record> type, String component, String storedName) {
        if (Arrays.stream(type.getRecordComponents()).noneMatch(c -> c.getName().equals(component))) {
            throw new IllegalArgumentException(type.getName() + " has no component " + component);
        }
        return new StoredNames(types, with(components, new Component(type, component), storedName), constants);
    }

    /** Adds the stored name of an enum constant. */
    public StoredNames constant(Enum<?> constant, String storedName) {
        return new StoredNames(types, components, with(constants, constant, storedName));
    }

    private static <K> Map<K, String> with(Map<K, String> names, K key, String storedName) {
        if (storedName.isBlank()) {
            throw new IllegalArgumentException("blank stored name for " + key);
        }
        Map<K, String> all = new HashMap<>(names);
        if (all.put(key, storedName) != null) {
            throw new IllegalArgumentException("two stored names for " + key);
        }
        return Map.copyOf(all);
    }

    /** The stored simple name of a type. */
    String of(Class<?> type) {
        return types.getOrDefault(type, type.getSimpleName());
    }

    /** The stored name of a record's component. */
    String of(Class<?> type, String component) {
        return components.getOrDefault(new Component(type.asSubclass(Record.class), component), component);
    }

    /** The stored names of an enum's constants, in the form of {@link Arrays#toString(Object[])}. */
    String constantsOf(Class<?> type) {
        return Arrays.stream(type.getEnumConstants()).map(c -> of((Enum<?>) c))
                .collect(Collectors.joining(", ", "[", "]"));
    }

    /** The stored name of an enum constant. */
    String of(Enum<?> constant) {
        return constants.getOrDefault(constant, constant.toString());
    }
}
