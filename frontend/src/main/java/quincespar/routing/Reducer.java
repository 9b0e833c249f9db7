package quincespar.routing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import quincespar.decision.Gateway;
import quincespar.decision.Gateway.Action;
import quincespar.metrics.Figures;
import quincespar.metrics.Ledger;
import quincespar.protocol.FleetEvent;
import quincespar.recovery.Recovery;
import quincespar.recovery.Terms;

/**
 * The one place where inputs are handed on to who holds the state that they change ({@link Requests}, {@link Attempts},
 * {@link Links}, {@link Roster}): tells the module of them as its events, turns the module's actions into effects. It
 * decides nothing that the module decides; it keeps the rules that need sockets to be seen. One thread calls it, and it
 * does no reading or writing itself.
 */
public final class Reducer {
    private final Turn turn;
    private final Gateway gateway;
    private final Fleet fleet;
    private final Requests requests;
    private final Attempts attempts;
    private final Links links;
    private final Roster roster;
    private final Returning returning;
    private final Tally tally = new Tally();
    private final Ledger ledger = new Ledger();
    private double decidedAt;
    private boolean tickAsked;

    /** A reducer round one module. */
    public Reducer(Site site, Bounds bounds, Gateway gateway) {
        this(site, bounds, gateway, null, false);
    }

    /** One that returns from a loss of power, null where none is looked for; {@code notesLoads} where loads wait for the disk. */
    public Reducer(Site site, Bounds bounds, Gateway gateway, Recovery recovery, boolean notesLoads) {
        this.gateway = gateway;
        turn = new Turn(site);
        returning = new Returning(turn, recovery, notesLoads);
        fleet = new Fleet(site, returning);
        ledger.classes(site.classNames());
        requests = new Requests(turn, bounds, ledger, returning);
        attempts = new Attempts(turn, requests, fleet, tally, returning);
        links = new Links(turn, bounds, attempts, fleet, tally);
        attempts.over(links);
        roster = new Roster(turn, bounds, fleet, links, attempts, ledger, returning);
    }

