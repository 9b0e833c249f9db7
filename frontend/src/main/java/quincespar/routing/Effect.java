package quincespar.routing;

import java.util.Map;
import java.util.function.Supplier;
import quincespar.recovery.Entry;
import quincespar.transport.WithdrawableWrite;

/** Something that the reducer asks to be done. None of it waits. */
public sealed interface Effect {
    /** Give a client its final answer. */
    record Answer(Caller caller, Reply reply) implements Effect { }

    /** Say whether requests can be served. */
    record AnswerHealth(Caller caller) implements Effect { }

    /** Close a client's connection, unless something has come on it that the reducer has not seen yet. */
    record CloseCaller(long connection, String cause) implements Effect { }

    /** Connect to an engine. */
    record OpenLink(long link, String address) implements Effect { }

    /** Close a link at once. */
    record CloseLink(long link, String cause) implements Effect { }

    /** Send an attempt, if {@code write} was not withdrawn when its first byte would go out. */
    record Send(long link, AttemptKey key, String txn, String queue, String idempotencyKey, long budgetMs, byte[] statement,
            WithdrawableWrite write) implements Effect { }

    /** Give an attempt up, and say when that is written. */
    record Cancel(long link, AttemptKey key, String txn) implements Effect { }

    /** Ask for a further page. */
    record ReadPage(long link, String txn, int page) implements Effect { }

    /** Want no more pages. */
    record Release(long link, String txn) implements Effect { }

    /** Ask an engine how it is. */
    record Probe(long link, String tag) implements Effect { }

    /** Start a timer. */
    record StartTimer(TimerKey key, double delayMs) implements Effect { }

    /** Stop a timer. */
    record StopTimer(TimerKey key) implements Effect { }

    /** Ask the change log at an address for what came after an event; a new connection may take so long to come up. */
    record PollChangeLog(long pollId, String address, long afterEvent, long waitMs, double connectTimeoutMs) implements Effect { }

    /** Read the configuration again. */
    record ReloadConfiguration(long reloadId) implements Effect { }

    /** This document is the one in force: the next is held against it. */
    record ConfigurationAccepted(Map<String, Object> document) implements Effect { }

    /** New settings bind: requests are read by them from now on. */
    record ApplySettings(RoutingSettings settings) implements Effect { }

    /** Give up what is asked of the change log. */
    record CancelPoll() implements Effect { }

    /** Keep this on disk, in order; the request, where that is not 0, waits for {@link Input.PersistFinished}. */
    record PersistEntry(Entry entry, long request) implements Effect { }

    /** Ask the fleet for what is agreed now; {@link Input.FleetStateReceived} is the answer. */
    record FetchFleetState() implements Effect { }

    /** Something went wrong in here that ought not to: tell the operators, and go on. */
    record UnexpectedError(String activity, RuntimeException error) implements Effect { }

    /** Tell the operators. */
    record Log(String line) implements Effect { }

    /** Tell whoever follows single requests; the line is made only where somebody does, and before the next step. */
    record Trace(Supplier<String> line) implements Effect { }
}
