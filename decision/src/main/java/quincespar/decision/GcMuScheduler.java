package quincespar.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import quincespar.decision.SchedulerState.*;

/**
 * Every decision of one router, by D-Gcμ. The interface (settings, events, actions) is in Scheduler.java.
 * Read in this order: intake and queues; index and rates; thread bound; engine choice; terms; attempts and
 * health; rule guards; answers. Time comes with the events; same events, same actions. One thread calls it.
 */
public final class GcMuScheduler implements Scheduler {
    /** Rates forget over about ten seconds, as the design page has it. */
    private static final double STATS_SPAN_MS = 10_000;
    /** Samples that the class's own figure weighs against an engine's: a rate from fewer is mostly noise. */
    private static final double PRIOR_WEIGHT = 4;
    /** A query foretold at this many times its class's usual work is huge: a type of its own. */
    private static final double HEAVY_WORK_MULTIPLE = 4;
    /** The bound widens while latency is under this multiple of the best seen and is cut above the other. */
    private static final double NEAR_BEST_STRETCH = 1.25, GROWN_STRETCH = 1.6, SHARED_LIMIT_GAIN = 0.5, SHARED_LIMIT_CUT = 0.06;
    /** Share of the cold allowance that is used: engines differ by some tenths and works are estimates. */
    private static final double COLD_ALLOWANCE_USED = 0.7;
    /** Routers that may send to a cold engine in one turn: few, so that each may send a query or more. */
    private static final int ROUTERS_PER_COLD_TURN = 8;
    /** Expected finishes missed in a row by an engine before its silence is believed: chance e^-6. */
    private static final double SILENCE_MISSED_FINISHES = 6;
    /** An attempt at this many times its expected time has a bad plan; scatter decides between. */
    private static final double MIN_STRAGGLER_MULTIPLE = 3, MAX_STRAGGLER_MULTIPLE = 8;
    /** Share of a class's sends that may be cut for a bad plan: more can't be bad luck, it is load. */
    private static final double CANCEL_CREDIT_PER_SEND = 0.15;
    /** Engines of the own zone, and as many of others, in an own set: few, so that each is heard often. */
    private static final int SUBSET_ENGINES_PER_SIDE = 4;
    /** How far engines outside the own set must be better: unheard ones pass for average. */
    private static final double OUTSIDE_SUBSET_FACTOR = 0.6;
    /** Index kept where a load holds the query's tables: it would stand still there. */
    private static final double HELD_TABLES_FACTOR = 0.1;
    /** A load that a note told of is taken to go on for this part of a load's time: it began before. */
    private static final double LOAD_NOTE_LIFETIME = 0.1;
    /** What a note of waiting says where the wait is for a load. */
    private static final double WAIT_NOTE_FOR_LOAD = 2;
    /** What is lost of the index from a group's best to its worst engine: less than a core's load tells. */
    private static final double TABLE_AFFINITY = 0.5;
    /** Times the mean idle part that a router may use more: the fleet stays near its bound if a third ask. */
    private static final double IDLE_PART_MULTIPLE = 3;
    /** What a thread of lesser γμ counts against a class; else against that of the largest γμ alone. */
    private static final double LOWER_THREAD_WEIGHT = 0.25, LOWER_THREAD_WEIGHT_FOR_HIGHEST = 0.5;
    /** Load as reports tell it: room below, none above. Out of memory it works little: held counts twice. */
    private static final double ROOMY_LOAD_PER_CORE = 2.8, FULL_LOAD_PER_CORE = 3.6, HELD_QUERY_LOAD = 2;
    /** Few queries do not fill a pooled bound of so many threads; threads a core that it has at first. */
    private static final double BROAD_LIMIT_THREADS = 12, BROAD_LIMIT_THREADS_PER_CORE = 1.5;
    /** Engines that a router watches. */
    private static final double WATCHED_ENGINES = 10;
    /** Share of service that words may cost at most; bytes charged for both words of an attempt. */
    private static final double MAX_ANNOUNCEMENT_COST = 0.02, ANNOUNCEMENT_BYTES = 40;
    /** A word of a peer is dropped after this many times the time that it foretold: its end may be lost. */
    private static final double PEER_ATTEMPT_STALE_MULTIPLE = 3;
    /** An engine's report fades within two seconds: short queries have gone by then. */
    private static final double REPORT_FADE_MS = 2000;

    final SeededRandom random;
    Settings settings;
    ClassStats[] classStats = {};
    QueryQueue[] queues = {};
    final Map<Long, Query> queries = new LinkedHashMap<>();
    final Map<Long, EngineNode> nodes = new LinkedHashMap<>();
    private final Map<Long, KeyQueue> keyQueues = new LinkedHashMap<>();
    private final ArrayDeque<Double> retriesSentAt = new ArrayDeque<>(), requestsTakenAt = new ArrayDeque<>();
    private final Map<Integer, EngineNode> nodesByTag = new LinkedHashMap<>();
    private final SchedulerState.PeerAttempts peerAttempts = new SchedulerState.PeerAttempts();
    private QuotaBucket[] quotas = {};
    private final DecayingMean meanEngineLoad = new DecayingMean(STATS_SPAN_MS / 4);
    private final DecayingMean meanOfferedWork = new DecayingMean(3 * STATS_SPAN_MS), announcedShare = new DecayingMean(3 * STATS_SPAN_MS);
    private final DecayingMean unannouncedThreads = new DecayingMean(STATS_SPAN_MS / 2);
    ConcurrencyLimit sharedLimit;
    List<Action> actions;
    double sharedCores, now, nextWatchAt, watchRetryDelay, nextSupervisionAt, timerDueAt, nextPeerExpiryAt, fleetThreadsPerRouter, warmEngineShare, startedAt = -1;
    double baseInterval, highestGammaMu, longestLoadTime, smallestUsualWork, largestUsualWork;
    private long nextSequence;
    private int openRequests, announcementCount;
    boolean watching, allLimitsShared, stalled, tablesKnown, peersHeard;

    /** Starts one router's module; the seed feeds its only source of chance. */
    public GcMuScheduler(Settings settings, long seed) {
        random = new SeededRandom(seed);
        applySettings(new SettingsChanged(settings, List.of()));
        watchRetryDelay = Math.min(1000, settings.rules().discoveryInterval() / 8);
    }

    /** Settings bind now. A class keeps its number and what was learned, open queries their terms. */
    private void applySettings(SettingsChanged configured) {
        settings = configured.settings();
        int known = classStats.length, statsCount = settings.classes().size() * 2;
        classStats = Arrays.copyOf(classStats, statsCount);
        queues = Arrays.copyOf(queues, statsCount * 3);
        double shortestAim = Double.MAX_VALUE;
        for (int i = 0; i < statsCount; i++) {
            ClassSpec spec = settings.classes().get(i / 2);
            classStats[i] = i < known ? classStats[i] : new ClassStats(i / 2, i % 2, STATS_SPAN_MS, 3 * STATS_SPAN_MS, PRIOR_WEIGHT);
            classStats[i].spec = spec;
            classStats[i].dropped = configured.droppedClasses().contains(i / 2);
            shortestAim = classStats[i].dropped ? shortestAim : Math.min(shortestAim, spec.latencyTarget());
            for (int prospect = 0; prospect < 3 && i >= known; prospect++) {
                queues[i * 3 + prospect] = new QueryQueue(classStats[i], prospect);
            }
        }
        nodes.values().forEach(node -> node.ensureClassStats(statsCount));
        quotas = QuotaBucket.forTenants(quotas, settings.tenants());
        baseInterval = Math.max(settings.tick(), shortestAim / 40); // forty looks within the shortest aim
    }

