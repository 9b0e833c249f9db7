package quincespar.routing;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import quincespar.decision.Scheduler;
import quincespar.fleet.FleetView;
import quincespar.protocol.FleetEvent;
import quincespar.recovery.ClassTraits;
import quincespar.recovery.JournalEntry;
import quincespar.recovery.Recovery;
import quincespar.recovery.Recovery.Action;
import quincespar.recovery.Recovery.ListSource;

/**
 * Connects the reducer to the {@link Recovery} from a power loss: passes on what happens, and carries out what it asks for.
 * Where recovery is off, nothing is held back or persisted.
 */
final class RecoveryCoordinator {
    private static final int DIGEST_BYTES = 8;

    private final StepContext context;
    /** Null where recovery is off. */
    private final Recovery recovery;
    private final boolean persistsLoads;
    private ListSource source = ListSource.SNAPSHOT;
    private boolean relist;
    private boolean reportOutdated = true;
    private long unpersistedLoads;
    private RecoveryReport report;

    RecoveryCoordinator(StepContext context, Recovery recovery, boolean persistsLoads) {
        this.context = context;
        this.recovery = recovery;
        this.persistsLoads = persistsLoads;
    }

    /** What recovery needs to know of the classes in these settings. */
    static List<ClassTraits> classTraits(RoutingSettings settings) {
        return settings.decision().classes().stream().map(c -> new ClassTraits(c.name(),
                c.idempotency() != Scheduler.Idempotency.UNSAFE, c.loadsTables(), c.reward(), c.latencyTarget())).toList();
    }

    private boolean enabled() {
        return recovery != null;
    }

    private void perform(List<Action> actions) {
        for (Action action : actions) {
            // the course of a single load is not reported, so that the list of doubtful loads is not copied for each
            reportOutdated |= !(action instanceof Action.Persist a
                    && (a.entry() instanceof JournalEntry.LoadSent || a.entry() instanceof JournalEntry.LoadEnded));
            if (action instanceof Action.StartTimer a) {
                context.startTimer(new TimerKey.Recovery(a.timerId()), a.delayMs());
            } else if (action instanceof Action.ReadFleetState) {
                context.addEffect(new Effect.ReadFleetState());
            } else if (action instanceof Action.Persist a) {
                context.addEffect(new Effect.PersistEntry(a.entry(), 0));
            } else if (action instanceof Action.Log a) {
                context.addEffect(new Effect.Log("recovery: " + a.message()));
            } else if (action instanceof Action.RefreshEngineList) {
                relist = true;
            }
        }
    }

    void start(boolean besideOlderProcess) {
        if (enabled()) {
            perform(recovery.start(context.now, besideOlderProcess));
        }
    }

    void journalRead(Input.RecoveryJournalRead input) {
        perform(recovery.folderRead(context.now, input.condition(), input.entries(), input.reason()));
    }

    void fleetStateReceived(Input.FleetStateReceived input) {
        perform(recovery.fleetStateRead(context.now, input.state()));
    }

    void timerFired(long timerId) {
        perform(recovery.timerFired(context.now, timerId));
    }

    void fleetChanged(FleetView view) {
        if (enabled()) {
            perform(recovery.fleetChanged(context.now, view));
        }
    }

    void setClasses(RoutingSettings settings) {
        if (enabled()) {
            recovery.setClasses(classTraits(settings));
            reportOutdated = true;
        }
    }

    /** The change log has answered: what it reports from now on is newer than the start of this process. */
    void changeLogAnswered() {
        if (enabled() && source == ListSource.SNAPSHOT) {
            source = ListSource.UPDATE;
            perform(recovery.changeLogAnswered(context.now));
        }
    }

    /** Whether the list of engines must be passed to the module again; true once for each time that it must. */
    boolean takeRelist() {
        boolean taken = relist;
        relist = false;
        return taken;
    }

    /** The change log, or the list of the start, has reported an engine. */
    void engineListed(FleetEvent.Member member) {
        if (enabled()) {
            perform(recovery.engineListed(source, member.id(), member.phase() == FleetEvent.Phase.UP, member.startedAt()));
        }
    }

