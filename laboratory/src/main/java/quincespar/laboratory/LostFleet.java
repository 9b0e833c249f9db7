package quincespar.laboratory;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import quincespar.decision.GcMuScheduler;
import quincespar.fleet.Command;
import quincespar.fleet.FleetState;
import quincespar.fleet.FleetView;
import quincespar.fleet.Participation;
import quincespar.fleet.Result;
import quincespar.fleet.Snapshot;
import quincespar.fleet.Standing;
import quincespar.membership.PollTiming;
import quincespar.protocol.FleetEvent;
import quincespar.recovery.DurableFact;
import quincespar.recovery.JournalEntry;
import quincespar.recovery.Recovery;
import quincespar.routing.Bounds;
import quincespar.routing.Caller;
import quincespar.routing.Effect;
import quincespar.routing.EngineMessage;
import quincespar.routing.Input;
import quincespar.routing.Query;
import quincespar.routing.Reducer;
import quincespar.routing.Reply;
import quincespar.routing.RoutingSettings;
import quincespar.routing.TimerKey;

/**
 * All front ends and engines have lost their power at the same moment and come back one after the other, while clients go on asking. The front
 * ends are the program's own reducer, module and recovery; what they agree on is the program's own state, and how they agree is modelled: there
 * is a majority once three of the first five are back, and a second later it leads. Times in milliseconds since the loss.
 */
final class LostFleet {
    /**
     * What is lost and how it returns.
     *
     * @param perSecond requests that clients of all front ends send in a second
     * @param frontsOverMs front ends come back at a chance moment within so long
     * @param enginesOverMs engines do
     * @param returns whether front ends look for a return from a loss of power
     */
    record Loss(int fronts, int engines, double perSecond, double frontsOverMs, double enginesOverMs, boolean returns, long seed, int seconds) { }

    /**
     * What came of it.
     *
     * @param served worth served in each second
     * @param possible what clients asked for and the settings promise of the returned engines: of a cold one its share at the start, as nobody
     *                 is told how it grows
     * @param fell when engines were pushed over
     * @param firstMs when the first request was served, infinite where none was
     * @param problems rules that were broken, other than engines that fell
     */
    record Outcome(double[] served, double[] possible, List<Double> fell, double firstMs, Map<String, Integer> counts, List<String> problems) {
        /** What part of what was possible in the first seconds was served. */
        double part(int seconds) {
            double all = 0;
            double got = 0;
            for (int s = 0; s < Math.min(seconds, served.length); s++) {
                all += possible[s];
                got += served[s];
            }
            return all == 0 ? 1 : got / all;
        }
    }

    private record Cls(String name, String effect, double aim, double limit, double worth, double work, double part) { }

    private static final List<Cls> CLASSES = List.of(new Cls("lookup", "safe", 1000, 3000, 1, 30, 0.85), new Cls("report", "safe", 5000, 10_000, 3,
            300, 0.12), new Cls("load", "unsafe", 10_000, 15_000, 5, 500, 0.03));
    private static final double MEAN_WORK = CLASSES.stream().mapToDouble(c -> c.work() * c.part()).sum();
    private static final double MEAN_WORTH = CLASSES.stream().mapToDouble(c -> c.worth() * c.part()).sum();
    private static final VirtualEngine.Kind ENGINE = new VirtualEngine.Kind(8, 10_000, 0.3, 1000, 1.5, MEAN_WORK);
    private static final int VOTERS = 5, TRIES = 3;
    private static final double TICK = 20, LINK = 1, FORCE = 3, READ = 20, LIST = 5, AGREE = 30, ELECTION = 1000, RENEW = 500, TELL_TIME = 200,
            SUSPECT = 1500, GONE = 4000, STOOD = 30_000, HOLD = 10_000, TURNED = 100, BEFORE = 100_000;
    /** Where the reducer's clock stands at the loss: it tells Unix milliseconds. */
    private static final double EPOCH = 1.7e12;

    private final Loss loss;
    private final Random chance;
    private final VirtualTime time = new VirtualTime();
    private final List<VirtualEngine> engines = new ArrayList<>();
    private final List<FleetEvent.Member> listed = new ArrayList<>();
    private final List<Front> fronts = new ArrayList<>();
    private FleetState agreed = FleetState.restore(Snapshot.EMPTY);
    private double leadsAt = Double.POSITIVE_INFINITY;
    private final double[] served;
    private final double[] possible;
    private final List<Double> fell = new ArrayList<>();
    private final Set<String> loads = new HashSet<>();
    private final Map<String, Integer> counts = new LinkedHashMap<>();
    private final List<String> problems = new ArrayList<>();
    private double firstAt = Double.POSITIVE_INFINITY;
    private int asked;

