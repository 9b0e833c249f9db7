package quincespar.routing;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import quincespar.decision.Scheduler;

/**
 * Counters of attempts, by cause and class and by engine. The number of counter names is bounded: each is made of a fixed
 * word, an enum constant and a class from the settings.
 */
final class AttemptCounters {
    /** Engines are replaced for as long as the process runs; beyond this many they are counted together. */
    static final int MAX_ENGINES = 256;

    private final Map<String, AtomicLong> byClass = new ConcurrentHashMap<>();
    private final Map<String, Map<String, AtomicLong>> byEngine = new ConcurrentHashMap<>();

    /** Adds one to the counter {@code kind.cause.className}; the cause is in lower case. */
    void count(String kind, Enum<?> cause, String className) {
        add(kind, cause, className, 1);
    }

    /** Adds one to the counter {@code cut.reason.className}, with the reason's label. */
    void countCancelled(Scheduler.CancelReason reason, String className) {
        byClass.computeIfAbsent("cut." + reason.label + "." + className, name -> new AtomicLong()).incrementAndGet();
    }

    /** Adds to the counter {@code kind.cause.className}; the cause is in lower case. */
    void add(String kind, Enum<?> cause, String className, long amount) {
        byClass.computeIfAbsent(kind + "." + cause.name().toLowerCase(Locale.ROOT) + "." + className,
                name -> new AtomicLong()).addAndGet(amount);
    }

    /** Adds one to a counter of an engine; {@code kind} is a fixed word or the name of an outcome. */
    void countAtEngine(String id, String kind) {
        String name = byEngine.containsKey(id) || byEngine.size() < MAX_ENGINES ? id : "others";
        byEngine.computeIfAbsent(name, n -> new ConcurrentHashMap<>())
                .computeIfAbsent(kind.toLowerCase(Locale.ROOT), k -> new AtomicLong()).incrementAndGet();
    }

    /** The counters of engines as {@code id.kind}; may be called on any thread. */
    Map<String, Long> byEngine() {
        Map<String, Long> out = new TreeMap<>();
        byEngine.forEach((id, counters) -> counters.forEach((kind, n) -> out.put(id + "." + kind, n.get())));
        return out;
    }

    /** The counters by cause and class; may be called on any thread. */
    Map<String, Long> byClass() {
        Map<String, Long> out = new TreeMap<>();
        byClass.forEach((name, n) -> out.put(name, n.get()));
        return out;
    }
}
