package quincespar.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import quincespar.decision.GcMuScheduler;
import quincespar.decision.Scheduler;
import quincespar.membership.PollTiming;
import quincespar.protocol.FleetEvent;
import quincespar.recovery.Recovery;
import quincespar.protocol.FleetEvent.Phase;

/** One front end without sockets: engines that take all and answer when they are told to. */
final class SimulatedRouter {
    /** A class as settings list it. */
    record Spec(String name, String effect) { }

    static RoutingSettings site(int attempts, Spec... specs) {
        Map<String, String> pairs = new HashMap<>(Map.of("requestClasses.count", "" + specs.length, "tick", "1",
                "limits.maxAttempts", "" + attempts, "limits.cancelling", "true", "projects.count", "1",
                "projects.0.name", "acme", "projects.0.quotaPerS", "1000"));
        for (int i = 0; i < specs.length; i++) {
            pairs.putAll(Map.of("requestClasses." + i + ".name", specs[i].name(), "requestClasses." + i + ".slo", "800",
                    "requestClasses." + i + ".hardLimit", "4000", "requestClasses." + i + ".effect", specs[i].effect()));
        }
        return RoutingSettings.of(pairs);
    }

    final Map<Caller, Integer> answers = new HashMap<>();
    final Map<Caller, String> effects = new HashMap<>();
    final Map<Caller, Reply> replies = new HashMap<>();
    final Map<String, Integer> sends = new HashMap<>();
    final Map<String, Effect.Send> out = new LinkedHashMap<>();
    final List<Effect> all = new ArrayList<>();
    final Map<Long, Scheduler.Engine> told = new HashMap<>();
    final Reducer reducer;
    RoutingSettings site;
    double now = 1000;
    int asked;
    private long poll;
    private long seq = 1;

    SimulatedRouter(RoutingSettings start) {
        this(start, null);
    }

    /** With a return from a loss of power, null for none; loads wait for the disk. */
    SimulatedRouter(RoutingSettings start, Recovery recovery) {
        site = start;
        reducer = new Reducer(site, new Bounds(100, 1000, 2000, 2500, 8, 8, 500,
                new PollTiming(2000, 1000, 250, 1000, 250, 400, 5000, 10_000)), heard(new GcMuScheduler(site.decision(), 7)), recovery, true);
        follow(reducer.start(now, "127.0.0.1:1", List.of(new FleetEvent(1, 1, true,
                List.of(member("s-1", Phase.UP), member("s-2", Phase.UP))))));
    }

    /** A module, and what it was last told of each engine. */
    private Scheduler heard(Scheduler module) {
        return new Scheduler() {
            @Override
            public List<Scheduler.Action> decide(double time, List<Scheduler.Event> events) {
                events.stream().filter(Scheduler.EngineList.class::isInstance).flatMap(e -> ((Scheduler.EngineList) e).engines().stream())
                        .forEach(e -> told.put(e.id(), e));
                return module.decide(time, events);
            }

            @Override
            public int ejectedEngineCount() {
                return module.ejectedEngineCount();
            }
        };
    }

    static FleetEvent.Member member(String id, Phase phase) {
        return new FleetEvent.Member(id, "127.0.0.1:1", "", "", 0, phase, 1, 0);
    }

    /** The change log's next word. */
    void changes(FleetEvent.Member... members) {
        step(new Input.ChangesReceived(poll, ++seq, List.of(new FleetEvent(seq, seq, false, List.of(members)))));
    }

    void step(Input... inputs) {
        now += 5;
        follow(reducer.step(now, List.of(inputs)));
    }

    void follow(List<Effect> effects) {
        all.addAll(effects);
        List<Input> next = new ArrayList<>();
        for (Effect e : effects) {
            if (e instanceof Effect.OpenLink x) {
                next.add(new Input.LinkUp(x.link()));
            } else if (e instanceof Effect.Send x) {
                assertThat(out).as("two at once").doesNotContainKey(x.txn());
                assertThat(x.write().begin()).isTrue();
                next.add(new Input.SendWritten(x.key()));
                sends.merge(x.txn(), 1, Integer::sum);
                out.put(x.txn(), x);
            } else if (e instanceof Effect.Cancel x) {
                out.remove(x.txn());
                next.add(new Input.CancelWritten(x.key()));
            } else if (e instanceof Effect.Answer x) {
                answers.merge(x.caller(), 1, Integer::sum);
                replies.put(x.caller(), x.reply());
            } else if (e instanceof Effect.PollChangeLog x) {
                poll = x.pollId();
            } else if (e instanceof Effect.CloseLink x) {
                out.values().removeIf(s -> s.link() == x.link());
            } else if (e instanceof Effect.ApplySettings x) {
                site = x.settings();
            } else if (e instanceof Effect.UnexpectedError x) {
                throw new AssertionError(x.activity(), x.error());
            }
        }
        if (!next.isEmpty()) {
            step(next.toArray(new Input[0]));
        }
    }

    Caller ask(String cls) {
        Caller c = new Caller(1, ++asked);
        int number = site.classNumbers().get(cls);
        effects.put(c, site.decision().classes().get(number).idempotency().name());
        step(new Input.RequestReceived(c, new Query(String.format("%016x", asked), number, 0, 4000, false, 10, 0, 0, new byte[0]),
                now));
        return c;
    }

    void retune(RoutingSettings to) {
        step(new Input.ReloadRequested());
        List<Effect.ReloadConfiguration> rereads = all.stream().filter(Effect.ReloadConfiguration.class::isInstance).map(Effect.ReloadConfiguration.class::cast)
                .toList();
        step(new Input.ConfigurationLoaded(rereads.get(rereads.size() - 1).reloadId(), "127.0.0.1:1", to, Map.of()));
    }

    /** An engine's word on one of what it holds. */
    void say(int which, boolean served) {
        Effect.Send s = List.copyOf(out.values()).get(which % out.size());
        out.remove(s.txn());
        step(new Input.EngineMessageReceived(s.link(), served ? new EngineMessage.Done(s.txn(), 1, new byte[] {'r'}, List.of())
                : new EngineMessage.Failed(s.txn(), List.of())));
    }

    /** Time goes on until all that is open has had its answer, at the latest when its client gives up. */
    void settle() {
        for (int i = 0; i < 2000 && (reducer.openRequests() > 0 || !out.isEmpty()); i++) {
            if (!out.isEmpty()) {
                say(0, true);
            } else {
                step(new Input.TimerFired(new TimerKey.Gateway(1, i)));
            }
        }
    }
}