    /** A site's classes as a return from a loss of power needs them. */
    public static List<Terms> terms(Site site) {
        return Returning.terms(site);
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
                turn.effect(new Effect.Uncaught("taking " + i.getClass().getSimpleName(), e));
            }
        }
        roster.relist();
        return decide();
    }

    /** Requests that are owed an answer. */
    public int open() {
        return requests.open();
    }

    /** Whether an engine is listed that takes work. */
    public boolean canServe() {
        return fleet.canServe() && returning.maySend();
    }

    /** What is reported of the front end, as it stands after the last step. */
    public Figures figures() {
        return ledger.figures(requests.open(), fleet.listed(), gateway.ejectedEngineCount(), roster.watch());
    }

    /** Whether the change log has answered whole since the start: until then the list may be an old one. */
    public boolean listConfirmed() {
        return roster.answeredOnce();
    }

    /** Milliseconds since the change log last answered whole. */
    public double listAge(double time) {
        return roster.age(time);
    }

    /** What became of attempts and requests, by cause and class, for the counters. */
    public Map<String, Long> tally() {
        return tally.all();
    }

    /**
     * What was sent and how it ended by engine, and links: {@code links} opened, {@code refused}, and
     * {@code unreached} in time. Counts since the start, as {@code id.what}; may be asked for on any thread.
     */
    public Map<String, Long> engines() {
        return tally.engines();
    }

    /** Where a return from a loss of power stands, null where none is looked for; the same while nothing has changed. */
    public Returned returned() {
        return returning.report();
    }

    /** What is held, by name, for the counters. */
    public Map<String, Integer> held() {
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
        double wait = decidedAt + turn.site.module().tick() - turn.now;
        if (turn.eventful() && wait > 0) {
            if (!tickAsked) {
                tickAsked = true;
                turn.timer(new TimerKey.Tick(), wait);
            }
            return turn.effects();
        }
        decidedAt = turn.eventful() ? turn.now : decidedAt;
        while (turn.eventful()) { // an attempt that ends at once is an event in its turn
            try {
                gateway.decide(turn.now, turn.events()).forEach(this::carryOut);
            } catch (RuntimeException e) { // what is open then still has its timers
                turn.effect(new Effect.Uncaught("deciding", e));
            }
        }
        return turn.effects();
    }

    private void take(Input i) {
        if (i instanceof Input.Asked x) {
            requests.asked(x);
        } else if (i instanceof Input.Said x) {
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
        } else if (i instanceof Input.Midway x) {
            links.midway(x.link(), x.unfinished());
        } else if (i instanceof Input.Withdrawn x) {
            requests.left(x.caller());
        } else if (i instanceof Input.CallerGone x) {
            requests.gone(x.connection());
        } else if (i instanceof Input.CallerUp x) {
            requests.callerUp(x.connection());
        } else if (i instanceof Input.CallerStays x) {
            requests.callerStays(x.connection());
        } else if (i instanceof Input.HealthAsked x) {
            turn.effect(new Effect.AnswerHealth(x.caller()));
        } else if (i instanceof Input.Changes x) {
            roster.answered(x);
        } else if (i instanceof Input.ChangesFailed x) {
            roster.failed(x);
        } else if (i instanceof Input.FleetNews x) {
            roster.news(x);
        } else if (i instanceof Input.Places x) {
            requests.places(x.callers());
        } else if (i instanceof Input.EndsAt x) {
            requests.endsAt(x.time());
        } else if (i instanceof Input.TurnsAway) {
            requests.turnsAway();
        } else if (i instanceof Input.Hangup) {
            roster.hangup();
        } else if (i instanceof Input.Reconfigured x) {
            roster.reconfigured(x);
        } else if (i instanceof Input.Noted x) {
            returning.noted(x.kept());
            requests.noted(requests.get(x.request()));
        } else if (i instanceof Input.KeptRead x) {
            returning.read(x);
        } else if (i instanceof Input.Agreed x) {
            returning.agreed(x);
        } else if (i instanceof Input.Acknowledged x) {
            returning.acknowledged(x.txn());
        } else if (i instanceof Input.Allowed x) {
            returning.allowed(x.engine());
        } else if (i instanceof Input.ReconfigureFailed x) {
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
            turn.timer(new TimerKey.Module(a.token(), turn.number()), a.delay());
        } else if (action instanceof Gateway.Probe a) {
            links.probe(fleet.get(a.engine()));
        } else if (!(action instanceof Gateway.Watch || action instanceof Gateway.Fetch)) {
            // the change log is always followed; words between front ends and terms are not in the protocol
            turn.effect(new Effect.Log("the module asks for what the protocol does not have: " + action));
        }
    }

    private void fired(TimerKey key) {
        if (key instanceof TimerKey.Tick) {
            tickAsked = false;
        } else if (key instanceof TimerKey.Module k) {
            turn.event(new Gateway.Timer(k.token()));
        } else if (key instanceof TimerKey.Attempt k) {
            attempts.due(requests.attempt(k.key()));
        } else if (key instanceof TimerKey.Begin k) {
            attempts.beginDue(requests.attempt(k.key()));
        } else if (key instanceof TimerKey.GiveUp k) {
            attempts.cancelDue(requests.attempt(k.key()));
        } else if (key instanceof TimerKey.Request k) {
            requests.due(requests.get(k.id()));
        } else if (key instanceof TimerKey.Connect k) {
            links.connectDue(k.link());
        } else if (key instanceof TimerKey.Idle k) {
            links.idleDue(k.link());
        } else if (key instanceof TimerKey.Midway k) {
            links.midwayDue(k.link());
        } else if (key instanceof TimerKey.Front k) {
            requests.frontDue(k.connection());
        } else if (key instanceof TimerKey.Probe k) {
            links.probed(k.tag(), false, List.of());
        } else if (key instanceof TimerKey.Changes k) {
            roster.due(k.serial());
        } else if (key instanceof TimerKey.Recovery k) {
            returning.due(k.number());
        } else if (key instanceof TimerKey.Shares) {
            roster.sharesDue();
        }
    }
}