    @Override
    public List<Action> decide(double time, List<Event> events) {
        actions = new ArrayList<>();
        stalled = timerDueAt > now && time > timerDueAt + 3 * baseInterval; // the timer asked for was not served in time
        now = Math.max(now, time);
        startedAt = startedAt < 0 ? now : startedAt;
        for (Event event : events) {
            handle(event);
        }
        if (settings.discoveryOnRequest() && !watching && now >= nextWatchAt) { // ask anew, ever less often, when that fails
            watching = true;
            actions.add(new WatchEngineList(true));
        }
        if (now >= nextSupervisionAt) {
            nextSupervisionAt = now + supervisionInterval();
            supervise();
            expireHeldQueries();
        }
        dispatch();
        boolean queriesHeld = Arrays.stream(queues).anyMatch(queue -> !queue.queries.isEmpty());
        double delay = queriesHeld || !allLimitsShared ? supervisionInterval() : 5 * baseInterval; // what is held needs finer looks than what runs
        if ((openRequests > 0 || settings.discoveryOnRequest() && !watching) && (timerDueAt < now + 0.01 || now + delay < timerDueAt)) {
            timerDueAt = now + delay;
            actions.add(new SetTimer(1, delay));
        }
        return actions;
    }

    @Override
    public int ejectedEngineCount() {
        return (int) nodes.values().stream()
                .filter(node -> node.isEjected() && node.engine.state() == EngineState.READY).count();
    }

    /** Time between looks at what is held: with many routers each holds little, and looks cost the most. */
    private double supervisionInterval() {
        return allLimitsShared ? 2 * baseInterval : baseInterval;
    }

    void handle(Event event) {
        if (event instanceof Request request) {
            handleRequest(request);
        } else if (event instanceof AttemptEnded x) {
            handleEnded(x);
        } else if (event instanceof AttemptNote x) {
            handleNote(x);
        } else if (event instanceof EngineList l) {
            handleEngineList(l);
        } else if (event instanceof ClientLeft l) {
            close(queries.get(l.id()));
        } else if (event instanceof PeerMessage t) {
            peerAttempts.receive(t, nodesByTag, settings, now, PEER_ATTEMPT_STALE_MULTIPLE);
        } else if (event instanceof SettingsChanged c) {
            applySettings(c);
        } else if (event instanceof AnswerStarted s && queries.containsKey(s.id())) {
            queries.get(s.id()).streaming = true;
        }
    }

    // ---- intake and queues -------------------------------------------------------------------------------

    /** Takes a request: its estimate, the age it already has, its type; beyond the cap it is turned away. */
    private void handleRequest(Request request) {
        if (request.requestClass() < 0 || request.requestClass() >= settings.classes().size() || queries.containsKey(request.id())) {
            return;
        }
        if (!Double.isNaN(settings.rules().retryBudgetWindow())) {
            requestsTakenAt.addLast(now);
        }
        Query query = new Query(request, settings.classes().get(request.requestClass()), settings.limits().maxAttempts(), now, nextSequence++);
        tablesKnown |= request.tableGroup() != 0; // all 0: nothing is told of tables
        query.tableTag = SchedulerState.hash16(Float.floatToIntBits((float) request.tableGroup()));
        ClassStats stats = classStats[request.requestClass() * 2];
        boolean hasEstimate = hasEstimate(request);
        query.estimatedWork = stats.workFit.predict(hasEstimate ? request.estimatedWork() : Double.NaN, query.spec.latencyTarget() / 2);
        query.band = query.estimatedWork > HEAVY_WORK_MULTIPLE * stats.workFit.predict(Double.NaN, query.estimatedWork) ? 1 : 0;
        if (hasEstimate) {
            stats.estimatedWork.add(now, request.estimatedWork());
        }
        meanOfferedWork.add(now, usualWork(stats));
        announcedShare.add(now, isWorthAnnouncing(query) ? 1 : 0);
        // a marked repeat with its patience cut began before: it keeps that age, or it would starve again
        query.agedFrom = now - (request.retry() ? Math.max(0, query.spec.deadline() - request.clientTimeout()) : 0);
        query.overShare = request.tenant() >= 0 && request.tenant() < quotas.length && quotas[request.tenant()].countAndCheckOverQuota(now);
        queries.put(request.id(), query);
        openRequests++;
        if (query.spec.orderedByKey() && request.key() != 0) {
            query.keyQueue = keyQueues.computeIfAbsent(request.key(), KeyQueue::new);
            query.keyQueue.waiting.add(query);
        }
        if (openRequests >= settings.limits().maxOpenRequests() - 1) {
            giveUp(query);
        } else {
            enqueue(query);
        }
    }

    /** Whether there is an estimate; an infinite one, once learned, would make all that is foretold NaN. */
    private static boolean hasEstimate(Request request) {
        return request.estimatedWork() > 0 && request.estimatedWork() < Double.POSITIVE_INFINITY;
    }

    /** Into the queue of its type; what can earn nothing any more is answered at once. */
    private void enqueue(Query query) {
        if (isHopeless(query)) {
            giveUp(query);
            return;
        }
        QueryQueue queue = queues[(query.classIndex * 2 + query.band) * 3 + prospect(query)];
        query.queue = queue;
        queue.queries.add(query);
    }

    /** What the query can still earn: 0 all, 1 little as its tenant is past its share, 2 late worth only. */
    private int prospect(Query query) {
        return now > latestStart(query, 1) ? 2 : query.overShare ? 1 : 0;
    }

    /**
     * When the query must start to be in time. With no margin a long queue serves every query just too
     * late, so the expected time counts twice; a fresh query keeps a part of its aim whatever its estimate
     * says, as estimates scatter.
     */
    private double latestStart(Query query, double pace) {
        double aim = targetTime(query);
        return Math.max(aim - 2 * expectedTime(query) * pace, query.agedFrom + 0.25 * (aim - query.agedFrom));
    }

    private double targetTime(Query query) {
        return query.agedFrom + query.spec.latencyTarget() + query.spec.targetStretch() * query.estimatedWork / query.spec.threads();
    }

    // ---- index and rates ---------------------------------------------------------------------------------

    /** Expected time of this query on an engine of usual pace: learned time for each unit of its estimate. */
    double expectedTime(Query query) {
        ClassStats stats = classStats[query.classIndex * 2 + query.band];
        double timePerEstimate = stats.timePerEstimate.weight > 1 ? stats.timePerEstimate.value(1) : classStats[query.classIndex * 2].timePerEstimate.value(1.3);
        return Math.max(1, timePerEstimate * query.estimatedWork / query.spec.threads());
    }

    /** The learned rate μ of a kind on an engine: one over its mean time there, leaning on its class. */
    double serviceRate(ClassStats stats, EngineNode node) {
        DecayingMean here = node.serviceTimes[stats.index];
        double fallback = stats.band == 0 ? stats.spec.latencyTarget() : HEAVY_WORK_MULTIPLE * classStats[stats.index - 1].serviceTime.value(stats.spec.latencyTarget());
        double usual = stats.serviceTime.value(fallback);
        double prior = usual * slowness(node);
        return here == null ? 1 / prior : (here.weight + PRIOR_WEIGHT) / (here.sum + PRIOR_WEIGHT * prior);
    }

