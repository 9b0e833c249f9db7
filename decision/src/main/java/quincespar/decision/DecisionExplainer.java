package quincespar.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import quincespar.decision.Scheduler.Action;
import quincespar.decision.Scheduler.EngineState;
import quincespar.decision.Scheduler.Event;
import quincespar.decision.SchedulerState.ClassStats;
import quincespar.decision.SchedulerState.EngineNode;
import quincespar.decision.SchedulerState.Query;

/**
 * Why a module chose as it did, for people: what it knew of each engine at the moment of a choice, and what ruled out the
 * others. It looks into a module of its own, made of a captured state, and decides nothing; a module that serves is never
 * handed to it, so what is not asked costs nothing.
 */
public final class DecisionExplainer {
    /** What was left of the cold allowance is found in this many halvings. */
    private static final int BISECTION_STEPS = 30;

    /**
     * What was known of an engine for a class. Times are milliseconds; {@code reportAge} is NaN where it has told nothing,
     * {@code report} is load for each core; {@code meanTime} is the learned time of the class there; {@code retryIn} is
     * how long it stays shunned, NaN where it is not; {@code coldLeft} is the work that it may still get within the span,
     * NaN where it is warm. {@code figure} is the index after all that speaks for the engine, NaN where it was ruled out;
     * {@code verdict} says by what.
     */
    public record EngineView(long engine, EngineState state, double reportAge, double reportedLoad, double meanTime, int threads,
            double threadLimit, boolean sharedLimit, double retryIn, double coldWorkLeft, double score, String verdict) { }

    /** One choice: which request, its class, age and expected time, the attempts before, and all engines. */
    public record Choice(long request, String requestClass, double age, double expected, int attempt, long chosen,
            List<EngineView> engines) { }

    private final GcMuScheduler scheduler;

    /** Looks into this module, which must not be used for anything else: looking changes it. */
    public DecisionExplainer(GcMuScheduler brain) {
        this.scheduler = brain;
    }

    /** The choices that this call makes, of a module in the state before it; {@code actions} is what it answered. */
    public List<Choice> choices(double time, List<Event> events, List<Action> actions) {
        runUpToFirstChoice(time, events);
        List<Choice> out = new ArrayList<>();
        for (Action a : actions) {
            Query query = a instanceof Scheduler.SendAttempt s ? scheduler.queries.get(s.id()) : null;
            EngineNode chosen = a instanceof Scheduler.SendAttempt s ? scheduler.nodes.get(s.engine()) : null;
            if (query != null && query.queue != null && chosen != null) {
                out.add(new Choice(query.id, query.spec.name(), scheduler.now - query.agedFrom, scheduler.expectedTime(query), query.sendCount, chosen.engine.id(),
                        views(query, chosen)));
                scheduler.send(query, chosen);
            }
        }
        return out;
    }

    /** What is known of each engine for each class, after a module's last call. */
    public Map<String, List<EngineView>> engines() {
        Map<String, List<EngineView>> out = new LinkedHashMap<>();
        for (ClassStats stats : scheduler.classStats) {
            if (stats.band == 0 && !stats.dropped) {
                out.put(stats.spec.name(), scheduler.nodes.values().stream().map(node -> view(node, stats, Double.NaN,
                        Objects.requireNonNullElse(reasonAgainstClass(node, stats), "takes work"))).toList());
            }
        }
        return out;
    }

    /** As a call goes up to its first choice. */
    private void runUpToFirstChoice(double time, List<Event> events) {
        scheduler.actions = new ArrayList<>();
        scheduler.stalled = scheduler.timerDueAt > scheduler.now && time > scheduler.timerDueAt + 3 * scheduler.baseInterval;
        scheduler.now = Math.max(scheduler.now, time);
        events.forEach(scheduler::handle);
        if (scheduler.now >= scheduler.nextSupervisionAt) {
            scheduler.supervise();
            scheduler.expireHeldQueries();
        }
        scheduler.updateClassAggregates();
    }

    private List<EngineView> views(Query query, EngineNode chosen) {
        ClassStats stats = scheduler.classStats[query.classIndex * 2];
        Map<EngineNode, Query> candidates = candidatesByEngine(query);
        List<EngineView> out = new ArrayList<>();
        for (EngineNode node : scheduler.nodes.values()) {
            String reason = reasonAgainstClass(node, query.queue.stats);
            reason = reason != null ? reason : reasonAgainstQuery(query, node);
            if (reason == null && candidates.get(node) != query) {
                reason = "request " + candidates.get(node).id + " of its queue goes there first";
            }
            long randomState = scheduler.random.state;
            double score = reason == null ? scheduler.index(query.queue, query, node) * scheduler.preference(query, node) : Double.NaN;
            scheduler.random.state = randomState; // the same for all, so that figures compare
            out.add(view(node, stats, score, reason != null ? reason : node == chosen ? "chosen" : "a lower figure"));
        }
        return out;
    }

