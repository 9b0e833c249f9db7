package quincespar.routing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import quincespar.decision.Gateway;
import quincespar.decision.Gateway.Outcome;

/** Connections to engines: which carries what, when one ends, and the probes on them. */
final class Links {
    /** How the cause of a link's end begins where what the engine said made no sense. */
    static final String MALFORMED = "malformed: ";
    private static final double LEAST_CONNECT = 50;
    private static final double PROBE = 250;
    /** Links are closed here well before their engines close them, so that no send meets such a close. */
    private static final double IDLE_SHARE = 0.6;
    private static final double SUSPECT = 2000;

    private final Map<Long, Link> byId = new LinkedHashMap<>();
    private final Map<String, Link> probes = new LinkedHashMap<>();
    private final StepContext turn;
    private final Bounds bounds;
    private final Attempts attempts;
    private final EngineRegistry fleet;
    private final AttemptCounters tally;
    /** Whether an engine's answer has ever come spoilt: it may again. */
    private boolean spoilt;

    Links(StepContext turn, Bounds bounds, Attempts attempts, EngineRegistry fleet, AttemptCounters tally) {
        this.turn = turn;
        this.bounds = bounds;
        this.attempts = attempts;
        this.fleet = fleet;
        this.tally = tally;
    }

    Link get(long id) {
        return byId.get(id);
    }

    void held(Map<String, Integer> out) {
        out.put("held.links", byId.size());
        out.put("held.probes", probes.size());
    }

    void up(long id) {
        up(byId.get(id));
    }

    /** It is over, or never came up. */
    void down(long id, String cause) {
        Link l = byId.get(id);
        if (l != null && !l.up) {
            tally.engine(l.engine.listed.id(), "refused");
        }
        down(l, cause);
    }

    /** An engine's message on it has begun and not ended, or has ended. */
    void midway(long id, boolean unfinished) {
        if (byId.containsKey(id) && unfinished) {
            turn.timer(new TimerKey.PartialMessage(id), bounds.partialMessageMs());
        } else if (byId.containsKey(id)) {
            turn.stop(new TimerKey.PartialMessage(id));
        }
    }

    /** What has begun ought to be whole by now; what else is open there waits in vain. */
    void midwayDue(long id) {
        if (byId.containsKey(id)) {
            drop(byId.get(id), MALFORMED + "an answer that stopped short");
        }
    }

    /** It ought to be up by now. */
    void connectDue(long id) {
        Link l = byId.get(id);
        if (l != null && !l.up) {
            drop(l, "no connection in time");
        }
    }

    /** It has carried nothing for a while. */
    void idleDue(long id) {
        Link l = byId.get(id);
        if (l != null && l.idle()) {
            drop(l, "idle");
        }
    }

    /**
     * The least used link that may carry this request, or a new one; null where the engine has enough of them.
     * An engine reads its connections in any order: sent on another than its cancel, a request given up there
     * could come in before that cancel and be a second copy. So it stays on that link. One that was answered there
     * goes on another: engines have been seen to answer twice, and the second answer would end the next attempt.
     *
     * A link that ends takes all that is open on it along, and an answer that arrives spoilt ends it. So few share
     * one while others are to be had, and what may not run twice goes alone, as it would be lost; but only once an
     * answer has come spoilt: over a large fleet that is nearly twice the links, and each costs a handshake.
     */
    Link link(EngineRegistry.Engine e, String txn, boolean alone) {
        Link best = null;
        for (Link l : e.links) {
            boolean usable = l.open.size() < turn.site.maxStreamsPerLink() && !l.open.containsKey(txn);
            if (usable && l.abandoned.contains(txn)) {
                return l;
            }
            if (usable && !l.suspect && !l.answered.contains(txn) && (best == null || shared(l) < shared(best))) {
                best = l;
            }
        }
        if ((best == null || shared(best) >= (alone && spoilt ? 1 : bounds.maxSharedPerLink()))
                && e.links.size() < bounds.maxLinksPerEngine()) {
            best = new Link(turn.number(), e, turn.now);
            e.links.add(best);
            byId.put(best.id, best);
            tally.engine(e.listed.id(), "links");
            turn.effect(new Effect.OpenLink(best.id, e.listed.address()));
            turn.timer(new TimerKey.ConnectTimeout(best.id), Math.max(LEAST_CONNECT,
                    turn.site.decision().limits().connectTimeout()));
        }
        if (best != null) {
            turn.stop(new TimerKey.LinkIdle(best.id));
        }
        return best;
    }

    /** How much is lost if the link ends; one that carries what may not run twice is full. */
    private int shared(Link l) {
        boolean dear = spoilt && l.open.values().stream().anyMatch(a -> a.request.unsafe());
        return l.open.size() + (dear ? bounds.maxSharedPerLink() : 0);
    }

    private void up(Link l) {
        if (l != null) {
            l.up = true;
            l.heardAt = turn.now;
            fleet.met(l.engine);
            turn.stop(new TimerKey.ConnectTimeout(l.id));
            List.copyOf(l.open.values()).forEach(attempts::write);
            l.probes.forEach(tag -> turn.effect(new Effect.Probe(l.id, tag)));
            rest(l);
        }
    }

    /** Each attempt ends by its proof: nothing written never ran, all else may have run. */
    void down(Link l, String why) {
        spoilt |= why.startsWith(MALFORMED);
        if (l == null) {
            return;
        }
        byId.remove(l.id);
        l.engine.links.remove(l);
        turn.stop(new TimerKey.ConnectTimeout(l.id));
        turn.stop(new TimerKey.LinkIdle(l.id));
        turn.stop(new TimerKey.PartialMessage(l.id));
        for (Attempt a : List.copyOf(l.open.values())) {
            if (!attempts.withdraw(a, Outcome.CONNECT_FAILED)) {
                attempts.end(a, a.givenUp != null ? a.givenUp : a.done() ? Outcome.ERROR : Outcome.RESET);
            }
        }
        List.copyOf(l.probes).forEach(tag -> probed(tag, false, List.of()));
        fleet.tidy();
    }

    void drop(Link l, String why) {
        if (!l.up) {
            tally.engine(l.engine.listed.id(), "unreached");
        }
        turn.effect(new Effect.CloseLink(l.id, why));
        down(l, why);
    }

    /** A link with nothing open waits for the next send for a while, or closes where none will come. */
    void rest(Link l) {
        if (!l.idle() || !byId.containsKey(l.id)) {
            return;
        }
        // a suspect one stays for a retry of what was cancelled there, which must come in behind its cancel
        turn.timer(new TimerKey.LinkIdle(l.id), l.suspect ? SUSPECT : IDLE_SHARE * turn.site.linkIdleMs());
    }

    void probe(EngineRegistry.Engine e) {
        Link l = e == null ? null : link(e, "", false);
        String tag = "p" + turn.number();
        if (l == null) {
            return;
        }
        l.probes.add(tag);
        probes.put(tag, l);
        turn.timer(new TimerKey.ProbeTimeout(tag), PROBE);
        if (l.up) {
            turn.effect(new Effect.Probe(l.id, tag));
        }
    }

    void probed(String tag, boolean fit, List<Double> load) {
        Link l = probes.remove(tag);
        if (l != null) {
            l.probes.remove(tag);
            turn.stop(new TimerKey.ProbeTimeout(tag));
            turn.event(new Gateway.Probed(l.engine.number, fit, 0, load));
            rest(l);
        }
    }
}
