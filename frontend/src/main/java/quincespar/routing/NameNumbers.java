package quincespar.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The numbers by which the decision module knows the zones, or the kinds of engines. A name keeps its number for as long as the
 * process runs, whether the settings or only the list of engines have it: requests and attempts that are open refer to it.
 */
final class NameNumbers {
    private final List<String> names = new ArrayList<>();
    private final Map<String, Integer> numbers = new HashMap<>();
    /** Names that only the list of engines has had so far. */
    private final Set<String> unnamed = new HashSet<>();

    NameNumbers(List<String> named) {
        addNamed(named);
    }

    /** Adds the names that the settings have. */
    void addNamed(List<String> named) {
        for (String name : named) {
            numberOf(name);
            unnamed.remove(name);
        }
    }

    /** The number of a name that the list of engines has, the next free one where it has none yet. */
    int numberOf(String name) {
        Integer known = numbers.putIfAbsent(name, names.size());
        if (known != null) {
            return known;
        }
        names.add(name);
        unnamed.add(name);
        return names.size() - 1;
    }

    /** Whether a name is new, and the settings, which have names, have not this one. */
    boolean isUnexpected(String name) {
        return hasNamed() && !numbers.containsKey(name);
    }

    /** How many names the settings have never had; 0 where they have none at all. */
    int unnamedCount() {
        return hasNamed() ? unnamed.size() : 0;
    }

    private boolean hasNamed() {
        return names.size() > unnamed.size();
    }

    /** All names in the order of their numbers. */
    List<String> names() {
        return List.copyOf(names);
    }
}
