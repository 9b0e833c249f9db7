package quincespar.decision;

import java.util.List;

/**
 * The interface of the decision module: what a router hands it at start, what it tells it, and what it is
 * asked to do. A router owns one gateway, feeds it every event with the time at which it happened and carries
 * out the actions in the order given. All times are milliseconds on one clock that never runs backwards.
 */
public interface Gateway {

    /** Takes what happened by {@code now}, in order, and answers what is to be done at that time. */
    List<Action> decide(double now, List<Event> events);

    /** How many of the listed engines that would take work get none, or a trial only, after the last decision. */
    default int ejectedEngineCount() {
        return 0;
    }

    /** Whether a request may run more than once: at will, where repeats are dropped, or never. */
    enum Effect { SAFE, KEYED, UNSAFE }

    /** Which engines drop each other's repeats of a keyed request. */
    enum Scope { ALL, ZONE, CELL }

    /** What the list says of an engine. */
    enum EngineState { READY, DRAINING, GONE }

    /** Whether a list holds changes, everything, the last list before a restart, or only news of a failure. */
    enum ListKind { DELTA, FULL, CACHED, FAILED }

    /** News of a running attempt. */
    enum NoteKind { PROGRESS, SPILL, WAIT }

    /** What an engine does when grants pass its memory. */
    enum Shortage { LINE_UP, CUT, OVERCOMMIT }

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
    record ClassSpec(String name, double aim, double stretch, double deadline, double worth, double lateWorth,
            Effect effect, Scope scope, double repeatWindow, boolean ordered, boolean streaming, int threads,
            boolean loads, boolean waitsForLoads, List<Integer> zones, List<Integer> kinds) { }

    /** A tenant and the requests a second, over all routers, that lie within its share. */
    record Tenant(String name, double quotaPerS, double share) { }

    /** What the site allows. */
    record Limits(boolean cancel, boolean probe, boolean tell, boolean secondCopies, boolean retryAfter,
            int maxAttempts, double maxRetryAfter, int openCap, double connectTimeout) { }

    /** The figures of the rules; the budget fields are NaN where no budget is set, {@code settle} 0 where none. */
    record Rules(double answerSlack, double askEvery, double cold, double coldShare, double drainGrace,
            double fall, double fallMultiple, double settle, double budgetFree, double budgetShare,
            double budgetSpan) { }

    /** What is told of the engines; {@code cores} and {@code memory} are by kind of machine, 0 if not told. */
    record Fleet(List<Double> cores, List<Double> memory, double largestShare, boolean takesGrants,
            boolean priorities, Shortage shortage, double notePeriod, boolean tellsCost,
            List<String> reportFields) { }

