package quincespar.routing;

import java.util.Map;
import java.util.function.Supplier;
import quincespar.recovery.JournalEntry;
import quincespar.transport.WithdrawableWrite;

/** Something that the reducer asks the program to do. None of it blocks. */
public sealed interface Effect {
    /** Send a client its final answer. */
    record Answer(Caller caller, Reply reply) implements Effect { }

    /** A request that must not run twice is sent next: other processes of this front end must know its txn. */
    record RecordStart(String txn) implements Effect { }

    /** Answer a health check: whether requests can be served. */
    record AnswerHealth(Caller caller) implements Effect { }

    /** Close a client's connection, unless data has arrived on it that the reducer has not seen yet. */
    record CloseCaller(long connection, String cause) implements Effect { }

    /** Close a client's connection once its open requests are answered; what its client sends from now on is not read. */
    record EndCaller(long connection) implements Effect { }

    /** Connect to an engine. */
    record OpenLink(long link, String address) implements Effect { }

    /** Close a link at once. */
    record CloseLink(long link, String cause) implements Effect { }

    /** Send an attempt, unless {@code write} has been withdrawn before its first byte goes out. */
    record Send(long link, AttemptKey key, String txn, String queue, String idempotencyKey, int priority, long budgetMs,
            byte[] statement, WithdrawableWrite write) implements Effect { }

    /** Cancel an attempt, and report when the cancel is written ({@link Input.CancelWritten}). */
    record Cancel(long link, AttemptKey key, String txn) implements Effect { }

    /** Ask an engine for a further page of a result. */
    record ReadPage(long link, String txn, int page) implements Effect { }

    /** Tell an engine that no more pages of a result are needed. */
    record Release(long link, String txn) implements Effect { }

    /** Send an engine a health check. */
    record Probe(long link, String tag) implements Effect { }

    /** Start a timer. */
    record StartTimer(TimerKey key, double delayMs) implements Effect { }

    /** Stop a timer. */
    record StopTimer(TimerKey key) implements Effect { }

    /**
     * Ask the change log at an address for the events after number {@code afterEvent}. It may hold the answer back for
     * {@code waitMs} while there are none.
     */
    record PollChangeLog(long pollId, String address, long afterEvent, long waitMs, double connectTimeoutMs)
            implements Effect { }

    /** Read the configuration again. */
    record ReloadConfiguration(long reloadId) implements Effect { }

    /** The configuration of this document is in force now: the next one is compared with it. */
    record ConfigurationAccepted(Map<String, Object> document) implements Effect { }

    /** New settings are in force: requests are read by them from now on. */
    record ApplySettings(RoutingSettings settings) implements Effect { }

    /** Abandon an open poll of the change log, and close its connection. */
    record CancelPoll(long pollId) implements Effect { }

    /** Append an entry to the recovery journal; the request, where that is not 0, waits for {@link Input.PersistFinished}. */
    record PersistEntry(JournalEntry entry, long request) implements Effect { }

    /** Read the state that the fleet has agreed on; {@link Input.FleetStateReceived} is the answer. */
    record ReadFleetState() implements Effect { }

    /** An unexpected exception was caught during an activity: report it, and go on. */
    record UnexpectedError(String activity, RuntimeException error) implements Effect { }

    /**
     * Lock an ordering key against other processes of this front end; {@link Input.KeyLocked} is the answer.
     *
     * @param arrivedAt when the request arrived, which decides on its place among those of other processes
     * @param settleMs  how long the key stays blocked after the end of a process that held it
     */
    record LockKey(long request, String key, double arrivedAt, double settleMs) implements Effect { }

    /** Unlock the key of a request, which stays blocked for {@code settleMs} more, as an attempt may still run. */
    record UnlockKey(long request, double settleMs) implements Effect { }

    /** Write a log line for the operators. */
    record Log(String line) implements Effect { }

    /** Write a trace line on a single request. The text is made only if tracing is on, and before the next step. */
    record Trace(Supplier<String> line) implements Effect { }
}
