package quincespar.decision;

import java.util.List;

/**
 * The interface of the decision module: a router's settings, the events that it reports and the actions that
 * it is asked to perform. Each router owns one scheduler, reports every event with the time at which it
 * happened, and performs the actions in the order given. All times are milliseconds of one clock that never
 * runs backwards.
 */
public interface Scheduler {

    /** Takes the events up to {@code now}, in order, and returns the actions to perform at that time. */
    List<Action> decide(double now, List<Event> events);

    /**
     * The number of ready engines that are ejected after the last decision: they get no request, or a single
     * one as a trial.
     */
    default int ejectedEngineCount() {
        return 0;
    }

    /** The number of attempts that it has asked for and of which it has not been told the end. */
    default int openAttemptCount() {
        return 0;
    }

    /**
     * Whether a request may run more than once: always ({@code SAFE}), where repeats are deduplicated by a
     * key ({@code KEYED}), or never ({@code UNSAFE}).
     */
    enum Idempotency { SAFE, KEYED, UNSAFE }

    /** The engines that deduplicate each other's repeats of a keyed request. */
    enum DeduplicationScope { ALL, ZONE, CELL }

    /** The state of an engine by the list. */
    enum EngineState { READY, DRAINING, GONE }

    /** A list with changes only, a whole list, the list stored before a restart, or a failure to get one. */
    enum ListKind { DELTA, FULL, CACHED, FAILED }

    /** What a note tells of a running attempt. */
    enum NoteKind { PROGRESS, SPILL, WAIT }

    /** What an engine does when memory grants exceed its memory. */
    enum MemoryShortagePolicy { QUEUE, CUT, OVERCOMMIT }

    /** How an attempt ended. */
    enum Outcome {
        OK(false), ERROR(false), FULL(true), TIMEOUT(false), CONNECT_FAILED(true), RESET(false),
        CANCELLED(false), MOOT(true);

        /** Whether this outcome proves that nothing was executed. */
        public final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }

    /**
     * A class of requests.
     *
     * @param latencyTarget time within which a request earns its full reward, in ms
     * @param targetStretch ms added to the target per ms of estimated work and thread
     * @param deadline time after which a request is given up, in ms, unless the client names another
     * @param reward what a request answered by its target earns
     * @param lateReward share of the reward that a later answer earns
     * @param deduplicationWindow time within which engines recognize a repeat, in ms
     * @param orderedByKey whether requests of one key run one at a time, in order
     * @param threads threads that a request uses
     * @param loadsTables whether a request writes tables, and holds them meanwhile
     * @param waitsForLoads whether a request waits at an engine while a load holds its tables
     * @param allowedZones zones in which it may run; null for all
     * @param allowedEngineKinds kinds of engines on which it may run; null for all
     */
    record ClassSpec(String name, double latencyTarget, double targetStretch, double deadline, double reward,
            double lateReward, Idempotency idempotency, DeduplicationScope deduplicationScope,
            double deduplicationWindow, boolean orderedByKey, boolean streaming, int threads,
            boolean loadsTables, boolean waitsForLoads, List<Integer> allowedZones,
            List<Integer> allowedEngineKinds) {
        /** This class with other numbers of the zones and kinds in which it may run. */
        public ClassSpec withPlaces(List<Integer> otherZones, List<Integer> otherEngineKinds) {
            return new ClassSpec(name, latencyTarget, targetStretch, deadline, reward, lateReward, idempotency,
                    deduplicationScope, deduplicationWindow, orderedByKey, streaming, threads, loadsTables,
                    waitsForLoads, otherZones, otherEngineKinds);
        }
    }

    /** A tenant, with the requests per second over all routers that are within its share. */
    record Tenant(String name, double quotaPerSecond, double share) { }

