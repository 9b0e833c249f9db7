package quincespar.decision;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import quincespar.decision.Scheduler.Action;
import quincespar.decision.Scheduler.AttemptEnded;
import quincespar.decision.Scheduler.ClassSpec;
import quincespar.decision.Scheduler.ClientLeft;
import quincespar.decision.Scheduler.DeduplicationScope;
import quincespar.decision.Scheduler.Engine;
import quincespar.decision.Scheduler.EngineList;
import quincespar.decision.Scheduler.EngineState;
import quincespar.decision.Scheduler.EngineTraits;
import quincespar.decision.Scheduler.Event;
import quincespar.decision.Scheduler.Idempotency;
import quincespar.decision.Scheduler.Limits;
import quincespar.decision.Scheduler.ListKind;
import quincespar.decision.Scheduler.MemoryShortagePolicy;
import quincespar.decision.Scheduler.Outcome;
import quincespar.decision.Scheduler.Request;
import quincespar.decision.Scheduler.Rules;
import quincespar.decision.Scheduler.SendAttempt;
import quincespar.decision.Scheduler.Settings;

/**
 * One scheduler with settings that a test can change, a clock that the test moves, and factories for events.
 */
final class RouterHarness {
    final List<ClassSpec> classes = new ArrayList<>();
    int routers = 1;
    int routerIndex;
    List<String> reportFields = List.of();
    boolean discoveryOnRequest;
    Limits limits = new Limits(true, false, false, false, true, 4, 500, 20000, 250);
    Rules rules = new Rules(20, 10000, 10000, 0.3, 250, 1000, 2, 0, Double.NaN, Double.NaN, Double.NaN);
    GcMuScheduler scheduler;
    double now = 1000;

    static ClassSpec classSpec(String name, double aim, double worth, Idempotency effect,
            DeduplicationScope scope, boolean ordered,
            List<Integer> zones, List<Integer> kinds) {
        return new ClassSpec(name, aim, 0, 4 * aim, worth, 0.5, effect, scope, 3000, ordered, false, 1, false,
                false, zones, kinds);
    }

    static ClassSpec safeClass(String name, double aim, double worth) {
        return classSpec(name, aim, worth, Idempotency.SAFE, DeduplicationScope.ALL, false, null, null);
    }

    static Engine engine(long id, int zone, int cell, EngineState state, double startedAt) {
        return new Engine(id, zone, 0, cell, state, 1, startedAt);
    }

    static Engine ready(long id) {
        return engine(id, 0, 0, EngineState.READY, 0);
    }

    static List<Engine> readyEngines(long first, int count) {
        return java.util.stream.LongStream.range(first, first + count).mapToObj(RouterHarness::ready).toList();
    }

    /**
     * The work that overloads a cold engine of eight cores within the overload window, at its least capacity.
     */
    double coldOverloadWork() {
        return rules.overloadMultiple() * rules.coldCapacityShare() * 0.85 * 8 * rules.overloadWindow();
    }

    Settings settings() {
        EngineTraits fleet = new EngineTraits(List.of(8.0), List.of(16384.0), 0.5, false, false,
                MemoryShortagePolicy.CUT, 0, true, reportFields);
        return new Settings(routers, routerIndex, 0, classes, List.of(), 1, discoveryOnRequest, true, 0.02,
                0.05, 0.01, 5, limits, rules, fleet);
    }

    RouterHarness start(Engine... engines) {
        scheduler = new GcMuScheduler(settings(), 7 + routerIndex);
        decide(new EngineList(ListKind.CACHED, 1, List.of(engines)));
        return this;
    }

    List<Action> decide(Event... events) {
        return scheduler.decide(now, Arrays.asList(events));
    }

    List<Action> decideAfter(double ms, Event... events) {
        now += ms;
        return decide(events);
    }

    /** Sends requests until the engines have no room; the running ones have the ids from 9000. */
    void fillLimit(int cls) {
        long id = 9000;
        while (!sends(decide(request(id, cls))).isEmpty()) {
            id++;
        }
        decide(new ClientLeft(id));
    }

    static Request request(long id, int cls) {
        return requestOfKey(id, cls, 0);
    }

    static Request requestOfKey(long id, int cls, long key) {
        return new Request(id, cls, 0, 4000, 100, 0, 0, key, false, false);
    }

    static AttemptEnded attemptEnded(long id, int attempt, long engine, Outcome outcome, double latency) {
        boolean ok = outcome == Outcome.OK;
        return new AttemptEnded(id, attempt, engine, outcome, latency, ok, ok ? 100 : Double.NaN, Double.NaN,
                List.of());
    }

    static List<SendAttempt> sends(List<Action> actions) {
        return ofType(actions, SendAttempt.class);
    }

    static <T> List<T> ofType(List<Action> actions, Class<T> type) {
        return actions.stream().filter(type::isInstance).map(type::cast).toList();
    }
}
