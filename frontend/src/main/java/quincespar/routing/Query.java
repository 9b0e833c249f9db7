package quincespar.routing;

/**
 * A request, independent of the wire protocol.
 *
 * @param txn            the client's name for it, by which engines know it too
 * @param timeoutMs      how long its client waits, counted from the request's last byte
 * @param retry          whether the client has marked it as a retry
 * @param work           the estimated work, NaN where there is no estimate
 * @param memory         the estimated memory, 0 where there is no estimate
 * @param tables         the group of tables that it uses
 * @param idempotencyKey by which engines recognize repeats of the request; empty where the client gave none
 * @param orderingKey    requests of the same key run one at a time, in the order in which they arrived; empty where the class
 *                       keeps no order
 */
public record Query(String txn, int classNumber, int tenantNumber, double timeoutMs, boolean retry, double work, double memory,
        int tables, byte[] statement, String idempotencyKey, String orderingKey) {
    /** A query without an idempotency key and an ordering key. */
    public Query(String txn, int classNumber, int tenantNumber, double timeoutMs, boolean retry, double work, double memory,
            int tables, byte[] statement) {
        this(txn, classNumber, tenantNumber, timeoutMs, retry, work, memory, tables, statement, "", "");
    }
}
