package quincespar.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import quincespar.decision.SchedulerState.*;

/**
 * Makes every decision of one router by D-Gcμ, the generalized c-mu rule with deadlines. Settings, events
 * and actions are declared in {@link Scheduler}. The sections stand in this order: request intake and queues,
 * index and rates, concurrency limits, choice of the engine, terms of an attempt, attempts and engine health,
 * the list of engines, rule guards, final answers. Time comes with the events, and the same events give the
 * same actions. Not thread-safe.
 */
public final class GcMuScheduler implements Scheduler {
    /** Time constant of the decaying means, in ms; given by the design page. */
    private static final double STATS_SPAN_MS = 10_000;
    /**
     * Weight, in samples, of the class-wide value against an engine's own: a rate of fewer is mostly noise.
     */
    private static final double PRIOR_WEIGHT = 4;
    /**
     * A query predicted to need this multiple of its class's usual work counts as heavy and is queued apart.
     */
    private static final double HEAVY_WORK_MULTIPLE = 4;
    /** The limit grows only while latency is below this multiple of the best seen. */
    private static final double NEAR_BEST_STRETCH = 1.25;
    /** The limit is cut while latency is above this multiple of the best seen. */
    private static final double GROWN_STRETCH = 1.6;
    /** Factor on the growth of the shared limit where engines report their work. */
    private static final double SHARED_LIMIT_GAIN = 0.5;
    /** Share by which the shared limit is cut in one step. */
    private static final double SHARED_LIMIT_CUT = 0.06;
    /** Share of the cold allowance that is used: engines differ by some tenths and work is only estimated. */
    private static final double COLD_ALLOWANCE_USED = 0.7;
    /** Expected finishes that an engine misses in a row before it counts as silent: probability e^-6. */
    private static final double SILENCE_MISSED_FINISHES = 6;
    /**
     * Least multiple of its expected time at which an attempt is a straggler (a bad plan); scatter may raise
     * it.
     */
    private static final double MIN_STRAGGLER_MULTIPLE = 3;
    /** Multiple of its expected time from which an attempt is a straggler however much times scatter. */
    private static final double MAX_STRAGGLER_MULTIPLE = 8;
    /** Share of a class's sends that may be cancelled as stragglers: a larger share is load, not bad luck. */
    private static final double CANCEL_CREDIT_PER_SEND = 0.15;
    /**
     * Engines of the own zone, and as many of other zones, in a router's subset: few, so that each reports
     * often.
     */
    private static final int SUBSET_ENGINES_PER_SIDE = 4;
    /** Factor on engines outside the subset: too little is known of them, so they would pass for average. */
    private static final double OUTSIDE_SUBSET_FACTOR = 0.6;
    /** Factor on the index where a load holds the query's tables: the query would wait there. */
    private static final double HELD_TABLES_FACTOR = 0.1;
    /**
     * Part of a load's usual time for which a reported load is taken to continue: it began before the note.
     */
    private static final double LOAD_NOTE_LIFETIME = 0.1;
    /** Value of a WAIT note where the query waits for a load. */
    private static final double WAIT_NOTE_FOR_LOAD = 2;
    /** Part of the index lost from a table group's best to its worst engine: less than one core's load. */
    private static final double TABLE_AFFINITY = 0.5;
    /**
     * Multiple of the mean idle part that a router may use on top: the fleet stays near its limit if a third
     * do.
     */
    private static final double IDLE_PART_MULTIPLE = 3;
    /**
     * What a thread of a class of lower γμ counts against a class, under a shared limit that is not broad.
     */
    private static final double LOWER_THREAD_WEIGHT = 0.25;
    /** What such a thread counts against the class of the highest γμ under any other limit. */
    private static final double LOWER_THREAD_WEIGHT_FOR_HIGHEST = 0.5;
    /** Reported load per core below which an engine has room. */
    private static final double ROOMY_LOAD_PER_CORE = 2.8;
    /** Reported load per core above which an engine has no room. */
    private static final double FULL_LOAD_PER_CORE = 3.6;
    /**
     * Weight of a held query in the load: an engine that is out of memory holds many and does little work.
     */
    private static final double HELD_QUERY_LOAD = 2;
    /** Threads from which a shared limit is broad: a few queries do not fill it. */
    private static final double BROAD_LIMIT_THREADS = 12;
    /** Threads per core at which a broad shared limit starts. */
    private static final double BROAD_LIMIT_THREADS_PER_CORE = 1.5;
    /** Engines that a router watches, on average. */
    private static final double WATCHED_ENGINES = 10;
    /** Share of the service that messages between routers may cost at most. */
    private static final double MAX_ANNOUNCEMENT_COST = 0.02;
    /** Bytes charged for the two messages, of start and end, of one attempt. */
    private static final double ANNOUNCEMENT_BYTES = 40;
    /**
     * A peer's attempt is dropped after this multiple of its announced time: the message of its end may be
     * lost.
     */
    private static final double PEER_ATTEMPT_STALE_MULTIPLE = 3;
    /** Time within which an engine's report fades, in ms: short queries have finished by then. */
    private static final double REPORT_FADE_MS = 2000;
    /** Checks of queued queries within the shortest latency target. */
    private static final int CHECKS_PER_TARGET = 40;
    /** Base intervals between checks while no query is queued: running queries need fewer checks. */
    private static final int RUNNING_CHECK_INTERVALS = 5;
    /** Base intervals by which a timer must be late to count as a stall of this router. */
    static final int STALL_INTERVALS = 3;
    /** Share of its target within which a query counts as in time whatever its estimate says. */
    private static final double FRESH_TARGET_SHARE = 0.25;
    /** Time per unit of estimated work until it is learned. */
    private static final double DEFAULT_TIME_PER_ESTIMATE = 1.3;
    /** Cores of an engine where they are not told. */
    private static final int DEFAULT_CORES = 4;
    /** Part of the way to a lower log stretch that the best one takes in a step. */
    private static final double BEST_STRETCH_GAIN = 0.1;
    /** Rise of the best log stretch in a step. */
    private static final double BEST_STRETCH_DRIFT = 0.0005;
    /** Factor on the limit when an engine refuses an attempt because it is full. */
    private static final double FULL_LIMIT_FACTOR = 0.8;
    /** Length of the first ejection of an engine, in ms; each further one is twice as long. */
    private static final int MIN_EJECTION_MS = 1000;
    /** Length of the longest ejection of an engine, in ms. */
    private static final int MAX_EJECTION_MS = 8000;
    /** Failure rate above the median of all engines at which an engine is ejected. */
    private static final double EXCESS_FAILURE_RATE = 0.25;
    /** Weight of results, in attempts, up to which the failure rate is not judged. */
    private static final double MIN_FAILURE_WEIGHT = 1.5;
    /** Time between checks for stale peer attempts, in ms. */
    private static final int PEER_EXPIRY_INTERVAL_MS = 1000;
    /** Least capacity of a core, relative to the nominal one. */
    private static final double LEAST_CORE_CAPACITY = 0.85;
    /** Share of its expected time that a query must have left before its deadline. */
    private static final double HOPELESS_TIME_SHARE = 0.7;
    /** Factor of a memory grant on the learned need. */
    private static final double LEARNED_GRANT_MARGIN = 1.3;
    /** Factor of a memory grant on the estimated need, until that is learned. */
    private static final double ESTIMATED_GRANT_MARGIN = 2.5;
    /** Standard deviations beyond which an attempt is a straggler where engines send notes. */
    private static final double STRAGGLER_DEVIATIONS_WITH_NOTES = 2.5;
    /** Standard deviations beyond which an attempt is a straggler where they send none. */
    private static final double STRAGGLER_DEVIATIONS = 1.4;
    /** Ratio of the standard deviation to the mean absolute deviation. */
    private static final double MEAN_TO_STANDARD_DEVIATION = 1.25;
    /** Factor on the engine of the last failed attempt. */
    private static final double FAILED_ENGINE_FACTOR = 0.1;
    /** Multiple of its expected time, projected from progress, at which an attempt is too slow. */
    private static final int SLOW_PROGRESS_MULTIPLE = 4;
    /** Multiple of its expected time that a slow attempt must still need to be cancelled. */
    private static final int SLOW_REMAINDER_MULTIPLE = 2;
    /** Sends of which the credit for cancellations is kept. */
    private static final int MAX_CANCEL_CREDIT_SENDS = 30;

