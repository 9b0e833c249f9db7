package quincespar.routing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import quincespar.decision.Gateway;
import quincespar.decision.Gateway.Action;
import quincespar.metrics.MetricsSnapshot;
import quincespar.metrics.MetricsRecorder;
import quincespar.protocol.FleetEvent;
import quincespar.recovery.Recovery;
import quincespar.recovery.Terms;

/**
 * The one place where inputs are handed on to who holds the state that they change ({@link Requests}, {@link Attempts},
 * {@link Links}, {@link ClusterState}): tells the module of them as its events, turns the module's actions into effects. It
 * decides nothing that the module decides; it keeps the rules that need sockets to be seen. One thread calls it, and it
 * does no reading or writing itself.
 */
public final class Reducer {
    private final StepContext turn;
    private final Gateway gateway;
    private final EngineRegistry fleet;
    private final Requests requests;
    private final Attempts attempts;
    private final Links links;
    private final ClusterState roster;
    private final RecoveryCoordinator returning;
    private final AttemptCounters tally = new AttemptCounters();
    private final MetricsRecorder ledger = new MetricsRecorder();
    private double decidedAt;
    private boolean tickAsked;

    /** A reducer round one module. */
    public Reducer(RoutingSettings site, Bounds bounds, Gateway gateway) {
        this(site, bounds, gateway, null, false);
    }

    /** One that returns from a loss of power, null where none is looked for; {@code notesLoads} where loads wait for the disk. */
    public Reducer(RoutingSettings site, Bounds bounds, Gateway gateway, Recovery recovery, boolean notesLoads) {
        this.gateway = gateway;
        turn = new StepContext(site);
        returning = new RecoveryCoordinator(turn, recovery, notesLoads);
        fleet = new EngineRegistry(site, returning);
        ledger.classes(site.classNames());
        requests = new Requests(turn, bounds, ledger, returning);
        attempts = new Attempts(turn, requests, fleet, tally, returning);
        links = new Links(turn, bounds, attempts, fleet, tally);
        attempts.over(links);
        roster = new ClusterState(turn, bounds, fleet, links, attempts, ledger, returning);
    }

    /** A site's classes as a return from a loss of power needs them. */
    public static List<Terms> recoveryTerms(RoutingSettings site) {
        return RecoveryCoordinator.terms(site);
    }

    /** The first step: the events of the start, and the first question to the change log. */
    public List<Effect> start(double time, String changeLogAt, List<FleetEvent> known) {
        return start(time, changeLogAt, known, false);
    }

    /** The same; {@code beside} an older process, as in an upgrade, no loss is looked for. */
    public List<Effect> start(double time, String changeLogAt, List<FleetEvent> known, boolean beside) {
        turn.now = time;
        returning.start(beside);
        roster.start(changeLogAt, known);
        return decide();
    }

    /** Takes what happened by {@code time}, in order; answers what is to be done. */
    public List<Effect> step(double time, List<Input> inputs) {
        turn.now = Math.max(turn.now, time);
        for (Input i : inputs) {
            try {
                take(i);
            } catch (RuntimeException e) { // one input that fails must not lose the rest of its batch
                turn.effect(new Effect.UnexpectedError("taking " + i.getClass().getSimpleName(), e));
            }
        }
        roster.relist();
        return decide();
    }

    /** Requests that are owed an answer. */
    public int openRequests() {
        return requests.open();
    }

    /** Whether an engine is listed that takes work. */
    public boolean canServe() {
        return fleet.canServe() && returning.maySend();
    }

    /** What is reported of the front end, as it stands after the last step. */
    public MetricsSnapshot metrics() {
        return ledger.snapshot(requests.open(), fleet.listed(), gateway.ejectedEngineCount(), roster.watch());
    }

    /** Whether the change log has answered whole since the start: until then the list may be an old one. */
    public boolean listConfirmed() {
        return roster.answeredOnce();
    }

    /** Milliseconds since the change log last answered whole. */
    public double listAgeMs(double time) {
        return roster.age(time);
    }

    /** What became of attempts and requests, by cause and class, for the counters. */
    public Map<String, Long> attemptCounters() {
        return tally.all();
    }

    /**
     * What was sent and how it ended by engine, and links: {@code links} opened, {@code refused}, and
     * {@code unreached} in time. Counts since the start, as {@code id.what}; may be asked for on any thread.
     */
    public Map<String, Long> engineCounters() {
        return tally.engines();
    }

    /** Where a return from a loss of power stands, null where none is looked for; the same while nothing has changed. */
    public RecoveryReport recoveryReport() {
        return returning.report();
    }

    /** What is held, by name, for the counters. */
    public Map<String, Integer> retainedCounts() {
        Map<String, Integer> out = new LinkedHashMap<>();
        requests.held(out);
        links.held(out);
        out.put("held.engines", fleet.all().size());
        return out;
    }

    /**
     * Lets the module decide, at most once a tick as in the simulator: it looks at all that it holds each time,
     * and asked at each input it would fill the one core, so that answers come late.
     */
    private List<Effect> decide() {
        double wait = decidedAt + turn.site.decision().tick() - turn.now;
        if (turn.eventful() && wait > 0) {
            if (!tickAsked) {
                tickAsked = true;
                turn.timer(new TimerKey.DecisionTick(), wait);
            }
            return turn.effects();
        }
        decidedAt = turn.eventful() ? turn.now : decidedAt;
        while (turn.eventful()) { // an attempt that ends at once is an event in its turn
            try {
                gateway.decide(turn.now, turn.events()).forEach(this::carryOut);
            } catch (RuntimeException e) { // what is open then still has its timers
                turn.effect(new Effect.UnexpectedError("deciding", e));
            }
        }
        return turn.effects();
    }