    /** How slow an engine is beside the usual: 1 where nothing is known. */
    private double slowness(EngineNode node) {
        return (node.slowness.sum + PRIOR_WEIGHT) / (node.slowness.weight + PRIOR_WEIGHT);
    }

    private double worth(QueryQueue queue, Query query, EngineNode node) {
        double worth = query.spec.reward() * (query.overShare ? settings.overQuotaRewardFactor() : 1);
        return queue.prospect == 2 || now > latestStart(query, slowness(node)) ? worth * query.spec.lateReward() : worth;
    }

    /**
     * γ·D·μ for each thread. A late query's cost has stopped growing, so its age counts up to the aim only:
     * else a backlog of late ones goes before all that could still be in time, and makes them late too.
     */
    double index(QueryQueue queue, Query query, EngineNode node) {
        double age = queue.prospect == 2 ? Math.min(now - query.agedFrom, query.spec.latencyTarget() / 2) : now - query.agedFrom;
        return worth(queue, query, node) / query.spec.latencyTarget() * (age + baseInterval) * serviceRate(queue.stats, node) / query.spec.threads();
    }

    // ---- thread bound ------------------------------------------------------------------------------------

    double cores(Engine engine) {
        List<Double> coresByKind = settings.engineTraits().coresByKind();
        double cores = engine.kind() < coresByKind.size() ? coresByKind.get(engine.kind()) : 0;
        return cores > 0 ? cores : 4;
    }

    /**
     * The bound of a new engine: its own where this router's part of it is a thread or more. A smaller part
     * says nothing of one engine (room for one query each would be room for all), so parts are pooled.
     */
    private ConcurrencyLimit limitFor(Engine engine) {
        double coresPerRouter = cores(engine) / settings.routers(), mostThreads = 1;
        for (ClassStats stats : classStats) { // a bound that one wide query fills holds all behind it
            mostThreads = Math.max(mostThreads, stats.spec.threads());
        }
        if (coresPerRouter >= mostThreads) {
            return new ConcurrencyLimit(settings.classes().size(), STATS_SPAN_MS / 4, coresPerRouter);
        }
        sharedLimit = sharedLimit != null ? sharedLimit : new ConcurrencyLimit(settings.classes().size(), STATS_SPAN_MS / 2, mostThreads);
        sharedLimit.ensureClasses(settings.classes().size());
        return sharedLimit;
    }

    /**
     * Room is half the threads of a query: asked for all of them, narrow queries would starve wide ones. A
     * shunned engine gets one query at a time; what hangs there since before may never end and must not keep
     * it shunned. What may not run twice is tried later: it would be lost.
     */
    boolean hasRoom(EngineNode node, ClassStats stats) {
        if (!node.isEjected()) {
            boolean full = freshReportedLoad(node) > FULL_LOAD_PER_CORE && !node.outstanding.isEmpty();
            return node.limit == sharedLimit && hasRoomBeyondSharedLimit(node) || !full && hasRoom(node.limit, stats);
        }
        return now >= node.retryAt + (stats.spec.idempotency() == Idempotency.SAFE ? 0 : node.backoff)
                && node.outstanding.stream().noneMatch(attempt -> attempt.sentAt > node.ejectedAt);
    }

    /**
     * Under a broad pool what is stuck at full engines must not keep idle ones idle, nor go on filling them:
     * a fresh report tells whether there is room, and at a cold engine the cold guard is the bound.
     */
    boolean hasRoomBeyondSharedLimit(EngineNode node) {
        return sharedLimit.threads < 2 * sharedLimit.maxThreads && (isCold(node) && hasBroadSharedLimit(node) || freshReportedLoad(node) < ROOMY_LOAD_PER_CORE);
    }

    private boolean hasBroadSharedLimit(EngineNode node) {
        return node.limit == sharedLimit && sharedLimit.maxThreads >= BROAD_LIMIT_THREADS && !node.isEjected();
    }

    /** What a fresh report tells of an engine under a broad pool; else no number, neither little nor much. */
    private double freshReportedLoad(EngineNode node) {
        return hasBroadSharedLimit(node) && !Double.isNaN(node.reportedLoad) && node.reportedAt > now - REPORT_FADE_MS ? estimatedLoad(node) : Double.NaN;
    }

    /**
     * Parts that others leave idle may be used: a pooled bound is wider while the fleet holds less. It is a
     * few threads, so one or two long queries fill it for seconds: against a class of larger γμ they count
     * less, else what is shortest and dearest would wait for what can't be stopped. Under an engine's own
     * bound that holds for the class of the largest γμ alone: it is the smaller part of the work.
     */
    boolean hasRoom(ConcurrencyLimit limit, ClassStats stats) {
        double used = limit.threads, spare = limit == sharedLimit && peersHeard ? IDLE_PART_MULTIPLE * (limit.maxThreads - fleetThreadsPerRouter) : 0;
        boolean highest = hasHighestGammaMu(classStats[stats.classIndex * 2]);
        double lowerWeight = limit == sharedLimit && limit.maxThreads < BROAD_LIMIT_THREADS ? LOWER_THREAD_WEIGHT : highest ? LOWER_THREAD_WEIGHT_FOR_HIGHEST : 1;
        for (int other = 0; lowerWeight < 1 && other < classStats.length; other += 2) {
            used -= gammaMu(classStats[other]) < gammaMu(classStats[stats.classIndex * 2]) ? (1 - lowerWeight) * limit.threadsByClass[other / 2] : 0;
        }
        return limit.threads == 0 || used + (stats.spec.threads() + 1) / 2.0 <= limit.maxThreads
                + (highest ? Math.max(0, spare) : spare);
    }

    /** Threads out over the fleet for each router: told ones by watched engines, the others by its own. */
    private double estimateFleetThreads() {
        double peerThreads = 0, watchedCores = 0, allCores = 0;
        int unannounced = 0;
        for (EngineNode node : nodes.values()) {
            boolean ready = node.engine.state() == EngineState.READY;
            allCores += ready ? cores(node.engine) : 0;
            watchedCores += ready && node.inSubset ? cores(node.engine) : 0;
            peerThreads += ready && node.inSubset ? node.peerThreads : 0;
            for (Attempt attempt : node.outstanding) {
                unannounced += attempt.announcement < 0 ? attempt.query.spec.threads() : 0;
            }
        }
        unannouncedThreads.add(now, unannounced);
        return unannouncedThreads.value(0) + peerThreads / Math.max(1, watchedCores) * allCores / Math.max(1, settings.routers() - 1);
    }

