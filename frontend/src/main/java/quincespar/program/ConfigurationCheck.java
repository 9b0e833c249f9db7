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

/**
 * Looks a configuration's text over: it can be used as it stands, or here is all that is wrong with it. Pure: reading
 * the file and applying the result are others' business.
 */
final class ConfigurationCheck {
    /** What a check finds. */
    sealed interface Result { }

    /** It can be used; {@code document} is what a later file is held against. */
    record Good(Configuration configuration, Map<String, Object> document) implements Result { }

    /** It can't, for these reasons, each a plain phrase without line breaks. */
    record Bad(List<String> faults) implements Result {
        /** All reasons in one line. */
        String line() {
            return String.join("; ", faults);
        }
    }

    /** Milliseconds: longer than this no request waits. */
    private static final double LONGEST = 1e9;
    private static final double MOST_ATTEMPTS = 1000;
    private static final Set<String> EFFECTS = Set.of("safe", "keyed", "unsafe");
    /** What a start can't do without; a later file must have all that the one in force has. */
    private static final List<String> KEYS = List.of("seed", "changelog", "known", "settings");

    private final List<String> faults = new ArrayList<>();
    private final Map<String, String> environment;

    private ConfigurationCheck(Map<String, String> environment) {
        this.environment = environment;
    }

    /**
     * Checks a text. {@code environment} has what may stand in for keys; {@code inForce} is the document in force, or
     * null at a start. A key that it has must not be lacking: a file that was cut or half written by hand would
     * otherwise pass, with defaults that nobody chose. Keys of {@code known} come and go and are not held against it.
     */
    static Result check(byte[] text, Map<String, String> environment, Map<String, Object> inForce) {
        ConfigurationCheck c = new ConfigurationCheck(environment);
        try {
            Map<String, Object> all = Json.object(Json.read(text), "the configuration");
            Configuration made = c.read(all, inForce);
            return c.faults.isEmpty() ? new Good(made, all) : new Bad(List.copyOf(c.faults));
        } catch (MalformedException e) {
            c.faults.add(plain(e));
            return new Bad(List.copyOf(c.faults));
        }
    }

    private Configuration read(Map<String, Object> all, Map<String, Object> inForce) {
        if (inForce != null) {
            sameKeys("", inForce, all);
        }
        KEYS.stream().filter(k -> all.get(k) == null).forEach(k -> fault(k, "is missing"));
        if (all.get("settings") instanceof Map<?, ?> settings) {
            classes(settings.get("requestClasses"));
            if (settings.get("limits") instanceof Map<?, ?> limits && limits.containsKey("maxAttempts")) {
                aboveZero("settings.limits.maxAttempts", limits.get("maxAttempts"), MOST_ATTEMPTS);
            }
        }
        if (!faults.isEmpty()) {
            return null; // what follows would only say the same in other words
        }
        try {
            return Configuration.of(all, environment, RoutingSettings.of(Json.flatten(Json.object(all.get("settings"), "settings"))),
                    ChangeLogCodec.read(all.get("known")));
        } catch (MalformedException | IllegalArgumentException e) {
            faults.add(plain(e));
            return null;
        }
    }

    private void classes(Object list) {
        if (!(list instanceof List<?> all) || all.isEmpty()) {
            fault("settings.requestClasses", "is no list of classes");
            return;
        }
        Set<Object> names = new HashSet<>();
        for (int i = 0; i < all.size(); i++) {
            String path = "settings.requestClasses." + i;
            if (!(all.get(i) instanceof Map<?, ?> c)) {
                fault(path, "is no class");
                continue;
            }
            if (!(c.get("name") instanceof String name) || name.isBlank()) {
                fault(path + ".name", "is no name");
            } else if (!names.add(name)) {
                fault(path + ".name", "is the name of another class too");
            }
            aboveZero(path + ".hardLimit", c.get("hardLimit"), LONGEST);
            aboveZero(path + ".slo", c.get("slo"), LONGEST);
            if (c.containsKey("effect") && !EFFECTS.contains(String.valueOf(c.get("effect")))) {
                fault(path + ".effect", "is none of safe, keyed, unsafe");
            }
        }
    }

    private void aboveZero(String path, Object value, double most) {
        // a text that reads like a number is none; infinity and what is no number compare as false
        if (!(value instanceof Number n) || !(n.doubleValue() > 0 && n.doubleValue() <= most)) {
            fault(path, "is no number above 0" + (value instanceof Number ? " and up to " + (long) most : ""));
        } else if (most == MOST_ATTEMPTS && n.doubleValue() != Math.rint(n.doubleValue())) {
            fault(path, "is no whole number");
        }
    }

    /** Each key that stands in the file in force, at its place, stands in this one too and holds the like. */
    private void sameKeys(String path, Map<?, ?> before, Map<?, ?> now) {
        before.forEach((key, old) -> {
            String at = path.isEmpty() ? String.valueOf(key) : path + "." + key;
            Object value = now.get(key);
            if (value == null && old != null) {
                fault(at, "is missing");
            } else if (at.equals("known")) {
                return;
            } else if (old instanceof Map<?, ?> m) {
                if (value instanceof Map<?, ?> n) {
                    sameKeys(at, m, n);
                } else {
                    fault(at, "is no object");
                }
            } else if (old instanceof List<?> l) {
                sameList(at, l, value);
            }
        });
    }

    /** A list may grow and shrink; what all of its objects had in the file in force, each has now. */
    private void sameList(String at, List<?> before, Object now) {
        if (!(now instanceof List<?> list)) {
            fault(at, "is no list");
            return;
        }
        Set<Object> common = null;
        for (Object o : before) {
            if (o instanceof Map<?, ?> m) {
                common = common == null ? new LinkedHashSet<>(m.keySet()) : common;
                common.retainAll(m.keySet());
            }
        }
        for (int i = 0; common != null && i < list.size(); i++) {
            if (!(list.get(i) instanceof Map<?, ?> m)) {
                fault(at + "." + i, "is no object");
                continue;
            }
            for (Object key : common) {
                if (m.get(key) == null) {
                    fault(at + "." + i + "." + key, "is missing");
                }
            }
        }
    }

    private void fault(String path, String what) {
        String said = path + " " + what;
        if (!faults.contains(said)) {
            faults.add(said);
        }
    }

    private static String plain(RuntimeException e) {
        return String.valueOf(e.getMessage()).replaceAll("\\s+", " ");
    }
}
