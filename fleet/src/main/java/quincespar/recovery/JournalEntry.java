package quincespar.recovery;

import quincespar.records.StoredNames;

/** An entry of the journal in which an instance records, in order, what it must know after a loss of power. */
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
     * A process starts. Loads that were open before are in doubt from here on.
     *
     * @param owner the name of the instance that the journal belongs to
     * @param processNumber rises with each process that uses the folder
     */
    record ProcessStarted(String owner, long processNumber) implements JournalEntry { }

    /**
     * A load may run from now on.
     *
     * @param txn the client's id of the load
     * @param requestClass the name of its class
     * @param team the team that sent it
     * @param statementDigest a digest of its statement, for operators to compare
     * @param tableGroup the group of tables that it writes, 0 if none is known
     * @param limitMs how long it may run after it was sent, in milliseconds
     * @param startedAtUnixMs when it came, in Unix milliseconds; of a clock that may step, so only for people to read
     */
    record LoadStarted(String txn, String requestClass, String team, String statementDigest, int tableGroup, double limitMs,
            long startedAtUnixMs) implements JournalEntry { }

    /** A load was sent to an engine. */
    record LoadSent(String txn, String engine) implements JournalEntry { }

    /** The client was told the outcome of its load, or that the outcome is unknown. */
    record LoadEnded(String txn) implements JournalEntry { }

    /** An operator has resolved a load in doubt. */
    record LoadAcknowledged(String txn) implements JournalEntry { }

    /** An engine drains or is gone; {@code startedAt} is its start according to the change log, 0 if that has none. */
    record EngineDeparted(String engine, double startedAt) implements JournalEntry { }

    /** A departed engine takes work again, or is forgotten. */
    record EngineReturned(String engine) implements JournalEntry { }
}