    /** For each engine the request of this queue that was looked at there: the one before stays while it may go. */
    private Map<EngineNode, Query> candidatesByEngine(Query chosen) {
        Map<EngineNode, Query> out = new HashMap<>();
        Query query = null;
        for (EngineNode node : scheduler.nodes.values()) {
            if (reasonAgainstClass(node, chosen.queue.stats) == null) {
                if (query == null || !scheduler.maySend(query, node) || scheduler.wouldWaitForLoad(query, node)) {
                    query = scheduler.firstEligible(chosen.queue, node);
                }
                out.put(node, query);
            }
        }
        return out;
    }

    /** What keeps all requests of a kind from an engine; null where nothing does. */
    private String reasonAgainstClass(EngineNode node, ClassStats stats) {
        if (node.engine.state() != EngineState.READY) {
            return node.engine.state() == EngineState.DRAINING ? "it drains" : "it is gone";
        }
        if (scheduler.allLimitsShared && !scheduler.hasRoom(scheduler.sharedLimit, stats) && !scheduler.hasRoomBeyondSharedLimit(node)) {
            return limitText("the bound of all engines is full", node);
        }
        if (!scheduler.hasRoom(node, stats)) {
            return node.isEjected() ? format("shunned for %.0f ms, tried again in %.0f ms", scheduler.now - node.ejectedAt,
                    node.retryAt - scheduler.now) : limitText("its bound is full, or its report says so", node);
        }
        return scheduler.coldAllowanceLeft(scheduler.classStats[stats.classIndex * 2], node) ? null : format("cold for %.0f ms, and its allowance is used up",
                scheduler.now - node.engine.startedAt());
    }

    private static String limitText(String text, EngineNode node) {
        return format(text + ": %d of %.1f threads", node.limit.threads, node.limit.maxThreads);
    }

    /** What keeps this request from an engine that is open to its kind; null where nothing does. */
    private String reasonAgainstQuery(Query query, EngineNode node) {
        if (!scheduler.isAllowedPlace(query, node)) {
            return "its class does not go there";
        } else if (!scheduler.mayRepeat(query, node)) {
            return "it may have run, and may not run twice";
        } else if (!scheduler.isFirstOfKey(query)) {
            return "another request of its key goes first";
        } else if (query.sendCount > 0 && !scheduler.retryBudgetAllows(0)) {
            return "the budget of further attempts is used up";
        } else if (!scheduler.maySend(query, node)) {
            return "its time or its attempts are used up";
        }
        return scheduler.wouldWaitForLoad(query, node) ? "a load holds its tables there" : null;
    }

    private EngineView view(EngineNode node, ClassStats stats, double score, String verdict) {
        boolean reported = !Double.isNaN(node.reportedLoad);
        return new EngineView(node.engine.id(), node.engine.state(), reported ? scheduler.now - node.reportedAt : Double.NaN, node.reportedLoad,
                1 / scheduler.serviceRate(stats, node), node.threads, node.limit.maxThreads, node.limit == scheduler.sharedLimit,
                node.isEjected() ? node.retryAt - scheduler.now : Double.NaN, scheduler.isCold(node) ? coldWorkLeft(node, stats) : Double.NaN, score,
                verdict);
    }

    /** Found by asking the guard itself for ever finer amounts, as if so much more had been sent. */
    private double coldWorkLeft(EngineNode node, ClassStats stats) {
        double low = 0;
        double high = 1e7;
        double usualWork = scheduler.usualWork(stats);
        for (int i = 0; i < BISECTION_STEPS; i++) {
            double extraWork = (low + high) / 2;
            node.recentSends.addLast(new double[] {scheduler.now, extraWork - usualWork});
            boolean hasRoom = scheduler.coldAllowanceLeft(stats, node);
            node.recentSends.removeLast();
            low = hasRoom ? extraWork : low;
            high = hasRoom ? high : extraWork;
        }
        return low;
    }

    private static String format(String pattern, Object... values) {
        return String.format(Locale.ROOT, pattern, values);
    }
}
