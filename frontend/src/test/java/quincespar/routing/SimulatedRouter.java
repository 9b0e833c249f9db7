package quincespar.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import quincespar.decision.Scheduler;
import quincespar.decision.GcMuScheduler;
import quincespar.membership.PollTiming;
import quincespar.protocol.FleetEvent;
import quincespar.protocol.FleetEvent.Phase;
import quincespar.recovery.Recovery;

/** A front end without sockets, with the real decision module and engines that answer when a test says so. */
final class SimulatedRouter {
    /** A class as the settings list it. */
    record Spec(String name, String effect, boolean ordered) {
        Spec(String name, String effect) {
            this(name, effect, false);
        }
    }

    static final long MAX_REQUEST_BYTES = 8 << 20;

    static RoutingSettings settings(int maxAttempts, Spec... specs) {
        return settings(Map.of(), maxAttempts, specs);
    }

    /** Settings with further pairs of path and value. */
    static RoutingSettings settings(Map<String, String> further, int maxAttempts, Spec... specs) {
        Map<String, String> pairs = new HashMap<>(Map.of("requestClasses.count", "" + specs.length, "tick", "1",
                "limits.maxAttempts", "" + maxAttempts, "limits.cancelling", "true", "projects.count", "1",
                "projects.0.name", "acme", "projects.0.quotaPerS", "1000", "rules.settleAfterDoubt", "300"));
        for (int i = 0; i < specs.length; i++) {
            pairs.putAll(Map.of("requestClasses." + i + ".name", specs[i].name(), "requestClasses." + i + ".slo", "800",
                    "requestClasses." + i + ".hardLimit", "4000", "requestClasses." + i + ".effect", specs[i].effect(),
                    "requestClasses." + i + ".keepOrder", "" + specs[i].ordered(), "requestClasses." + i + ".keyScope", "all",
                    "requestClasses." + i + ".repeatWindow", "12000"));
        }
        pairs.putAll(further);
        return RoutingSettings.of(pairs);
    }

    /** How many answers each caller got. */
    final Map<Caller, Integer> answers = new HashMap<>();
    /** The effect of each caller's class when it sent its request. */
    final Map<Caller, String> classEffects = new HashMap<>();
    final Map<Caller, Reply> replies = new HashMap<>();
    /** How often each request was sent to an engine. */
    final Map<String, Integer> sends = new HashMap<>();
    /** Attempts at engines, by txn. */
    final Map<String, Effect.Send> running = new LinkedHashMap<>();
    final List<Effect> effects = new ArrayList<>();
    private final List<Effect.Send> sent = new ArrayList<>();
    private final Map<Long, String> addressesByLink = new HashMap<>();
    /** Whether attempts and cancels wait in an outbox; an attempt that does is never written. */
    boolean outboxBlocked;
    final List<Effect.Cancel> unwrittenCancels = new ArrayList<>();
    /** Each engine as the decision module was last told of it. */
    final Map<Long, Scheduler.Engine> listedEngines = new HashMap<>();
    /** The requests that the decision module was told of. */
    final List<Scheduler.Request> moduleRequests = new ArrayList<>();
    final Reducer reducer;
    RoutingSettings settings;
    double now = 1000;
    int requests;
    /** The connection on which clients send. */
    long connection = 1;
    private long pollId;
    private long lastEvent = 1;

    SimulatedRouter(RoutingSettings settings) {
        this(settings, null);
    }

    /** With recovery from a power loss, null for none; loads wait for the disk. */
    SimulatedRouter(RoutingSettings settings, Recovery recovery) {
        this(settings, recovery, false);
    }

    /** With ordering keys that are locked against other processes where {@code locksKeys}. */
    SimulatedRouter(RoutingSettings settings, Recovery recovery, boolean locksKeys) {
        this.settings = settings;
        reducer = new Reducer(settings, new Bounds(100, 100, 1000, MAX_REQUEST_BYTES, 2000, 2500, 8, 8, 500,
                new PollTiming(2000, 1000, 250, 1000, 250, 400, 5000, 10_000)),
                recordingLists(new GcMuScheduler(settings.decision(), 7)), recovery, true, locksKeys);
        perform(reducer.start(now, "127.0.0.1:1", List.of(new FleetEvent(1, 1, true,
                List.of(member("s-1", Phase.UP), member("s-2", Phase.UP))))));
    }

    /** Wraps a module to record the lists of engines that it is told. */
    private Scheduler recordingLists(Scheduler module) {
        return new Scheduler() {
            @Override
            public List<Scheduler.Action> decide(double time, List<Scheduler.Event> events) {
                events.stream().filter(Scheduler.EngineList.class::isInstance)
                        .flatMap(e -> ((Scheduler.EngineList) e).engines().stream())
                        .forEach(e -> listedEngines.put(e.id(), e));
                events.stream().filter(Scheduler.Request.class::isInstance).map(Scheduler.Request.class::cast)
                        .forEach(moduleRequests::add);
                return module.decide(time, events);
            }

            @Override
            public int ejectedEngineCount() {
                return module.ejectedEngineCount();
            }

            @Override
            public int openAttemptCount() {
                return module.openAttemptCount();
            }
        };
    }

    static FleetEvent.Member member(String id, Phase phase) {
        return new FleetEvent.Member(id, id + ":1", "", "", 0, phase, 1, 0);
    }

