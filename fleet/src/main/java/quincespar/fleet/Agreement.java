package quincespar.fleet;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;

/**
 * How commands come to be agreed: a library's part, found by {@link Provider}. No call waits; what takes time ends its stage,
 * and a stage that ends with an exception leaves open whether the command was agreed.
 */
public interface Agreement extends AutoCloseable {

    /** Finds the library that is there at run time. */
    interface Provider {
        /**
         * For one instance; nothing is started for votes yet.
         *
         * @param applied hears of each newer state that this instance's own voter has applied, on a thread of the library
         */
        Agreement open(FleetConfig plan, String self, Consumer<Snapshot> applied) throws IOException;
    }

    /**
     * What the library knows of itself.
     *
     * @param voting whether this instance takes part in votes now
     * @param leader the leader's name as known here, empty where none is known
     * @param term of the votes, as known here; 0 where this instance does not vote
     * @param applied the number of the last command that this instance's voter has applied
     */
    record Status(boolean voting, String leader, long term, long applied) { }

    /** Has a command agreed; its {@link Result} as bytes. */
    CompletionStage<byte[]> submit(byte[] command);

    /** The agreed {@link Snapshot} as bytes: one that holds all that was agreed before this call. */
    CompletionStage<byte[]> readLinearizable();

    /** The {@link Snapshot} that one voter has, which may be old, as bytes. */
    CompletionStage<byte[]> readStale(String voter);

    /** Takes part in votes from now on, with a log and snapshots below {@code folder}. */
    void startVoting(Path folder) throws IOException;

    /** Takes part in votes no more. */
    void stopVoting();

    /** What is agreed is put into a snapshot, and the log before it goes, as far as that is possible now; waits for it. */
    void compactLog() throws IOException;

    /** This instance is about to end: where it leads, another is to lead before that. */
    void transferLeadership();

    /** What is known now. */
    Status status();

    @Override
    void close();
}
