package quincespar.routing;

import java.util.List;
import java.util.Map;
import quincespar.fleet.FleetView;
import quincespar.fleet.Snapshot;
import quincespar.membership.PollFailure;
import quincespar.protocol.FleetEvent;
import quincespar.recovery.DurableFact;
import quincespar.recovery.JournalEntry;

/** Something that happened outside the reducer. */
public sealed interface Input {
    /** The bytes of the statement or result that it carries, which can be many. */
    default int payloadBytes() {
        return 0;
    }

    /** A client has connected. */
    record CallerConnected(long connection) implements Input { }

    /** A client's connection that was to be closed as idle stays open, as data had arrived on it in the meantime. */
    record CallerNotClosed(long connection) implements Input { }

    /** A client's request is complete; {@code receivedAt} is when its last byte arrived. */
    record RequestReceived(Caller caller, Query query, double receivedAt) implements Input {
        @Override
        public int payloadBytes() {
            return query.statement().length;
        }
    }

    /** A client sends a request that must not run twice and that another process of this front end has begun to send. */
    record RequestStartedElsewhere(Caller caller, int classNumber) implements Input { }

    /** A client's connection has more input than was read in one pass; its cancels or its end may be among the rest. */
    record CallerInputUnread(long connection) implements Input { }

    /** All input of a client's connection has been read, and it had not ended. */
    record CallerInputRead(long connection) implements Input { }

    /** A client has cancelled one request. */
    record RequestCancelled(Caller caller) implements Input { }

    /** A client's connection has ended. */
    record CallerDisconnected(long connection) implements Input { }

    /** A client or the load balancer in front asks whether requests can be served. */
    record HealthRequested(Caller caller) implements Input { }

    /** A link to an engine is established. */
    record LinkUp(long link) implements Input { }

    /** A link has ended, or could not be established. */
    record LinkDown(long link, String cause) implements Input { }

    /** An engine has sent a message. */
    record EngineMessageReceived(long link, EngineMessage message) implements Input {
        @Override
        public int payloadBytes() {
            return message.payloadBytes();
        }
    }

    /** A message has arrived in part on a link ({@code pending}), or that message is complete now. */
    record PartialMessage(long link, boolean pending) implements Input { }

    /** An attempt has been written completely. */
    record SendWritten(AttemptKey key) implements Input { }

    /** A client's request for which there was no memory while it arrived has been refused. */
    record RequestDropped(long connection) implements Input { }

    /** An attempt does not fit into its link's outbox; no byte of it has been written, or will be. */
    record SendRejected(AttemptKey key) implements Input { }

    /** The cancel of an attempt has been written. */
    record CancelWritten(AttemptKey key) implements Input { }

    /** The change log has answered a poll with the events up to number {@code seq}. */
    record ChangesReceived(long pollId, long seq, List<FleetEvent> events) implements Input { }

    /** A poll of the change log had no answer, or one that can't be read. */
    record PollFailed(long pollId, PollFailure failure, String cause) implements Input { }

    /**
     * Beyond {@code maxCallers} connections of clients a new one takes the place of an unused or idle one from now on, and at most
     * {@code maxBusyCallers} may have requests open.
     */
    record CallerLimitChanged(int maxCallers, int maxBusyCallers) implements Input { }

    /** The process ends at that time even if requests are open: each must be answered before. */
    record ShutdownScheduled(double time) implements Input { }

    /**
     * Which other processes of this front end are alive has changed.
     *
     * @param olderAlive whether one of them serves since before this one
     */
    record OtherProcesses(boolean alive, boolean olderAlive) implements Input { }

    /** Clients have had time to move to another front end: new requests are refused from now on, as they have not run. */
    record RefuseNewRequests() implements Input { }

    /** The operators ask for the configuration to be read again (SIGHUP). */
    record ReloadRequested() implements Input { }

    /**
     * The new configuration is valid. The {@code document} is what it was read from; it is handed back in
     * {@link Effect.ConfigurationAccepted} if this configuration is applied.
     */
    record ConfigurationLoaded(long reloadId, String changeLogAddress, RoutingSettings settings, Map<String, Object> document)
            implements Input { }

    /** The new configuration can't be used. */
    record ConfigurationRejected(long reloadId, String cause) implements Input { }

    /**
     * What is known of the fleet has changed; {@code instanceName} is this instance's name there, and
     * {@code shareGrowthDelayMs} how long fewer front ends must be known before this one's share of the engines grows.
     */
    record FleetChanged(FleetView view, String instanceName, double shareGrowthDelayMs) implements Input { }

    /** The recovery journal has been read; {@code reason} explains the condition and is empty where the folder is intact. */
    record RecoveryJournalRead(DurableFact.FolderCondition condition, List<JournalEntry> entries, String reason)
            implements Input { }

    /** Writing the entry that a request waits for has ended; {@code durable} where it is certainly on disk. */
    record PersistFinished(long request, boolean durable) implements Input { }

    /** No other process of this front end has the key of a request, or an earlier request of it. */
    record KeyLocked(long request) implements Input { }

    /** The state that the fleet has agreed on, null where it could not be read. */
    record FleetStateReceived(Snapshot state) implements Input { }

    /** The operators have dealt with a load that may have run before a power loss. */
    record LoadAcknowledged(String txn) implements Input { }

    /** The operators allow new work on an engine that was withheld after a power loss. */
    record EngineAllowed(String engine) implements Input { }

    /** A timer has fired. */
    record TimerFired(TimerKey key) implements Input { }
}
