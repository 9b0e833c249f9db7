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
 * Explains the choices of a scheduler to operators: what it knew of each engine at the moment of a choice,
 * and what excluded the others. It examines a scheduler of its own, restored from a captured state, and
 * decides nothing; it is never given a scheduler that serves, so explanations cost nothing unless they are
 * asked for.
 */
public final class DecisionExplainer {
    /** Bisection steps in which the remaining cold allowance is found. */
    private static final int BISECTION_STEPS = 30;

    /**
     * What was known of an engine for a class.
     *
     * @param reportAge ms since its last report; NaN if there was none
     * @param reportedLoad load per core by that report
     * @param meanTime learned service time of the class there, in ms
     * @param threads threads of this router's running attempts
     * @param sharedLimit whether its thread limit is shared with other engines
     * @param retryIn ms until it is tried again; NaN if it is not ejected
     * @param coldWorkLeft work that it may still get within the window; NaN if it is not cold
     * @param score the index multiplied by the preference for the engine; NaN if it was excluded
     * @param verdict why it was chosen or not
     */
    public record EngineView(long engine, EngineState state, double reportAge, double reportedLoad,
            double meanTime, int threads, double threadLimit, boolean sharedLimit, double retryIn,
            double coldWorkLeft, double score, String verdict) { }

    /**
     * One choice: the request, its class, age and expected time, its number of earlier attempts, and all
     * engines.
     */
    public record Choice(long request, String requestClass, double age, double expected, int attempt,
            long chosen, List<EngineView> engines) { }

    private final GcMuScheduler scheduler;

    /** Examines this scheduler, which must not be used for anything else: examining changes it. */
    public DecisionExplainer(GcMuScheduler scheduler) {
        this.scheduler = scheduler;
    }

    /**
     * The choices made by one call, given the scheduler in the state before it and the actions that it
     * returned.
     */
    public List<Choice> choices(double time, List<Event> events, List<Action> actions) {
        runUpToFirstChoice(time, events);
        List<Choice> out = new ArrayList<>();
        for (Action a : actions) {
            Query query = a instanceof Scheduler.SendAttempt s ? scheduler.queries.get(s.id()) : null;
            EngineNode chosen = a instanceof Scheduler.SendAttempt s ? scheduler.nodes.get(s.engine()) : null;
            if (query != null && query.queue != null && chosen != null) {
                out.add(new Choice(query.id, query.spec.name(), scheduler.now - query.agedFrom,
                        scheduler.expectedTime(query), query.sendCount, chosen.engine.id(),
                        views(query, chosen)));
                scheduler.send(query, chosen);
            }
        }
        return out;
    }

    /** What is known of each engine for each class after the last call, by the name of the class. */
    public Map<String, List<EngineView>> engines() {
        Map<String, List<EngineView>> out = new LinkedHashMap<>();
        for (ClassStats stats : scheduler.classStats) {
            if (stats.band == 0 && !stats.dropped) {
                out.put(stats.spec.name(), scheduler.nodes.values().stream()
                        .map(node -> view(node, stats, Double.NaN,
                                Objects.requireNonNullElse(reasonAgainstClass(node, stats), "takes work")))
                        .toList());
            }
        }
        return out;
    }

    /** Does what a call does up to its first choice. */
    private void runUpToFirstChoice(double time, List<Event> events) {
        scheduler.actions = new ArrayList<>();
        scheduler.stalled = scheduler.timerDueAt > scheduler.now
                && time > scheduler.timerDueAt + GcMuScheduler.STALL_INTERVALS * scheduler.baseInterval;
        scheduler.now = Math.max(scheduler.now, time);
        events.forEach(scheduler::handle);
        if (scheduler.now >= scheduler.nextSupervisionAt) {
            scheduler.supervise();
            scheduler.expireQueuedQueries();
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
            double score = reason == null
                    ? scheduler.index(query.queue, query, node) * scheduler.preference(query, node)
                    : Double.NaN;
            scheduler.random.state = randomState; // the same for all, so that scores can be compared
            out.add(view(node, stats, score,
                    reason != null ? reason : node == chosen ? "chosen" : "a lower score"));
        }
        return out;
    }

    /**
     * For each engine the request of this queue that was considered there: one is kept while it may be sent.
     */
    private Map<EngineNode, Query> candidatesByEngine(Query chosen) {
        Map<EngineNode, Query> out = new HashMap<>();
        Query query = null;
        for (EngineNode node : scheduler.nodes.values()) {
            if (reasonAgainstClass(node, chosen.queue.stats) == null) {
                if (query == null || !scheduler.maySend(query, node)
                        || scheduler.wouldWaitForLoad(query, node)) {
                    query = scheduler.firstEligible(chosen.queue, node);
                }
                out.put(node, query);
            }
        }
        return out;
    }

    /** What excludes an engine for all requests of a class; null if nothing does. */
    private String reasonAgainstClass(EngineNode node, ClassStats stats) {
        if (node.engine.state() != EngineState.READY) {
            return node.engine.state() == EngineState.DRAINING ? "it drains" : "it is gone";
        }
        if (scheduler.allLimitsShared && !scheduler.hasRoom(scheduler.sharedLimit, stats)
                && !scheduler.hasRoomBeyondSharedLimit(node)) {
            return limitText("the thread limit of all engines is reached", node);
        }
        if (!scheduler.hasRoom(node, stats)) {
            return node.isEjected() ? format("ejected for %.0f ms, tried again in %.0f ms",
                    scheduler.now - node.ejectedAt, node.retryAt - scheduler.now)
                    : limitText("its thread limit is reached, or its report says that it is full", node);
        }
        return scheduler.coldAllowanceLeft(scheduler.classStats[stats.classIndex * 2], node) ? null
                : format("cold for %.0f ms, and its allowance is used up",
                scheduler.now - node.engine.startedAt());
    }

    private static String limitText(String text, EngineNode node) {
        return format(text + ": %d of %.1f threads", node.limit.threads, node.limit.maxThreads);
    }

    /** What excludes an engine for this request, if nothing does for its class; null if nothing does. */
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
        return new EngineView(node.engine.id(), node.engine.state(),
                reported ? scheduler.now - node.reportedAt : Double.NaN, node.reportedLoad,
                1 / scheduler.serviceRate(stats, node), node.threads, node.limit.maxThreads,
                node.limit == scheduler.sharedLimit,
                node.isEjected() ? node.retryAt - scheduler.now : Double.NaN,
                scheduler.isCold(node) ? coldWorkLeft(node, stats) : Double.NaN, score, verdict);
    }

    /** Finds the remaining allowance by bisection, asking the guard as if that much more had been sent. */
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
