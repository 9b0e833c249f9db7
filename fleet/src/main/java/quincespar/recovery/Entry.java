package quincespar.recovery;

import quincespar.records.StoredNames;

/** One line of what an instance keeps of its work for the time after a loss, in the order in which it happened. */
public sealed interface Entry {
    /** The stored names of entries and their components, where the code has other names; for each codec of entries. */
    StoredNames STORED_NAMES = StoredNames.none();

    /**
     * A process begins: what is open before it is in doubt from here on.
     *
     * @param owner the instance that the file belongs to
     * @param number rises with each process on this folder
     */
    record Life(String owner, long number) implements Entry { }

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
    record Begun(String txn, String cls, String team, String digest, int tables, double limitMs, long at) implements Entry { }

    /** It was handed to an engine. */
    record SentTo(String txn, String engine) implements Entry { }

    /** Its client was told how it ended, or was told that nobody knows. */
    record Ended(String txn) implements Entry { }

    /** Staff have looked into a load that was in doubt. */
    record Acknowledged(String txn) implements Entry { }

    /** An engine drains or has gone; {@code startedAt} is its start as the change log told it, 0 where it did not. */
    record Left(String engine, double startedAt) implements Entry { }

    /** That engine takes work again, or is forgotten. */
    record Back(String engine) implements Entry { }
}
