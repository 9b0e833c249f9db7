package quincespar.recovery;

/**
 * Time limits of the phases of a recovery, in milliseconds. At the end of its limit a phase gives way to the next one, with what
 * is known by then.
 *
 * @param readTimeoutMs for reading the folder
 * @param majorityTimeoutMs for reaching a quorum of the fleet
 * @param agreementTimeoutMs for deciding whether another instance kept running through the loss
 * @param changeLogTimeoutMs for the change log's first complete answer
 * @param classIntervalMs between the admission of one class of requests and the next
 * @param retrySpreadMs the interval over which the retries of refused clients are spread
 * @param survivedAfterMs an instance that has served for at least so long, in agreed time, kept running through the loss
 */
public record RecoveryTimeouts(double readTimeoutMs, double majorityTimeoutMs, double agreementTimeoutMs,
        double changeLogTimeoutMs, double classIntervalMs, double retrySpreadMs, double survivedAfterMs) { }
