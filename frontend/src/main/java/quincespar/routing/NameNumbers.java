package quincespar.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The numbers by which the decision module knows the zones, or the kinds of engines. A name keeps its number for as long as the
 * process runs, whether the settings or only the list of engines have it: requests and attempts that are open refer to it.
 */
final class NameNumbers {
    private final List<String> names = new ArrayList<>();
    private final Map<String, Integer> numbers = new HashMap<>();

    NameNumbers(List<String> named) {
        addNamed(named);
    }

    /** Adds the names that the settings have. */
    void addNamed(List<String> named) {
        for (String name : named) {
            if (numbers.putIfAbsent(name, names.size()) == null) {
                names.add(name);
            }
        }
    }

    /** The number of a name that the list of engines has; one that the settings do not have counts as the first one. */
    int numberOf(String name) {
        return numbers.getOrDefault(name, 0);
    }

    /** All names in the order of their numbers. */
    List<String> names() {
        return List.copyOf(names);
    }
}