    /** An engine at an address of its own. */
    static FleetEvent.Member engineAt(String zone, String kind, int cell, String id, int port) {
        return new FleetEvent.Member(id, "127.0.0.1:" + port, zone, kind, cell, Phase.UP, 1, 0);
    }

    /** The ports of the engines to which a request has been sent. */
    Set<Integer> portsOf(String txn) {
        return sent.stream().filter(s -> s.txn().equals(txn)).map(s -> addressesByLink.get(s.link()))
                .map(address -> Integer.valueOf(address.split(":")[1])).collect(Collectors.toSet());
    }

    /** The change log answers the open poll with one event. */
    void changes(FleetEvent.Member... members) {
        step(new Input.ChangesReceived(pollId, ++lastEvent,
                List.of(new FleetEvent(lastEvent, lastEvent, false, List.of(members)))));
    }

    void step(Input... inputs) {
        now += 5;
        perform(reducer.step(now, List.of(inputs)));
    }

    private void perform(List<Effect> newEffects) {
        effects.addAll(newEffects);
        List<Input> inputs = new ArrayList<>();
        for (Effect effect : newEffects) {
            if (effect instanceof Effect.OpenLink e) {
                inputs.add(new Input.LinkUp(e.link()));
                addressesByLink.put(e.link(), e.address());
            } else if (effect instanceof Effect.Cancel e && outboxBlocked) {
                unwrittenCancels.add(e);
            } else if (effect instanceof Effect.Send e && !outboxBlocked) {
                assertThat(running).as("two attempts at once").doesNotContainKey(e.txn());
                assertThat(e.write().begin()).isTrue();
                inputs.add(new Input.SendWritten(e.key()));
                sends.merge(e.txn(), 1, Integer::sum);
                sent.add(e);
                running.put(e.txn(), e);
            } else if (effect instanceof Effect.Cancel e) {
                running.remove(e.txn());
                inputs.add(new Input.CancelWritten(e.key()));
            } else if (effect instanceof Effect.Answer e) {
                answers.merge(e.caller(), 1, Integer::sum);
                replies.put(e.caller(), e.reply());
            } else if (effect instanceof Effect.PollChangeLog e) {
                pollId = e.pollId();
            } else if (effect instanceof Effect.CloseLink e) {
                running.values().removeIf(s -> s.link() == e.link());
            } else if (effect instanceof Effect.ApplySettings e) {
                settings = e.settings();
            } else if (effect instanceof Effect.UnexpectedError e) {
                throw new AssertionError(e.activity(), e.error());
            }
        }
        if (!inputs.isEmpty()) {
            step(inputs.toArray(new Input[0]));
        }
    }

    /** A client sends a request of a class. */
    Caller request(String className) {
        return request(className, "");
    }

    /** A client sends a request with an ordering key. */
    Caller request(String className, String orderingKey) {
        return request(className, orderingKey, 0);
    }

    /** A client sends a request with a statement of that length. */
    Caller request(String className, String orderingKey, int statementBytes) {
        Caller caller = new Caller(connection, ++requests);
        int classNumber = settings.classNumbers().get(className);
        classEffects.put(caller, settings.decision().classes().get(classNumber).idempotency().name());
        step(new Input.RequestReceived(caller,
                new Query(String.format("%016x", requests), classNumber, 0, 4000, false, 10, 0, 0, new byte[statementBytes], "",
                        orderingKey), now));
        return caller;
    }

    /** The cancels in the outbox are written. */
    void unblockOutbox() {
        outboxBlocked = false;
        perform(List.copyOf(unwrittenCancels));
    }

    /** Lets time pass with no other event than the decision module's timers. */
    void advance(double ms) {
        for (double until = now + ms; now < until;) {
            step(new Input.TimerFired(new TimerKey.Scheduler(1, 0)));
        }
    }

    void reload(RoutingSettings newSettings) {
        step(new Input.ReloadRequested());
        List<Effect.ReloadConfiguration> reloads = effects.stream().filter(Effect.ReloadConfiguration.class::isInstance)
                .map(Effect.ReloadConfiguration.class::cast).toList();
        step(new Input.ConfigurationLoaded(reloads.get(reloads.size() - 1).reloadId(), "127.0.0.1:1", newSettings, Map.of()));
    }

    /** An engine answers one of the running attempts. */
    void engineAnswers(int which, boolean success) {
        Effect.Send send = List.copyOf(running.values()).get(which % running.size());
        running.remove(send.txn());
        step(new Input.EngineMessageReceived(send.link(), success
                ? new EngineMessage.Done(send.txn(), 1, new byte[] {'r'}, List.of())
                : new EngineMessage.Failed(send.txn(), List.of())));
    }

    /** Lets time pass until each open request is answered, at the latest when its client gives up. */
    void settle() {
        answerAll();
        assertSameAttemptsOpen();
    }

    /** Guards against attempts whose end the decision module never learns: it keeps their place at the engine for good. */
    void assertSameAttemptsOpen() {
        step(); // a step without input, in which the module learns of what has ended since its last call
        Map<String, Integer> counts = reducer.retainedCounts();
        assertThat(counts.get("held.module-attempts")).as("attempts that the module counts")
                .isEqualTo(counts.get("held.attempts"));
    }

    private void answerAll() {
        for (int i = 0; i < 2000 && (reducer.openRequests() > 0 || !running.isEmpty()); i++) {
            if (!running.isEmpty()) {
                engineAnswers(0, true);
            } else {
                step(new Input.TimerFired(new TimerKey.Scheduler(1, i)));
            }
        }
    }
}
