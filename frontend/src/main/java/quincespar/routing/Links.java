package quincespar.routing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import quincespar.decision.Scheduler;
import quincespar.decision.Scheduler.Outcome;

/** Links to engines: which link carries which attempt, when a link ends, and the probes on them. */
final class Links {
    /** Prefix of the cause of a link's end where the engine sent something invalid. */
    static final String MALFORMED = "malformed: ";
    private static final double MIN_CONNECT_TIMEOUT_MS = 50;
    private static final double PROBE_TIMEOUT_MS = 250;
    /** Links are closed here well before their engines close them as idle, so that no attempt meets such a close. */
    private static final double IDLE_SHARE = 0.6;
    private static final double SUSPECT_IDLE_MS = 2000;

    private final Map<Long, Link> byId = new LinkedHashMap<>();
    private final Map<String, Link> byProbe = new LinkedHashMap<>();
    private final StepContext context;
    private final Bounds bounds;
    private final Attempts attempts;
    private final EngineRegistry engines;
    private final AttemptCounters counters;
    /** Whether any engine has ever sent a malformed answer: it may happen again. */
    private boolean seenMalformed;

    Links(StepContext context, Bounds bounds, Attempts attempts, EngineRegistry engines, AttemptCounters counters) {
        this.context = context;
        this.bounds = bounds;
        this.attempts = attempts;
        this.engines = engines;
        this.counters = counters;
    }

    Link get(long id) {
        return byId.get(id);
    }

    void addRetainedCounts(Map<String, Integer> out) {
        out.put("held.links", byId.size());
        out.put("held.probes", byProbe.size());
    }

    /** A link has ended, or could not be established. */
    void down(long id, String cause) {
        Link link = byId.get(id);
        if (link != null && !link.up) {
            counters.countAtEngine(link.engine.listed.id(), "refused");
        }
        down(link, cause);
    }

    /** A message has arrived in part on a link ({@code pending}), or is complete now. */
    void partialMessage(long id, boolean pending) {
        if (byId.containsKey(id) && pending) {
            context.startTimer(new TimerKey.PartialMessage(id), bounds.partialMessageMs());
        } else if (byId.containsKey(id)) {
            context.stopTimer(new TimerKey.PartialMessage(id));
        }
    }

    /** The rest of a message has not come in time; it blocks the answers to all else that is open on its link. */
    void partialMessageTimedOut(long id) {
        if (byId.containsKey(id)) {
            close(byId.get(id), MALFORMED + "incomplete message");
        }
    }

    /** A link must be established by now. */
    void connectTimedOut(long id) {
        Link link = byId.get(id);
        if (link != null && !link.up) {
            close(link, "no connection in time");
        }
    }

    /** A link has had nothing open for too long. */
    void idleTimedOut(long id) {
        Link link = byId.get(id);
        if (link != null && link.idle()) {
            close(link, "idle");
        }
    }

    /**
     * The least used link that may carry this request, or a new one; null where the engine has the maximum of links.
     *
     * <p>An engine reads its links in any order. If a request was cancelled on a link and its next attempt went out on
     * another, the engine could see the attempt before the cancel and run both; so the attempt stays on that link. If a
     * request was answered on a link, its next attempt uses another: engines may send an answer twice, and the second one
     * would end that attempt.
     *
     * <p>A link that ends takes all attempts on it along, and a malformed answer ends its link. So few requests share a link
     * while the engine may have more links, and a request that must not run twice has one to itself, as it would be lost;
     * but only once an answer has been malformed, as in a large fleet this nearly doubles the links, and each costs a
     * handshake.
     */
    Link select(EngineRegistry.Engine engine, String txn, boolean exclusive) {
        Link best = null;
        for (Link link : engine.links) {
            boolean usable = link.open.size() < context.settings.maxStreamsPerLink() && !link.open.containsKey(txn);
            if (usable && link.cancelled.contains(txn)) {
                return link;
            }
            if (usable && !link.suspect && !link.answered.contains(txn)
                    && (best == null || sharing(link) < sharing(best))) {
                best = link;
            }
        }
        if ((best == null || sharing(best) >= (exclusive && seenMalformed ? 1 : bounds.maxSharedPerLink()))
                && engine.links.size() < bounds.maxLinksPerEngine()) {
            best = open(engine);
        }
        if (best != null) {
            context.stopTimer(new TimerKey.LinkIdle(best.id));
        }
        return best;
    }

