package quincespar.faultbench.check;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Everything that was seen in a run; filled by many threads. */
public final class History {
    private final long began = System.nanoTime();
    private final List<Event> events = new ArrayList<>();
    private final List<Operation> operations = new ArrayList<>();
    private final List<StatusSample> statusSamples = new ArrayList<>();
    private final List<Request> requests = new ArrayList<>();

    /**
     * An operation on a register by one caller.
     *
     * @param from when it was called
     * @param to when its answer came; {@link Long#MAX_VALUE} where none did: it may have been done at any time since
     * @param write whether it writes
     * @param expected the version that a write asked for, negative for any
     * @param value what was written, or read
     * @param version the version that was written or read, or that a refused write met
     * @param outcome what is known of it
     */
    public record Operation(String register, String caller, long invokedAt, long respondedAt, boolean write, long expectedVersion, String value,
            long version, Outcome outcome) { }

    /** What is known of an operation. */
    public enum Outcome {
        /** It was done. */
        DONE,
        /** It was refused for the version that it met, and did nothing. */
        CONFLICT,
        /** Nobody knows. */
        UNKNOWN
    }

    /**
     * What one instance said of itself and its fleet at a moment.
     *
     * @param applied how much of the log of votes it has carried out, where it votes
     * @param standings how each known instance stands, as {@code name:incarnation:STANDING}
     */
    public record StatusSample(long at, String node, String phase, long incarnation, boolean voting, boolean quorumReachable, String leader,
            long term, long applied, long version, List<String> standings) { }

    /** One request of a client: {@code answer} is the kind of its final answer, empty where its connection ended without. */
    public record Request(String node, String txn, long sentAt, long endedAt, String answer, boolean load) { }

    /** When the run began, in nanoseconds. */
    public long began() {
        return began;
    }

    /** Notes what happened now. */
    public void add(String lane, String kind, String text) {
        synchronized (events) {
            events.add(new Event(System.nanoTime(), lane, kind, text));
        }
    }

    /** Notes an operation. */
    public void add(Operation o) {
        synchronized (operations) {
            operations.add(o);
        }
    }

    /** Notes a glance. */
    public void add(StatusSample g) {
        synchronized (statusSamples) {
            statusSamples.add(g);
        }
    }

    /** Notes a request. */
    public void add(Request r) {
        synchronized (requests) {
            requests.add(r);
        }
    }

    /** All that was noted, by time. */
    public List<Event> events() {
        synchronized (events) {
            return events.stream().sorted(Comparator.comparingLong(Event::at)).toList();
        }
    }

    /** All operations, by when they were called. */
    public List<Operation> operations() {
        synchronized (operations) {
            return operations.stream().sorted(Comparator.comparingLong(Operation::invokedAt)).toList();
        }
    }

    /** All statusSamples, by time. */
    public List<StatusSample> statusSamples() {
        synchronized (statusSamples) {
            return statusSamples.stream().sorted(Comparator.comparingLong(StatusSample::at)).toList();
        }
    }

    /** All requests, by when they were sent. */
    public List<Request> requests() {
        synchronized (requests) {
            return requests.stream().sorted(Comparator.comparingLong(Request::sentAt)).toList();
        }
    }
}
