package quincespar.routing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import quincespar.decision.Scheduler;
import quincespar.decision.Scheduler.Action;
import quincespar.metrics.MetricsRecorder;
import quincespar.metrics.MetricsSnapshot;
import quincespar.protocol.FleetEvent;
import quincespar.recovery.ClassTraits;
import quincespar.recovery.Recovery;

/**
 * The only place where inputs change state. It passes each {@link Input} to the part of the state that it concerns
 * ({@link Requests}, {@link Attempts}, {@link Links}, {@link ClusterState}), hands the events that result to the decision
 * module, and turns the module's actions into {@link Effect}s. It decides nothing that is the module's to decide, but keeps
 * the rules that depend on the state of connections. It is used by one thread and does no I/O.
 */
public final class Reducer {
    private final StepContext context;
    private final Scheduler scheduler;
    private final EngineRegistry engines;
    private final Requests requests;
    private final Attempts attempts;
    private final Links links;
    private final ClusterState cluster;
    private final RecoveryCoordinator recovery;
    private final AttemptCounters counters = new AttemptCounters();
    private final MetricsRecorder metrics = new MetricsRecorder();
    private double decidedAt;
    private boolean tickScheduled;

    /** A reducer without recovery from power losses, in the only process of its front end. */
    public Reducer(RoutingSettings settings, Bounds bounds, Scheduler scheduler) {
        this(settings, bounds, scheduler, null, false, false);
    }

    /**
     * A reducer.
     *
     * @param recovery      recovery from power losses, null for none
     * @param persistsLoads whether loads are sent only once an entry of them is on disk
     * @param locksKeys     whether ordering keys are locked against other processes of this front end
     */
    public Reducer(RoutingSettings settings, Bounds bounds, Scheduler scheduler, Recovery recovery, boolean persistsLoads,
            boolean locksKeys) {
        this.scheduler = scheduler;
        context = new StepContext(settings);
        this.recovery = new RecoveryCoordinator(context, recovery, persistsLoads);
        engines = new EngineRegistry(settings, this.recovery);
        metrics.setClasses(settings.classNames());
        requests = new Requests(context, bounds, metrics, this.recovery, locksKeys);
        attempts = new Attempts(context, requests, engines, counters, this.recovery);
        links = new Links(context, bounds, attempts, engines, counters);
        attempts.setLinks(links);
        cluster = new ClusterState(context, bounds, engines, links, attempts, metrics, this.recovery);
    }

    /** What recovery needs to know of the classes in these settings. */
    public static List<ClassTraits> classTraits(RoutingSettings settings) {
        return RecoveryCoordinator.classTraits(settings);
    }

    /** The first step: applies the events that are known at the start, and polls the change log. */
    public List<Effect> start(double time, String changeLogAddress, List<FleetEvent> known) {
        return start(time, changeLogAddress, known, false);
    }

    /**
     * The first step.
     *
     * @param besideOlderProcess whether an older process of this name still serves, as in an upgrade: then there was no
     *                           power loss to recover from
     */
    public List<Effect> start(double time, String changeLogAddress, List<FleetEvent> known, boolean besideOlderProcess) {
        context.now = time;
        recovery.start(besideOlderProcess);
        cluster.start(changeLogAddress, known);
        return decide();
    }

    /** Applies inputs that happened by {@code time}, in order, and returns the effects to carry out. */
    public List<Effect> step(double time, List<Input> inputs) {
        context.now = Math.max(context.now, time);
        for (Input input : inputs) {
            try {
                apply(input);
            } catch (RuntimeException e) { // one input that fails must not lose the rest of its batch
                context.addEffect(new Effect.UnexpectedError("applying " + input.getClass().getSimpleName(), e));
            }
        }
        cluster.relistAfterRecovery();
        return decide();
    }

    /** How many requests have not been answered yet. */
    public int openRequests() {
        return requests.unanswered();
    }

    /** Whether any engine takes work, and anything may be sent. */
    public boolean canServe() {
        return engines.canServe() && recovery.maySend();
    }

    /** The metrics as they stand after the last step. */
    public MetricsSnapshot metrics() {
        return metrics.snapshot(requests.unanswered(), engines.listedCount(), scheduler.ejectedEngineCount(),
                cluster.changeLogStatus(), requests.orderingKeyStatus());
    }

    /** Whether the change log has answered completely since the start: until then the list of engines may be outdated. */
    public boolean listConfirmed() {
        return cluster.answeredOnce();
    }

    /** Milliseconds since the change log last answered completely. */
    public double listAgeMs(double time) {
        return cluster.ageMs(time);
    }