    /** Whether an engine gets no work although it is listed as up. */
    boolean withholds(FleetEvent.Member member) {
        return enabled() && recovery.isWithheld(member.id());
    }

    /** Since when an engine counts as started: after a power loss perhaps later than the change log says. */
    double startedAt(String id, double startedAt) {
        return enabled() ? recovery.coldFrom(id, startedAt) : startedAt;
    }

    /** A link to an engine has been established. */
    void engineReached(FleetEvent.Member member) {
        if (enabled()) {
            perform(recovery.engineConnected(context.now, member.id()));
        }
    }

    /** Whether anything may be sent yet. */
    boolean maySend() {
        return !enabled() || recovery.maySend();
    }

    /**
     * The retry delay in milliseconds for a request that may not be sent yet, 0 where the settings allow none to be told; NaN
     * where the request may be sent.
     */
    double refusalRetryAfterMs(Query query) {
        double waitMs = enabled() ? recovery.waitMs(context.now, query.classNumber(), query.tables()) : 0;
        if (waitMs <= 0) {
            return Double.NaN;
        }
        Scheduler.Limits limits = context.settings.decision().limits();
        double retryAfterMs = recovery.retryAfterMs(waitMs, query.txn());
        return !limits.mayGiveRetryAfter() ? 0
                : limits.maxRetryAfter() > 0 ? Math.min(retryAfterMs, limits.maxRetryAfter()) : retryAfterMs;
    }

    /** Whether the start of such a request must be on disk before it is sent. */
    boolean persists(OpenRequest request) {
        return enabled() && persistsLoads && request.unsafe();
    }

    /** Writes that a request may run from now on; it may be sent after {@link Input.PersistFinished}. */
    void persistStart(OpenRequest request) {
        Query query = request.query;
        JournalEntry.LoadStarted entry = recovery.loadStarted(query.txn(), query.classNumber(),
                context.settings.decision().tenants().get(query.tenantNumber()).name(), digest(query.statement()), query.tables(),
                query.timeoutMs(), Math.round(context.now));
        // the actions are not needed: the effect below writes the entry, and names the request that waits for it
        recovery.recordEntry(entry);
        context.addEffect(new Effect.PersistEntry(entry, request.id));
    }

    private static String digest(byte[] statement) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(statement), 0, DIGEST_BYTES);
        } catch (NoSuchAlgorithmException e) { // every Java platform has it
            throw new IllegalStateException(e);
        }
    }

    void requestSent(OpenRequest request, EngineRegistry.Engine engine) {
        if (persists(request)) {
            perform(recovery.recordEntry(new JournalEntry.LoadSent(request.query.txn(), engine.listed.id())));
        }
    }

    /** A request is closed and has no open attempt. */
    void requestEnded(OpenRequest request) {
        if (persists(request)) {
            perform(recovery.recordEntry(new JournalEntry.LoadEnded(request.query.txn())));
        }
    }

    /** An entry was written, or could not be: then service goes on, and the list of doubtful loads is incomplete. */
    void persistFinished(boolean durable) {
        unpersistedLoads += durable ? 0 : 1;
        reportOutdated |= !durable;
    }

    /** The operators have dealt with a doubtful load. */
    void loadAcknowledged(String txn) {
        if (enabled()) {
            perform(recovery.recordEntry(new JournalEntry.LoadAcknowledged(txn)));
        }
    }

    /** The operators allow new work on an engine. */
    void engineAllowed(String engine) {
        if (enabled()) {
            perform(recovery.recordEntry(new JournalEntry.EngineReturned(engine)));
            relist = true;
        }
    }

    /** The state of the recovery; the same object while nothing has changed, null where recovery is off. */
    RecoveryReport report() {
        if (enabled() && reportOutdated) {
            reportOutdated = false;
            report = new RecoveryReport(recovery.view(context.now), List.copyOf(recovery.state().doubtfulLoads()),
                    unpersistedLoads);
        }
        return report;
    }
}
