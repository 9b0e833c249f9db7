package quincespar.metrics;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts since the start, each at the one place where its thing happens. Written by one thread; others read the
 * {@link MetricsSnapshot}. Nothing here ever falls: a class that is dropped from the settings keeps its counts.
 */
public final class MetricsRecorder {
    /** How a request ended, as its client was told. */
    public enum FinalAnswer { ANSWERED, DEFERRED, ERRORED }

    private final List<String> names = new ArrayList<>();
    private final List<long[]> ends = new ArrayList<>();
    private Map<String, MetricsSnapshot.AnswerCounts> rows = Map.of();
    private boolean changed;
    private long sends;
    private long loaded;
    private long invalid;

    /** Has a row for each of these classes; a class's number is its place, and stays so. */
    public void classes(List<String> all) {
        for (String name : all.subList(names.size(), all.size())) {
            names.add(name);
            ends.add(new long[FinalAnswer.values().length]);
        }
        changed = true;
    }

    /** A request of a class got its final answer. */
    public void ended(int cls, FinalAnswer answer) {
        ends.get(cls)[answer.ordinal()]++;
        changed = true;
    }

    /** An attempt has been written whole. */
    public void sent() {
        sends++;
    }

    /** A new configuration was taken. */
    public void loaded() {
        loaded++;
    }

    /** A new configuration was turned down. */
    public void invalid() {
        invalid++;
    }

    /** All as it stands, with what is not counted but seen: requests open, engines listed, engines avoided, the watch. */
    public MetricsSnapshot snapshot(int current, int engines, int avoided, MetricsSnapshot.ChangeLogStatus watch) {
        if (changed) {
            Map<String, MetricsSnapshot.AnswerCounts> out = new LinkedHashMap<>();
            for (int i = 0; i < names.size(); i++) {
                long[] e = ends.get(i);
                out.put(names.get(i), new MetricsSnapshot.AnswerCounts(e[0], e[1], e[2]));
            }
            rows = Collections.unmodifiableMap(out);
            changed = false;
        }
        return new MetricsSnapshot(rows, sends, current, engines, avoided, loaded, invalid, watch);
    }
}
