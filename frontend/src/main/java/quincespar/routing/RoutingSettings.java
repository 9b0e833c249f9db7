package quincespar.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import quincespar.decision.Gateway;
import quincespar.decision.SettingsParser;

/**
 * The settings: those of the module, and those that only a front end on sockets needs. Classes and tenants are known by
 * name: a name has one number for as long as the program runs, however the settings that follow list it.
 *
 * @param classes the numbers of the classes that a request may name; the module's list may hold more, which were dropped
 * @param tenants the numbers of the tenants, alike
 */
public record RoutingSettings(Gateway.Settings decision, List<String> zones, List<String> kinds, double linkIdleMs, int maxStreamsPerLink,
        Map<String, Integer> classNumbers, Map<String, Integer> tenantNumbers) {
    private static final double IDLE = 15_000;
    private static final int STREAMS = 100;

    /**
     * Reads pairs of path and value, as the adapter does; throws {@link IllegalArgumentException}. The protocol has no words
     * between front ends: a module that may use them would count on what nobody has told it.
     */
    public static RoutingSettings of(Map<String, String> pairs) {
        SettingsParser settings = new SettingsParser(pairs);
        Gateway.Settings module = settings.settings().withoutPeerMessages();
        return new RoutingSettings(module, settings.names("localities"), settings.names("kinds"),
                aboveZero(settings.number("limits.connIdle", IDLE), IDLE),
                (int) aboveZero(settings.number("limits.maxStreams", STREAMS), STREAMS),
                numbers(module.classes(), Gateway.ClassSpec::name), numbers(module.tenants(), Gateway.Tenant::name));
    }

    /** The place of each name. */
    private static <T> Map<String, Integer> numbers(List<T> all, Function<T, String> name) {
        Map<String, Integer> out = new HashMap<>();
        for (int i = 0; i < all.size(); i++) {
            out.put(name.apply(all.get(i)), i);
        }
        return Map.copyOf(out);
    }

    /**
     * These settings after those of {@code before}: what both know keeps the number that it has there, what is new comes
     * behind, and what was dropped keeps its place with its last terms, for the requests that are still open.
     */
    public RoutingSettings keepingNumbersOf(RoutingSettings before) {
        List<Gateway.ClassSpec> specs = merged(before.decision.classes(), decision.classes(), Gateway.ClassSpec::name);
        List<Gateway.Tenant> shops = merged(before.decision.tenants(), decision.tenants(), Gateway.Tenant::name);
        Map<String, Integer> named = new HashMap<>(numbers(specs, Gateway.ClassSpec::name));
        named.keySet().retainAll(classNumbers.keySet());
        Map<String, Integer> known = new HashMap<>(numbers(shops, Gateway.Tenant::name));
        known.keySet().retainAll(tenantNumbers.keySet());
        return new RoutingSettings(decision.withClassesAndTenants(specs, shops), zones, kinds, linkIdleMs, maxStreamsPerLink, Map.copyOf(named), Map.copyOf(known));
    }

    /** The same among so many front ends, as the one with this number. */
    RoutingSettings among(int howMany, int number) {
        Gateway.Settings m = decision.withRouter(howMany, number);
        return m == decision ? this : new RoutingSettings(m, zones, kinds, linkIdleMs, maxStreamsPerLink, classNumbers, tenantNumbers);
    }

    private static <T> List<T> merged(List<T> before, List<T> next, Function<T, String> name) {
        Map<String, Integer> at = numbers(next, name);
        List<T> out = new ArrayList<>();
        before.forEach(t -> out.add(at.containsKey(name.apply(t)) ? next.get(at.get(name.apply(t))) : t));
        Map<String, Integer> had = numbers(before, name);
        next.stream().filter(t -> !had.containsKey(name.apply(t))).forEach(out::add);
        return List.copyOf(out);
    }

    /** The numbers of the classes that were dropped. */
    public List<Integer> droppedClasses() {
        List<Integer> out = new ArrayList<>();
        for (int i = 0; i < decision.classes().size(); i++) {
            if (!classNumbers.containsKey(decision.classes().get(i).name())) {
                out.add(i);
            }
        }
        return out;
    }

    /** The names of all classes by number, dropped ones too. */
    public List<String> classNames() {
        return decision.classes().stream().map(Gateway.ClassSpec::name).toList();
    }

    private static double aboveZero(double n, double absent) {
        return n > 0 ? n : absent;
    }
}
