package quincespar.faultbench.check;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Thread-safe record of the events, register operations, status samples and requests of a run. */
public final class History {
    private final long startNanos = System.nanoTime();
    private final List<Event> events = new ArrayList<>();
    private final List<Operation> operations = new ArrayList<>();
    private final List<StatusSample> statusSamples = new ArrayList<>();
    private final List<Request> requests = new ArrayList<>();

    /**
     * A register operation by one caller.
     *
     * @param invokedAt when it was invoked
     * @param respondedAt when the response arrived; {@link Long#MAX_VALUE} if none did, and it may take effect at any later
     *     time
     * @param write whether it is a write, otherwise a read
     * @param expectedVersion the version that a conditional write requires; negative for an unconditional write
     * @param value the value written or read
     * @param version the version written or read, or the current version that made a write conflict
     * @param outcome whether it took effect, as far as known
     */
    public record Operation(String register, String caller, long invokedAt, long respondedAt, boolean write,
            long expectedVersion, String value, long version, Outcome outcome) { }

    /** Whether an operation took effect. */
    public enum Outcome {
        /** The operation took effect. */
        DONE,
        /** A conditional write was rejected because of a version mismatch; it had no effect. */
        CONFLICT,
        /** No response: the operation may or may not have taken effect. */
        UNKNOWN
    }

    /**
     * One instance's report on itself and its fleet ({@code GET /fleet}).
     *
     * @param applied index of the last log entry that it has applied, if it is a voter
     * @param standings the standing of each known instance, as {@code name:incarnation:STANDING}
     */
    public record StatusSample(long at, String node, String phase, long incarnation, boolean voting, boolean quorumReachable,
            String leader, long term, long applied, long version, List<String> standings) { }

    /**
     * A client's request.
     *
     * @param connectedAt when its connection was established
     * @param endedAt when its answer arrived, or its connection ended without one
     * @param answer the kind of its final answer, empty if the connection ended without one
     */
    public record Request(String node, String txn, long connectedAt, long sentAt, long endedAt, String answer, boolean load) { }

    /** Start of the run, as {@link System#nanoTime()}. */
    public long startNanos() {
        return startNanos;
    }

    /** Records an event with the current time. */
    public void add(String lane, String kind, String text) {
        synchronized (events) {
            events.add(new Event(System.nanoTime(), lane, kind, text));
        }
    }

    /** Records a register operation. */
    public void add(Operation o) {
        synchronized (operations) {
            operations.add(o);
        }
    }

    /** Records a status sample. */
    public void add(StatusSample sample) {
        synchronized (statusSamples) {
            statusSamples.add(sample);
        }
    }

    /** Records a client request. */
    public void add(Request r) {
        synchronized (requests) {
            requests.add(r);
        }
    }

    /** All events, ordered by time. */
    public List<Event> events() {
        synchronized (events) {
            return events.stream().sorted(Comparator.comparingLong(Event::at)).toList();
        }
    }

    /** All register operations, ordered by invocation. */
    public List<Operation> operations() {
        synchronized (operations) {
            return operations.stream().sorted(Comparator.comparingLong(Operation::invokedAt)).toList();
        }
    }

    /** All status samples, ordered by time. */
    public List<StatusSample> statusSamples() {
        synchronized (statusSamples) {
            return statusSamples.stream().sorted(Comparator.comparingLong(StatusSample::at)).toList();
        }
    }

    /** All requests, ordered by the time of sending. */
    public List<Request> requests() {
        synchronized (requests) {
            return requests.stream().sorted(Comparator.comparingLong(Request::sentAt)).toList();
        }
    }
}
