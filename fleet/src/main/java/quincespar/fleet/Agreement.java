package quincespar.fleet;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;

/**
 * Access to the replicated log, implemented by a consensus library that {@link Provider} opens. No call blocks unless it says
 * so: a slow operation completes its stage later. A stage that completes exceptionally leaves open whether the command was
 * committed.
 */
public interface Agreement extends AutoCloseable {

    /** Opens the consensus library; implementations are found by {@link java.util.ServiceLoader}. */
    interface Provider {
        /**
         * Opens the library for one instance, as a client; it votes only after {@link #startVoting}.
         *
         * @param applied receives each newer state that this instance's own replica has applied, on a thread of the library
         */
        Agreement open(FleetConfig config, String self, Consumer<Snapshot> applied) throws IOException;
    }

    /**
     * The library's current status.
     *
     * @param voting whether this instance is an active voter
     * @param leader the name of the leader that this instance knows of, empty if it knows of none
     * @param term the current election term; 0 if this instance does not vote
     * @param applied the index of the last log entry that this instance's replica has applied
     */
    record Status(boolean voting, String leader, long term, long applied) { }

    /** Submits an encoded command to the log; the stage completes with the encoded {@link Result}. */
    CompletionStage<byte[]> submit(byte[] command);

    /** Reads the encoded {@link Snapshot} linearizably: it includes everything that was committed before this call. */
    CompletionStage<byte[]> readLinearizable();

    /** Reads the encoded {@link Snapshot} of one voter's replica, which may be stale. */
    CompletionStage<byte[]> readStale(String voter);

    /** Starts to vote, with the log and its snapshots below {@code folder}; may wait for the disk. */
    void startVoting(Path folder) throws IOException;

    /** Stops voting. */
    void stopVoting();

    /** Takes a snapshot of the applied state and truncates the log before it, as far as that is possible; blocks until done. */
    void compactLog() throws IOException;

    /** Transfers leadership to another voter if this instance leads; called before it shuts down. */
    void transferLeadership();

    /** The current status. */
    Status status();

    @Override
    void close();
}
