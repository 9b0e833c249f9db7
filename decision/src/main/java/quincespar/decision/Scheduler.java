package quincespar.decision;

import java.util.List;

/**
 * The interface of the decision module: what a router hands it at start, what it tells it, and what it is
 * asked to do. A router owns one gateway, feeds it every event with the time at which it happened and carries
 * out the actions in the order given. All times are milliseconds on one clock that never runs backwards.
 */
public interface Scheduler {

    /** Takes what happened by {@code now}, in order, and answers what is to be done at that time. */
    List<Action> decide(double now, List<Event> events);

    /** How many of the listed engines that would take work get none, or a trial only, after the last decision. */
    default int ejectedEngineCount() {
        return 0;
    }

    /** Whether a request may run more than once: at will, where repeats are dropped, or never. */
    enum Idempotency { SAFE, KEYED, UNSAFE }

    /** Which engines drop each other's repeats of a keyed request. */
    enum DeduplicationScope { ALL, ZONE, CELL }

    /** What the list says of an engine. */
    enum EngineState { READY, DRAINING, GONE }

    /** Whether a list holds changes, everything, the last list before a restart, or only news of a failure. */
    enum ListKind { DELTA, FULL, CACHED, FAILED }

    /** News of a running attempt. */
    enum NoteKind { PROGRESS, SPILL, WAIT }

    /** What an engine does when grants pass its memory. */
    enum MemoryShortagePolicy { QUEUE, CUT, OVERCOMMIT }

    /** How an attempt ended; {@code neverRan} is true where that is proven. */
    enum Outcome {
        OK(false), ERROR(false), FULL(true), TIMEOUT(false), CONNECT_FAILED(true), RESET(false),
        CANCELLED(false), MOOT(true);

        /** Whether this outcome proves that nothing was executed. */
        public final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }

    /** A class of requests. {@code zones} and {@code kinds} are null where the class is not bound. */
    record ClassSpec(String name, double latencyTarget, double targetStretch, double deadline, double reward, double lateReward,
            Idempotency idempotency, DeduplicationScope deduplicationScope, double deduplicationWindow, boolean orderedByKey, boolean streaming, int threads,
            boolean loadsTables, boolean waitsForLoads, List<Integer> allowedZones, List<Integer> allowedEngineKinds) { }

    /** A tenant and the requests a second, over all routers, that lie within its share. */
    record Tenant(String name, double quotaPerSecond, double share) { }

    /** What the site allows. */
    record Limits(boolean mayCancel, boolean mayProbe, boolean mayTellPeers, boolean mayRunConcurrentAttempts, boolean mayGiveRetryAfter,
            int maxAttempts, double maxRetryAfter, int maxOpenRequests, double connectTimeout) { }

    /** The figures of the rules; the budget fields are NaN where no budget is set, {@code settle} 0 where none. */
    record Rules(double answerSlack, double discoveryInterval, double coldPeriod, double coldCapacityShare, double drainGrace,
            double overloadWindow, double overloadMultiple, double settlePeriod, double retryBudgetBase, double retryBudgetRatio,
            double retryBudgetWindow) { }

    /** What is told of the engines; {@code cores} and {@code memory} are by kind of machine, 0 if not told. */
    record EngineTraits(List<Double> coresByKind, List<Double> memoryByKind, double largestShare, boolean acceptsMemoryGrants,
            boolean supportsPriorities, MemoryShortagePolicy onMemoryShortage, double noteInterval, boolean reportsWork,
            List<String> reportFields) { }

    /** What a router is told at its start. */
    record Settings(int routers, int routerIndex, int zone, List<ClassSpec> classes, List<Tenant> tenants,
            double overQuotaRewardFactor, boolean discoveryOnRequest, boolean clientsMarkRetries, double crossZonePenalty,
            double wastePenalty, double peerMessagePenalty, double tick, Limits limits, Rules rules, EngineTraits engineTraits) {
        /** Refuses what can't work, by the name of the field. */
        public Settings {
            require(routers >= 1, "routers must be at least 1");
            require(!classes.isEmpty(), "classes must not be empty");
            for (ClassSpec c : classes) {
                require(c.latencyTarget() > 0, "aim of class " + c.name() + " must be above 0");
                require(c.deadline() > 0, "deadline of class " + c.name() + " must be above 0");
            }
        }

        /** The same with other classes and tenants. */
        public Settings withClassesAndTenants(List<ClassSpec> otherClasses, List<Tenant> otherTenants) {
            return new Settings(routers, routerIndex, zone, otherClasses, otherTenants, overQuotaRewardFactor, discoveryOnRequest, clientsMarkRetries,
                    crossZonePenalty, wastePenalty, peerMessagePenalty, tick, limits, rules, engineTraits);
        }

        /** The same among so many routers, as the one with this number. */
        public Settings withRouter(int routerCount, int index) {
            return routerCount == routers && index == routerIndex ? this : new Settings(routerCount, index, zone, classes, tenants,
                    overQuotaRewardFactor, discoveryOnRequest, clientsMarkRetries, crossZonePenalty, wastePenalty, peerMessagePenalty, tick, limits, rules, engineTraits);
        }

        /** The same where no word reaches another router, whatever the site allows. */
        public Settings withoutPeerMessages() {
            Limits withoutTell = new Limits(limits.mayCancel, limits.mayProbe, false, limits.mayRunConcurrentAttempts, limits.mayGiveRetryAfter, limits.maxAttempts,
                    limits.maxRetryAfter, limits.maxOpenRequests, limits.connectTimeout);
            return limits.mayTellPeers ? new Settings(routers, routerIndex, zone, classes, tenants, overQuotaRewardFactor, discoveryOnRequest, clientsMarkRetries,
                    crossZonePenalty, wastePenalty, peerMessagePenalty, tick, withoutTell, rules, engineTraits) : this;
        }

        private static void require(boolean condition, String message) {
            if (!condition) {
                throw new IllegalArgumentException(message);
            }
        }
    }