    /** One step of the bound for one served attempt, by its stretch against the least its class has known. */
    private void adjustLimit(EngineNode node, ClassStats stats, double stretch) {
        ConcurrencyLimit limit = node.limit;
        DecayingMean logStretch = limit.logStretch[stats.classIndex];
        logStretch.add(now, Math.log(stretch));
        double level = logStretch.value(0);
        if (logStretch.weight > 3) {
            stats.bestLogStretch = stats.bestLogStretch > 9 ? level : Math.min(stats.bestLogStretch, stats.bestLogStretch + 0.1 * (level - stats.bestLogStretch));
        }
        stats.bestLogStretch += 0.0005;
        double growth = Math.exp(level - stats.bestLogStretch);
        boolean wanted = limit.threads + 2 * stats.spec.threads() > limit.maxThreads;
        if (growth > GROWN_STRETCH) {
            limit.maxThreads -= limit == sharedLimit ? SHARED_LIMIT_CUT * limit.maxThreads : 0.5;
        } else if (wanted && allClassesNearBest(limit)) {
            double gain = limit == sharedLimit && settings.engineTraits().reportsWork() ? SHARED_LIMIT_GAIN : 1;
            limit.maxThreads += gain * stats.spec.threads() / Math.max(1, limit.maxThreads);
        }
        double cores = limit == sharedLimit ? sharedCores : cores(node.engine); // its part of a thread a core overfills nothing
        limit.maxThreads = Math.max(Math.max(1, cores / settings.routers()), Math.min(limit.maxThreads, 4 * cores));
    }

    boolean isCold(EngineNode node) {
        return node.engine.startedAt() > 0 && now - node.engine.startedAt() <= settings.rules().coldPeriod();
    }

    /**
     * The pooled bound goes with the cores that can work now: engines that drain, are silent or still warm up
     * take their part of it with them, else what they held would be sent to the rest on top of theirs.
     */
    private void rescaleSharedLimit() {
        double cores = 0;
        for (EngineNode node : nodes.values()) {
            double warmedPart = (now - node.engine.startedAt()) / settings.rules().coldPeriod(), coldShare = settings.rules().coldCapacityShare();
            cores += node.limit != sharedLimit || node.engine.state() != EngineState.READY || node.isEjected() ? 0
                    : cores(node.engine) * (isCold(node) ? coldShare + (1 - coldShare) * Math.max(0, warmedPart) : 1);
        }
        if (sharedLimit != null && cores > 0) {
            double coresPerRouter = cores / settings.routers();
            sharedLimit.maxThreads = sharedCores > 0 ? sharedLimit.maxThreads * cores / sharedCores : sharedLimit.maxThreads + (coresPerRouter < BROAD_LIMIT_THREADS ? 1 : BROAD_LIMIT_THREADS_PER_CORE) * coresPerRouter;
            sharedCores = cores;
        }
    }

    /** Widening asks that each class is near its best: short ones with priority feel a full engine last. */
    private boolean allClassesNearBest(ConcurrencyLimit limit) {
        for (ClassStats stats : classStats) {
            DecayingMean logStretch = limit.logStretch[stats.classIndex];
            if (stats.band == 0 && logStretch.weightAt(now) > 0.1 && logStretch.value(0) - stats.bestLogStretch > Math.log(NEAR_BEST_STRETCH)) {
                return false;
            }
        }
        return true;
    }

    // ---- engine choice -----------------------------------------------------------------------------------

    /** What a look takes from all classes: asked for each engine and type it would be worked out anew. */
    void updateClassAggregates() {
        highestGammaMu = longestLoadTime = 0;
        smallestUsualWork = Double.MAX_VALUE;
        largestUsualWork = 1;
        for (ClassStats stats : classStats) {
            if (stats.band == 0 && !stats.dropped) {
                highestGammaMu = Math.max(highestGammaMu, gammaMu(stats));
                longestLoadTime = Math.max(longestLoadTime, stats.spec.loadsTables() ? stats.serviceTime.value(stats.spec.latencyTarget()) : 0);
                smallestUsualWork = Math.min(smallestUsualWork, usualWork(stats));
                largestUsualWork = Math.max(largestUsualWork, usualWork(stats));
            }
        }
    }

    /** Sends while some engine has room for some query: the largest index first. */
    private void dispatch() {
        updateClassAggregates();
        while (true) {
            EngineNode bestNode = null;
            Query bestQuery = null;
            double bestScore = 0;
            for (QueryQueue queue : queues) {
                Query query = null;
                if (queue.queries.isEmpty()) {
                    continue;
                }
                boolean sharedLimitFull = allLimitsShared && !hasRoom(sharedLimit, queue.stats);
                for (EngineNode node : nodes.values()) {
                    if (sharedLimitFull && !hasRoomBeyondSharedLimit(node) || !hasRoom(node, queue.stats) || node.engine.state() != EngineState.READY
                            || !coldAllowanceLeft(classStats[queue.stats.classIndex * 2], node)) {
                        continue; // what no query of the class may do is not asked of each one
                    }
                    if (query == null || !maySend(query, node) || wouldWaitForLoad(query, node)) {
                        query = firstEligible(queue, node);
                    }
                    double score = query == null ? 0 : index(queue, query, node) * preference(query, node);
                    if (score > bestScore) {
                        bestScore = score;
                        bestNode = node;
                        bestQuery = query;
                    }
                }
            }
            if (bestNode == null) {
                return;
            }
            send(bestQuery, bestNode);
        }
    }

    /** Load for each core from a report: what is held there, how busy cores and disks are, what waits. */
    private void recordReport(EngineNode node, List<Double> values) {
        List<String> fields = settings.engineTraits().reportFields();
        double load = 0;
        for (int i = 0; i < Math.min(fields.size(), values.size()); i++) {
            double value = values.get(i);
            if (!(value >= 0 && value < 1e6)) {
                return;
            }
            load += switch (fields.get(i)) {
                case "outstanding", "backlog" -> HELD_QUERY_LOAD * value / cores(node.engine);
                case "utilization", "x0", "x1" -> Math.min(value, 1.2);
                default -> 0;
            };
        }
        if (!values.isEmpty()) {
            node.reportedLoad = load;
            node.reportedAt = now;
            meanEngineLoad.add(now, load);
        }
    }

    /** What a report says of an engine now: it fades into the usual load, and our own sends come on top. */
    private double estimatedLoad(EngineNode node) {
        if (settings.limits().mayTellPeers()) { // words are newer than reports, which may be seconds late
            double load = node.inSubset ? (node.peerThreads + node.threads) / cores(node.engine) : meanEngineLoad.value(0);
            meanEngineLoad.add(now, load);
            return load;
        }
        if (Double.isNaN(node.reportedLoad)) {
            return meanEngineLoad.value(0);
        }
        double retained = Math.exp((node.reportedAt - now) / REPORT_FADE_MS), usual = meanEngineLoad.value(0);
        long sentSince = node.outstanding.stream().filter(attempt -> attempt.sentAt > node.reportedAt).count();
        return usual + (node.reportedLoad - usual) * retained + HELD_QUERY_LOAD * sentSince / cores(node.engine);
    }

    /** The oldest query of a type that may go here; only rules and held tables make it look past the head. */
    Query firstEligible(QueryQueue queue, EngineNode node) {
        for (Query query : queue.queries) {
            if (maySend(query, node) && !wouldWaitForLoad(query, node)) {
                return query;
            }
        }
        return null;
    }

    /**
     * Where a load is known to hold its tables a query waits here, not there: sent at once it would use up
     * its attempts within milliseconds, on engines just heard to be held. Late for its aim it may go.
     */
    boolean wouldWaitForLoad(Query query, EngineNode node) {
        return query.spec.waitsForLoads() && !query.spec.loadsTables() && now < latestStart(query, 1) && loadHoldsTables(query, node);
    }

