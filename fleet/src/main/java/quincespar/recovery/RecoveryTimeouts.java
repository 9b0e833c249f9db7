package quincespar.recovery;

/**
 * How long each step of a return may last, in milliseconds; at its end the next one begins with what is known then.
 *
 * @param readingMs for the folder
 * @param findingMs for a majority of the fleet
 * @param agreeingMs until it is certain that all were lost, or that some stood
 * @param probingMs for the change log's first whole answer
 * @param stepMs between one class of requests and the next
 * @param spreadMs over which clients that are turned away come back
 * @param stoodMs whoever has served for so long, in agreed time, has stood through what this instance has not
 */
public record RecoveryTimeouts(double readTimeoutMs, double majorityTimeoutMs, double agreementTimeoutMs, double changeLogTimeoutMs, double classIntervalMs, double retrySpreadMs,
        double survivedAfterMs) { }
