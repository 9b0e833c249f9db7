package quincespar.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import quincespar.decision.Scheduler;
import quincespar.decision.SettingsParser;

/**
 * The settings of the decision module, and those that only a front end on sockets needs. Classes, tenants, zones and kinds are
 * known by name: a name keeps its number for as long as the process runs, in whatever order later settings list it.
 *
 * @param decision          the settings of the decision module
 * @param zones             the names of the zones; a zone's number is its place
 * @param kinds             the names of the kinds of engines; a kind's number is its place
 * @param linkIdleMs        after how long engines close an idle link, in milliseconds
 * @param maxStreamsPerLink how many attempts may be open on one link
 * @param classNumbers      the numbers of the classes that a request may name; the module's list may hold dropped ones too
 * @param tenantNumbers     the numbers of the tenants that a request may name, likewise
 */
public record RoutingSettings(Scheduler.Settings decision, List<String> zones, List<String> kinds, double linkIdleMs,
        int maxStreamsPerLink, Map<String, Integer> classNumbers, Map<String, Integer> tenantNumbers) {
    private static final double DEFAULT_LINK_IDLE_MS = 15_000;
    private static final int DEFAULT_MAX_STREAMS = 100;
    /**
     * How much longer than the rules ask a key is blocked after a doubtful end: the cancel and the next attempt of the key go
     * to two engines, and the cancel may take longer on its way.
     */
    private static final double SETTLE_MARGIN_MS = 50;

    /**
     * Reads pairs of path and value, as the adapter does. The protocol carries no messages between front ends, so the module
     * is told that it has none: it would rely on reports that never arrive.
     *
     * @throws IllegalArgumentException if a value is missing or invalid
     */
    public static RoutingSettings of(Map<String, String> pairs) {
        SettingsParser parser = new SettingsParser(pairs);
        Scheduler.Settings decision = withSettleMargin(parser.settings().withoutPeerMessages());
        return new RoutingSettings(decision, parser.names("localities"), parser.names("kinds"),
                positiveOr(parser.number("limits.connIdle", DEFAULT_LINK_IDLE_MS), DEFAULT_LINK_IDLE_MS),
                (int) positiveOr(parser.number("limits.maxStreams", DEFAULT_MAX_STREAMS), DEFAULT_MAX_STREAMS),
                indexByName(decision.classes(), Scheduler.ClassSpec::name),
                indexByName(decision.tenants(), Scheduler.Tenant::name));
    }

    private static Scheduler.Settings withSettleMargin(Scheduler.Settings settings) {
        Scheduler.Rules rules = settings.rules();
        return rules.settlePeriod() <= 0 ? settings
                : settings.withRules(rules.withSettlePeriod(rules.settlePeriod() + SETTLE_MARGIN_MS));
    }

    private static <T> Map<String, Integer> indexByName(List<T> items, Function<T, String> name) {
        Map<String, Integer> indexes = new HashMap<>();
        for (int i = 0; i < items.size(); i++) {
            indexes.put(name.apply(items.get(i)), i);
        }
        return Map.copyOf(indexes);
    }

    /**
     * These settings with the numbers of {@code previous}: what both know keeps the number that it has there, what is new is
     * appended, and what was dropped keeps its number and, but for zones and kinds, its last settings, for the requests that are
     * still open.
     */
    public RoutingSettings keepingNumbersOf(RoutingSettings previous) {
        RoutingSettings renumbered = withPlaceNumbersOf(previous);
        List<Scheduler.ClassSpec> mergedClasses =
                merge(previous.decision.classes(), renumbered.decision.classes(), Scheduler.ClassSpec::name);
        List<Scheduler.Tenant> mergedTenants =
                merge(previous.decision.tenants(), decision.tenants(), Scheduler.Tenant::name);
        Map<String, Integer> usableClasses = new HashMap<>(indexByName(mergedClasses, Scheduler.ClassSpec::name));
        usableClasses.keySet().retainAll(classNumbers.keySet());
        Map<String, Integer> usableTenants = new HashMap<>(indexByName(mergedTenants, Scheduler.Tenant::name));
        usableTenants.keySet().retainAll(tenantNumbers.keySet());
        return new RoutingSettings(renumbered.decision.withClassesAndTenants(mergedClasses, mergedTenants), renumbered.zones,
                renumbered.kinds, linkIdleMs, maxStreamsPerLink, Map.copyOf(usableClasses), Map.copyOf(usableTenants));
    }

    /** These settings with the zones and kinds numbered as in {@code previous}. */
    private RoutingSettings withPlaceNumbersOf(RoutingSettings previous) {
        List<String> mergedZones = upToLastOf(zones, merge(previous.zones, zones, name -> name));
        List<String> mergedKinds = upToLastOf(kinds, merge(previous.kinds, kinds, name -> name));
        List<Scheduler.ClassSpec> classes = new ArrayList<>();
        for (Scheduler.ClassSpec spec : decision.classes()) {
            classes.add(spec.withPlaces(renumber(spec.allowedZones(), zones, mergedZones),
                    renumber(spec.allowedEngineKinds(), kinds, mergedKinds)));
        }
        int ownZone = decision.zone() < zones.size() ? mergedZones.indexOf(zones.get(decision.zone())) : decision.zone();
        Scheduler.EngineTraits traits = decision.engineTraits();
        Scheduler.EngineTraits before = previous.decision.engineTraits();
        Scheduler.EngineTraits renumbered = traits.withKinds(
                byMergedKind(mergedKinds, traits.coresByKind(), before.coresByKind()),
                byMergedKind(mergedKinds, traits.memoryByKind(), before.memoryByKind()));
        return new RoutingSettings(decision.withPlaces(ownZone, classes, renumbered), mergedZones, mergedKinds, linkIdleMs,
                maxStreamsPerLink, classNumbers, tenantNumbers);
    }

    /** The merged names up to the last one that is listed: the numbers of those behind it are not needed here. */
    private static List<String> upToLastOf(List<String> listed, List<String> merged) {
        int end = merged.size();
        while (end > 0 && !listed.contains(merged.get(end - 1))) {
            end--;
        }
        return merged.subList(0, end);
    }

    /** Numbers that are places in {@code names} as places in {@code merged}; null stays null. */
    private static List<Integer> renumber(List<Integer> numbers, List<String> names, List<String> merged) {
        return numbers == null ? null : numbers.stream().filter(n -> n >= 0 && n < names.size())
                .map(n -> merged.indexOf(names.get(n))).toList();
    }

    /** Values by kind in these settings; a kind that they do not name keeps its previous value. */
    private List<Double> byMergedKind(List<String> merged, List<Double> values, List<Double> previousValues) {
        List<Double> out = new ArrayList<>();
        for (int number = 0; number < Math.max(merged.size(), previousValues.size()); number++) {
            int place = number < merged.size() ? kinds.indexOf(merged.get(number)) : -1;
            out.add(place >= 0 ? valueAt(values, place) : valueAt(previousValues, number));
        }
        while (!out.isEmpty() && out.get(out.size() - 1) == 0) { // 0 stands for a value that is not known
            out.remove(out.size() - 1);
        }
        return List.copyOf(out);
    }

    private static double valueAt(List<Double> values, int index) {
        return index < values.size() ? values.get(index) : 0;
    }

    /** These settings with other lists of zones and kinds, in which theirs have the same numbers. */
    RoutingSettings withPlaces(List<String> allZones, List<String> allKinds) {
        return new RoutingSettings(decision, allZones, allKinds, linkIdleMs, maxStreamsPerLink, classNumbers, tenantNumbers);
    }

    /** These settings for the front end at place {@code index} among {@code count}. */
    RoutingSettings sharedAmong(int count, int index) {
        return withDecision(decision.withRouter(count, index));
    }

    /** These settings with other rules. */
    RoutingSettings withRules(Scheduler.Rules rules) {
        return withDecision(decision.withRules(rules));
    }

    private RoutingSettings withDecision(Scheduler.Settings other) {
        return new RoutingSettings(other, zones, kinds, linkIdleMs, maxStreamsPerLink, classNumbers, tenantNumbers);
    }

    private static <T> List<T> merge(List<T> previous, List<T> next, Function<T, String> name) {
        Map<String, Integer> nextIndexes = indexByName(next, name);
        Map<String, Integer> previousIndexes = indexByName(previous, name);
        List<T> merged = new ArrayList<>();
        previous.forEach(t -> merged.add(nextIndexes.containsKey(name.apply(t)) ? next.get(nextIndexes.get(name.apply(t))) : t));
        next.stream().filter(t -> !previousIndexes.containsKey(name.apply(t))).forEach(merged::add);
        return List.copyOf(merged);
    }

    /** The numbers of the classes that were dropped. */
    public List<Integer> droppedClasses() {
        List<Integer> dropped = new ArrayList<>();
        for (int i = 0; i < decision.classes().size(); i++) {
            if (!classNumbers.containsKey(decision.classes().get(i).name())) {
                dropped.add(i);
            }
        }
        return dropped;
    }

    /** The longest deadline of the classes that a request may name, in milliseconds; 0 without classes. */
    public double longestDeadlineMs() {
        return classNumbers.values().stream().mapToDouble(number -> decision.classes().get(number).deadline()).max().orElse(0);
    }

    /** The names of all classes by number, dropped ones too. */
    public List<String> classNames() {
        return decision.classes().stream().map(Scheduler.ClassSpec::name).toList();
    }

    private static double positiveOr(double value, double fallback) {
        return value > 0 ? value : fallback;
    }
}