    /** Among engines of like index: own zone, more free room, its tables' engines, not where it failed. */
    double preference(Query query, EngineNode node) {
        double fullThreads = node.limit == sharedLimit ? cores(node.engine) / 2 : Math.max(node.limit.maxThreads, 1);
        double factor = (1 - 0.5 * Math.min(1, node.threads / fullThreads)) * (1 + 0.01 * random.nextDouble());
        factor *= node.engine.zone() == settings.zone() ? 1 : 1 - Math.min(0.5, 2 * settings.crossZonePenalty());
        factor *= node.inSubset ? 1 : OUTSIDE_SUBSET_FACTOR;
        factor *= (loadHoldsTables(query, node) ? HELD_TABLES_FACTOR : 1) * tableAffinity(query, node);
        factor /= node.limit == sharedLimit ? 1 + estimatedLoad(node) * estimatedLoad(node) : 1; // an own bound already tells how full it is
        return query.avoidedNode == node ? factor * 0.1 : factor;
    }

    // ---- terms -------------------------------------------------------------------------------------------

    private void updateTerms(Query query) {
        EngineTraits fleet = settings.engineTraits();
        int priority = fleet.supportsPriorities() ? priority(query) : 1;
        double memory = 0;
        if (fleet.acceptsMemoryGrants() && query.request.estimatedMemory() > 0) {
            LogLinearFit memoryFit = classStats[query.classIndex * 2].memoryFit;
            memory = memoryFit.hasEnoughSamples() ? memoryFit.predict(query.request.estimatedMemory(), 0) * 1.3 : query.request.estimatedMemory() * 2.5;
        }
        if (priority != query.priority || memory != query.memoryGrant) {
            query.priority = priority;
            query.memoryGrant = memory;
            actions.add(new SetTerms(query.id, priority, memory));
        }
    }

    /** Priority by the index's own worth and rate: the class that earns most for its time goes before. */
    private int priority(Query query) {
        if (query.queue.prospect > 0 || query.band > 0) {
            return 0;
        }
        return hasHighestGammaMu(classStats[query.classIndex * 2]) ? 3 : 1;
    }

    private boolean hasHighestGammaMu(ClassStats stats) {
        return gammaMu(stats) >= highestGammaMu;
    }

    private double gammaMu(ClassStats stats) {
        return stats.spec.reward() / stats.spec.latencyTarget() / stats.serviceTime.value(stats.spec.latencyTarget());
    }

    // ---- attempts and health -----------------------------------------------------------------------------

    void send(Query query, EngineNode node) {
        updateTerms(query);
        query.queue.queries.remove(query);
        query.queue = null;
        Attempt attempt = new Attempt(query, node, query.sendCount, now, expectedTime(query));
        if (query.sendCount > 0 && !Double.isNaN(settings.rules().retryBudgetWindow())) {
            retriesSentAt.addLast(now);
        }
        query.sendCount++;
        ClassStats stats = classStats[query.classIndex * 2];
        stats.cancelCredit = Math.min(CANCEL_CREDIT_PER_SEND * 30, stats.cancelCredit + CANCEL_CREDIT_PER_SEND);
        query.attempts.add(attempt);
        node.outstanding.add(attempt);
        node.threads += query.spec.threads();
        node.limit.addThreads(query.classIndex, query.spec.threads());
        node.recordSend(now, usualWork(classStats[query.classIndex * 2]), settings.rules().overloadWindow());
        if (node.isEjected()) {
            node.retryAt = now + node.backoff;
        }
        actions.add(new SendAttempt(query.id, node.engine.id(), 0));
        announce(attempt);
    }

    // ---- words between routers ---------------------------------------------------------------------------

    /**
     * Tells those whom it concerns where an attempt starts and, in one byte, that it has ended: no router
     * sees what others' loads hold, and queries of those tables stand still behind them; nor how full engines
     * are, where each has few queries. So loads are told, and where bounds are pooled the classes that bring
     * most work in few queries. Words guide choice and room, never a rule; a lost or forged one misleads.
     */
    private void announce(Attempt attempt) {
        Query query = attempt.query;
        if (settings.limits().mayTellPeers() && (query.spec.loadsTables() || allLimitsShared && isWorthAnnouncing(query))) {
            attempt.announcement = announcementCount++ & 255;
            tellWatchers(attempt.node, PeerAttempt.encodeStart(attempt, SchedulerState.hash16(attempt.engine.id())));
        }
    }

    /** More work than the usual query: few and long, so that four bytes a query tell where the work is. */
    private boolean isWorthAnnouncing(Query query) {
        return usualWork(classStats[query.classIndex * 2]) > meanOfferedWork.value(Double.MAX_VALUE)
                && announcedShare.value(0) * settings.peerMessagePenalty() * ANNOUNCEMENT_BYTES / 256 * settings.routers()
                * Math.min(1, WATCHED_ENGINES / nodes.size()) < MAX_ANNOUNCEMENT_COST;
    }

    /**
     * Whether a router keeps an engine in its own set: by hashing, so that all know whom a word concerns.
     * Some ten each: the best of ten known ones is nearly the best of all, at a fraction of the words.
     */
    private boolean watches(int router, EngineNode node) {
        return SchedulerState.hashToUnitInterval(node.engine.id() * 31 + router) * nodes.size() < WATCHED_ENGINES;
    }

    private void tellWatchers(EngineNode node, byte[] text) {
        for (int router = 0; router < settings.routers(); router++) {
            if (router != settings.routerIndex() && watches(router, node)) {
                actions.add(new TellPeers(router, text));
            }
        }
    }

    /** Whether a load holds the tables of this query on that engine, as far as is known. */
    private boolean loadHoldsTables(Query query, EngineNode node) {
        return (query.spec.loadsTables() || query.spec.waitsForLoads()) && (node.hasTablesHeldSince(query.tableTag, now - LOAD_NOTE_LIFETIME * longestLoadTime)
                || node.peerAttempts.stream().anyMatch(peerAttempt -> peerAttempt.tableTag == query.tableTag)
                || node.outstanding.stream().anyMatch(attempt -> attempt.query.spec.loadsTables() && attempt.query.tableTag == query.tableTag));
    }

    /**
     * Rendezvous hashing: all routers see the engines in one order for each group of tables. Its queries lean
     * to one end, so that engines keep its tables warm for all routers. Where there are loads, only these do,
     * and those that wait for them lean to the other end, so that few meet before any word has come.
     * For warmth it gives way while engines are cold or shunned: the rest must share.
     */
    private double tableAffinity(Query query, EngineNode node) {
        double position = SchedulerState.hashToUnitInterval((long) query.tableTag << 48 ^ node.engine.id());
        boolean separate = settings.classes().stream().anyMatch(ClassSpec::loadsTables) && !query.spec.loadsTables();
        double affinity = TABLE_AFFINITY * (separate || query.spec.loadsTables() ? 1 : warmEngineShare * warmEngineShare);
        return !tablesKnown || separate && !query.spec.waitsForLoads() ? 1 : 1 - affinity * (separate ? 1 - position : position);
    }

