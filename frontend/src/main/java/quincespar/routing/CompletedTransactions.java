package quincespar.routing;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The txns of requests that have ended, must not run twice and may have run. A client sends a request again under the same txn
 * if it crossed a close of its connection, and neither an engine nor its answer would tell the second run from the first. Pure.
 */
final class CompletedTransactions {
    /** Longer than any client waits for an answer. */
    static final double RETENTION_MS = 60_000;
    /** Beyond it the oldest are forgotten; about 1 MB. */
    static final int MAX_TRANSACTIONS = 8192;

    /** Until when each is kept, oldest first. */
    private final Map<String, Double> keptUntil = new LinkedHashMap<>();

    void add(String txn, double now) {
        keptUntil.remove(txn);
        keptUntil.put(txn, now + RETENTION_MS);
        while (keptUntil.size() > MAX_TRANSACTIONS || keptUntil.values().iterator().next() < now) {
            keptUntil.remove(keptUntil.keySet().iterator().next());
        }
    }

    boolean contains(String txn, double now) {
        return keptUntil.getOrDefault(txn, Double.NEGATIVE_INFINITY) >= now;
    }

    int size() {
        return keptUntil.size();
    }
}