    /** An engine as listed. {@code startedAt} is 0 where it started long ago. */
    record Engine(long id, int zone, int kind, int cell, EngineState state, double weight, double startedAt) {
        /** The same engine, removed. */
        Engine withStateGone() {
            return new Engine(id, zone, kind, cell, EngineState.GONE, weight, startedAt);
        }
    }

    /** Something that happened. */
    sealed interface Event { }

    /** A request was taken. {@code work} is NaN and {@code memory} 0 where there is no estimate. */
    record Request(long id, int requestClass, int tenant, double clientTimeout, double estimatedWork, double estimatedMemory, double tableGroup,
            long key, boolean retry, boolean write) implements Event { }

    /** A list of engines came, or word that asking for it failed. */
    record EngineList(ListKind kind, long version, List<Engine> engines) implements Event { }

    /** An attempt ended. {@code over}: its request is over too; {@code work} and {@code memory} NaN if not told. */
    record AttemptEnded(long id, int attempt, long engine, Outcome outcome, double latency, boolean requestOver, double reportedWork,
            double reportedMemory, List<Double> engineReport) implements Event { }

    /** The answer of a streamed request has started: it belongs to the client now. */
    record AnswerStarted(long id, int attempt, long engine, double latency) implements Event { }

    /** News of a running attempt. */
    record AttemptNote(long id, int attempt, long engine, NoteKind kind, double value) implements Event { }

    /**
     * New settings bind from now on, also for the list of engines that follows. A class that both know keeps its number
     * for good; {@code dropped} are the numbers of those that no new request will name. Requests that are open keep the
     * terms under which they were taken.
     */
    record SettingsChanged(Settings settings, List<Integer> droppedClasses) implements Event { }

    /** The client has left; nothing is owed any more. */
    record ClientLeft(long id) implements Event { }

    /** A timer came due. */
    record TimerFired(int token) implements Event { }

    /** What a probe found; {@code ok} is false where it failed. */
    record ProbeResult(long engine, boolean ok, double latency, List<Double> engineReport) implements Event { }

    /** A message from another router. */
    record PeerMessage(long from, byte[] payload) implements Event { }

    /** Something to do. */
    sealed interface Action { }

    /** Send the request's next attempt to an engine; {@code timeout} 0 means until the client gives up. */
    record SendAttempt(long id, long engine, double timeout) implements Action { }

    /** Turn the request away: trying again is harmless, after {@code comeBack} where that is above 0. */
    record RefuseRequest(long id, double retryAfter) implements Action { }

    /** End the request as failed: nothing is promised. */
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

        /** The word for it in counters and explanations. */
        public final String label;

        CancelReason(String label) {
            this.label = label;
        }
    }

    /** Stop waiting for an attempt. */
    record CancelAttempt(long id, int attempt, CancelReason reason) implements Action { }

    /** Wake the gateway with this token after a delay. */
    record SetTimer(int token, double delay) implements Action { }

    /** Name priority (0 to 3) and memory grant (0: the engine's choice) of the request's next attempts. */
    record SetTerms(long id, int priority, double memoryGrant) implements Action { }

    /** Look at an engine. */
    record ProbeEngine(long engine) implements Action { }

    /** Follow the list of engines from now on. */
    record WatchEngineList(boolean enabled) implements Action { }

    /** Ask once for the whole list. */
    record FetchEngineList() implements Action { }

    /** Send a short message to a router, or to all where {@code to} is negative. */
    record TellPeers(int to, byte[] payload) implements Action { }
}
