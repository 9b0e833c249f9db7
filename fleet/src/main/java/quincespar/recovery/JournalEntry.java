package quincespar.recovery;

import quincespar.records.StoredNames;

/** One line of what an instance keeps of its work for the time after a loss, in the order in which it happened. */
public sealed interface JournalEntry {
    /** The stored names of entries and their components, where the code has other names; for each codec of entries. */
    StoredNames STORED_NAMES = StoredNames.none()
            .type(JournalEntry.class, "Entry")
            .type(ProcessStarted.class, "Life")
            .component(ProcessStarted.class, "processNumber", "number")
            .type(LoadStarted.class, "Begun")
            .component(LoadStarted.class, "requestClass", "cls")
            .component(LoadStarted.class, "statementDigest", "digest")
            .component(LoadStarted.class, "tableGroup", "tables")
            .component(LoadStarted.class, "startedAtUnixMs", "at")
            .type(LoadSent.class, "SentTo")
            .type(LoadEnded.class, "Ended")
            .type(LoadAcknowledged.class, "Acknowledged")
            .type(EngineDeparted.class, "Left")
            .type(EngineReturned.class, "Back");

    /**
     * A process begins: what is open before it is in doubt from here on.
     *
     * @param owner the instance that the file belongs to
     * @param number rises with each process on this folder
     */
    record ProcessStarted(String owner, long processNumber) implements JournalEntry { }

    /**
     * A load may run from now on.
     *
     * @param txn the client's name for it
     * @param cls its class
     * @param team who sent it
     * @param digest of its statement, to be compared by staff
     * @param tables the group of tables that it writes, 0 where none is known
     * @param limitMs how long it may run after it was sent, in milliseconds
     * @param at when it came, in Unix milliseconds by a clock that may step: for people to read
     */
    record LoadStarted(String txn, String requestClass, String team, String statementDigest, int tableGroup, double limitMs, long startedAtUnixMs) implements JournalEntry { }

    /** It was handed to an engine. */
    record LoadSent(String txn, String engine) implements JournalEntry { }

    /** Its client was told how it ended, or was told that nobody knows. */
    record LoadEnded(String txn) implements JournalEntry { }

    /** Staff have looked into a load that was in doubt. */
    record LoadAcknowledged(String txn) implements JournalEntry { }

    /** An engine drains or has gone; {@code startedAt} is its start as the change log told it, 0 where it did not. */
    record EngineDeparted(String engine, double startedAt) implements JournalEntry { }

    /** That engine takes work again, or is forgotten. */
    record EngineReturned(String engine) implements JournalEntry { }
}