    LostFleet(Loss loss) {
        this.loss = loss;
        chance = new Random(loss.seed());
        served = new double[loss.seconds()];
        possible = new double[loss.seconds()];
        for (int i = 0; i < loss.engines(); i++) {
            VirtualEngine e = new VirtualEngine(time, ENGINE);
            engines.add(e);
            listed.add(new FleetEvent.Member("e-" + i, "10.0.0.1:" + (1000 + i), "", "", 0, FleetEvent.Phase.UP, 1, 0));
            time.after(chance.nextDouble() * loss.enginesOverMs(), e::back);
        }
        for (int i = 0; i < loss.fronts(); i++) {
            Front f = new Front(i);
            fronts.add(f);
            joins(f, 1);
        }
        agreed.apply(new Command.Tick(Math.round(BEFORE), Long.MAX_VALUE, Long.MAX_VALUE)); // all had served for long
        fronts.forEach(f -> agreed.apply(new Command.Renew(f.name, f.incarnation, Standing.SERVING, 0, 0)));
        fronts.forEach(f -> time.after(chance.nextDouble() * loss.frontsOverMs(), f::start));
        time.after(0, this::ask);
        time.after(0, this::measure);
    }

    /** Plays it. */
    Outcome play() {
        time.run(1000.0 * loss.seconds());
        fronts.forEach(Front::owed);
        return new Outcome(served, possible, fell, firstAt, counts, problems);
    }

    private void count(String what) {
        counts.merge(what, 1, Integer::sum);
    }

    private void joins(Front f, long nonce) {
        Result r = agreed.apply(new Command.Join(f.name, "folder-" + f.number, f.incarnation, 0, "", f.number < VOTERS, "laboratory",
                nonce + f.number * 1000L));
        if (r instanceof Result.Joined j) {
            f.incarnation = j.incarnation();
        } else {
            problems.add(f.name + " was not taken in: " + r);
        }
    }

    /** The first majority leads after an election, and tells the time from then on. */
    private void voterBack() {
        if (fronts.stream().filter(f -> f.number < VOTERS && f.reducer != null).count() == VOTERS / 2 + 1) {
            time.after(ELECTION, () -> {
                leadsAt = time.now();
                tellTime();
            });
        }
    }

    private void tellTime() {
        agreed.apply(new Command.Tick(agreed.time() + Math.round(TELL_TIME), Math.round(SUSPECT), Math.round(GONE)));
        time.after(TELL_TIME, this::tellTime);
    }

    private void measure() {
        int second = (int) (time.now() / 1000);
        if (second < possible.length) {
            double cores = engines.stream().mapToDouble(e -> (e.share() < 1 ? Math.min(e.share(), ENGINE.coldShare()) : 1) * ENGINE.cores()).sum();
            boolean any = fronts.stream().anyMatch(f -> f.reducer != null);
            possible[second] = any ? Math.min(loss.perSecond(), cores * 1000 / MEAN_WORK) * MEAN_WORTH : 0;
            time.after(1000, this::measure);
        }
    }

    private void ask() {
        double draw = chance.nextDouble();
        int cls = 0;
        while (cls < CLASSES.size() - 1 && draw >= CLASSES.get(cls).part()) {
            draw -= CLASSES.get(cls++).part();
        }
        send(cls, 0);
        time.after(-Math.log(1 - chance.nextDouble()) * 1000 / loss.perSecond(), this::ask);
    }

    /** What is before the front ends gives a request to any that says that it is ready. */
    private void send(int cls, int tries) {
        List<Front> ready = fronts.stream().filter(f -> f.reducer != null && f.reducer.canServe()).toList();
        if (ready.isEmpty()) {
            count("nobody ready");
        } else {
            ready.get(chance.nextInt(ready.size())).asked(cls, tries);
        }
    }

    private record Ask(String txn, int cls, int tries, double until) { }

    private record Flight(long link, String txn) { }

    /** One front end: what the reducer asks for is carried out in virtual time. */
    private final class Front {
        private final int number;
        private final String name;
        private final Map<TimerKey, Long> timers = new HashMap<>();
        private final Map<Long, VirtualEngine> links = new HashMap<>();
        private final Map<Caller, Ask> open = new HashMap<>();
        private Reducer reducer;
        private long incarnation;
        private long serial;
        private long poll;
        private int callers;