    private void take(Input i) {
        if (i instanceof Input.RequestReceived x) {
            requests.asked(x);
        } else if (i instanceof Input.EngineMessageReceived x) {
            attempts.said(x);
        } else if (i instanceof Input.TimerFired x) {
            fired(x.key());
        } else if (i instanceof Input.SendWritten) {
            ledger.sent();
        } else if (i instanceof Input.CancelWritten x) {
            attempts.cancelled(requests.attempt(x.key()));
        } else if (i instanceof Input.LinkUp x) {
            links.up(x.link());
        } else if (i instanceof Input.LinkDown x) {
            links.down(x.link(), x.cause());
        } else if (i instanceof Input.PartialMessage x) {
            links.midway(x.link(), x.pending());
        } else if (i instanceof Input.RequestCancelled x) {
            requests.left(x.caller());
        } else if (i instanceof Input.CallerDisconnected x) {
            requests.gone(x.connection());
        } else if (i instanceof Input.CallerConnected x) {
            requests.callerUp(x.connection());
        } else if (i instanceof Input.CallerNotClosed x) {
            requests.callerStays(x.connection());
        } else if (i instanceof Input.HealthRequested x) {
            turn.effect(new Effect.AnswerHealth(x.caller()));
        } else if (i instanceof Input.ChangesReceived x) {
            roster.answered(x);
        } else if (i instanceof Input.PollFailed x) {
            roster.failed(x);
        } else if (i instanceof Input.FleetChanged x) {
            roster.news(x);
        } else if (i instanceof Input.CallerLimitChanged x) {
            requests.places(x.maxCallers());
        } else if (i instanceof Input.ShutdownScheduled x) {
            requests.endsAt(x.time());
        } else if (i instanceof Input.RefuseNewRequests) {
            requests.turnsAway();
        } else if (i instanceof Input.ReloadRequested) {
            roster.hangup();
        } else if (i instanceof Input.ConfigurationLoaded x) {
            roster.reconfigured(x);
        } else if (i instanceof Input.PersistFinished x) {
            returning.noted(x.durable());
            requests.noted(requests.get(x.request()));
        } else if (i instanceof Input.RecoveryLogRead x) {
            returning.read(x);
        } else if (i instanceof Input.FleetStateReceived x) {
            returning.agreed(x);
        } else if (i instanceof Input.LoadAcknowledged x) {
            returning.acknowledged(x.txn());
        } else if (i instanceof Input.EngineAllowed x) {
            returning.allowed(x.engine());
        } else if (i instanceof Input.ConfigurationRejected x) {
            roster.reconfigureFailed(x);
        }
    }

    private void carryOut(Action action) {
        if (action instanceof Gateway.Send a) {
            attempts.send(requests.get(a.id()), a);
        } else if (action instanceof Gateway.Refuse a) {
            attempts.refuse(requests.get(a.id()), a.comeBack());
        } else if (action instanceof Gateway.Fail a) {
            requests.answer(requests.get(a.id()), new Reply.Failed());
        } else if (action instanceof Gateway.Cancel a) {
            attempts.cut(requests.attempt(new AttemptKey(a.id(), a.attempt())), a.why());
        } else if (action instanceof Gateway.SetTimer a) {
            turn.timer(new TimerKey.Gateway(a.token(), turn.number()), a.delay());
        } else if (action instanceof Gateway.Probe a) {
            links.probe(fleet.get(a.engine()));
        } else if (!(action instanceof Gateway.Watch || action instanceof Gateway.Fetch)) {
            // the change log is always followed; words between front ends and terms are not in the protocol
            turn.effect(new Effect.Log("the module asks for what the protocol does not have: " + action));
        }
    }

    private void fired(TimerKey key) {
        if (key instanceof TimerKey.DecisionTick) {
            tickAsked = false;
        } else if (key instanceof TimerKey.Gateway k) {
            turn.event(new Gateway.Timer(k.token()));
        } else if (key instanceof TimerKey.AttemptTimeout k) {
            attempts.due(requests.attempt(k.key()));
        } else if (key instanceof TimerKey.StartDeadline k) {
            attempts.beginDue(requests.attempt(k.key()));
        } else if (key instanceof TimerKey.CancelTimeout k) {
            attempts.cancelDue(requests.attempt(k.key()));
        } else if (key instanceof TimerKey.RequestDeadline k) {
            requests.due(requests.get(k.id()));
        } else if (key instanceof TimerKey.ConnectTimeout k) {
            links.connectDue(k.link());
        } else if (key instanceof TimerKey.LinkIdle k) {
            links.idleDue(k.link());
        } else if (key instanceof TimerKey.PartialMessage k) {
            links.midwayDue(k.link());
        } else if (key instanceof TimerKey.CallerIdle k) {
            requests.frontDue(k.connection());
        } else if (key instanceof TimerKey.ProbeTimeout k) {
            links.probed(k.tag(), false, List.of());
        } else if (key instanceof TimerKey.ChangeLogTimer k) {
            roster.due(k.timerId());
        } else if (key instanceof TimerKey.Recovery k) {
            returning.due(k.number());
        } else if (key instanceof TimerKey.ShareGrowth) {
            roster.sharesDue();
        }
    }
}
