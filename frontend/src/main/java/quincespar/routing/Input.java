package quincespar.routing;

import java.util.List;
import java.util.Map;
import quincespar.fleet.FleetView;
import quincespar.fleet.Snapshot;
import quincespar.membership.PollFailure;
import quincespar.protocol.FleetEvent;
import quincespar.recovery.Entry;
import quincespar.recovery.Trust;

/** Something that happened outside the reducer. */
public sealed interface Input {
    /** A client has connected. */
    record CallerConnected(long connection) implements Input { }

    /** A client's connection that was to be closed as idle stays up: something came on it meanwhile. */
    record CallerNotClosed(long connection) implements Input { }

    /** A client's request has come whole; {@code receivedAt} is when its last byte did. */
    record RequestReceived(Caller caller, Query query, double receivedAt) implements Input { }

    /** A client has stopped waiting for one request. */
    record RequestCancelled(Caller caller) implements Input { }

    /** A front connection is over. */
    record CallerDisconnected(long connection) implements Input { }

    /** A client or the front layer asks whether requests can be served. */
    record HealthRequested(Caller caller) implements Input { }

    /** A link to an engine is up. */
    record LinkUp(long link) implements Input { }

    /** A link is over, or never came up. */
    record LinkDown(long link, String cause) implements Input { }

    /** An engine has said something. */
    record EngineMessageReceived(long link, EngineMessage message) implements Input { }

    /** An engine's message has begun and not ended, or has ended. */
    record PartialMessage(long link, boolean pending) implements Input { }

    /** An attempt has been written whole. */
    record SendWritten(AttemptKey key) implements Input { }

    /** The cancel of an attempt has been written. */
    record CancelWritten(AttemptKey key) implements Input { }

    /** The change log has answered. */
    record ChangesReceived(long pollId, long seq, List<FleetEvent> events) implements Input { }

    /** The change log did not answer, or with what can't be read. */
    record PollFailed(long pollId, PollFailure failure, String cause) implements Input { }

    /** So many clients' connections may be held from now on; more make room for each other. */
    record CallerLimitChanged(int maxCallers) implements Input { }

    /** This process ends at that time whatever is open: each request has its answer by then. */
    record ShutdownScheduled(double time) implements Input { }

    /** Clients have had their time to hear of the end: what still comes is refused, as it never ran. */
    record RefuseNewRequests() implements Input { }

    /** The operators say that the configuration has been replaced. */
    record ReloadRequested() implements Input { }

    /**
     * The new configuration can be used; {@code changeLog} is where the change log is from now on. The {@code document} is
     * what it was read from, given back as {@link Effect.ConfigurationAccepted} if it is taken.
     */
    record ConfigurationLoaded(long reloadId, String changeLogAddress, RoutingSettings settings, Map<String, Object> document) implements Input { }

    /** The new configuration can't be used. */
    record ConfigurationRejected(long reloadId, String cause) implements Input { }

    /**
     * What is known of the fleet has changed; {@code self} is this instance's name there, and {@code holdMs} how long
     * fewer must be known before shares grow.
     */
    record FleetChanged(FleetView view, String instanceName, double shareHoldMs) implements Input { }

    /** What the folder holds from before; {@code why} it was found so, empty where it is whole. */
    record RecoveryLogRead(Trust.Finding finding, List<Entry> entries, String reason) implements Input { }

    /** What a request waits for has been written; {@code kept} where it is on disk for certain. */
    record PersistFinished(long request, boolean durable) implements Input { }

    /** What the fleet has agreed on now, null where nobody could say. */
    record FleetStateReceived(Snapshot state) implements Input { }

    /** Staff have looked into a load that was in doubt. */
    record LoadAcknowledged(String txn) implements Input { }

    /** Staff say that an engine which takes nothing since a loss takes work again. */
    record EngineAllowed(String engine) implements Input { }

    /** A timer came due. */
    record TimerFired(TimerKey key) implements Input { }
}