    private void handleEnded(AttemptEnded end) {
        Query query = queries.get(end.id());
        if (query == null || end.attempt() < 0 || end.attempt() >= query.attempts.size()
                || query.attempts.get(end.attempt()).outcome != null) {
            return;
        }
        Attempt attempt = query.attempts.get(end.attempt());
        attempt.outcome = end.outcome();
        attempt.node.outstanding.remove(attempt);
        attempt.node.threads -= query.spec.threads();
        attempt.node.limit.addThreads(query.classIndex, -query.spec.threads());
        if (attempt.announcement >= 0) {
            tellWatchers(attempt.node, new byte[] {(byte) attempt.announcement});
        }
        if (attempt.node.isGone() && attempt.node.outstanding.isEmpty()) {
            nodes.remove(attempt.node.engine.id(), attempt.node);
        }
        recordOutcome(attempt, end);
        recordReport(attempt.node, end.engineReport());
        if (query.keyQueue != null && attempt.mayHaveRun() && end.outcome() != Outcome.OK) {
            query.keyQueue.blockUntil(query, now + settings.rules().settlePeriod());
        }
        if (end.requestOver()) {
            close(query);
        } else if (!query.over && query.queue == null && query.runningAttempts() == 0) {
            requeueOrGiveUp(query, attempt);
        }
        removeIfFinished(query);
    }

    /** After an attempt that did not serve: back into its queue, or the final answer where no try is left. */
    private void requeueOrGiveUp(Query query, Attempt attempt) {
        query.avoidedNode = attempt.node;
        if (attempt.outcome == Outcome.TIMEOUT && now >= query.deadline - baseInterval || query.sendCount >= query.maxAttempts || query.streaming
                || !mayRepeat(query, null)) {
            giveUp(query);
        } else {
            enqueue(query);
        }
    }

    /**
     * After a stall of this router all that ended meanwhile is found at once, and the time told holds the
     * stall: taken as the engines' time it would cut bounds and rates. It tells only that the engine answers.
     */
    private void recordOutcome(Attempt attempt, AttemptEnded end) {
        EngineNode node = attempt.node;
        ClassStats stats = classStats[attempt.query.classIndex * 2 + attempt.query.band];
        if (stalled && end.outcome() == Outcome.OK || attempt.waitedForLoad) {
            node.lastHeardAt = end.outcome() == Outcome.OK ? now : node.lastHeardAt;
            return;
        }
        if (end.outcome() == Outcome.OK || end.outcome() == Outcome.TIMEOUT) {
            double took = Math.max(end.latency(), 0.1);
            stats.serviceTime.add(now, took);
            node.recordServiceTime(stats.index, now, took);
        }
        if (end.outcome() == Outcome.OK) {
            recordSuccess(attempt, end, stats);
        } else if (end.outcome() == Outcome.FULL) {
            node.limit.maxThreads = Math.max(1, node.limit.maxThreads * 0.8);
            node.failures.add(now, 0.5);
        } else if (end.outcome() == Outcome.TIMEOUT || end.outcome() == Outcome.CANCELLED) {
            if (node.lastHeardAt <= attempt.sentAt) { // it answered nothing all the while: silence, not a bad plan
                node.failures.add(now, 1);
                ejectIfFailing(node);
            }
        } else if (end.outcome() != Outcome.MOOT) {
            node.lastHeardAt = now;
            node.failures.add(now, 1);
            ejectIfFailing(node);
        }
    }

    private void recordSuccess(Attempt attempt, AttemptEnded end, ClassStats stats) {
        EngineNode node = attempt.node;
        Query query = attempt.query;
        node.lastHeardAt = now;
        node.failures.add(now, 0);
        node.ejectedAt = -1;
        node.backoff = 0;
        double took = Math.max(end.latency(), 0.1);
        boolean workReported = end.reportedWork() > 0;
        if (workReported) {
            classStats[query.classIndex * 2].reportedWork.add(now, end.reportedWork());
            if (query.request.estimatedMemory() > 0 && end.reportedMemory() > 0) {
                classStats[query.classIndex * 2].memoryFit.add(now, query.request.estimatedMemory(), end.reportedMemory());
            }
        }
        classStats[query.classIndex * 2].workFit.add(now, hasEstimate(query.request) ? query.request.estimatedWork() : 1,
                workReported ? end.reportedWork() : took * query.spec.threads());
        double timePerEstimate = took * query.spec.threads() / Math.max(1, query.estimatedWork);
        double usual = attempt.expectedTime * query.spec.threads() / Math.max(1, query.estimatedWork);
        stats.timePerEstimate.add(now, Math.min(timePerEstimate, usual * MIN_STRAGGLER_MULTIPLE));
        stats.logDeviation.add(now, Math.abs(Math.log(took / attempt.expectedTime)));
        node.slowness.add(now, Math.min(took / attempt.expectedTime, 10));
        adjustLimit(node, classStats[query.classIndex * 2], took * query.spec.threads() / Math.max(1, workReported ? end.reportedWork() : query.estimatedWork));
    }

    /** Engines that fail far more than their peers are shunned for a while, whatever the reason. */
    private void ejectIfFailing(EngineNode node) {
        double[] failureRates = nodes.values().stream().mapToDouble(other -> other.failures.value(0)).sorted().toArray();
        double usual = failureRates[failureRates.length / 2];
        if (node.failures.weight > 1.5 && node.failures.value(0) > 0.25 + usual) {
            eject(node);
        }
    }

    private void eject(EngineNode node) {
        long ejected = nodes.values().stream().filter(other -> other != node && other.isEjected()).count();
        if (2 * (ejected + 1) > nodes.size()) {
            return;
        }
        node.backoff = Math.min(8000, Math.max(1000, node.backoff * 2));
        node.retryAt = now + node.backoff;
        node.ejectedAt = now;
    }

    /** Looks at what is out: silent engines, and attempts far beyond what their query should take. */
    void supervise() {
        if (now >= nextPeerExpiryAt) {
            nextPeerExpiryAt = now + 1000;
            peerAttempts.expire(now);
        }
        rescaleSharedLimit();
        peersHeard = settings.limits().mayTellPeers() && now > startedAt + STATS_SPAN_MS / 4; // at first nothing has been heard
        fleetThreadsPerRouter = allLimitsShared && peersHeard ? estimateFleetThreads() : 0;
        warmEngineShare = nodes.values().stream().mapToDouble(node -> isCold(node) || node.isEjected() ? 0 : 1).average().orElse(1);
        List<EngineNode> busy = nodes.values().stream().filter(node -> !node.outstanding.isEmpty()).toList();
        double[] missed = busy.stream().mapToDouble(node -> missedFinishes(node)).sorted().toArray();
        int middle = missed.length - 1 - nodes.size() / 2; // idle engines are silent for nothing
        double usual = middle < 0 ? 0 : missed[middle];
        for (EngineNode node : busy) {
            double oldestSentAt = node.outstanding.stream().mapToDouble(attempt -> attempt.sentAt).min().orElse(now);
            boolean silent = missedFinishes(node) > SILENCE_MISSED_FINISHES + 2 * usual
                    && now - Math.max(oldestSentAt, node.lastHeardAt) > settings.engineTraits().noteInterval();
            if (silent && !node.isEjected()) {
                eject(node);
            }
            for (Attempt attempt : new ArrayList<>(node.outstanding)) {
                boolean unanswered = node.isEjected() && silent && now - attempt.sentAt > attempt.expectedTime;
                if (unanswered || isStraggler(attempt)) {
                    cancelForRetry(attempt, classStats[attempt.query.classIndex * 2].cancelCredit, unanswered ? Scheduler.CancelReason.ENGINE_SILENT : Scheduler.CancelReason.STRAGGLER);
                }
            }
        }
    }