    /** What a router is told at its start. */
    record Settings(int routers, int me, int zone, List<ClassSpec> classes, List<Tenant> tenants,
            double overShareWorth, boolean askDiscovery, boolean marksRetry, double crossZonePrice,
            double wastePrice, double peerPrice, double tick, Limits limits, Rules rules, Fleet fleet) {
        /** Refuses what can't work, by the name of the field. */
        public Settings {
            require(routers >= 1, "routers must be at least 1");
            require(!classes.isEmpty(), "classes must not be empty");
            for (ClassSpec c : classes) {
                require(c.aim() > 0, "aim of class " + c.name() + " must be above 0");
                require(c.deadline() > 0, "deadline of class " + c.name() + " must be above 0");
            }
        }

        /** The same with other classes and tenants. */
        public Settings withClassesAndTenants(List<ClassSpec> otherClasses, List<Tenant> otherTenants) {
            return new Settings(routers, me, zone, otherClasses, otherTenants, overShareWorth, askDiscovery, marksRetry,
                    crossZonePrice, wastePrice, peerPrice, tick, limits, rules, fleet);
        }

        /** The same among so many routers, as the one with this number. */
        public Settings withRouter(int routerCount, int number) {
            return routerCount == routers && number == me ? this : new Settings(routerCount, number, zone, classes, tenants,
                    overShareWorth, askDiscovery, marksRetry, crossZonePrice, wastePrice, peerPrice, tick, limits, rules, fleet);
        }

        /** The same where no word reaches another router, whatever the site allows. */
        public Settings withoutPeerMessages() {
            Limits withoutTell = new Limits(limits.cancel, limits.probe, false, limits.secondCopies, limits.retryAfter, limits.maxAttempts,
                    limits.maxRetryAfter, limits.openCap, limits.connectTimeout);
            return limits.tell ? new Settings(routers, me, zone, classes, tenants, overShareWorth, askDiscovery, marksRetry,
                    crossZonePrice, wastePrice, peerPrice, tick, withoutTell, rules, fleet) : this;
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
    record Request(long id, int cls, int tenant, double patience, double work, double memory, double tables,
            long key, boolean retry, boolean write) implements Event { }

    /** A list of engines came, or word that asking for it failed. */
    record Listed(ListKind kind, long version, List<Engine> engines) implements Event { }

    /** An attempt ended. {@code over}: its request is over too; {@code work} and {@code memory} NaN if not told. */
    record Ended(long id, int attempt, long engine, Outcome outcome, double latency, boolean over, double work,
            double memory, List<Double> load) implements Event { }

    /** The answer of a streamed request has started: it belongs to the client now. */
    record Started(long id, int attempt, long engine, double latency) implements Event { }

    /** News of a running attempt. */
    record Note(long id, int attempt, long engine, NoteKind kind, double value) implements Event { }

    /**
     * New settings bind from now on, also for the list of engines that follows. A class that both know keeps its number
     * for good; {@code dropped} are the numbers of those that no new request will name. Requests that are open keep the
     * terms under which they were taken.
     */
    record Configured(Settings settings, List<Integer> dropped) implements Event { }

    /** The client has left; nothing is owed any more. */
    record Left(long id) implements Event { }

    /** A timer came due. */
    record Timer(int token) implements Event { }

    /** What a probe found; {@code ok} is false where it failed. */
    record Probed(long engine, boolean ok, double latency, List<Double> load) implements Event { }

    /** A message from another router. */
    record Told(long from, byte[] text) implements Event { }

    /** Something to do. */
    sealed interface Action { }

    /** Send the request's next attempt to an engine; {@code timeout} 0 means until the client gives up. */
    record Send(long id, long engine, double timeout) implements Action { }

    /** Turn the request away: trying again is harmless, after {@code comeBack} where that is above 0. */
    record Refuse(long id, double comeBack) implements Action { }

    /** End the request as failed: nothing is promised. */
    record Fail(long id) implements Action { }

    /** Why an attempt is cancelled; the adapter's wire has no word for it, it is told to operators. */
    enum Why {
        /** The request is over. */
        OVER,
        /** Its engine has gone silent. */
        MUTE,
        /** It takes far longer than its query should. */
        STRAGGLES,
        /** A note says that it stands still behind a load. */
        HELD,
        /** A note of progress says that it would take far longer than its query should. */
        SLOW
    }

    /** Stop waiting for an attempt. */
    record Cancel(long id, int attempt, Why why) implements Action { }

    /** Wake the gateway with this token after a delay. */
    record SetTimer(int token, double delay) implements Action { }

    /** Name priority (0 to 3) and memory grant (0: the engine's choice) of the request's next attempts. */
    record Terms(long id, int priority, double memory) implements Action { }

    /** Look at an engine. */
    record Probe(long engine) implements Action { }

    /** Follow the list of engines from now on. */
    record Watch(boolean on) implements Action { }

    /** Ask once for the whole list. */
    record Fetch() implements Action { }

    /** Send a short message to a router, or to all where {@code to} is negative. */
    record Tell(int to, byte[] text) implements Action { }
}
