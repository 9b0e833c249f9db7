package quincespar.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Maps settings, as pairs of path and value, to the module's record. The simulator's wire brings the pairs as
 * text; a real front end flattens its configuration to the same pairs. Unknown keys are skipped; an absent key takes the default that stands
 * beside its name here: the reading that allows least, or the one that a site without the feature has.
 * Required are the number of classes and, of each class, its aim and its deadline.
 */
public final class SettingsParser {
    private final Map<String, String> pairs;

    /** A reader of these pairs. */
    public SettingsParser(Map<String, String> pairs) {
        this.pairs = pairs;
    }

    /** The settings of the wire's text, a pair on each line. */
    public static Scheduler.Settings parse(String text) {
        Map<String, String> pairs = new HashMap<>();
        for (String line : text.split("\n")) {
            int eq = line.indexOf('=');
            if (eq > 0) {
                pairs.put(line.substring(0, eq).strip(), line.substring(eq + 1).strip());
            }
        }
        return new SettingsParser(pairs).settings();
    }

    /** A number, or {@code absent} where the key is; an {@link IllegalArgumentException} where it is none. */
    public double number(String key, double absent) {
        String v = pairs.get(key);
        return v == null || v.isEmpty() ? absent : parseNumber(key, v);
    }

    private static double parseNumber(String key, String v) {
        try {
            return Double.parseDouble(v);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("setting " + key + ": not a number: " + v);
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

    /** A list of names; empty where the key is absent. */
    public List<String> names(String key) {
        String v = pairs.get(key);
        return v == null || v.isEmpty() ? List.of() : List.of(v.split(","));
    }

    private List<Double> numbers(String key) {
        List<Double> out = new ArrayList<>();
        for (String w : names(key)) {
            out.add(parseNumber(key, w));
        }
        return out;
    }

    /** Indices of zones or kinds; a name is looked up in the list of names. Null where the key is absent. */
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
        String p = "requestClasses." + i + ".";
        Scheduler.Idempotency effect = switch (pairs.getOrDefault(p + "effect", "unsafe")) {
            case "safe" -> Scheduler.Idempotency.SAFE;
            case "keyed" -> Scheduler.Idempotency.KEYED;
            default -> Scheduler.Idempotency.UNSAFE;
        };
        Scheduler.DeduplicationScope scope = switch (pairs.getOrDefault(p + "keyScope", "cell")) {
            case "all" -> Scheduler.DeduplicationScope.ALL;
            case "zone" -> Scheduler.DeduplicationScope.ZONE;
            default -> Scheduler.DeduplicationScope.CELL;
        };
        return new Scheduler.ClassSpec(pairs.getOrDefault(p + "name", "class-" + i), required(p + "slo"),
                number(p + "aimStretch", 0), required(p + "hardLimit"), number(p + "points", 1),
                number(p + "lateWorth", 0), effect, scope, number(p + "repeatWindow", 0),
                flag(p + "keepOrder", false), flag(p + "streaming", false),
                (int) Math.max(1, elementOr(numbers("extra.classThreads"), i, 1.0)),
                "true".equals(elementOr(names("extra.writesTables"), i, "false")),
                "true".equals(elementOr(names("extra.waitsForLoads"), i, "false")),
                indices(p + "allowedIn", names("localities")), indices(p + "servedOn", names("kinds")));
    }

    private List<Scheduler.Tenant> tenants() {
        List<Scheduler.Tenant> out = new ArrayList<>();
        int n = (int) number("projects.count", 0);
        for (int i = 0; i < n; i++) {
            String p = "projects." + i + ".";
            out.add(new Scheduler.Tenant(pairs.getOrDefault(p + "name", ""), number(p + "quotaPerS", 0),
                    number(p + "share", 0)));
        }
        return out;
    }

    /** The module's settings; what can't be used is told in an {@link IllegalArgumentException}. */
    public Scheduler.Settings settings() {
        List<Scheduler.ClassSpec> classes = new ArrayList<>();
        int n = (int) required("requestClasses.count");
        for (int i = 0; i < n; i++) {
            classes.add(classSpec(i));
        }
        Scheduler.Limits limits = new Scheduler.Limits(flag("limits.cancelling", false), flag("limits.probes", false),
                flag("limits.mayTell", false), flag("limits.secondCopies", false),
                flag("limits.retryAfter", false), (int) number("limits.maxAttempts", 1),
                number("limits.maxRetryAfter", 0), (int) number("limits.openCap", 20000),
                number("limits.connectTimeout", 250));
        boolean rationed = pairs.containsKey("rules.budgetFree") || pairs.containsKey("rules.resendRatio");
        double none = rationed ? 0 : Double.NaN;
        Scheduler.Rules rules = new Scheduler.Rules(number("rules.answerSlack", 0), number("rules.askEvery", 10000),
                number("rules.cold", 0), number("rules.coldShare", 1), number("rules.drainGrace", 0),
                number("rules.fall", 0), number("rules.fallMultiple", 1), number("rules.settleAfterDoubt", 0),
                number("rules.budgetFree", none), number("rules.resendRatio", none),
                number("rules.budgetSpan", rationed ? 60000 : Double.NaN));
        Scheduler.MemoryShortagePolicy shortage = switch (pairs.getOrDefault("extra.onShortage", "line_up")) {
            case "cut" -> Scheduler.MemoryShortagePolicy.CUT;
            case "overcommit" -> Scheduler.MemoryShortagePolicy.OVERCOMMIT;
            default -> Scheduler.MemoryShortagePolicy.QUEUE;
        };
        boolean reports = !"off".equals(pairs.getOrDefault("reporting.how", "off"));
        Scheduler.EngineTraits fleet = new Scheduler.EngineTraits(numbers("extra.sizeCores"), numbers("extra.memoryByKindMb"),
                number("extra.largestShare", 1), flag("extra.takesGrants", false),
                flag("extra.lanesCount", false), shortage, number("extra.notePeriod", 0),
                flag("extra.tellsCost", false), reports ? names("reporting.fields") : List.of());
        return new Scheduler.Settings((int) number("balancers", 1), (int) number("me", 0),
                (int) number("myZone", 0), classes, tenants(), number("overShareWorth", 1),
                "on_request".equals(pairs.get("discovery")), flag("clients.marksRetry", false),
                number("penalties.crossZone", 0), number("penalties.waste", 0),
                number("penalties.peer", 0), number("tick", 1),
                limits, rules, fleet);
    }
}
