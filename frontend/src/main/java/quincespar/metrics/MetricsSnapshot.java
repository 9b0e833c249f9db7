package quincespar.metrics;

import java.util.Map;

/**
 * The metrics of a front end at one moment. Immutable, so that any thread may read it.
 *
 * @param answersByClass         final answers, by class; a class that was dropped keeps its counts
 * @param attemptsSent           attempts that were written completely
 * @param openRequests           requests that have not been answered
 * @param listedEngines          engines in the list
 * @param ejectedEngines         listed engines that get no new work now
 * @param configurationsLoaded   configurations that were applied after SIGHUP
 * @param configurationsRejected configurations that were rejected after SIGHUP
 * @param changeLog              how the change log is followed
 * @param orderingKeys           the ordering keys of open requests
 */
public record MetricsSnapshot(Map<String, AnswerCounts> answersByClass, long attemptsSent, int openRequests, int listedEngines,
        int ejectedEngines, long configurationsLoaded, long configurationsRejected, ChangeLogStatus changeLog,
        OrderingKeyStatus orderingKeys) {

    /** Before anything has been counted. */
    public static final MetricsSnapshot NONE = new MetricsSnapshot(Map.of(), 0, 0, 0, 0, 0, 0, new ChangeLogStatus(0, 0, 0),
            new OrderingKeyStatus(0, 0));

    /** The last event that was applied, milliseconds since the last complete answer, and the number of failed polls. */
    public record ChangeLogStatus(long lastEvent, long ageMs, long failures) { }

    /** The number of keys with an open request, and how long any request has waited behind another of its key. */
    public record OrderingKeyStatus(int held, long longestWaitMs) { }

    /** Final answers to the requests of one class: served, refused and failed. */
    public record AnswerCounts(long answered, long deferred, long errored) { }
}
