package quincespar.routing;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * The ordering keys of open requests. The decision module knows a key by a number, and blocks it for the settle period after
 * an attempt with a doubtful end; so a key keeps its number until that period has passed after its last request. A number is
 * never given to a second key.
 */
final class OrderingKeys {
    /** The number that tells the decision module that a request has no key. */
    static final long NO_KEY = 0;

    /** A key, with its open requests in the order in which they arrived. */
    static final class OrderingKey {
        final String text;
        final long number;
        final ArrayDeque<OpenRequest> requests = new ArrayDeque<>(2);

        private OrderingKey(String text, long number) {
            this.text = text;
            this.number = number;
        }
    }

    private final Map<String, OrderingKey> byText = new HashMap<>();
    /** Keys without an open request, and until when they keep their number; ordered by when their last request ended. */
    private final Map<OrderingKey, Double> keptUntil = new LinkedHashMap<>();
    /** Open requests behind another of their key, in the order in which they arrived. */
    private final Set<OpenRequest> waiting = new LinkedHashSet<>();
    private long lastNumber = NO_KEY;

    /** Adds a request behind the earlier ones of its key; null where its class keeps no order. */
    OrderingKey add(OpenRequest request, double now) {
        forgetExpired(now);
        String text = request.query.orderingKey();
        if (text.isEmpty()) {
            return null;
        }
        OrderingKey key = byText.computeIfAbsent(text, t -> new OrderingKey(t, ++lastNumber));
        keptUntil.remove(key);
        if (!key.requests.isEmpty()) {
            waiting.add(request);
        }
        key.requests.add(request);
        return key;
    }

    /** Removes a request that has a key, is closed and has no open attempt; its key keeps its number until {@code keepUntil}. */
    void remove(OpenRequest request, double keepUntil) {
        OrderingKey key = request.orderingKey;
        if (!key.requests.remove(request)) {
            return;
        }
        waiting.remove(request);
        if (key.requests.isEmpty()) {
            keptUntil.put(key, keepUntil);
        } else {
            waiting.remove(key.requests.peek());
        }
    }

    /** How many keys have a number. */
    int size() {
        return byText.size();
    }

    /** How many keys have an open request. */
    int heldCount() {
        return byText.size() - keptUntil.size();
    }

    /** How long any open request has waited behind another of its key, in milliseconds; 0 where none waits. */
    double longestWaitMs(double now) {
        return waiting.isEmpty() ? 0 : now - waiting.iterator().next().openedAt;
    }

    private void forgetExpired(double now) {
        Iterator<Map.Entry<OrderingKey, Double>> oldest = keptUntil.entrySet().iterator();
        while (oldest.hasNext()) {
            Map.Entry<OrderingKey, Double> entry = oldest.next();
            if (entry.getValue() > now) {
                return;
            }
            byText.remove(entry.getKey().text);
            oldest.remove();
        }
    }
}
