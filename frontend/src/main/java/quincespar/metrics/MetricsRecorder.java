package quincespar.metrics;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts since the start. One thread writes; other threads read the {@link MetricsSnapshot}s. No count ever falls: a class
 * that is dropped from the settings keeps its counts.
 */
public final class MetricsRecorder {
    /** How a request was answered. */
    public enum FinalAnswer { ANSWERED, DEFERRED, ERRORED }

    private final List<String> classNames = new ArrayList<>();
    /** By class number, counts in the order of {@link FinalAnswer}. */
    private final List<long[]> answers = new ArrayList<>();
    private Map<String, MetricsSnapshot.AnswerCounts> answersByClass = Map.of();
    private boolean answersChanged;
    private long attemptsSent;
    private long configurationsLoaded;
    private long configurationsRejected;

    /** Counts for each of these classes from now on. A class's number is its place in the list and never changes. */
    public void setClasses(List<String> names) {
        for (String name : names.subList(classNames.size(), names.size())) {
            classNames.add(name);
            answers.add(new long[FinalAnswer.values().length]);
        }
        answersChanged = true;
    }

    /** A request of a class has been answered. */
    public void answered(int classNumber, FinalAnswer answer) {
        answers.get(classNumber)[answer.ordinal()]++;
        answersChanged = true;
    }

    /** An attempt has been written completely. */
    public void attemptSent() {
        attemptsSent++;
    }

    /** A new configuration has been applied. */
    public void configurationLoaded() {
        configurationsLoaded++;
    }

    /** A new configuration has been rejected. */
    public void configurationRejected() {
        configurationsRejected++;
    }

    /** A snapshot of all counts, together with gauges of the current state. */
    public MetricsSnapshot snapshot(int openRequests, int listedEngines, int ejectedEngines,
            MetricsSnapshot.ChangeLogStatus changeLog, MetricsSnapshot.OrderingKeyStatus orderingKeys) {
        if (answersChanged) {
            Map<String, MetricsSnapshot.AnswerCounts> byClass = new LinkedHashMap<>();
            for (int i = 0; i < classNames.size(); i++) {
                long[] counts = answers.get(i);
                byClass.put(classNames.get(i), new MetricsSnapshot.AnswerCounts(counts[0], counts[1], counts[2]));
            }
            answersByClass = Collections.unmodifiableMap(byClass);
            answersChanged = false;
        }
        return new MetricsSnapshot(answersByClass, attemptsSent, openRequests, listedEngines, ejectedEngines,
                configurationsLoaded, configurationsRejected, changeLog, orderingKeys);
    }
}