    final SeededRandom random;
    Settings settings;
    /** Two entries a class: its usual queries at {@code 2 * classIndex}, its heavy ones behind. */
    ClassStats[] classStats = {};
    /** Three entries for each of {@link #classStats}: one for each prospect. */
    QueryQueue[] queues = {};
    final Map<Long, Query> queries = new LinkedHashMap<>();
    final Map<Long, EngineNode> nodes = new LinkedHashMap<>();
    private final Map<Long, KeyQueue> keyQueues = new LinkedHashMap<>();
    private final ArrayDeque<Double> retriesSentAt = new ArrayDeque<>();
    private final ArrayDeque<Double> requestsTakenAt = new ArrayDeque<>();
    /** Engines by the 16 bits that name them in messages between routers. */
    private final Map<Integer, EngineNode> nodesByTag = new LinkedHashMap<>();
    private final SchedulerState.PeerAttempts peerAttempts = new SchedulerState.PeerAttempts();
    private QuotaBucket[] quotas = {};
    private final DecayingMean meanEngineLoad = new DecayingMean(STATS_SPAN_MS / 4);
    private final DecayingMean meanOfferedWork = new DecayingMean(3 * STATS_SPAN_MS);
    /** Share of requests that are worth announcing to other routers. */
    private final DecayingMean announcedShare = new DecayingMean(3 * STATS_SPAN_MS);
    private final DecayingMean unannouncedThreads = new DecayingMean(STATS_SPAN_MS / 2);
    /**
     * The limit over all engines of which this router's part is too small for a limit of their own; may be
     * null.
     */
    ConcurrencyLimit sharedLimit;
    List<Action> actions;
    /** Working cores under the shared limit; a cold engine's count in part. */
    double sharedCores;
    double now;
    double nextWatchAt;
    double watchRetryDelay;
    double nextSupervisionAt;
    double timerDueAt;
    double nextPeerExpiryAt;
    /** Estimate of the threads running over the fleet, divided by the number of routers. */
    double fleetThreadsPerRouter;
    /** Share of engines that are neither cold nor ejected. */
    double warmEngineShare;
    double startedAt = -1;
    /** Least time between two checks of queued and running queries, in ms. */
    double baseInterval;
    double highestGammaMu;
    double longestLoadTime;
    double smallestUsualWork;
    double largestUsualWork;
    private long nextSequence;
    private int openRequests;
    private int announcementCount;
    boolean watching;
    /** Whether all engines are under the shared limit. */
    boolean allLimitsShared;
    /** Whether the timer that was asked for was served late: this router was stalled. */
    boolean stalled;
    /** Whether requests name the tables that they read or write. */
    boolean tablesKnown;
    /** Whether messages of other routers are allowed and have had time to arrive. */
    boolean peersHeard;

    /** Creates the scheduler of one router; the seed is the only source of randomness. */
    public GcMuScheduler(Settings settings, long seed) {
        random = new SeededRandom(seed);
        applySettings(new SettingsChanged(settings, List.of()));
        watchRetryDelay = Math.min(1000, settings.rules().discoveryInterval() / 8);
    }

    /**
     * Applies settings. A class keeps its number and statistics, an open query the terms it was taken under.
     */
    private void applySettings(SettingsChanged changed) {
        settings = changed.settings();
        int known = classStats.length;
        int statsCount = settings.classes().size() * 2;
        classStats = Arrays.copyOf(classStats, statsCount);
        queues = Arrays.copyOf(queues, statsCount * 3);
        double shortestTarget = Double.MAX_VALUE;
        for (int i = 0; i < statsCount; i++) {
            ClassSpec spec = settings.classes().get(i / 2);
            classStats[i] = i < known ? classStats[i]
                    : new ClassStats(i / 2, i % 2, STATS_SPAN_MS, 3 * STATS_SPAN_MS, PRIOR_WEIGHT);
            classStats[i].spec = spec;
            classStats[i].dropped = changed.droppedClasses().contains(i / 2);
            shortestTarget = classStats[i].dropped
                    ? shortestTarget : Math.min(shortestTarget, spec.latencyTarget());
            for (int prospect = 0; prospect < 3 && i >= known; prospect++) {
                queues[i * 3 + prospect] = new QueryQueue(classStats[i], prospect);
            }
        }
        nodes.values().forEach(node -> node.ensureClassStats(statsCount));
        quotas = QuotaBucket.forTenants(quotas, settings.tenants());
        baseInterval = Math.max(settings.tick(), shortestTarget / CHECKS_PER_TARGET);
    }

