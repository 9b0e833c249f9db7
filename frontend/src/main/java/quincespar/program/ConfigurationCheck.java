package quincespar.program;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import quincespar.protocol.ChangeLogCodec;
import quincespar.protocol.Json;
import quincespar.protocol.MalformedException;
import quincespar.routing.RoutingSettings;

/** Validates the text of a configuration and reports all problems at once. Has no side effects: callers read the file. */
final class ConfigurationCheck {
    /** Result of a check. */
    sealed interface Result { }

    /** A valid configuration; a later file is compared with {@code document}. */
    record Valid(Configuration configuration, Map<String, Object> document) implements Result { }

    /** An invalid configuration with its problems, each a text without line breaks. */
    record Invalid(List<String> problems) implements Result {
        /** All problems in one line. */
        String line() {
            return String.join("; ", problems);
        }
    }

    /** Upper bound of the durations in a class. */
    private static final double MAX_DURATION_MS = 1e9;
    private static final double MAX_ATTEMPTS = 1000;
    private static final Set<String> EFFECTS = Set.of("safe", "keyed", "unsafe");
    /** Keys required at a start; a later file must have all keys of the current document. */
    private static final List<String> REQUIRED_KEYS = List.of("seed", "changelog", "known", "settings");

    private final List<String> problems = new ArrayList<>();
    private final Map<String, String> environment;

    private ConfigurationCheck(Map<String, String> environment) {
        this.environment = environment;
    }

    /**
     * Checks a text. Variables of {@code environment} may replace keys. {@code current} is the document in use, or null at a
     * start. Each key of the current document is required: a truncated or incomplete file would otherwise be accepted with
     * default values that nobody chose. Keys below {@code known} may come and go.
     */
    static Result check(byte[] text, Map<String, String> environment, Map<String, Object> current) {
        ConfigurationCheck check = new ConfigurationCheck(environment);
        try {
            Map<String, Object> all = Json.object(Json.read(text), "the configuration");
            Configuration configuration = check.read(all, current);
            return check.problems.isEmpty() ? new Valid(configuration, all) : new Invalid(List.copyOf(check.problems));
        } catch (MalformedException e) {
            check.problems.add(singleLine(e));
            return new Invalid(List.copyOf(check.problems));
        }
    }

    private Configuration read(Map<String, Object> all, Map<String, Object> current) {
        if (current != null) {
            requireKeysOf("", current, all);
        }
        REQUIRED_KEYS.stream().filter(k -> all.get(k) == null).forEach(k -> addProblem(k, "is missing"));
        if (all.get("settings") instanceof Map<?, ?> settings) {
            checkClasses(settings.get("requestClasses"));
            if (settings.get("limits") instanceof Map<?, ?> limits && limits.containsKey("maxAttempts")) {
                checkPositive("settings.limits.maxAttempts", limits.get("maxAttempts"), MAX_ATTEMPTS);
            }
        }
        if (!problems.isEmpty()) {
            return null; // reading on would report the same problems again
        }
        try {
            RoutingSettings settings = RoutingSettings.of(Json.flatten(Json.object(all.get("settings"), "settings")));
            return Configuration.of(all, environment, settings, ChangeLogCodec.read(all.get("known")));
        } catch (MalformedException | IllegalArgumentException e) {
            problems.add(singleLine(e));
            return null;
        }
    }

    private void checkClasses(Object list) {
        if (!(list instanceof List<?> all) || all.isEmpty()) {
            addProblem("settings.requestClasses", "is not a list of classes");
            return;
        }
        Set<Object> names = new HashSet<>();
        for (int i = 0; i < all.size(); i++) {
            String path = "settings.requestClasses." + i;
            if (!(all.get(i) instanceof Map<?, ?> c)) {
                addProblem(path, "is not a class");
                continue;
            }
            if (!(c.get("name") instanceof String name) || name.isBlank()) {
                addProblem(path + ".name", "is not a name");
            } else if (!names.add(name)) {
                addProblem(path + ".name", "is also the name of another class");
            }
            checkPositive(path + ".hardLimit", c.get("hardLimit"), MAX_DURATION_MS);
            checkPositive(path + ".slo", c.get("slo"), MAX_DURATION_MS);
            if (c.containsKey("effect") && !EFFECTS.contains(String.valueOf(c.get("effect")))) {
                addProblem(path + ".effect", "is not one of safe, keyed, unsafe");
            }
        }
    }

    private void checkPositive(String path, Object value, double max) {
        // strings are not accepted as numbers; the comparison is false for infinity and NaN
        if (!(value instanceof Number n) || !(n.doubleValue() > 0 && n.doubleValue() <= max)) {
            addProblem(path, "is not a number above 0" + (value instanceof Number ? " and at most " + (long) max : ""));
        } else if (max == MAX_ATTEMPTS && n.doubleValue() != Math.rint(n.doubleValue())) {
            addProblem(path, "is not an integer");
        }
    }

    /** Requires each key of the current document at the same place, with an object or list where the current one has it. */
    private void requireKeysOf(String path, Map<?, ?> current, Map<?, ?> next) {
        current.forEach((key, old) -> {
            String at = path.isEmpty() ? String.valueOf(key) : path + "." + key;
            Object value = next.get(key);
            if (value == null && old != null) {
                addProblem(at, "is missing");
            } else if (at.equals("known")) {
                return;
            } else if (old instanceof Map<?, ?> m) {
                if (value instanceof Map<?, ?> n) {
                    requireKeysOf(at, m, n);
                } else {
                    addProblem(at, "is not an object");
                }
            } else if (old instanceof List<?> l) {
                requireListLike(at, l, value);
            }
        });
    }

    /** A list may grow and shrink; keys that all of its objects have in the current document are required in each object. */
    private void requireListLike(String at, List<?> current, Object next) {
        if (!(next instanceof List<?> list)) {
            addProblem(at, "is not a list");
            return;
        }
        Set<Object> common = null;
        for (Object o : current) {
            if (o instanceof Map<?, ?> m) {
                common = common == null ? new LinkedHashSet<>(m.keySet()) : common;
                common.retainAll(m.keySet());
            }
        }
        for (int i = 0; common != null && i < list.size(); i++) {
            if (!(list.get(i) instanceof Map<?, ?> m)) {
                addProblem(at + "." + i, "is not an object");
                continue;
            }
            for (Object key : common) {
                if (m.get(key) == null) {
                    addProblem(at + "." + i + "." + key, "is missing");
                }
            }
        }
    }

    private void addProblem(String path, String problem) {
        String text = path + " " + problem;
        if (!problems.contains(text)) {
            problems.add(text);
        }
    }

    private static String singleLine(RuntimeException e) {
        return String.valueOf(e.getMessage()).replaceAll("\\s+", " ");
    }
}
