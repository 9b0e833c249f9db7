package quincespar.fleet;

/** A command of the replicated log; all replicas apply the same commands in the same order. Time is always an argument. */
public sealed interface Command {

    /**
     * Advances the agreed time. Only the leader submits it, from a monotonic clock; an earlier time, as from a slow or a former
     * leader, has no effect.
     *
     * @param time the agreed time in milliseconds
     * @param suspectAfterMs an instance whose session has not been renewed for longer is suspected
     * @param goneAfterMs a session that has not been renewed for longer expires
     */
    record Tick(long time, long suspectAfterMs, long goneAfterMs) implements Command { }

    /**
     * Starts a new incarnation of an instance.
     *
     * @param folder the identity of the durable folder that the instance holds locked; empty if it has none
     * @param lastIncarnation the last incarnation recorded in that folder, 0 for none
     * @param mark the last mark recorded in that folder, 0 for none
     * @param nonce random, drawn for this incarnation: makes a retried join idempotent
     */
    record Join(String name, String folder, long lastIncarnation, long mark, String address, boolean voter, String build,
            long nonce) implements Command { }

    /**
     * Renews an instance's session, as its heartbeat, and reports its standing; the result has the state if it has changed.
     *
     * @param knownVersion the version of the state that the instance has
     * @param mark the last mark that the folder holds durably: a folder found later with a lower one is an older copy
     */
    record Renew(String name, long incarnation, Standing standing, long knownVersion, long mark) implements Command { }

    /** Ends an incarnation in an orderly shutdown. */
    record Leave(String name, long incarnation) implements Command { }

    /**
     * Writes a register.
     *
     * @param sequence the number of this write within the incarnation, rising by one: makes a retried write idempotent
     * @param expectedVersion the version that the register must have; 0 if it must not exist, negative for any
     */
    record Write(String name, long incarnation, long sequence, String register, long expectedVersion, String value)
            implements Command { }
}
