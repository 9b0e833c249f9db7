package quincespar.routing;

/**
 * A request in no protocol's terms. {@code work} is NaN and {@code memory} 0 where there is no estimate; {@code
 * timeoutMs} is how long its client waits, counted from the request's last byte. Engines know repeats of a request by its
 * {@code idempotencyKey}, which is empty where its client gave none.
 */
public record Query(String txn, int classNumber, int tenantNumber, double timeoutMs, boolean retry, double work, double memory,
        int tables, byte[] statement, String idempotencyKey) {
    /** One without an idempotency key. */
    public Query(String txn, int classNumber, int tenantNumber, double timeoutMs, boolean retry, double work, double memory, int tables,
            byte[] statement) {
        this(txn, classNumber, tenantNumber, timeoutMs, retry, work, memory, tables, statement, "");
    }
}
