package quincespar.routing;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Counts what becomes of attempts and answers, by cause and class: which class loses how many attempts to what.
 * Names are few by construction: a fixed word, a cause from an enum, a class from the settings.
 */
final class AttemptCounters {
    /** Engines come and go for as long as the program runs; beyond so many they are counted together. */
    static final int MOST_ENGINES = 256;

    private final Map<String, AtomicLong> counts = new ConcurrentHashMap<>();
    private final Map<String, Map<String, AtomicLong>> engines = new ConcurrentHashMap<>();

    /** Counts one; the name is {@code what.cause.cls} in lower case. */
    void count(String what, Enum<?> cause, String cls) {
        add(what, cause, cls, 1);
    }

    /** Adds to a sum; the name is {@code what.cause.cls} in lower case. */
    void add(String what, Enum<?> cause, String cls, long more) {
        counts.computeIfAbsent(what + "." + cause.name().toLowerCase(Locale.ROOT) + "." + cls,
                name -> new AtomicLong()).addAndGet(more);
    }

    /** Counts one at an engine, by what it was; {@code what} is a fixed word or an outcome's. */
    void engine(String id, String what) {
        String name = engines.containsKey(id) || engines.size() < MOST_ENGINES ? id : "others";
        engines.computeIfAbsent(name, n -> new ConcurrentHashMap<>())
                .computeIfAbsent(what.toLowerCase(Locale.ROOT), w -> new AtomicLong()).incrementAndGet();
    }

    /** What has been counted at engines, as {@code id.what}; may be asked for on any thread. */
    Map<String, Long> engines() {
        Map<String, Long> out = new TreeMap<>();
        engines.forEach((id, counted) -> counted.forEach((what, n) -> out.put(id + "." + what, n.get())));
        return out;
    }

    /** All that have been counted, by name; may be asked for on any thread. */
    Map<String, Long> all() {
        Map<String, Long> out = new TreeMap<>();
        counts.forEach((name, n) -> out.put(name, n.get()));
        return out;
    }
}