    /** Counters of how attempts ended, by cause and class. */
    public Map<String, Long> attemptCounters() {
        return counters.byClass();
    }

    /**
     * Counters by engine since the start, named {@code id.kind}: attempts sent and how they ended; {@code links} opened,
     * {@code refused}, and {@code unreached} in time. May be called on any thread.
     */
    public Map<String, Long> engineCounters() {
        return counters.byEngine();
    }

    /** The state of the recovery, null where recovery is off; the same object while nothing has changed. */
    public RecoveryReport recoveryReport() {
        return recovery.report();
    }

    /** How many objects of each kind are held, by counter name. */
    public Map<String, Integer> retainedCounts() {
        Map<String, Integer> out = new LinkedHashMap<>();
        requests.addRetainedCounts(out);
        links.addRetainedCounts(out);
        out.put("held.engines", engines.all().size());
        out.put("engines.in_doubt", engines.inDoubt());
        out.put("engines.unnamed_places", engines.unnamedPlaces());
        out.put("held.attempts", attempts.openCount());
        out.put("held.module-attempts", scheduler.openAttemptCount());
        return out;
    }

    /**
     * Calls the decision module, at most once in a tick as in the simulator. The module looks at all of its state each time:
     * called for each input it would use up the one core, and answers would be late.
     */
    private List<Effect> decide() {
        double wait = decidedAt + context.settings.decision().tick() - context.now;
        if (context.hasEvents() && wait > 0) {
            if (!tickScheduled) {
                tickScheduled = true;
                context.startTimer(new TimerKey.DecisionTick(), wait);
            }
            return context.takeEffects();
        }
        decidedAt = context.hasEvents() ? context.now : decidedAt;
        while (context.hasEvents()) { // an attempt that ends at once is a new event
            try {
                scheduler.decide(context.now, context.takeEvents()).forEach(this::performOrReport);
            } catch (RuntimeException e) { // requests that are open then still have their timers
                context.addEffect(new Effect.UnexpectedError("deciding", e));
            }
        }
        return context.takeEffects();
    }

    private void apply(Input input) {
        if (input instanceof Input.RequestReceived i) {
            requests.received(i);
        } else if (input instanceof Input.EngineMessageReceived i) {
            attempts.received(i);
        } else if (input instanceof Input.TimerFired i) {
            timerFired(i.key());
        } else if (input instanceof Input.SendWritten) {
            metrics.attemptSent();
        } else if (input instanceof Input.SendRejected i) {
            attempts.rejected(requests.attempt(i.key()));
        } else if (input instanceof Input.CancelWritten i) {
            attempts.cancelWritten(requests.attempt(i.key()));
        } else if (input instanceof Input.LinkUp i) {
            links.up(i.link());
        } else if (input instanceof Input.LinkDown i) {
            links.down(i.link(), i.cause());
        } else if (input instanceof Input.PartialMessage i) {
            links.partialMessage(i.link(), i.pending());
        } else if (input instanceof Input.RequestStartedElsewhere i) {
            requests.startedElsewhere(i);
        } else if (input instanceof Input.CallerInputUnread i) {
            requests.callerInputUnread(i.connection());
        } else if (input instanceof Input.CallerInputRead i) {
            requests.callerInputRead(i.connection());
        } else if (input instanceof Input.RequestCancelled i) {
            requests.cancelled(i.caller());
        } else if (input instanceof Input.CallerDisconnected i) {
            requests.places().disconnected(i.connection());
        } else if (input instanceof Input.CallerConnected i) {
            requests.places().connected(i.connection());
        } else if (input instanceof Input.CallerNotClosed i) {
            requests.places().notClosed(i.connection());
        } else if (input instanceof Input.RequestDropped i) {
            requests.places().requestNotOpened(i.connection());
        } else if (input instanceof Input.HealthRequested i) {
            context.addEffect(new Effect.AnswerHealth(i.caller()));
        } else if (input instanceof Input.ChangesReceived i) {
            cluster.changesReceived(i);
        } else if (input instanceof Input.PollFailed i) {
            cluster.pollFailed(i);
        } else if (input instanceof Input.FleetChanged i) {
            cluster.fleetChanged(i);
        } else if (input instanceof Input.OtherProcesses i) {
            cluster.otherProcesses(i);
        } else if (input instanceof Input.CallerLimitChanged i) {
            requests.places().setLimits(i.maxCallers(), i.maxBusyCallers());
        } else if (input instanceof Input.ShutdownScheduled i) {
            requests.scheduleShutdown(i.time());
        } else if (input instanceof Input.RefuseNewRequests) {
            requests.refuseNew();
        } else if (input instanceof Input.ReloadRequested) {
            cluster.reload();
        } else if (input instanceof Input.ConfigurationLoaded i) {
            cluster.configurationLoaded(i);
        } else if (input instanceof Input.PersistFinished i) {
            recovery.persistFinished(i.durable());
            requests.persistFinished(requests.get(i.request()));
        } else if (input instanceof Input.KeyLocked i) {
            requests.keyLocked(requests.get(i.request()));
        } else if (input instanceof Input.RecoveryJournalRead i) {
            recovery.journalRead(i);
        } else if (input instanceof Input.FleetStateReceived i) {
            recovery.fleetStateReceived(i);
        } else if (input instanceof Input.LoadAcknowledged i) {
            recovery.loadAcknowledged(i.txn());
        } else if (input instanceof Input.EngineAllowed i) {
            recovery.engineAllowed(i.engine());
        } else if (input instanceof Input.ConfigurationRejected i) {
            cluster.configurationRejected(i);
        }
    }