    /** Finishes that were due at an engine since it was last heard; one attempt alone counts only so much. */
    private double missedFinishes(EngineNode node) {
        double sum = 0;
        for (Attempt attempt : node.outstanding) {
            sum += Math.min(SILENCE_MISSED_FINISHES / 2, (now - Math.max(attempt.sentAt, node.lastHeardAt)) / attempt.expectedTime);
        }
        return sum;
    }

    private boolean isStraggler(Attempt attempt) {
        ClassStats stats = classStats[attempt.query.classIndex * 2 + attempt.query.band];
        double deviations = settings.engineTraits().noteInterval() > 0 ? 2.5 : 1.4; // notes tell more surely than time
        double deviation = Math.exp(deviations * 1.25 * stats.logDeviation.value(0.5)); // mean to standard
        double limit = Math.max(MIN_STRAGGLER_MULTIPLE, Math.min(MAX_STRAGGLER_MULTIPLE, deviation));
        // pooled, a router knows too little of one engine to excuse an attempt by the engine's pace
        double slowness = attempt.node.limit == sharedLimit ? 1 : Math.max(1, slowness(attempt.node));
        return now - attempt.sentAt > limit * attempt.expectedTime * slowness + 2 * baseInterval;
    }

    /** Cancels an attempt for a resend, where the rules let it be sent again and the time left allows it. */
    private void cancelForRetry(Attempt attempt, double credit, Scheduler.CancelReason reason) {
        Query query = attempt.query;
        boolean useful = now + expectedTime(query) < query.deadline;
        if (attempt.cancelled || query.over || query.streaming || !settings.limits().mayCancel() || !useful || credit < 1
                || query.sendCount >= query.maxAttempts || query.spec.idempotency() != Idempotency.SAFE || !retryBudgetAllows(pendingRetries())) {
            return;
        }
        classStats[query.classIndex * 2].cancelCredit = Math.max(0, credit - 1);
        attempt.cancelled = true;
        actions.add(new CancelAttempt(query.id, attempt.number, reason));
    }

    /** Further attempts due already: work cut for one that the budget then forbids is thrown away. */
    private long pendingRetries() {
        return Double.isNaN(settings.rules().retryBudgetWindow()) ? 0 : queries.values().stream().filter(query -> !query.over
                && query.sendCount > 0 && (query.queue != null || query.attempts.get(query.sendCount - 1).cancelled)).count();
    }

    /**
     * A note that a query stands still behind a load tells what no router sees of the others' loads: those
     * tables are held there. It has done nothing yet, so it goes elsewhere while it can be in time.
     */
    private void handleNote(AttemptNote note) {
        Query query = queries.get(note.id());
        if (query == null || note.attempt() < 0 || note.attempt() >= query.attempts.size()) {
            return;
        }
        Attempt attempt = query.attempts.get(note.attempt());
        if (note.kind() == NoteKind.WAIT && note.value() == WAIT_NOTE_FOR_LOAD && attempt.outcome == null) {
            attempt.node.lastHeardAt = Math.max(attempt.node.lastHeardAt, now - baseInterval);
            attempt.node.tablesHeldAt.put(query.tableTag, now);
            attempt.waitedForLoad = true;
            cancelForRetry(attempt, 1, Scheduler.CancelReason.WAITS_FOR_LOAD);
        } else if (note.value() > 0 && note.kind() == NoteKind.PROGRESS) {
            attempt.node.lastHeardAt = Math.max(attempt.node.lastHeardAt, now - baseInterval);
            double projectedTime = (now - attempt.sentAt) / Math.min(1, note.value());
            if (projectedTime > 4 * attempt.expectedTime * Math.max(1, slowness(attempt.node)) && projectedTime - (now - attempt.sentAt) > 2 * attempt.expectedTime) {
                cancelForRetry(attempt, 1, Scheduler.CancelReason.SLOW_PROGRESS);
            }
        }
    }

    // ---- the list of engines -----------------------------------------------------------------------------

    private void handleEngineList(EngineList list) {
        if (list.kind() == ListKind.FAILED) {
            watching = false;
            watchRetryDelay = Math.min(watchRetryDelay * 2, settings.rules().discoveryInterval() / 2);
            nextWatchAt = now + watchRetryDelay * (0.5 + random.nextDouble());
            return;
        }
        if (list.kind() != ListKind.DELTA) {
            List<Long> listedIds = new ArrayList<>();
            list.engines().forEach(engine -> listedIds.add(engine.id()));
            for (EngineNode node : new ArrayList<>(nodes.values())) {
                if (!listedIds.contains(node.engine.id())) {
                    updateNode(node.engine.withStateGone());
                }
            }
        }
        for (Engine engine : list.engines()) {
            updateNode(engine);
        }
        chooseSubset();
        rescaleSharedLimit();
    }

    /**
     * Deterministic subsetting, where bounds are pooled: a router with few queries can't know all engines,
     * and many that choose by chance jam some. By its number each takes its own few, spread evenly: half of
     * its zone, half of the others, since traffic need not come where the engines are.
     */
    private void chooseSubset() {
        nodesByTag.clear();
        nodes.values().forEach(node -> nodesByTag.put(SchedulerState.hash16(node.engine.id()), node));
        allLimitsShared = sharedLimit != null && nodes.values().stream().allMatch(node -> node.limit == sharedLimit);
        if (settings.limits().mayTellPeers()) {
            nodes.values().forEach(node -> node.inSubset = node.limit != sharedLimit || watches(settings.routerIndex(), node));
            return;
        }
        for (boolean ownZone : new boolean[] {true, false}) {
            List<EngineNode> side = new ArrayList<>();
            for (EngineNode node : nodes.values()) {
                if (ownZone == (node.engine.zone() == settings.zone()) && node.engine.state() == EngineState.READY) {
                    side.add(node);
                }
                node.inSubset = ownZone ? node.limit != sharedLimit : node.inSubset;
            }
            side.sort(java.util.Comparator.comparingLong(node -> node.engine.id()));
            for (int i = 0; i < Math.min(SUBSET_ENGINES_PER_SIDE, side.size()); i++) {
                side.get((int) (((long) settings.routerIndex() * SUBSET_ENGINES_PER_SIDE + i) % side.size())).inSubset = true;
            }
        }
    }

    private void updateNode(Engine engine) {
        EngineNode node = nodes.get(engine.id());
        if (node == null) {
            if (engine.state() == EngineState.GONE) {
                return;
            }
            node = new EngineNode(engine, classStats.length, STATS_SPAN_MS, limitFor(engine));
            nodes.put(engine.id(), node);
        }
        boolean restarted = engine.startedAt() > node.engine.startedAt();
        node.engine = engine;
        if (restarted) {
            node.resetAfterRestart(now);
            if (node.limit != sharedLimit) {
                node.limit.maxThreads = Math.max(1, cores(engine) / settings.routers() * settings.rules().coldCapacityShare());
            }
        }
        if (engine.state() == EngineState.GONE && node.outstanding.isEmpty()) {
            nodes.remove(engine.id());
        }
    }

