package quincespar.faultbench;

import java.util.Comparator;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import quincespar.faultbench.check.History.StatusSample;

/** The latest status sample of each instance; written by one thread for each instance, and read by others meanwhile. */
final class LatestSamples {
    private final Map<String, StatusSample> byNode = new ConcurrentSkipListMap<>();

    void add(StatusSample sample) {
        byNode.put(sample.node(), sample);
    }

    /** The latest sample of an instance, null without one. */
    StatusSample of(String node) {
        return byNode.get(node);
    }

    /** The highest index that any instance has applied; 0 without samples. */
    long maxApplied() {
        return byNode.values().stream().mapToLong(StatusSample::applied).max().orElse(0);
    }

    /** The instance that considers itself the leader in the highest term, or {@code otherwise}. */
    String leader(String otherwise) {
        return byNode.values().stream().filter(sample -> sample.voting() && sample.leader().equals(sample.node()))
                .max(Comparator.comparingLong(StatusSample::term)).map(StatusSample::node).orElse(otherwise);
    }

    /** Whether any instance lists this standing of an incarnation. */
    boolean anyLists(String standing) {
        return byNode.values().stream().anyMatch(sample -> sample.standings().contains(standing));
    }

    @Override
    public String toString() {
        return byNode.values().toString();
    }
}