    /** What the site allows. */
    record Limits(boolean mayCancel, boolean mayProbe, boolean mayTellPeers, boolean mayRunConcurrentAttempts,
            boolean mayGiveRetryAfter, int maxAttempts, double maxRetryAfter, int maxOpenRequests,
            double connectTimeout) { }

    /**
     * The site's rules, with times in ms.
     *
     * @param discoveryInterval time between requests for the list of engines
     * @param coldPeriod how long an engine is cold after its start
     * @param coldCapacityShare share of its capacity that a cold engine has at first
     * @param overloadWindow time over which work overloads a cold engine; 0 if it never does
     * @param overloadMultiple multiple of its capacity that overloads a cold engine
     * @param settlePeriod time for which a key is blocked after an attempt with a doubtful end; 0 for none
     * @param retryBudgetBase retries allowed in a window beside the share; NaN without a budget
     * @param retryBudgetRatio retries allowed for each request of a window; NaN without a budget
     * @param retryBudgetWindow length of the window; NaN without a budget
     */
    record Rules(double answerSlack, double discoveryInterval, double coldPeriod, double coldCapacityShare,
            double drainGrace, double overloadWindow, double overloadMultiple, double settlePeriod,
            double retryBudgetBase, double retryBudgetRatio, double retryBudgetWindow) {
        /** These rules with another multiple that overloads a cold engine, and another number of retries beside the share. */
        public Rules withBudgets(double otherOverloadMultiple, double otherRetryBudgetBase) {
            return new Rules(answerSlack, discoveryInterval, coldPeriod, coldCapacityShare, drainGrace,
                    overloadWindow, otherOverloadMultiple, settlePeriod, otherRetryBudgetBase, retryBudgetRatio,
                    retryBudgetWindow);
        }

        /** These rules with another settle period. */
        public Rules withSettlePeriod(double otherSettlePeriod) {
            return new Rules(answerSlack, discoveryInterval, coldPeriod, coldCapacityShare, drainGrace,
                    overloadWindow, overloadMultiple, otherSettlePeriod, retryBudgetBase, retryBudgetRatio,
                    retryBudgetWindow);
        }
    }

    /**
     * What is known about the engines in general.
     *
     * @param coresByKind cores by kind of engine; 0 where unknown
     * @param memoryByKind memory by kind of engine; 0 where unknown
     * @param noteInterval time between an engine's notes on an attempt, in ms; 0 without notes
     * @param reportsWork whether answers tell the work done
     * @param reportFields the names of the values in an engine's report
     */
    record EngineTraits(List<Double> coresByKind, List<Double> memoryByKind, double largestShare,
            boolean acceptsMemoryGrants, boolean supportsPriorities, MemoryShortagePolicy onMemoryShortage,
            double noteInterval, boolean reportsWork, List<String> reportFields) {
        /** These traits with the kinds of engines numbered otherwise. */
        public EngineTraits withKinds(List<Double> otherCoresByKind, List<Double> otherMemoryByKind) {
            return new EngineTraits(otherCoresByKind, otherMemoryByKind, largestShare, acceptsMemoryGrants,
                    supportsPriorities, onMemoryShortage, noteInterval, reportsWork, reportFields);
        }
    }