        Front(int number) {
            this.number = number;
            name = "n" + (number + 1);
        }

        void start() {
            RoutingSettings site = site(loss.fronts(), number);
            Recovery r = loss.returns() ? new Recovery(new quincespar.recovery.RecoveryTimeouts(2000, 5000, 4000, 3000, 1000, 2000, STOOD), name, true,
                    Reducer.classTraits(site)) : null;
            reducer = new Reducer(site, new Bounds(1000, 5000, 2000, 2500, 8, 8, 500, new PollTiming(2000, 1000, 250, 1000, 250, 400, 5000, 10_000)),
                    new GcMuScheduler(site.decision(), loss.seed() * 1000 + number), r, loss.returns());
            perform(reducer.start(EPOCH + time.now(), "10.0.0.2:1", List.of(new FleetEvent(1, 1, true, listed))));
            if (loss.returns()) {
                time.after(READ, () -> take(new Input.RecoveryJournalRead(DurableFact.FolderCondition.WHOLE, List.of(new JournalEntry.ProcessStarted(name, 1)), "")));
            }
            voterBack();
            time.after(chance.nextDouble() * RENEW, this::meet);
        }

        /** Joins once there is a majority, and renews from then on; each renewal brings news. */
        private void meet() {
            if (time.now() < leadsAt) {
                time.after(RENEW, this::meet);
                return;
            }
            joins(this, 2);
            renew();
        }

        private void renew() {
            agreed.apply(new Command.Renew(name, incarnation, Standing.SERVING, 0, 0));
            take(new Input.FleetChanged(new FleetView(Participation.Phase.IN_TOUCH, "", incarnation, agreed.snapshot(), EPOCH + time.now(), true),
                    name, HOLD));
            time.after(RENEW, this::renew);
        }

        void asked(int cls, int tries) {
            Cls c = CLASSES.get(cls);
            Ask a = new Ask(String.format("%016x", ++LostFleet.this.asked), cls, tries, time.now() + c.limit());
            Caller caller = new Caller(1 + callers % 16, ++callers);
            open.put(caller, a);
            count("asked");
            take(new Input.RequestReceived(caller, new Query(a.txn(), cls, 0, c.limit(), tries > 0, c.work(), 0, 0, new byte[0]), EPOCH + time.now()));
        }

        /** Whoever is not answered by now must have some of its time left. */
        void owed() {
            counts.merge("open at the end", open.size(), Integer::sum);
            open.values().stream().filter(a -> time.now() > a.until()).forEach(a -> problems.add(a.txn() + " has no answer in time"));
        }

        private void take(Input... inputs) {
            perform(reducer.step(EPOCH + time.now(), List.of(inputs)));
        }

        private void later(double ms, Input input) {
            time.after(ms, () -> take(input));
        }

        private void perform(List<Effect> effects) {
            effects.forEach(this::perform);
        }

        private void perform(Effect effect) {
            if (effect instanceof Effect.StartTimer e) {
                long of = ++serial;
                timers.put(e.key(), of);
                time.after(e.delayMs(), () -> {
                    if (timers.remove(e.key(), of)) {
                        take(new Input.TimerFired(e.key()));
                    }
                });
            } else if (effect instanceof Effect.StopTimer e) {
                timers.remove(e.key());
            } else if (effect instanceof Effect.Send e) {
                send(e);
            } else if (effect instanceof Effect.Cancel e) {
                VirtualEngine at = links.get(e.link());
                if (at != null) {
                    time.after(LINK, () -> at.drop(new Flight(e.link(), e.txn())));
                    later(LINK, new Input.CancelWritten(e.key()));
                }
            } else if (effect instanceof Effect.OpenLink e) {
                open(e.link(), engines.get(Integer.parseInt(e.address().split(":")[1]) - 1000));
            } else if (effect instanceof Effect.CloseLink e) {
                links.remove(e.link());
            } else if (effect instanceof Effect.Probe e) {
                later(2 * LINK, new Input.EngineMessageReceived(e.link(), new EngineMessage.Health(e.tag(), true, List.of())));
            } else if (effect instanceof Effect.PollChangeLog e) {
                poll = e.pollId();
                time.after(e.afterEvent() < 1 ? LIST : e.waitMs(), () -> {
                    if (poll == e.pollId()) {
                        take(new Input.ChangesReceived(e.pollId(), 1, e.afterEvent() < 1 ? List.of(new FleetEvent(1, 1, true, listed)) : List.of()));
                    }
                });
            } else if (effect instanceof Effect.PersistEntry e && e.request() != 0) {
                later(FORCE, new Input.PersistFinished(e.request(), true));
            } else if (effect instanceof Effect.ReadFleetState) {
                boolean leads = time.now() >= leadsAt;
                time.after(leads ? AGREE : GONE, () -> take(new Input.FleetStateReceived(leads ? agreed.snapshot() : null)));
            } else if (effect instanceof Effect.Answer e) {
                answered(e);
            } else if (effect instanceof Effect.UnexpectedError e) {
                throw new IllegalStateException(name + ": " + e.activity(), e.error());
            }
        }