    private Link open(EngineRegistry.Engine engine) {
        Link link = new Link(context.nextId(), engine, context.now);
        engine.links.add(link);
        byId.put(link.id, link);
        counters.countAtEngine(engine.listed.id(), "links");
        context.addEffect(new Effect.OpenLink(link.id, engine.listed.address()));
        context.startTimer(new TimerKey.ConnectTimeout(link.id), Math.max(MIN_CONNECT_TIMEOUT_MS,
                context.settings.decision().limits().connectTimeout()));
        return link;
    }

    /** How many requests share a link; one with a request that must not run twice counts as full. */
    private int sharing(Link link) {
        boolean reserved = seenMalformed && link.open.values().stream().anyMatch(a -> a.request.unsafe());
        return link.open.size() + (reserved ? bounds.maxSharedPerLink() : 0);
    }

    /** A link is established: what was queued for it is written. */
    void up(long id) {
        Link link = byId.get(id);
        if (link != null) {
            link.up = true;
            link.lastHeardAt = context.now;
            engines.reached(link.engine);
            context.stopTimer(new TimerKey.ConnectTimeout(link.id));
            List.copyOf(link.open.values()).forEach(attempts::write);
            link.probes.forEach(tag -> context.addEffect(new Effect.Probe(link.id, tag)));
            startIdleTimer(link);
        }
    }

    /** Ends the attempts on a link: those of which nothing was written have not run, all others may have. */
    private void down(Link link, String cause) {
        seenMalformed |= cause.startsWith(MALFORMED);
        if (link == null) {
            return;
        }
        byId.remove(link.id);
        link.engine.links.remove(link);
        context.stopTimer(new TimerKey.ConnectTimeout(link.id));
        context.stopTimer(new TimerKey.LinkIdle(link.id));
        context.stopTimer(new TimerKey.PartialMessage(link.id));
        for (Attempt attempt : List.copyOf(link.open.values())) {
            if (!attempts.withdraw(attempt, Outcome.CONNECT_FAILED)) {
                attempts.end(attempt, attempt.cancelOutcome != null ? attempt.cancelOutcome
                        : attempt.done() ? Outcome.ERROR : Outcome.RESET);
            }
        }
        List.copyOf(link.probes).forEach(tag -> probeEnded(tag, false, List.of()));
        engines.dropRemoved();
    }

    void close(Link link, String cause) {
        if (!link.up) {
            counters.countAtEngine(link.engine.listed.id(), "unreached");
        }
        context.addEffect(new Effect.CloseLink(link.id, cause));
        down(link, cause);
    }

    /** Closes a link that has nothing open once it has been idle for a while. */
    void startIdleTimer(Link link) {
        if (!link.idle() || !byId.containsKey(link.id)) {
            return;
        }
        // a suspect link is kept for the retry of a request that was cancelled there, which must follow its cancel
        context.startTimer(new TimerKey.LinkIdle(link.id),
                link.suspect ? SUSPECT_IDLE_MS : IDLE_SHARE * context.settings.linkIdleMs());
    }

    void probe(EngineRegistry.Engine engine) {
        Link link = engine == null ? null : select(engine, "", false);
        String tag = "p" + context.nextId();
        if (link == null) {
            return;
        }
        link.probes.add(tag);
        byProbe.put(tag, link);
        context.startTimer(new TimerKey.ProbeTimeout(tag), PROBE_TIMEOUT_MS);
        if (link.up) {
            context.addEffect(new Effect.Probe(link.id, tag));
        }
    }

    /** A probe was answered, or failed. */
    void probeEnded(String tag, boolean healthy, List<Double> load) {
        Link link = byProbe.remove(tag);
        if (link != null) {
            link.probes.remove(tag);
            context.stopTimer(new TimerKey.ProbeTimeout(tag));
            context.addEvent(new Scheduler.ProbeResult(link.engine.number, healthy, 0, load));
            startIdleTimer(link);
        }
    }
}