    /**
     * The settings of one router.
     *
     * @param routers number of routers that share the engines
     * @param routerIndex this router's place among them, from 0
     * @param overQuotaRewardFactor factor on the reward of a request beyond its tenant's quota
     * @param discoveryOnRequest whether the list of engines is sent only on request
     * @param clientsMarkRetries whether clients mark a request that they send again
     * @param crossZonePenalty penalty for a request served in another zone
     * @param wastePenalty penalty for wasted work
     * @param peerMessagePenalty penalty for 256 bytes sent to another router
     * @param tick resolution of timers, in ms
     */
    record Settings(int routers, int routerIndex, int zone, List<ClassSpec> classes, List<Tenant> tenants,
            double overQuotaRewardFactor, boolean discoveryOnRequest, boolean clientsMarkRetries,
            double crossZonePenalty, double wastePenalty, double peerMessagePenalty, double tick,
            Limits limits, Rules rules, EngineTraits engineTraits) {
        /** Throws {@link IllegalArgumentException}, which names the field, for unusable values. */
        public Settings {
            require(routers >= 1, "routers must be at least 1");
            require(!classes.isEmpty(), "classes must not be empty");
            for (ClassSpec c : classes) {
                require(c.latencyTarget() > 0, "aim of class " + c.name() + " must be above 0");
                require(c.deadline() > 0, "deadline of class " + c.name() + " must be above 0");
            }
        }

        /** These settings with other classes and tenants. */
        public Settings withClassesAndTenants(List<ClassSpec> otherClasses, List<Tenant> otherTenants) {
            return new Settings(routers, routerIndex, zone, otherClasses, otherTenants, overQuotaRewardFactor,
                    discoveryOnRequest, clientsMarkRetries, crossZonePenalty, wastePenalty,
                    peerMessagePenalty, tick, limits, rules, engineTraits);
        }

        /** These settings with the zones and kinds of engines numbered otherwise. */
        public Settings withPlaces(int otherZone, List<ClassSpec> otherClasses, EngineTraits otherTraits) {
            return new Settings(routers, routerIndex, otherZone, otherClasses, tenants, overQuotaRewardFactor,
                    discoveryOnRequest, clientsMarkRetries, crossZonePenalty, wastePenalty,
                    peerMessagePenalty, tick, limits, rules, otherTraits);
        }

        /** These settings with other rules. */
        public Settings withRules(Rules otherRules) {
            return new Settings(routers, routerIndex, zone, classes, tenants, overQuotaRewardFactor,
                    discoveryOnRequest, clientsMarkRetries, crossZonePenalty, wastePenalty,
                    peerMessagePenalty, tick, limits, otherRules, engineTraits);
        }

        /** These settings for the router of this index among that many routers. */
        public Settings withRouter(int routerCount, int index) {
            return routerCount == routers && index == routerIndex ? this : new Settings(routerCount, index,
                    zone, classes, tenants, overQuotaRewardFactor, discoveryOnRequest, clientsMarkRetries,
                    crossZonePenalty, wastePenalty, peerMessagePenalty, tick, limits, rules, engineTraits);
        }

        /** These settings without messages to other routers, whatever the site allows. */
        public Settings withoutPeerMessages() {
            Limits withoutTell = new Limits(limits.mayCancel, limits.mayProbe, false,
                    limits.mayRunConcurrentAttempts, limits.mayGiveRetryAfter, limits.maxAttempts,
                    limits.maxRetryAfter, limits.maxOpenRequests, limits.connectTimeout);
            return limits.mayTellPeers ? new Settings(routers, routerIndex, zone, classes, tenants,
                    overQuotaRewardFactor, discoveryOnRequest, clientsMarkRetries, crossZonePenalty,
                    wastePenalty, peerMessagePenalty, tick, withoutTell, rules, engineTraits) : this;
        }

        private static void require(boolean condition, String message) {
            if (!condition) {
                throw new IllegalArgumentException(message);
            }
        }
    }

    /** An engine as listed. {@code startedAt} is 0 if it started long ago. */
    record Engine(long id, int zone, int kind, int cell, EngineState state, double weight, double startedAt) {
        /** This engine in the state {@code GONE}. */
        Engine withStateGone() {
            return new Engine(id, zone, kind, cell, EngineState.GONE, weight, startedAt);
        }
    }

    /** Something that happened. */
    sealed interface Event { }

    /**
     * A request has arrived.
     *
     * @param clientTimeout time until the client gives up, in ms; negative for the deadline of the class
     * @param estimatedWork NaN without an estimate
     * @param estimatedMemory 0 without an estimate
     * @param tableGroup stands for the tables that it reads or writes; 0 if not told
     * @param key orders requests of a class that is ordered by key; 0 for none
     * @param retry whether the client has sent it before
     */
    record Request(long id, int requestClass, int tenant, double clientTimeout, double estimatedWork,
            double estimatedMemory, double tableGroup, long key, boolean retry, boolean write)
            implements Event { }