    /** One action that fails must not lose those behind it: the module counts them as performed. */
    private void performOrReport(Action action) {
        try {
            perform(action);
        } catch (RuntimeException e) {
            context.addEffect(new Effect.UnexpectedError("performing " + action.getClass().getSimpleName(), e));
        }
    }

    private void perform(Action action) {
        if (action instanceof Scheduler.SendAttempt a) {
            attempts.send(requests.get(a.id()), a);
        } else if (action instanceof Scheduler.RefuseRequest a) {
            attempts.refuse(requests.get(a.id()), a.retryAfter());
        } else if (action instanceof Scheduler.FailRequest a) {
            requests.answer(requests.get(a.id()), new Reply.Failed());
        } else if (action instanceof Scheduler.SetTerms a) {
            attempts.setTerms(requests.get(a.id()), a);
        } else if (action instanceof Scheduler.CancelAttempt a) {
            attempts.cancelByModule(requests.attempt(new AttemptKey(a.id(), a.attempt())), a.reason());
        } else if (action instanceof Scheduler.SetTimer a) {
            context.startTimer(new TimerKey.Scheduler(a.token(), context.nextId()), a.delay());
        } else if (action instanceof Scheduler.ProbeEngine a) {
            links.probe(engines.get(a.engine()));
        } else if (!(action instanceof Scheduler.WatchEngineList || action instanceof Scheduler.FetchEngineList)) {
            // Watch and Fetch need nothing, as the change log is always followed; the protocol has no messages between front ends
            context.addEffect(new Effect.Log("ignored an action that the protocol does not support: " + action));
        }
    }

    private void timerFired(TimerKey key) {
        if (key instanceof TimerKey.DecisionTick) {
            tickScheduled = false;
        } else if (key instanceof TimerKey.Scheduler k) {
            context.addEvent(new Scheduler.TimerFired(k.token()));
        } else if (key instanceof TimerKey.AttemptTimeout k) {
            attempts.timedOut(requests.attempt(k.key()));
        } else if (key instanceof TimerKey.StartDeadline k) {
            attempts.startDeadlinePassed(requests.attempt(k.key()));
        } else if (key instanceof TimerKey.CancelTimeout k) {
            attempts.cancelTimedOut(requests.attempt(k.key()));
        } else if (key instanceof TimerKey.RequestDeadline k) {
            requests.deadlinePassed(requests.get(k.id()));
        } else if (key instanceof TimerKey.ConnectTimeout k) {
            links.connectTimedOut(k.link());
        } else if (key instanceof TimerKey.LinkIdle k) {
            links.idleTimedOut(k.link());
        } else if (key instanceof TimerKey.PartialMessage k) {
            links.partialMessageTimedOut(k.link());
        } else if (key instanceof TimerKey.CallerIdle k) {
            requests.places().idleTimeout(k.connection());
        } else if (key instanceof TimerKey.CallerInputUnread k) {
            requests.callerInputUnreadTooLong(k.connection());
        } else if (key instanceof TimerKey.ProbeTimeout k) {
            links.probeEnded(k.tag(), false, List.of());
        } else if (key instanceof TimerKey.ChangeLogTimer k) {
            cluster.changeLogTimerFired(k.timerId());
        } else if (key instanceof TimerKey.Recovery k) {
            recovery.timerFired(k.timerId());
        } else if (key instanceof TimerKey.ShareGrowth) {
            cluster.shareTimerFired();
        } else if (key instanceof TimerKey.OverlapEnd) {
            cluster.overlapTimerFired();
        }
    }
}
