package quincespar.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads a scheduler's settings from pairs of path and value. The simulator sends the pairs as text; a front
 * end flattens its configuration to the same pairs. Unknown keys are ignored. An absent key takes the default
 * that stands beside its name here: the most restrictive one, or that of a site without the feature. Required
 * are the number of classes and, for each class, its latency target and its deadline.
 */
public final class SettingsParser {
    private final Map<String, String> pairs;

    /** Creates a parser of these pairs. */
    public SettingsParser(Map<String, String> pairs) {
        this.pairs = pairs;
    }

    /** Parses the text of the simulator's protocol, with one pair on each line. */
    public static Scheduler.Settings parse(String text) {
        Map<String, String> pairs = new HashMap<>();
        for (String line : text.split("\n")) {
            int separator = line.indexOf('=');
            if (separator > 0) {
                pairs.put(line.substring(0, separator).strip(), line.substring(separator + 1).strip());
            }
        }
        return new SettingsParser(pairs).settings();
    }

    /**
     * The number at a key, or {@code absent} without one; throws {@link IllegalArgumentException} for other
     * text.
     */
    public double number(String key, double absent) {
        String value = pairs.get(key);
        return value == null || value.isEmpty() ? absent : parseNumber(key, value);
    }

    private static double parseNumber(String key, String value) {
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("setting " + key + ": not a number: " + value);
        }
    }

    private double required(String key) {
        if (!pairs.containsKey(key) || pairs.get(key).isEmpty()) {
            throw new IllegalArgumentException("setting " + key + " is missing");
        }
        return parseNumber(key, pairs.get(key));
    }

    private boolean flag(String key, boolean absent) {
        return absent ? !"false".equals(pairs.get(key)) : "true".equals(pairs.get(key));
    }

    /** The comma-separated names at a key; empty if the key is absent. */
    public List<String> names(String key) {
        String value = pairs.get(key);
        return value == null || value.isEmpty() ? List.of() : List.of(value.split(","));
    }

    private List<Double> numbers(String key) {
        List<Double> out = new ArrayList<>();
        for (String w : names(key)) {
            out.add(parseNumber(key, w));
        }
        return out;
    }

    /**
     * Indices of zones or kinds; a name stands for its place in the list of names. Null if the key is absent.
     */
    private List<Integer> indices(String key, List<String> names) {
        if (!pairs.containsKey(key)) {
            return null;
        }
        List<Integer> out = new ArrayList<>();
        for (String w : names(key)) {
            int at = names.indexOf(w);
            out.add(at >= 0 ? at : (int) parseNumber(key, w));
        }
        return out;
    }

    private static <T> T elementOr(List<T> list, int i, T absent) {
        return i < list.size() ? list.get(i) : absent;
    }

    private Scheduler.ClassSpec classSpec(int i) {
        String prefix = "requestClasses." + i + ".";
        Scheduler.Idempotency idempotency = switch (pairs.getOrDefault(prefix + "effect", "unsafe")) {
            case "safe" -> Scheduler.Idempotency.SAFE;
            case "keyed" -> Scheduler.Idempotency.KEYED;
            default -> Scheduler.Idempotency.UNSAFE;
        };
        Scheduler.DeduplicationScope scope = switch (pairs.getOrDefault(prefix + "keyScope", "cell")) {
            case "all" -> Scheduler.DeduplicationScope.ALL;
            case "zone" -> Scheduler.DeduplicationScope.ZONE;
            default -> Scheduler.DeduplicationScope.CELL;
        };
        return new Scheduler.ClassSpec(pairs.getOrDefault(prefix + "name", "class-" + i),
                required(prefix + "slo"), number(prefix + "aimStretch", 0), required(prefix + "hardLimit"),
                number(prefix + "points", 1), number(prefix + "lateWorth", 0), idempotency, scope,
                number(prefix + "repeatWindow", 0),
                flag(prefix + "keepOrder", false), flag(prefix + "streaming", false),
                (int) Math.max(1, elementOr(numbers("extra.classThreads"), i, 1.0)),
                "true".equals(elementOr(names("extra.writesTables"), i, "false")),
                "true".equals(elementOr(names("extra.waitsForLoads"), i, "false")),
                indices(prefix + "allowedIn", names("localities")),
                indices(prefix + "servedOn", names("kinds")));
    }

    private List<Scheduler.Tenant> tenants() {
        List<Scheduler.Tenant> out = new ArrayList<>();
        int count = (int) number("projects.count", 0);
        for (int i = 0; i < count; i++) {
            String prefix = "projects." + i + ".";
            out.add(new Scheduler.Tenant(pairs.getOrDefault(prefix + "name", ""),
                    number(prefix + "quotaPerS", 0), number(prefix + "share", 0)));
        }
        return out;
    }

    /** The settings; throws {@link IllegalArgumentException} for missing or unusable values. */
    public Scheduler.Settings settings() {
        List<Scheduler.ClassSpec> classes = new ArrayList<>();
        int count = (int) required("requestClasses.count");
        for (int i = 0; i < count; i++) {
            classes.add(classSpec(i));
        }
        Scheduler.Limits limits = new Scheduler.Limits(flag("limits.cancelling", false),
                flag("limits.probes", false), flag("limits.mayTell", false),
                flag("limits.secondCopies", false), flag("limits.retryAfter", false),
                (int) number("limits.maxAttempts", 1),
                number("limits.maxRetryAfter", 0), (int) number("limits.openCap", 20000),
                number("limits.connectTimeout", 250));
        boolean hasRetryBudget = pairs.containsKey("rules.budgetFree")
                || pairs.containsKey("rules.resendRatio");
        double absentBudget = hasRetryBudget ? 0 : Double.NaN;
        Scheduler.Rules rules = new Scheduler.Rules(number("rules.answerSlack", 0),
                number("rules.askEvery", 10000), number("rules.cold", 0), number("rules.coldShare", 1),
                number("rules.drainGrace", 0), number("rules.fall", 0), number("rules.fallMultiple", 1),
                number("rules.settleAfterDoubt", 0), number("rules.budgetFree", absentBudget),
                number("rules.resendRatio", absentBudget),
                number("rules.budgetSpan", hasRetryBudget ? 60000 : Double.NaN));
        Scheduler.MemoryShortagePolicy shortage = switch (pairs.getOrDefault("extra.onShortage", "line_up")) {
            case "cut" -> Scheduler.MemoryShortagePolicy.CUT;
            case "overcommit" -> Scheduler.MemoryShortagePolicy.OVERCOMMIT;
            default -> Scheduler.MemoryShortagePolicy.QUEUE;
        };
        boolean reports = !"off".equals(pairs.getOrDefault("reporting.how", "off"));
        Scheduler.EngineTraits engineTraits = new Scheduler.EngineTraits(numbers("extra.sizeCores"),
                numbers("extra.memoryByKindMb"), number("extra.largestShare", 1),
                flag("extra.takesGrants", false), flag("extra.lanesCount", false), shortage,
                number("extra.notePeriod", 0), flag("extra.tellsCost", false),
                reports ? names("reporting.fields") : List.of());
        return new Scheduler.Settings((int) number("balancers", 1), (int) number("me", 0),
                (int) number("myZone", 0), classes, tenants(), number("overShareWorth", 1),
                "on_request".equals(pairs.get("discovery")), flag("clients.marksRetry", false),
                number("penalties.crossZone", 0), number("penalties.waste", 0),
                number("penalties.peer", 0), number("tick", 1),
                limits, rules, engineTraits);
    }
}