    @Override
    public List<Action> decide(double time, List<Event> events) {
        actions = new ArrayList<>();
        stalled = timerDueAt > now && time > timerDueAt + STALL_INTERVALS * baseInterval;
        now = Math.max(now, time);
        startedAt = startedAt < 0 ? now : startedAt;
        for (Event event : events) {
            handle(event);
        }
        // asked again ever less often while that fails
        if (settings.discoveryOnRequest() && !watching && now >= nextWatchAt) {
            watching = true;
            actions.add(new WatchEngineList(true));
        }
        if (now >= nextSupervisionAt) {
            nextSupervisionAt = now + supervisionInterval();
            supervise();
            expireQueuedQueries();
        }
        dispatch();
        boolean queriesQueued = Arrays.stream(queues).anyMatch(queue -> !queue.queries.isEmpty());
        double delay = queriesQueued || !allLimitsShared ? supervisionInterval()
                : RUNNING_CHECK_INTERVALS * baseInterval;
        if ((openRequests > 0 || settings.discoveryOnRequest() && !watching)
                && (timerDueAt < now + 0.01 || now + delay < timerDueAt)) {
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

    @Override
    public int openAttemptCount() {
        return queries.values().stream().mapToInt(Query::runningAttempts).sum();
    }

    /** Time between checks of queued queries: among many routers each has few, and checks cost the most. */
    private double supervisionInterval() {
        return allLimitsShared ? 2 * baseInterval : baseInterval;
    }

    void handle(Event event) {
        if (event instanceof Request request) {
            handleRequest(request);
        } else if (event instanceof AttemptEnded end) {
            handleEnded(end);
        } else if (event instanceof AttemptNote note) {
            handleNote(note);
        } else if (event instanceof EngineList list) {
            handleEngineList(list);
        } else if (event instanceof ClientLeft left) {
            close(queries.get(left.id()));
        } else if (event instanceof PeerMessage message) {
            peerAttempts.receive(message, nodesByTag, settings, now, PEER_ATTEMPT_STALE_MULTIPLE);
        } else if (event instanceof SettingsChanged changed) {
            applySettings(changed);
        } else if (event instanceof AnswerStarted started && queries.containsKey(started.id())) {
            queries.get(started.id()).streaming = true;
        }
    }

    // ---- request intake and queues -----------------------------------------------------------------------

    /** Takes a request: determines its work, age and queue. Beyond the cap on open requests it is refused. */
    private void handleRequest(Request request) {
        if (request.requestClass() < 0 || request.requestClass() >= settings.classes().size()
                || queries.containsKey(request.id())) {
            return;
        }
        if (!Double.isNaN(settings.rules().retryBudgetWindow())) {
            requestsTakenAt.addLast(now);
        }
        Query query = new Query(request, settings.classes().get(request.requestClass()),
                settings.limits().maxAttempts(), now, nextSequence++);
        tablesKnown |= request.tableGroup() != 0; // 0 for all requests: tables are not told
        query.tableTag = SchedulerState.hash16(Float.floatToIntBits((float) request.tableGroup()));
        ClassStats stats = classStats[request.requestClass() * 2];
        boolean hasEstimate = hasEstimate(request);
        query.estimatedWork = stats.workFit.predict(hasEstimate ? request.estimatedWork() : Double.NaN,
                query.spec.latencyTarget() / 2);
        query.band = query.estimatedWork
                > HEAVY_WORK_MULTIPLE * stats.workFit.predict(Double.NaN, query.estimatedWork) ? 1 : 0;
        if (hasEstimate) {
            stats.estimatedWork.add(now, request.estimatedWork());
        }
        meanOfferedWork.add(now, usualWork(stats));
        announcedShare.add(now, isWorthAnnouncing(query) ? 1 : 0);
        // a marked retry with a shortened timeout began earlier: it keeps that age, or it would starve again
        query.agedFrom = now
                - (request.retry() ? Math.max(0, query.spec.deadline() - request.clientTimeout()) : 0);
        query.overShare = request.tenant() >= 0 && request.tenant() < quotas.length
                && quotas[request.tenant()].countAndCheckOverQuota(now);
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

    /** Whether there is an estimate; an infinite one, once learned, would turn all predictions into NaN. */
    private static boolean hasEstimate(Request request) {
        return request.estimatedWork() > 0 && request.estimatedWork() < Double.POSITIVE_INFINITY;
    }

    /** Puts a query into its queue; one that can earn nothing any more is answered at once. */
    private void enqueue(Query query) {
        if (isHopeless(query)) {
            giveUp(query);
            return;
        }
        QueryQueue queue = queues[(query.classIndex * 2 + query.band) * 3 + prospect(query)];
        query.queue = queue;
        queue.queries.add(query);
    }

    /** What the query can still earn, as one of the prospects of {@link QueryQueue}. */
    private int prospect(Query query) {
        return now > latestStart(query, 1) ? QueryQueue.LATE
                : query.overShare ? QueryQueue.OVER_SHARE : QueryQueue.IN_TIME;
    }

    /**
     * The time by which the query must start to meet its target. Without a margin a long queue serves every
     * query just too late, so the expected time counts twice; as estimates scatter, a fresh query keeps a
     * quarter of its target whatever its estimate says.
     */
    private double latestStart(Query query, double slowness) {
        double target = targetTime(query);
        return Math.max(target - 2 * expectedTime(query) * slowness,
                query.agedFrom + FRESH_TARGET_SHARE * (target - query.agedFrom));
    }

    /** The time by which the query ought to be answered. */
    private double targetTime(Query query) {
        return query.agedFrom + query.spec.latencyTarget()
                + query.spec.targetStretch() * query.estimatedWork / query.spec.threads();
    }

    // ---- index and rates ---------------------------------------------------------------------------------

    /** Expected time of a query on an engine of usual speed: the learned time per unit of estimated work. */
    double expectedTime(Query query) {
        ClassStats stats = classStats[query.classIndex * 2 + query.band];
        double timePerEstimate = stats.timePerEstimate.weight > 1 ? stats.timePerEstimate.value(1)
                : classStats[query.classIndex * 2].timePerEstimate.value(DEFAULT_TIME_PER_ESTIMATE);
        return Math.max(1, timePerEstimate * query.estimatedWork / query.spec.threads());
    }

    /**
     * The learned service rate μ on an engine: one over its mean time there, shrunk towards the class mean.
     */
    double serviceRate(ClassStats stats, EngineNode node) {
        DecayingMean here = node.serviceTimes[stats.index];
        double fallback = stats.band == 0 ? stats.spec.latencyTarget()
                : HEAVY_WORK_MULTIPLE
                        * classStats[stats.index - 1].serviceTime.value(stats.spec.latencyTarget());
        double usual = stats.serviceTime.value(fallback);
        double prior = usual * slowness(node);
        return here == null ? 1 / prior : (here.weight + PRIOR_WEIGHT) / (here.sum + PRIOR_WEIGHT * prior);
    }

    /** Service time on an engine relative to the usual one: 1 where nothing is known. */
    private double slowness(EngineNode node) {
        return (node.slowness.sum + PRIOR_WEIGHT) / (node.slowness.weight + PRIOR_WEIGHT);
    }

    /** What a query would earn if it were sent to this engine now. */
    private double reward(QueryQueue queue, Query query, EngineNode node) {
        double reward = query.spec.reward() * (query.overShare ? settings.overQuotaRewardFactor() : 1);
        return queue.prospect == QueryQueue.LATE || now > latestStart(query, slowness(node))
                ? reward * query.spec.lateReward() : reward;
    }

    /**
     * The index γ·D·μ per thread. The cost of a late query has stopped growing, so its age counts up to a
     * part of the target only: otherwise a backlog of late queries goes before all that could still be in
     * time, and makes those late too.
     */
    double index(QueryQueue queue, Query query, EngineNode node) {
        double age = queue.prospect == QueryQueue.LATE
                ? Math.min(now - query.agedFrom, query.spec.latencyTarget() / 2) : now - query.agedFrom;
        return reward(queue, query, node) / query.spec.latencyTarget() * (age + baseInterval)
                * serviceRate(queue.stats, node) / query.spec.threads();
    }

    // ---- concurrency limits ------------------------------------------------------------------------------

    /** Cores of an engine; 4 where they are not told. */
    double cores(Engine engine) {
        List<Double> coresByKind = settings.engineTraits().coresByKind();
        double cores = engine.kind() < coresByKind.size() ? coresByKind.get(engine.kind()) : 0;
        return cores > 0 ? cores : DEFAULT_CORES;
    }

    /**
     * The limit of a new engine: one of its own if this router's part of its cores suffices for the widest
     * query. A smaller part says nothing about a single engine (room for one query on each would be room on
     * all), so such parts are pooled in the shared limit.
     */
    private ConcurrencyLimit limitFor(Engine engine) {
        double coresPerRouter = cores(engine) / settings.routers();
        double mostThreads = 1;
        // a limit filled by one wide query would hold all others behind it
        for (ClassStats stats : classStats) {
            mostThreads = Math.max(mostThreads, stats.spec.threads());
        }
        if (coresPerRouter >= mostThreads) {
            return new ConcurrencyLimit(settings.classes().size(), STATS_SPAN_MS / 4, coresPerRouter);
        }
        sharedLimit = sharedLimit != null ? sharedLimit
                : new ConcurrencyLimit(settings.classes().size(), STATS_SPAN_MS / 2, mostThreads);
        sharedLimit.ensureClasses(settings.classes().size());
        return sharedLimit;
    }

    /**
     * Whether an engine has room for a query of a class. An ejected engine gets one query at a time; attempts
     * that have hung there since before the ejection may never end and must not keep it ejected. Queries that
     * are not safe to repeat are tried there later, as they would be lost.
     */
    boolean hasRoom(EngineNode node, ClassStats stats) {
        if (!node.isEjected()) {
            boolean full = freshReportedLoad(node) > FULL_LOAD_PER_CORE && !node.outstanding.isEmpty();
            return node.limit == sharedLimit && hasRoomBeyondSharedLimit(node)
                    || !full && hasRoom(node.limit, stats);
        }
        return now >= node.retryAt + (stats.spec.idempotency() == Idempotency.SAFE ? 0 : node.backoff)
                && node.outstanding.stream().noneMatch(attempt -> attempt.sentAt > node.ejectedAt);
    }

    /**
     * Whether an engine has room though the shared limit may be full. Under a broad shared limit, queries
     * stuck at full engines must neither keep idle ones idle nor let the full ones be filled further: a fresh
     * report tells whether there is room, and for a cold engine the cold allowance is the limit.
     */
    boolean hasRoomBeyondSharedLimit(EngineNode node) {
        return sharedLimit.threads < 2 * sharedLimit.maxThreads
                && (isCold(node) && hasBroadSharedLimit(node)
                || freshReportedLoad(node) < ROOMY_LOAD_PER_CORE);
    }

    private boolean hasBroadSharedLimit(EngineNode node) {
        return node.limit == sharedLimit && sharedLimit.maxThreads >= BROAD_LIMIT_THREADS
                && !node.isEjected();
    }

    /** Load per core by a fresh report of an engine under a broad shared limit; otherwise NaN. */
    private double freshReportedLoad(EngineNode node) {
        return hasBroadSharedLimit(node) && !Double.isNaN(node.reportedLoad)
                && node.reportedAt > now - REPORT_FADE_MS ? estimatedLoad(node) : Double.NaN;
    }

    /**
     * Whether a limit has room for a query of a class. Half of the query's threads must be free: if all had
     * to be, narrow queries would starve wide ones. Parts that other routers leave idle may be used, so the
     * shared limit is wider while the fleet runs less. A shared limit is a few threads, which one or two
     * long queries fill for seconds: threads of classes of lower γμ count less, or the shortest and most
     * valuable queries would wait for what can't be stopped. Under an engine's own limit this holds for the
     * class of the highest γμ only, which is the smaller part of the work.
     */
    boolean hasRoom(ConcurrencyLimit limit, ClassStats stats) {
        double used = limit.threads;
        double spare = limit == sharedLimit && peersHeard
                ? IDLE_PART_MULTIPLE * (limit.maxThreads - fleetThreadsPerRouter) : 0;
        boolean highest = hasHighestGammaMu(classStats[stats.classIndex * 2]);
        double lowerWeight = limit == sharedLimit && limit.maxThreads < BROAD_LIMIT_THREADS
                ? LOWER_THREAD_WEIGHT
                : highest ? LOWER_THREAD_WEIGHT_FOR_HIGHEST : 1;
        for (int other = 0; lowerWeight < 1 && other < classStats.length; other += 2) {
            used -= gammaMu(classStats[other]) < gammaMu(classStats[stats.classIndex * 2])
                    ? (1 - lowerWeight) * limit.threadsByClass[other / 2] : 0;
        }
        return limit.threads == 0 || used + (stats.spec.threads() + 1) / 2.0 <= limit.maxThreads
                + (highest ? Math.max(0, spare) : spare);
    }

    /**
     * Estimates the threads running over the fleet for each router: announced ones by the watched engines,
     * the others by this router's own.
     */
    private double estimateFleetThreads() {
        double peerThreads = 0;
        double watchedCores = 0;
        double allCores = 0;
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
        return unannouncedThreads.value(0)
                + peerThreads / Math.max(1, watchedCores) * allCores / Math.max(1, settings.routers() - 1);
    }

    /**
     * Adjusts the limit by one served attempt. The stretch is its time relative to its work; it is compared
     * with the least stretch that the class has known.
     */
    private void adjustLimit(EngineNode node, ClassStats stats, double stretch) {
        ConcurrencyLimit limit = node.limit;
        DecayingMean logStretch = limit.logStretch[stats.classIndex];
        logStretch.add(now, Math.log(stretch));
        double level = logStretch.value(0);
        if (logStretch.weight > 3) {
            stats.bestLogStretch = stats.bestLogStretch > 9 ? level
                    : Math.min(stats.bestLogStretch,
                            stats.bestLogStretch + BEST_STRETCH_GAIN * (level - stats.bestLogStretch));
        }
        stats.bestLogStretch += BEST_STRETCH_DRIFT;
        double growth = Math.exp(level - stats.bestLogStretch);
        boolean wanted = limit.threads + 2 * stats.spec.threads() > limit.maxThreads;
        if (growth > GROWN_STRETCH) {
            limit.maxThreads -= limit == sharedLimit ? SHARED_LIMIT_CUT * limit.maxThreads : 0.5;
        } else if (wanted && allClassesNearBest(limit)) {
            double gain = limit == sharedLimit && settings.engineTraits().reportsWork()
                    ? SHARED_LIMIT_GAIN : 1;
            limit.maxThreads += gain * stats.spec.threads() / Math.max(1, limit.maxThreads);
        }
        limit.maxThreads = Math.max(limitFloor(node), Math.min(limit.maxThreads, 4 * limitCores(node)));
    }

    /** The threads below which an engine's limit is not cut. */
    private double limitFloor(EngineNode node) {
        return ConcurrencyFloor.threads(limitCores(node) / settings.routers(), node.limit == sharedLimit);
    }

    /** The cores under an engine's limit. */
    private double limitCores(EngineNode node) {
        return node.limit == sharedLimit ? sharedCores : cores(node.engine);
    }

    boolean isCold(EngineNode node) {
        return node.engine.startedAt() > 0 && now - node.engine.startedAt() <= settings.rules().coldPeriod();
    }

    /**
     * Scales the shared limit with the cores that can work now: engines that drain, are silent or still warm
     * up take their part of it with them, or what they held would be sent to the others on top of their own
     * share.
     */
    private void rescaleSharedLimit() {
        double cores = 0;
        for (EngineNode node : nodes.values()) {
            double warmedPart = (now - node.engine.startedAt()) / settings.rules().coldPeriod();
            double coldShare = settings.rules().coldCapacityShare();
            cores += node.limit != sharedLimit || node.engine.state() != EngineState.READY
                    || node.isEjected() ? 0
                    : cores(node.engine)
                    * (isCold(node) ? coldShare + (1 - coldShare) * Math.max(0, warmedPart) : 1);
        }
        if (sharedLimit != null && cores > 0) {
            double coresPerRouter = cores / settings.routers();
            sharedLimit.maxThreads = sharedCores > 0 ? sharedLimit.maxThreads * cores / sharedCores
                    : sharedLimit.maxThreads
                    + (coresPerRouter < BROAD_LIMIT_THREADS ? 1 : BROAD_LIMIT_THREADS_PER_CORE)
                    * coresPerRouter;
            sharedCores = cores;
        }
    }

    /** Whether every class is near its best stretch: short queries with priority feel a full engine last. */
    private boolean allClassesNearBest(ConcurrencyLimit limit) {
        for (ClassStats stats : classStats) {
            DecayingMean logStretch = limit.logStretch[stats.classIndex];
            if (stats.band == 0 && logStretch.weightAt(now) > 0.1
                    && logStretch.value(0) - stats.bestLogStretch > Math.log(NEAR_BEST_STRETCH)) {
                return false;
            }
        }
        return true;
    }

    // ---- choice of the engine ----------------------------------------------------------------------------

    /** Computes what one dispatch needs over all classes, rather than for each engine and queue. */
    void updateClassAggregates() {
        highestGammaMu = longestLoadTime = 0;
        smallestUsualWork = Double.MAX_VALUE;
        largestUsualWork = 1;
        for (ClassStats stats : classStats) {
            if (stats.band == 0 && !stats.dropped) {
                highestGammaMu = Math.max(highestGammaMu, gammaMu(stats));
                longestLoadTime = Math.max(longestLoadTime,
                        stats.spec.loadsTables() ? stats.serviceTime.value(stats.spec.latencyTarget()) : 0);
                smallestUsualWork = Math.min(smallestUsualWork, usualWork(stats));
                largestUsualWork = Math.max(largestUsualWork, usualWork(stats));
            }
        }
    }

    /** Sends queries, that of the largest index first, while some engine has room for some query. */
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
                    if (sharedLimitFull && !hasRoomBeyondSharedLimit(node) || !hasRoom(node, queue.stats)
                            || node.engine.state() != EngineState.READY
                            || !coldAllowanceLeft(classStats[queue.stats.classIndex * 2], node)) {
                        continue; // what excludes the whole class is not checked again for each query
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

    /** Records the load per core by an engine's report: queries held and waiting, busy cores and disks. */
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

    /**
     * Estimates an engine's load per core: its report, fading into the mean load, and what was sent since.
     */
    private double estimatedLoad(EngineNode node) {
        // announcements are newer than reports, which may be seconds late
        if (settings.limits().mayTellPeers()) {
            double load = node.inSubset ? (node.peerThreads + node.threads) / cores(node.engine)
                    : meanEngineLoad.value(0);
            meanEngineLoad.add(now, load);
            return load;
        }
        if (Double.isNaN(node.reportedLoad)) {
            return meanEngineLoad.value(0);
        }
        double retained = Math.exp((node.reportedAt - now) / REPORT_FADE_MS);
        double usual = meanEngineLoad.value(0);
        long sentSince = node.outstanding.stream()
                .filter(attempt -> attempt.sentAt > node.reportedAt).count();
        return usual + (node.reportedLoad - usual) * retained
                + HELD_QUERY_LOAD * sentSince / cores(node.engine);
    }

    /**
     * The oldest query of a queue that may go to an engine; only rules and held tables exclude older ones.
     */
    Query firstEligible(QueryQueue queue, EngineNode node) {
        for (Query query : queue.queries) {
            if (maySend(query, node) && !wouldWaitForLoad(query, node)) {
                return query;
            }
        }
        return null;
    }

    /**
     * Whether the query would wait behind a load there. Then it waits here instead: if it were sent at once,
     * it would use up its attempts within milliseconds on engines that were just reported as held. Once it is
     * late for its target it may go.
     */
    boolean wouldWaitForLoad(Query query, EngineNode node) {
        return query.spec.waitsForLoads() && !query.spec.loadsTables() && now < latestStart(query, 1)
                && loadHoldsTables(query, node);
    }

    /**
     * Factor on the index: prefers the own zone, free room, engines with its tables, and not where it failed.
     */
    double preference(Query query, EngineNode node) {
        // a limit that still stands at its start does not make an engine fuller than the others
        double fullThreads = node.limit == sharedLimit ? cores(node.engine) / 2
                : Math.max(node.limit.maxThreads, limitFloor(node));
        double factor = (1 - 0.5 * Math.min(1, node.threads / fullThreads))
                * (1 + 0.01 * random.nextDouble());
        factor *= node.engine.zone() == settings.zone() ? 1
                : 1 - Math.min(0.5, 2 * settings.crossZonePenalty());
        factor *= node.inSubset ? 1 : OUTSIDE_SUBSET_FACTOR;
        factor *= (loadHoldsTables(query, node) ? HELD_TABLES_FACTOR : 1) * tableAffinity(query, node);
        // an engine's own limit already tells how full it is
        factor /= node.limit == sharedLimit ? 1 + estimatedLoad(node) * estimatedLoad(node) : 1;
        return query.avoidedNode == node ? factor * FAILED_ENGINE_FACTOR : factor;
    }

    // ---- terms of an attempt -----------------------------------------------------------------------------

    private void updateTerms(Query query) {
        EngineTraits traits = settings.engineTraits();
        int priority = traits.supportsPriorities() ? priority(query) : 1;
        double memory = 0;
        if (traits.acceptsMemoryGrants() && query.request.estimatedMemory() > 0) {
            LogLinearFit memoryFit = classStats[query.classIndex * 2].memoryFit;
            memory = memoryFit.hasEnoughSamples()
                    ? memoryFit.predict(query.request.estimatedMemory(), 0) * LEARNED_GRANT_MARGIN
                    : query.request.estimatedMemory() * ESTIMATED_GRANT_MARGIN;
        }
        if (priority != query.priority || memory != query.memoryGrant) {
            query.priority = priority;
            query.memoryGrant = memory;
            actions.add(new SetTerms(query.id, priority, memory));
        }
    }

    /** Priority by the index: the class with the highest reward for its time goes first. */
    private int priority(Query query) {
        if (query.queue.prospect > QueryQueue.IN_TIME || query.band > 0) {
            return 0;
        }
        return hasHighestGammaMu(classStats[query.classIndex * 2]) ? 3 : 1;
    }

    private boolean hasHighestGammaMu(ClassStats stats) {
        return gammaMu(stats) >= highestGammaMu;
    }

    /** γμ of a class: reward per target time, per service time. */
    private double gammaMu(ClassStats stats) {
        return stats.spec.reward() / stats.spec.latencyTarget()
                / stats.serviceTime.value(stats.spec.latencyTarget());
    }

    // ---- attempts ----------------------------------------------------------------------------------------

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
        stats.cancelCredit = Math.min(CANCEL_CREDIT_PER_SEND * MAX_CANCEL_CREDIT_SENDS,
                stats.cancelCredit + CANCEL_CREDIT_PER_SEND);
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

    // ---- messages between routers ------------------------------------------------------------------------

    /**
     * Announces the start of an attempt to the routers that watch the engine; the end follows as one byte. No
     * router sees which tables the loads of others hold, and queries of those tables wait behind them; nor
     * how full an engine is, where each router has few queries on it. So loads are announced, and under the
     * shared limit also the classes that bring the most work in few queries. Announcements guide the choice
     * of engine and the room, never a rule: a lost or forged one can only misguide.
     */
    private void announce(Attempt attempt) {
        Query query = attempt.query;
        if (settings.limits().mayTellPeers()
                && (query.spec.loadsTables() || allLimitsShared && isWorthAnnouncing(query))) {
            attempt.announcement = announcementCount++ & 255;
            tellWatchers(attempt.node,
                    PeerAttempt.encodeStart(attempt, SchedulerState.hash16(attempt.engine.id())));
        }
    }

    /**
     * Whether a query's class has more than the usual work: few long queries, so four bytes each tell much.
     */
    private boolean isWorthAnnouncing(Query query) {
        return usualWork(classStats[query.classIndex * 2]) > meanOfferedWork.value(Double.MAX_VALUE)
                && announcedShare.value(0) * settings.peerMessagePenalty() * ANNOUNCEMENT_BYTES / 256
                * settings.routers()
                * Math.min(1, WATCHED_ENGINES / nodes.size()) < MAX_ANNOUNCEMENT_COST;
    }

    /**
     * Whether a router watches an engine, decided by hashing, so that all know whom an announcement concerns.
     * About ten each: the best of ten known engines is nearly the best of all, for a fraction of the
     * messages.
     */
    private boolean watches(int router, EngineNode node) {
        return SchedulerState.hashToUnitInterval(node.engine.id() * 31 + router) * nodes.size()
                < WATCHED_ENGINES;
    }

    private void tellWatchers(EngineNode node, byte[] payload) {
        for (int router = 0; router < settings.routers(); router++) {
            if (router != settings.routerIndex() && watches(router, node)) {
                actions.add(new TellPeers(router, payload));
            }
        }
    }

    /** Whether a load holds the tables of this query on that engine, as far as is known. */
    private boolean loadHoldsTables(Query query, EngineNode node) {
        return (query.spec.loadsTables() || query.spec.waitsForLoads())
                && (node.hasTablesHeldSince(query.tableTag, now - LOAD_NOTE_LIFETIME * longestLoadTime)
                || node.peerAttempts.stream().anyMatch(peerAttempt -> peerAttempt.tableTag == query.tableTag)
                || node.outstanding.stream().anyMatch(attempt -> attempt.query.spec.loadsTables()
                        && attempt.query.tableTag == query.tableTag));
    }

    /**
     * Rendezvous hashing: all routers rank the engines alike for each group of tables, and queries of the
     * group prefer one end of the ranking, so that those engines keep its tables warm for all routers. Where
     * there are loads, only loads prefer that end, and queries that wait for loads prefer the other, so that
     * few of them meet before an announcement has arrived. Warmth matters less while engines are cold or
     * ejected, as the others must share the work.
     */
    private double tableAffinity(Query query, EngineNode node) {
        double position = SchedulerState.hashToUnitInterval((long) query.tableTag << 48 ^ node.engine.id());
        boolean separate = settings.classes().stream().anyMatch(ClassSpec::loadsTables)
                && !query.spec.loadsTables();
        double affinity = TABLE_AFFINITY
                * (separate || query.spec.loadsTables() ? 1 : warmEngineShare * warmEngineShare);
        return !tablesKnown || separate && !query.spec.waitsForLoads() ? 1
                : 1 - affinity * (separate ? 1 - position : position);
    }

    // ---- results of attempts and engine health -----------------------------------------------------------

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

    /** After an attempt that failed: back into a queue, or the final answer if no attempt is left. */
    private void requeueOrGiveUp(Query query, Attempt attempt) {
        query.avoidedNode = attempt.node;
        if (attempt.outcome == Outcome.TIMEOUT && now >= query.deadline - baseInterval
                || query.sendCount >= query.maxAttempts || query.streaming || !mayRepeat(query, null)) {
            giveUp(query);
        } else {
            enqueue(query);
        }
    }

    /**
     * Learns from an attempt that ended. After a stall of this router all that ended meanwhile is found at
     * once, and the measured time contains the stall: taken as the engine's time it would cut limits and
     * rates. Such a result only shows that the engine answers.
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
            node.limit.maxThreads = Math.max(1, node.limit.maxThreads * FULL_LIMIT_FACTOR);
            node.failures.add(now, 0.5);
        } else if (end.outcome() == Outcome.TIMEOUT || end.outcome() == Outcome.CANCELLED) {
            // it answered nothing since: the engine is silent, not the plan bad
            if (node.lastHeardAt <= attempt.sentAt) {
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
                classStats[query.classIndex * 2].memoryFit.add(now, query.request.estimatedMemory(),
                        end.reportedMemory());
            }
        }
        classStats[query.classIndex * 2].workFit.add(now,
                hasEstimate(query.request) ? query.request.estimatedWork() : 1,
                workReported ? end.reportedWork() : took * query.spec.threads());
        double timePerEstimate = took * query.spec.threads() / Math.max(1, query.estimatedWork);
        double usual = attempt.expectedTime * query.spec.threads() / Math.max(1, query.estimatedWork);
        stats.timePerEstimate.add(now, Math.min(timePerEstimate, usual * MIN_STRAGGLER_MULTIPLE));
        stats.logDeviation.add(now, Math.abs(Math.log(took / attempt.expectedTime)));
        node.slowness.add(now, Math.min(took / attempt.expectedTime, 10));
        adjustLimit(node, classStats[query.classIndex * 2],
                took * query.spec.threads()
                / Math.max(1, workReported ? end.reportedWork() : query.estimatedWork));
    }

    /** Ejects an engine that fails far more often than its peers, whatever the reason. */
    private void ejectIfFailing(EngineNode node) {
        double[] failureRates = nodes.values().stream().mapToDouble(other -> other.failures.value(0))
                .sorted().toArray();
        double usual = failureRates[failureRates.length / 2];
        if (node.failures.weight > MIN_FAILURE_WEIGHT
                && node.failures.value(0) > EXCESS_FAILURE_RATE + usual) {
            eject(node);
        }
    }

    /**
     * Ejects an engine for a growing time of 1 to 8 s, unless more than half of the engines would be ejected.
     */
    private void eject(EngineNode node) {
        long ejected = nodes.values().stream().filter(other -> other != node && other.isEjected()).count();
        if (2 * (ejected + 1) > nodes.size()) {
            return;
        }
        node.backoff = Math.min(MAX_EJECTION_MS, Math.max(MIN_EJECTION_MS, node.backoff * 2));
        node.retryAt = now + node.backoff;
        node.ejectedAt = now;
    }

    /** Checks running attempts: ejects silent engines and cancels stragglers. */
    void supervise() {
        if (now >= nextPeerExpiryAt) {
            nextPeerExpiryAt = now + PEER_EXPIRY_INTERVAL_MS;
            peerAttempts.expire(now);
        }
        rescaleSharedLimit();
        peersHeard = settings.limits().mayTellPeers() && now > startedAt + STATS_SPAN_MS / 4;
        fleetThreadsPerRouter = allLimitsShared && peersHeard ? estimateFleetThreads() : 0;
        warmEngineShare = nodes.values().stream()
                .mapToDouble(node -> isCold(node) || node.isEjected() ? 0 : 1)
                .average().orElse(1);
        List<EngineNode> busy = nodes.values().stream().filter(node -> !node.outstanding.isEmpty()).toList();
        double[] missed = busy.stream().mapToDouble(node -> missedFinishes(node)).sorted().toArray();
        int middle = missed.length - 1 - nodes.size() / 2; // the median over all engines: idle ones miss none
        double usual = middle < 0 ? 0 : missed[middle];
        for (EngineNode node : busy) {
            double oldestSentAt = node.outstanding.stream().mapToDouble(attempt -> attempt.sentAt)
                    .min().orElse(now);
            boolean silent = missedFinishes(node) > SILENCE_MISSED_FINISHES + 2 * usual
                    && now - Math.max(oldestSentAt, node.lastHeardAt)
                    > settings.engineTraits().noteInterval();
            if (silent && !node.isEjected()) {
                eject(node);
            }
            for (Attempt attempt : new ArrayList<>(node.outstanding)) {
                boolean unanswered = node.isEjected() && silent
                        && now - attempt.sentAt > attempt.expectedTime;
                if (unanswered || isStraggler(attempt)) {
                    cancelForRetry(attempt, classStats[attempt.query.classIndex * 2].cancelCredit,
                            unanswered ? CancelReason.ENGINE_SILENT : CancelReason.STRAGGLER);
                }
            }
        }
    }

    /**
     * Finishes that were due at an engine since it was last heard; the part of a single attempt is capped.
     */
    private double missedFinishes(EngineNode node) {
        double sum = 0;
        for (Attempt attempt : node.outstanding) {
            sum += Math.min(SILENCE_MISSED_FINISHES / 2,
                    (now - Math.max(attempt.sentAt, node.lastHeardAt)) / attempt.expectedTime);
        }
        return sum;
    }

    private boolean isStraggler(Attempt attempt) {
        ClassStats stats = classStats[attempt.query.classIndex * 2 + attempt.query.band];
        // where engines send notes, these are more reliable than the elapsed time
        double deviations = settings.engineTraits().noteInterval() > 0
                ? STRAGGLER_DEVIATIONS_WITH_NOTES : STRAGGLER_DEVIATIONS;
        double deviation = Math.exp(deviations * MEAN_TO_STANDARD_DEVIATION * stats.logDeviation.value(0.5));
        double limit = Math.max(MIN_STRAGGLER_MULTIPLE, Math.min(MAX_STRAGGLER_MULTIPLE, deviation));
        // under the shared limit a router knows too little of one engine to excuse an attempt by its slowness
        double slowness = attempt.node.limit == sharedLimit ? 1 : Math.max(1, slowness(attempt.node));
        return now - attempt.sentAt > limit * attempt.expectedTime * slowness + 2 * baseInterval;
    }

    /** Cancels an attempt so that the query is sent again, if the rules and the remaining time allow that. */
    private void cancelForRetry(Attempt attempt, double credit, CancelReason reason) {
        Query query = attempt.query;
        boolean useful = now + expectedTime(query) < query.deadline;
        if (attempt.cancelled || query.over || query.streaming || !settings.limits().mayCancel() || !useful
                || credit < 1 || query.sendCount >= query.maxAttempts
                || query.spec.idempotency() != Idempotency.SAFE || !retryBudgetAllows(pendingRetries())) {
            return;
        }
        classStats[query.classIndex * 2].cancelCredit = Math.max(0, credit - 1);
        attempt.cancelled = true;
        actions.add(new CancelAttempt(query.id, attempt.number, reason));
    }

    /** Retries that are due already: the work of an attempt cancelled beyond the budget would be lost. */
    private long pendingRetries() {
        return Double.isNaN(settings.rules().retryBudgetWindow()) ? 0 : queries.values().stream()
                .filter(query -> !query.over && query.sendCount > 0
                        && (query.queue != null || query.attempts.get(query.sendCount - 1).cancelled))
                                .count();
    }

    /**
     * Handles a note of a running attempt. A query that waits behind a load reveals what no router sees of
     * the loads of others: its tables are held there. It has done nothing yet, so it is sent elsewhere while
     * it can still be in time. Progress that projects to far more than the expected time also leads to a
     * retry.
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
            cancelForRetry(attempt, 1, CancelReason.WAITS_FOR_LOAD);
        } else if (note.value() > 0 && note.kind() == NoteKind.PROGRESS) {
            attempt.node.lastHeardAt = Math.max(attempt.node.lastHeardAt, now - baseInterval);
            double projectedTime = (now - attempt.sentAt) / Math.min(1, note.value());
            if (projectedTime
                    > SLOW_PROGRESS_MULTIPLE * attempt.expectedTime * Math.max(1, slowness(attempt.node))
                    && projectedTime - (now - attempt.sentAt)
                    > SLOW_REMAINDER_MULTIPLE * attempt.expectedTime) {
                cancelForRetry(attempt, 1, CancelReason.SLOW_PROGRESS);
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
     * Deterministic subsetting under the shared limit: a router with few queries can't know all engines, and
     * many routers that choose at random overload some. Each takes a few engines by its number, evenly
     * spread: half from its own zone and half from the others, as traffic need not come where the engines
     * are.
     */
    private void chooseSubset() {
        nodesByTag.clear();
        nodes.values().forEach(node -> nodesByTag.put(SchedulerState.hash16(node.engine.id()), node));
        allLimitsShared = sharedLimit != null
                && nodes.values().stream().allMatch(node -> node.limit == sharedLimit);
        if (settings.limits().mayTellPeers()) {
            nodes.values().forEach(
                    node -> node.inSubset = node.limit != sharedLimit
                    || watches(settings.routerIndex(), node));
            return;
        }
        for (boolean ownZone : new boolean[] {true, false}) {
            List<EngineNode> side = new ArrayList<>();
            for (EngineNode node : nodes.values()) {
                if (ownZone == (node.engine.zone() == settings.zone())
                        && node.engine.state() == EngineState.READY) {
                    side.add(node);
                }
                node.inSubset = ownZone ? node.limit != sharedLimit : node.inSubset;
            }
            side.sort(java.util.Comparator.comparingLong(node -> node.engine.id()));
            for (int i = 0; i < Math.min(SUBSET_ENGINES_PER_SIDE, side.size()); i++) {
                side.get((int) (((long) settings.routerIndex() * SUBSET_ENGINES_PER_SIDE + i) % side.size()))
                        .inSubset = true;
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
                node.limit.maxThreads = Math.max(1,
                        cores(engine) / settings.routers() * settings.rules().coldCapacityShare());
            }
        }
        if (engine.state() == EngineState.GONE && node.outstanding.isEmpty()) {
            nodes.remove(engine.id());
        }
    }

    // ---- rule guards -------------------------------------------------------------------------------------

    /** Whether this query may be sent to this engine now. Every send passes this check. */
    boolean maySend(Query query, EngineNode node) {
        return !query.over && !query.streaming && node.engine.state() == EngineState.READY
                && now < query.deadline
                && query.sendCount < query.maxAttempts && isAllowedPlace(query, node)
                && mayRepeat(query, node)
                && (query.runningAttempts() == 0 || settings.limits().mayRunConcurrentAttempts())
                && isFirstOfKey(query) && (query.sendCount == 0 || retryBudgetAllows(0))
                && coldAllowanceLeft(classStats[query.classIndex * 2], node);
    }

    boolean isAllowedPlace(Query query, EngineNode node) {
        return (query.spec.allowedZones() == null || query.spec.allowedZones().contains(node.engine.zone()))
                && (query.spec.allowedEngineKinds() == null
                || query.spec.allowedEngineKinds().contains(node.engine.kind()));
    }

    /**
     * Whether a query may be sent, given its earlier attempts. Unsafe: only if it is proven that none of them
     * ran. Keyed: only within the engines and the time that deduplicate what may have run.
     */
    boolean mayRepeat(Query query, EngineNode node) {
        return query.spec.idempotency() == Idempotency.SAFE
                || query.attempts.stream().noneMatch(attempt -> attempt.mayHaveRun()
                && (query.spec.idempotency() == Idempotency.UNSAFE
                || now - attempt.sentAt > query.spec.deduplicationWindow() - baseInterval
                || node != null && !sameGroup(query.spec, attempt.engine, node.engine)));
    }

    private static boolean sameGroup(ClassSpec spec, Engine a, Engine b) {
        return spec.deduplicationScope() == DeduplicationScope.ALL
                || (spec.deduplicationScope() == DeduplicationScope.ZONE
                        ? a.zone() == b.zone() : a.cell() == b.cell());
    }

    /**
     * Whether it is the query's turn among those of its key, and no doubtful end of another blocks the key.
     */
    boolean isFirstOfKey(Query query) {
        return query.keyQueue == null || query.keyQueue.waiting.get(0) == query
                && (now >= query.keyQueue.blockedUntil || query.keyQueue.doubtful == query);
    }

    /**
     * Whether the retry budget of the window that ends now has room for one retry beside the pending ones.
     */
    boolean retryBudgetAllows(long pending) {
        Rules rules = settings.rules();
        if (Double.isNaN(rules.retryBudgetWindow())) {
            return true;
        }
        retriesSentAt.removeIf(time -> time < now - rules.retryBudgetWindow() - settings.tick());
        requestsTakenAt.removeIf(time -> time < now - rules.retryBudgetWindow() + settings.tick());
        return retriesSentAt.size() + pending + 1
                <= rules.retryBudgetBase() + rules.retryBudgetRatio() * requestsTakenAt.size();
    }

    /** Whether a cold engine may get another query of a class, by this router's part of its allowance. */
    boolean coldAllowanceLeft(ClassStats stats, EngineNode node) {
        Rules rules = settings.rules();
        if (!isCold(node) || rules.overloadWindow() <= 0) {
            return true;
        }
        double allowance = COLD_ALLOWANCE_USED * rules.overloadMultiple() * rules.coldCapacityShare()
                * LEAST_CORE_CAPACITY * cores(node.engine) * rules.overloadWindow();
        double part = new ColdAllowance(allowance, settings.routers(), smallestUsualWork, largestUsualWork)
                .partOf(settings.routerIndex(), SchedulerState.hashToUnitInterval(node.engine.id()),
                        (long) Math.floor((now - node.engine.startedAt()) / rules.overloadWindow()));
        return node.recentWork(now, rules.overloadWindow()) + usualWork(stats) <= part;
    }

    /** The usual work of a class: reported, else estimated, else its time multiplied by its threads. */
    double usualWork(ClassStats stats) {
        return Math.max(stats.reportedWork.value(0), stats.estimatedWork.value(
                stats.serviceTime.value(stats.spec.latencyTarget()) * stats.spec.threads()));
    }

    // ---- final answers -----------------------------------------------------------------------------------

    /**
     * Gives up queued queries that can earn nothing any more, and moves those that became late to the late
     * queue.
     */
    void expireQueuedQueries() {
        keyQueues.values().removeIf(keyQueue -> keyQueue.waiting.isEmpty() && now >= keyQueue.blockedUntil);
        for (QueryQueue queue : queues) {
            for (Query query : new ArrayList<>(queue.queries)) {
                if (isHopeless(query)) {
                    giveUp(query);
                } else if (queue.prospect != QueryQueue.LATE && prospect(query) == QueryQueue.LATE) {
                    queue.queries.remove(query);
                    enqueue(query);
                }
            }
        }
    }

    /**
     * Whether a query can't finish by its deadline, would only earn nothing late, or may not be sent again.
     */
    private boolean isHopeless(Query query) {
        return now + Math.max(supervisionInterval() + baseInterval, HOPELESS_TIME_SHARE * expectedTime(query))
                > query.deadline
                || query.spec.lateReward() <= 0 && prospect(query) == QueryQueue.LATE
                || query.sendCount > 0 && !mayRepeat(query, null);
    }

    /** Answers a query that is given up, at once: refused if repeating it is harmless, else failed. */
    private void giveUp(Query query) {
        boolean safeToRepeat = query.spec.idempotency() == Idempotency.SAFE
                || query.spec.idempotency() == Idempotency.KEYED
                && query.spec.deduplicationScope() == DeduplicationScope.ALL
                || query.attempts.stream().noneMatch(Attempt::mayHaveRun);
        actions.add(safeToRepeat
                ? new RefuseRequest(query.id,
                        settings.limits().mayGiveRetryAfter() ? settings.limits().maxRetryAfter() : 0)
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
            if (attempt.outcome == null && !attempt.cancelled && settings.limits().mayCancel()
                    && !query.streaming) {
                attempt.cancelled = true;
                actions.add(new CancelAttempt(query.id, attempt.number, CancelReason.REQUEST_OVER));
            }
        }
        removeIfFinished(query);
    }

    /**
     * Removes a query once it is over and no attempt of it runs; only then is it the next one's turn on its
     * key.
     */
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
