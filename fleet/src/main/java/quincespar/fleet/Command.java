package quincespar.fleet;

/** What is agreed on, in one order for all. Time enters as an argument only. */
public sealed interface Command {

    /**
     * Agreed time goes on. The leader alone says so, from a clock that can't be set; what a slow or an earlier leader says
     * later moves nothing back.
     *
     * @param time milliseconds of agreed time
     * @param suspectMs a session that has not been renewed for longer is suspected
     * @param goneMs and for longer than this, over
     */
    record Tick(long time, long suspectAfterMs, long goneAfterMs) implements Command { }

    /**
     * An instance begins a life.
     *
     * @param folder the identity of its durable folder, which it holds locked; empty where it has none
     * @param last the incarnation that its folder knows as its last, 0 where it knows none
     * @param mark the last mark that its folder holds, 0 for none
     * @param nonce drawn for this life: the same join sent twice is one
     */
    record Join(String name, String folder, long lastIncarnation, long mark, String address, boolean voter, String build, long nonce)
            implements Command { }

    /**
     * An instance lives and stands so; answered with what it does not know yet.
     *
     * @param known the version of the state that it has
     * @param mark the last mark that its folder holds for certain: who comes back with a lower one has an older folder
     */
    record Renew(String name, long incarnation, Standing standing, long knownVersion, long mark) implements Command { }

    /** An instance ends its life in order. */
    record Leave(String name, long incarnation) implements Command { }

    /**
     * A register is to be written.
     *
     * @param serial the number of this write within the life, rising by one: a write that is sent again is the same write
     * @param ifVersion the version that it must have, 0 where it must not exist, negative for any
     */
    record Write(String name, long incarnation, long sequence, String register, long expectedVersion, String value)
            implements Command { }
}