    // ---- rule guards -------------------------------------------------------------------------------------

    /** The one place that says whether this query may be sent to this engine now. Every send passes here. */
    boolean maySend(Query query, EngineNode node) {
        return !query.over && !query.streaming && node.engine.state() == EngineState.READY && now < query.deadline
                && query.sendCount < query.maxAttempts && isAllowedPlace(query, node) && mayRepeat(query, node)
                && (query.runningAttempts() == 0 || settings.limits().mayRunConcurrentAttempts()) && isFirstOfKey(query)
                && (query.sendCount == 0 || retryBudgetAllows(0)) && coldAllowanceLeft(classStats[query.classIndex * 2], node);
    }

    boolean isAllowedPlace(Query query, EngineNode node) {
        return (query.spec.allowedZones() == null || query.spec.allowedZones().contains(node.engine.zone()))
                && (query.spec.allowedEngineKinds() == null || query.spec.allowedEngineKinds().contains(node.engine.kind()));
    }

    /** Unsafe: only after proof that nothing ran. Keyed: within group and time of what may have run. */
    boolean mayRepeat(Query query, EngineNode node) {
        return query.spec.idempotency() == Idempotency.SAFE || query.attempts.stream().noneMatch(attempt -> attempt.mayHaveRun()
                && (query.spec.idempotency() == Idempotency.UNSAFE || now - attempt.sentAt > query.spec.deduplicationWindow() - baseInterval
                || node != null && !sameGroup(query.spec, attempt.engine, node.engine)));
    }

    private static boolean sameGroup(ClassSpec spec, Engine a, Engine b) {
        return spec.deduplicationScope() == DeduplicationScope.ALL
                || (spec.deduplicationScope() == DeduplicationScope.ZONE ? a.zone() == b.zone() : a.cell() == b.cell());
    }

    /** Order: first of its key's line, or the line's rest after a doubtful end is over. */
    boolean isFirstOfKey(Query query) {
        return query.keyQueue == null || query.keyQueue.waiting.get(0) == query && (now >= query.keyQueue.blockedUntil || query.keyQueue.doubtful == query);
    }

    /** Budget on further attempts in the window that ends now, beside those promised already. */
    boolean retryBudgetAllows(long pending) {
        Rules rules = settings.rules();
        if (Double.isNaN(rules.retryBudgetWindow())) {
            return true;
        }
        retriesSentAt.removeIf(time -> time < now - rules.retryBudgetWindow() - settings.tick());
        requestsTakenAt.removeIf(time -> time < now - rules.retryBudgetWindow() + settings.tick());
        return retriesSentAt.size() + pending + 1 <= rules.retryBudgetBase() + rules.retryBudgetRatio() * requestsTakenAt.size();
    }

    /**
     * Cold engines: what makes one fall, over the stated span, is the fleet's. An even part of it is soon
     * below the heaviest query, which then finds no cold engine until it is warm. So each cold engine has
     * hosts, by number and its id: as many routers as can send it a heaviest query each. Where an even part
     * is below the lightest, hosts would see too few queries: routers take turns, by number and by the
     * engine's start, a few each span. A span touches two turns, so each has half of it.
     */
    boolean coldAllowanceLeft(ClassStats stats, EngineNode node) {
        Rules rules = settings.rules();
        double upFor = now - node.engine.startedAt();
        if (!isCold(node) || rules.overloadWindow() <= 0) {
            return true;
        }
        double allowance = COLD_ALLOWANCE_USED * rules.overloadMultiple() * rules.coldCapacityShare() * 0.85 * cores(node.engine) * rules.overloadWindow();
        double hosts = Math.max(1, Math.min(settings.routers(), Math.floor(allowance / largestUsualWork)));
        long place = settings.routerIndex() + (long) (SchedulerState.hashToUnitInterval(node.engine.id()) * settings.routers());
        if (settings.routers() > 2 * ROUTERS_PER_COLD_TURN && allowance / settings.routers() < smallestUsualWork) {
            place = settings.routerIndex() - (long) Math.floor(upFor / rules.overloadWindow()) * ROUTERS_PER_COLD_TURN;
            hosts = ROUTERS_PER_COLD_TURN;
            allowance /= 2;
        }
        return Math.floorMod(place, (long) settings.routers()) < hosts
                && node.recentWork(now, rules.overloadWindow()) + usualWork(stats) <= allowance / hosts;
    }

    /** The usual work of a class as the cold guard counts it: told, else estimated, else the time it held. */
    double usualWork(ClassStats stats) {
        return Math.max(stats.reportedWork.value(0), stats.estimatedWork.value(stats.serviceTime.value(stats.spec.latencyTarget()) * stats.spec.threads()));
    }

    // ---- answers -----------------------------------------------------------------------------------------

    /** Gives up held queries that can earn nothing any more, and moves late ones among the late. */
    void expireHeldQueries() {
        keyQueues.values().removeIf(keyQueue -> keyQueue.waiting.isEmpty() && now >= keyQueue.blockedUntil);
        for (QueryQueue queue : queues) {
            for (Query query : new ArrayList<>(queue.queries)) {
                if (isHopeless(query)) {
                    giveUp(query);
                } else if (queue.prospect != 2 && prospect(query) == 2) {
                    queue.queries.remove(query);
                    enqueue(query);
                }
            }
        }
    }

    /** It can't finish before its deadline, or only too late where that earns nothing, or may not be sent. */
    private boolean isHopeless(Query query) {
        return now + Math.max(supervisionInterval() + baseInterval, 0.7 * expectedTime(query)) > query.deadline
                || query.spec.lateReward() <= 0 && prospect(query) == 2 || query.sendCount > 0 && !mayRepeat(query, null);
    }

    /** The final answer of a query that is given up, at once: refused where that is true, else failed. */
    private void giveUp(Query query) {
        boolean safeToRetry = query.spec.idempotency() == Idempotency.SAFE
                || query.spec.idempotency() == Idempotency.KEYED && query.spec.deduplicationScope() == DeduplicationScope.ALL
                || query.attempts.stream().noneMatch(Attempt::mayHaveRun);
        actions.add(safeToRetry ? new RefuseRequest(query.id, settings.limits().mayGiveRetryAfter() ? settings.limits().maxRetryAfter() : 0)
                : new FailRequest(query.id));
        close(query);
    }

    private void close(Query query) {
        if (query == null || query.over) {
            return;
        }
        query.over = true;
        openRequests--;
        if (query.queue != null) {
            query.queue.queries.remove(query);
            query.queue = null;
        }
        for (Attempt attempt : query.attempts) {
            if (attempt.outcome == null && !attempt.cancelled && settings.limits().mayCancel() && !query.streaming) {
                attempt.cancelled = true;
                actions.add(new CancelAttempt(query.id, attempt.number, Scheduler.CancelReason.REQUEST_OVER));
            }
        }
        removeIfFinished(query);
    }

    /** Drops a query once it is over and nothing of it is out; only then does its key's turn pass. */
    private void removeIfFinished(Query query) {
        if (!query.over || query.runningAttempts() > 0) {
            return;
        }
        queries.remove(query.id);
        if (query.keyQueue != null) {
            query.keyQueue.waiting.remove(query);
        }
    }
}