        private void open(long link, VirtualEngine to) {
            time.after(LINK, () -> {
                if (to.stands()) {
                    links.put(link, to);
                    take(new Input.LinkUp(link));
                } else {
                    take(new Input.LinkDown(link, "refused"));
                }
            });
        }

        private void send(Effect.Send e) {
            VirtualEngine to = links.get(e.link());
            if (to == null || !e.write().begin()) {
                return;
            }
            later(0, new Input.SendWritten(e.key()));
            Cls c = CLASSES.stream().filter(x -> x.name().equals(e.queue())).findFirst().orElseThrow();
            if (c.effect().equals("unsafe") && !loads.add(e.txn())) {
                problems.add("load " + e.txn() + " was sent twice");
            }
            time.after(LINK, () -> {
                boolean stood = to.stands();
                if (stood && !to.take(new Flight(e.link(), e.txn()), c.work() * (0.8 + 0.4 * chance.nextDouble()), () -> done(e, to))) {
                    fell.add(time.now());
                    fronts.forEach(f -> f.lost(to));
                }
            });
        }

        private void done(Effect.Send e, VirtualEngine by) {
            if (links.get(e.link()) == by) {
                take(new Input.EngineMessageReceived(e.link(), new EngineMessage.Done(e.txn(), 1, new byte[] {'r'}, List.of())));
            }
        }

        private void lost(VirtualEngine e) {
            List.copyOf(links.keySet()).stream().filter(l -> links.get(l) == e).forEach(l -> {
                links.remove(l);
                later(LINK, new Input.LinkDown(l, "reset"));
            });
        }

        private void answered(Effect.Answer e) {
            Ask a = open.remove(e.caller());
            if (a == null) {
                problems.add(name + " gave a second answer");
                return;
            }
            if (e.reply() instanceof Reply.Served) {
                count("served");
                int second = (int) (time.now() / 1000);
                served[Math.min(second, served.length - 1)] += CLASSES.get(a.cls()).worth();
                firstAt = Math.min(firstAt, time.now());
            } else if (e.reply() instanceof Reply.Refused r) {
                count("refused");
                if (a.tries() + 1 < TRIES) { // told when to come back, it does so
                    time.after(Math.max(TURNED, r.retryAfterMs()), () -> LostFleet.this.send(a.cls(), a.tries() + 1));
                }
            } else {
                count("failed");
            }
        }
    }

    private static RoutingSettings site(int fronts, int me) {
        Map<String, String> pairs = new HashMap<>(Map.of("balancers", "" + fronts, "me", "" + me, "tick", "" + TICK, "limits.maxAttempts", "3",
                "limits.cancelling", "true", "limits.retryAfter", "true", "limits.maxRetryAfter", "10000", "projects.count", "1",
                "projects.0.name", "acme", "projects.0.quotaPerS", "1000000"));
        pairs.putAll(Map.of("projects.0.share", "1", "rules.cold", "" + ENGINE.coldMs(), "rules.coldShare", "" + ENGINE.coldShare(), "rules.fall",
                "" + ENGINE.fallMs(), "rules.fallMultiple", "" + ENGINE.fallMultiple(), "extra.sizeCores", "" + ENGINE.cores(),
                "extra.tellsCost", "true", "requestClasses.count", "" + CLASSES.size()));
        StringBuilder writes = new StringBuilder();
        for (int i = 0; i < CLASSES.size(); i++) {
            Cls c = CLASSES.get(i);
            String p = "requestClasses." + i + ".";
            pairs.putAll(Map.of(p + "name", c.name(), p + "slo", "" + c.aim(), p + "hardLimit", "" + c.limit(), p + "points", "" + c.worth(),
                    p + "effect", c.effect()));
            writes.append(i == 0 ? "" : ",").append(c.effect().equals("unsafe"));
        }
        pairs.put("extra.writesTables", writes.toString());
        return RoutingSettings.of(pairs);
    }
}
