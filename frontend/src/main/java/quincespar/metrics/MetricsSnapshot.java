package quincespar.metrics;

import java.util.Map;

/**
 * What the front end reports of itself, as it stood at one moment. Immutable, so that it may be read on any thread.
 *
 * @param transactions requests that got their final answer, by class; a class that was dropped keeps its row
 * @param sends        attempts written whole to engines
 * @param current      requests taken and not ended
 * @param engines      engines in the list
 * @param avoided      listed engines that get no new work now
 * @param confLoaded   configurations taken at SIGHUP
 * @param confInvalid  configurations turned down at SIGHUP
 * @param watch        how the change log is followed
 */
public record MetricsSnapshot(Map<String, AnswerCounts> transactions, long sends, int openRequests, int listedEngines, int avoidedEngines,
        long configurationsLoaded, long configurationsRejected, ChangeLogStatus changeLog) {

    /** Before anything has been counted. */
    public static final MetricsSnapshot NONE = new MetricsSnapshot(Map.of(), 0, 0, 0, 0, 0, 0, new ChangeLogStatus(0, 0, 0));

    /** Following the change log: the last event taken, milliseconds since the last whole answer, questions that failed. */
    public record ChangeLogStatus(long lastEvent, long ageMs, long failures) { }

    /** Final answers to one class's requests: served, refused and failed. */
    public record AnswerCounts(long answered, long deferred, long errored) { }
}
