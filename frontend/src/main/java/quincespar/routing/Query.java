package quincespar.routing;

/**
 * A request in no protocol's terms. {@code work} is NaN and {@code memory} 0 where there is no estimate; {@code
 * limitMs} is how long its client waits, counted from the request's last byte. Engines know repeats of a request by its
 * {@code idempotencyKey}, which is empty where its client gave none.
 */
public record Query(String txn, int cls, int tenant, double limitMs, boolean repeat, double work, double memory,
        int tables, byte[] statement, String idempotencyKey) {
    /** One without an idempotency key. */
    public Query(String txn, int cls, int tenant, double limitMs, boolean repeat, double work, double memory, int tables,
            byte[] statement) {
        this(txn, cls, tenant, limitMs, repeat, work, memory, tables, statement, "");
    }
}