    /** A list of engines has arrived, or the request for one has failed. */
    record EngineList(ListKind kind, long version, List<Engine> engines) implements Event { }

    /**
     * An attempt has ended.
     *
     * @param requestOver whether its request is over too
     * @param reportedWork NaN if not told
     * @param reportedMemory NaN if not told
     * @param engineReport values of {@link EngineTraits#reportFields}; empty without a report
     */
    record AttemptEnded(long id, int attempt, long engine, Outcome outcome, double latency,
            boolean requestOver, double reportedWork, double reportedMemory, List<Double> engineReport)
            implements Event { }

    /** The answer of a streamed request has begun to reach the client: it can't be sent again. */
    record AnswerStarted(long id, int attempt, long engine, double latency) implements Event { }

    /** An engine's note on a running attempt. */
    record AttemptNote(long id, int attempt, long engine, NoteKind kind, double value) implements Event { }

    /**
     * New settings are in force from now on, also for a list of engines in the same call. A class that both
     * settings have keeps its number for good. {@code droppedClasses} are the numbers that no new request
     * will name. Open requests keep the terms under which they were taken.
     */
    record SettingsChanged(Settings settings, List<Integer> droppedClasses) implements Event { }

    /** The client has left and needs no answer any more. */
    record ClientLeft(long id) implements Event { }

    /** A timer has fired. */
    record TimerFired(int token) implements Event { }

    /** The result of a probe; {@code ok} is false if it failed. */
    record ProbeResult(long engine, boolean ok, double latency, List<Double> engineReport)
            implements Event { }

    /** A message from another router. */
    record PeerMessage(long from, byte[] payload) implements Event { }

    /** Something to do. */
    sealed interface Action { }

    /**
     * Send the request's next attempt to an engine; a {@code timeout} of 0 means until the client gives up.
     */
    record SendAttempt(long id, long engine, double timeout) implements Action { }

    /** Refuse the request: a repeat is harmless, after {@code retryAfter} ms if that is above 0. */
    record RefuseRequest(long id, double retryAfter) implements Action { }

    /** Answer the request as failed: it may have run. */
    record FailRequest(long id) implements Action { }

    /** Why an attempt is cancelled: reported to operators, not sent to the engine. */
    enum CancelReason {
        /** The request is over. */
        REQUEST_OVER("over"),
        /** Its engine has stopped answering. */
        ENGINE_SILENT("mute"),
        /** It takes far longer than expected of its query. */
        STRAGGLER("straggles"),
        /** A note says that it waits behind a load. */
        WAITS_FOR_LOAD("held"),
        /** A progress note says that it would take far longer than expected of its query. */
        SLOW_PROGRESS("slow");

        /** Its word in counters and explanations. */
        public final String label;

        CancelReason(String label) {
            this.label = label;
        }
    }

    /** Cancel an attempt. */
    record CancelAttempt(long id, int attempt, CancelReason reason) implements Action { }

    /** Report {@link TimerFired} with this token after a delay. */
    record SetTimer(int token, double delay) implements Action { }

    /** Set priority (0 to 3) and memory grant (0: the engine's choice) of the request's next attempts. */
    record SetTerms(long id, int priority, double memoryGrant) implements Action { }

    /** Probe an engine. */
    record ProbeEngine(long engine) implements Action { }

    /** Follow the list of engines from now on, or no longer. */
    record WatchEngineList(boolean enabled) implements Action { }

    /** Request the whole list of engines once. */
    record FetchEngineList() implements Action { }

    /** Send a message to a router, or to all others if {@code to} is negative. */
    record TellPeers(int to, byte[] payload) implements Action { }
}
