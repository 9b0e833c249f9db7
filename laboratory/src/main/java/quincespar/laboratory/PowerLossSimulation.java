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
import quincespar.recovery.RecoveryTimeouts;
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
 * Simulates a power loss of all front ends and engines at the same moment: they restart one after the other while clients keep
 * sending requests. The front ends run the program's own reducer, scheduler and recovery, and share the program's own fleet
 * state. Consensus is modelled: a leader exists one election after a majority of the voters has restarted. Times in milliseconds
 * since the power loss.
 */
final class PowerLossSimulation {
    /**
     * Parameters of a simulation.
     *
     * @param requestsPerSecond       requests of the clients of all front ends together
     * @param frontEndRestartWindowMs each front end restarts at a random time within this window
     * @param engineRestartWindowMs   each engine restarts at a random time within this window
     * @param recovery                whether front ends go through recovery after a restart
     * @param durationSeconds         simulated time after the power loss
     */
    record Scenario(int frontEnds, int engines, double requestsPerSecond, double frontEndRestartWindowMs,
            double engineRestartWindowMs, boolean recovery, long seed, int durationSeconds) { }

    /**
     * Results of a simulation.
     *
     * @param servedWorth        worth served in each second
     * @param attainableWorth    worth that was requested and that the restarted engines could serve in each second; a cold engine
     *                           counts with its initial share, as front ends are not told how that grows
     * @param engineFailureTimes when engines failed from overload
     * @param firstServedMs      when the first request was served, infinite if none was
     * @param counts             numbers of events by kind
     * @param violations         rules that were violated, other than that engines failed
     */
    record Outcome(double[] servedWorth, double[] attainableWorth, List<Double> engineFailureTimes, double firstServedMs,
            Map<String, Integer> counts, List<String> violations) {
        /** The share of the attainable worth of the first seconds that was served. */
        double servedShare(int seconds) {
            double attainable = 0;
            double served = 0;
            for (int second = 0; second < Math.min(seconds, servedWorth.length); second++) {
                attainable += attainableWorth[second];
                served += servedWorth[second];
            }
            return attainable == 0 ? 1 : served / attainable;
        }
    }

    /**
     * A class of requests.
     *
     * @param effect     "safe" or "unsafe"; an unsafe request must not be sent twice
     * @param targetMs   response time up to which it has its full worth
     * @param deadlineMs how long clients wait
     * @param workMs     mean work in milliseconds of one core
     * @param share      share of all requests
     */
    private record RequestClass(String name, String effect, double targetMs, double deadlineMs, double worth, double workMs,
            double share) { }

    private static final List<RequestClass> CLASSES = List.of(
            new RequestClass("lookup", "safe", 1000, 3000, 1, 30, 0.85),
            new RequestClass("report", "safe", 5000, 10_000, 3, 300, 0.12),
            new RequestClass("load", "unsafe", 10_000, 15_000, 5, 500, 0.03));
    private static final double MEAN_WORK_MS = CLASSES.stream().mapToDouble(c -> c.workMs() * c.share()).sum();
    private static final double MEAN_WORTH = CLASSES.stream().mapToDouble(c -> c.worth() * c.share()).sum();
    private static final VirtualEngine.Profile ENGINE = new VirtualEngine.Profile(8, 10_000, 0.3, 1000, 1.5, MEAN_WORK_MS);
    /** The work of a request is the mean of its class times a random factor, uniformly distributed around 1. */
    private static final double MIN_WORK_FACTOR = 0.8;
    private static final double WORK_FACTOR_RANGE = 0.4;
    private static final int FIRST_ENGINE_PORT = 1000;
    private static final int VOTERS = 5;
    private static final int MAX_TRIES = 3;
    private static final int CONNECTIONS_PER_FRONT_END = 16;
    private static final long MAX_REQUEST_BYTES = 64 << 20;
    private static final double TICK_MS = 20;
    private static final double NETWORK_DELAY_MS = 1;
    private static final double FSYNC_MS = 3;
    private static final double JOURNAL_READ_MS = 20;
    private static final double CHANGE_LOG_REPLY_MS = 5;
    private static final double QUORUM_READ_MS = 30;
    /** After this long a read of the fleet state fails if there is no leader. */
    private static final double QUORUM_READ_TIMEOUT_MS = 4000;
    private static final double ELECTION_MS = 1000;
    private static final double RENEW_INTERVAL_MS = 500;
    private static final double LEADER_TICK_INTERVAL_MS = 200;
    private static final double SUSPECT_AFTER_MS = 1500;
    private static final double GONE_AFTER_MS = 4000;
    private static final double SURVIVED_AFTER_MS = 30_000;
    private static final double SHARE_GROWTH_DELAY_MS = 10_000;
    private static final double MIN_RETRY_DELAY_MS = 100;
    private static final double UPTIME_BEFORE_LOSS_MS = 100_000;
    /** What the reducer's clock, in Unix milliseconds, shows at the power loss. */
    private static final double LOSS_UNIX_MS = 1.7e12;

    private final Scenario scenario;
    private final Random random;
    private final VirtualTime time = new VirtualTime();
    private final List<VirtualEngine> engines = new ArrayList<>();
    private final List<FleetEvent.Member> members = new ArrayList<>();
    private final List<FrontEnd> frontEnds = new ArrayList<>();
    private FleetState fleetState = FleetState.restore(Snapshot.EMPTY);
    private double leaderSinceMs = Double.POSITIVE_INFINITY;
    private final double[] servedWorth;
    private final double[] attainableWorth;
    private final List<Double> engineFailureTimes = new ArrayList<>();
    private final Set<String> sentLoads = new HashSet<>();
    private final Map<String, Integer> counts = new LinkedHashMap<>();
    private final List<String> violations = new ArrayList<>();
    private double firstServedMs = Double.POSITIVE_INFINITY;
    private int requestCount;

    PowerLossSimulation(Scenario scenario) {
        this.scenario = scenario;
        random = new Random(scenario.seed());
        servedWorth = new double[scenario.durationSeconds()];
        attainableWorth = new double[scenario.durationSeconds()];
        for (int i = 0; i < scenario.engines(); i++) {
            VirtualEngine engine = new VirtualEngine(time, ENGINE);
            engines.add(engine);
            members.add(new FleetEvent.Member("e-" + i, "10.0.0.1:" + (FIRST_ENGINE_PORT + i), "", "", 0,
                    FleetEvent.Phase.UP, 1, 0));
            time.schedule(random.nextDouble() * scenario.engineRestartWindowMs(), engine::powerOn);
        }
        for (int i = 0; i < scenario.frontEnds(); i++) {
            FrontEnd frontEnd = new FrontEnd(i);
            frontEnds.add(frontEnd);
            join(frontEnd, 1);
        }
        // the fleet state before the power loss: all front ends have been serving for a long time
        fleetState.apply(new Command.Tick(Math.round(UPTIME_BEFORE_LOSS_MS), Long.MAX_VALUE, Long.MAX_VALUE));
        frontEnds.forEach(f -> fleetState.apply(new Command.Renew(f.name, f.incarnation, Standing.SERVING, 0, 0)));
        frontEnds.forEach(f -> time.schedule(random.nextDouble() * scenario.frontEndRestartWindowMs(), f::start));
        time.schedule(0, this::sendNextRequest);
        time.schedule(0, this::measureAttainableWorth);
    }

    /** Runs the simulation. */
    Outcome run() {
        time.runUntil(1000.0 * scenario.durationSeconds());
        frontEnds.forEach(FrontEnd::checkOpenRequests);
        return new Outcome(servedWorth, attainableWorth, engineFailureTimes, firstServedMs, counts, violations);
    }

    private void count(String event) {
        counts.merge(event, 1, Integer::sum);
    }

    private void join(FrontEnd frontEnd, long nonce) {
        Result result = fleetState.apply(new Command.Join(frontEnd.name, "folder-" + frontEnd.index, frontEnd.incarnation, 0, "",
                frontEnd.index < VOTERS, "laboratory", nonce + frontEnd.index * 1000L));
        if (result instanceof Result.Joined joined) {
            frontEnd.incarnation = joined.incarnation();
        } else {
            violations.add(frontEnd.name + " was refused when it joined the fleet: " + result);
        }
    }

    /** Elects a leader once a majority of the voters has restarted; it advances the agreed time from then on. */
    private void frontEndStarted() {
        if (frontEnds.stream().filter(f -> f.index < VOTERS && f.reducer != null).count() == VOTERS / 2 + 1) {
            time.schedule(ELECTION_MS, () -> {
                leaderSinceMs = time.now();
                advanceAgreedTime();
            });
        }
    }

    private void advanceAgreedTime() {
        fleetState.apply(new Command.Tick(fleetState.time() + Math.round(LEADER_TICK_INTERVAL_MS), Math.round(SUSPECT_AFTER_MS),
                Math.round(GONE_AFTER_MS)));
        time.schedule(LEADER_TICK_INTERVAL_MS, this::advanceAgreedTime);
    }

    private void measureAttainableWorth() {
        int second = (int) (time.now() / 1000);
        if (second < attainableWorth.length) {
            double cores = engines.stream().mapToDouble(e -> guaranteedShare(e) * ENGINE.cores()).sum();
            boolean anyStarted = frontEnds.stream().anyMatch(f -> f.reducer != null);
            double attainableRequests = Math.min(scenario.requestsPerSecond(), cores * 1000 / MEAN_WORK_MS);
            attainableWorth[second] = anyStarted ? attainableRequests * MEAN_WORTH : 0;
            time.schedule(1000, this::measureAttainableWorth);
        }
    }

    /** A cold engine counts with its initial share. */
    private static double guaranteedShare(VirtualEngine engine) {
        double share = engine.availableShare();
        return share < 1 ? Math.min(share, ENGINE.initialColdShare()) : 1;
    }

    /** Sends a request of a random class and schedules the next one; the requests form a Poisson process. */
    private void sendNextRequest() {
        double draw = random.nextDouble();
        int classIndex = 0;
        while (classIndex < CLASSES.size() - 1 && draw >= CLASSES.get(classIndex).share()) {
            draw -= CLASSES.get(classIndex++).share();
        }
        sendToReadyFrontEnd(classIndex, 0);
        time.schedule(-Math.log(1 - random.nextDouble()) * 1000 / scenario.requestsPerSecond(), this::sendNextRequest);
    }

    /** Models the load balancer in front of the front ends: sends a request to a random one of those that report ready. */
    private void sendToReadyFrontEnd(int classIndex, int previousTries) {
        List<FrontEnd> ready = frontEnds.stream().filter(f -> f.reducer != null && f.reducer.canServe()).toList();
        if (ready.isEmpty()) {
            count("nobody ready");
        } else {
            ready.get(random.nextInt(ready.size())).requestReceived(classIndex, previousTries);
        }
    }

    private record OpenRequest(String txn, int classIndex, int previousTries, double deadlineMs) { }

    private record AttemptKey(long link, String txn) { }

    /** One front end: runs the reducer and performs its effects in virtual time. */
    private final class FrontEnd {
        private final int index;
        private final String name;
        private final Map<TimerKey, Long> timers = new HashMap<>();
        private final Map<Long, VirtualEngine> links = new HashMap<>();
        private final Map<Caller, OpenRequest> openRequests = new HashMap<>();
        private Reducer reducer;
        private long incarnation;
        private long lastTimerSequence;
        private long currentPollId;
        private int lastCall;

        FrontEnd(int index) {
            this.index = index;
            name = "n" + (index + 1);
        }

        void start() {
            RoutingSettings settings = settings(scenario.frontEnds(), index);
            RecoveryTimeouts recoveryTimeouts = new RecoveryTimeouts(2000, 5000, 4000, 3000, 1000, 2000, SURVIVED_AFTER_MS);
            Recovery recovery = scenario.recovery()
                    ? new Recovery(recoveryTimeouts, name, true, Reducer.classTraits(settings)) : null;
            PollTiming pollTiming = new PollTiming(2000, 1000, 250, 1000, 250, 400, 5000, 10_000);
            reducer = new Reducer(settings, new Bounds(1000, 1000, 5000, MAX_REQUEST_BYTES, 2000, 2500, 8, 8, 500, pollTiming),
                    new GcMuScheduler(settings.decision(), scenario.seed() * 1000 + index), recovery, scenario.recovery(), false);
            perform(reducer.start(LOSS_UNIX_MS + time.now(), "10.0.0.2:1", List.of(new FleetEvent(1, 1, true, members))));
            if (scenario.recovery()) {
                List<JournalEntry> entries = List.of(new JournalEntry.ProcessStarted(name, 1));
                deliverAfter(JOURNAL_READ_MS, new Input.RecoveryJournalRead(DurableFact.FolderCondition.WHOLE, entries, ""));
            }
            frontEndStarted();
            time.schedule(random.nextDouble() * RENEW_INTERVAL_MS, this::joinOnceLed);
        }

        /** Joins the fleet once there is a leader, and renews its session periodically from then on. */
        private void joinOnceLed() {
            if (time.now() < leaderSinceMs) {
                time.schedule(RENEW_INTERVAL_MS, this::joinOnceLed);
                return;
            }
            join(this, 2);
            renew();
        }

        /** Renews the session, as the heartbeat of the front end; each renewal also brings the current fleet state. */
        private void renew() {
            fleetState.apply(new Command.Renew(name, incarnation, Standing.SERVING, 0, 0));
            FleetView view = new FleetView(Participation.Phase.IN_TOUCH, "", incarnation, fleetState.snapshot(),
                    LOSS_UNIX_MS + time.now(), true);
            deliver(new Input.FleetChanged(view, name, SHARE_GROWTH_DELAY_MS));
            time.schedule(RENEW_INTERVAL_MS, this::renew);
        }

        void requestReceived(int classIndex, int previousTries) {
            RequestClass requestClass = CLASSES.get(classIndex);
            String txn = String.format("%016x", ++requestCount);
            Caller caller = new Caller(1 + lastCall % CONNECTIONS_PER_FRONT_END, ++lastCall);
            openRequests.put(caller, new OpenRequest(txn, classIndex, previousTries, time.now() + requestClass.deadlineMs()));
            count("asked");
            Query query = new Query(txn, classIndex, 0, requestClass.deadlineMs(), previousTries > 0,
                    requestClass.workMs(), 0, 0, new byte[0]);
            deliver(new Input.RequestReceived(caller, query, LOSS_UNIX_MS + time.now()));
        }

        /** Counts the requests that are still open at the end, and reports those past their deadline. */
        void checkOpenRequests() {
            counts.merge("open at the end", openRequests.size(), Integer::sum);
            openRequests.values().stream().filter(r -> time.now() > r.deadlineMs())
                    .forEach(r -> violations.add("request " + r.txn() + " was not answered within its deadline"));
        }

        private void deliver(Input input) {
            perform(reducer.step(LOSS_UNIX_MS + time.now(), List.of(input)));
        }

        private void deliverAfter(double delayMs, Input input) {
            time.schedule(delayMs, () -> deliver(input));
        }

        private void perform(List<Effect> effects) {
            effects.forEach(this::perform);
        }

        private void perform(Effect effect) {
            if (effect instanceof Effect.StartTimer e) {
                long sequence = ++lastTimerSequence;
                timers.put(e.key(), sequence);
                time.schedule(e.delayMs(), () -> {
                    if (timers.remove(e.key(), sequence)) {
                        deliver(new Input.TimerFired(e.key()));
                    }
                });
            } else if (effect instanceof Effect.StopTimer e) {
                timers.remove(e.key());
            } else if (effect instanceof Effect.Send e) {
                sendAttempt(e);
            } else if (effect instanceof Effect.Cancel e) {
                VirtualEngine engine = links.get(e.link());
                if (engine != null) {
                    time.schedule(NETWORK_DELAY_MS, () -> engine.cancel(new AttemptKey(e.link(), e.txn())));
                    deliverAfter(NETWORK_DELAY_MS, new Input.CancelWritten(e.key()));
                }
            } else if (effect instanceof Effect.OpenLink e) {
                openLink(e.link(), engines.get(Integer.parseInt(e.address().split(":")[1]) - FIRST_ENGINE_PORT));
            } else if (effect instanceof Effect.CloseLink e) {
                links.remove(e.link());
            } else if (effect instanceof Effect.Probe e) {
                EngineMessage health = new EngineMessage.Health(e.tag(), true, List.of());
                deliverAfter(2 * NETWORK_DELAY_MS, new Input.EngineMessageReceived(e.link(), health));
            } else if (effect instanceof Effect.PollChangeLog e) {
                currentPollId = e.pollId();
                time.schedule(e.afterEvent() < 1 ? CHANGE_LOG_REPLY_MS : e.waitMs(), () -> {
                    if (currentPollId == e.pollId()) {
                        List<FleetEvent> events = e.afterEvent() < 1 ? List.of(new FleetEvent(1, 1, true, members)) : List.of();
                        deliver(new Input.ChangesReceived(e.pollId(), 1, events));
                    }
                });
            } else if (effect instanceof Effect.PersistEntry e && e.request() != 0) {
                deliverAfter(FSYNC_MS, new Input.PersistFinished(e.request(), true));
            } else if (effect instanceof Effect.ReadFleetState) {
                boolean hasLeader = time.now() >= leaderSinceMs;
                time.schedule(hasLeader ? QUORUM_READ_MS : QUORUM_READ_TIMEOUT_MS,
                        () -> deliver(new Input.FleetStateReceived(hasLeader ? fleetState.snapshot() : null)));
            } else if (effect instanceof Effect.Answer e) {
                answerReceived(e);
            } else if (effect instanceof Effect.UnexpectedError e) {
                throw new IllegalStateException(name + ": " + e.activity(), e.error());
            }
        }

        private void openLink(long link, VirtualEngine engine) {
            time.schedule(NETWORK_DELAY_MS, () -> {
                if (engine.isAvailable()) {
                    links.put(link, engine);
                    deliver(new Input.LinkUp(link));
                } else {
                    deliver(new Input.LinkDown(link, "refused"));
                }
            });
        }

        private void sendAttempt(Effect.Send e) {
            VirtualEngine engine = links.get(e.link());
            if (engine == null || !e.write().begin()) {
                return;
            }
            deliverAfter(0, new Input.SendWritten(e.key()));
            RequestClass requestClass = CLASSES.stream().filter(c -> c.name().equals(e.queue())).findFirst().orElseThrow();
            if (requestClass.effect().equals("unsafe") && !sentLoads.add(e.txn())) {
                violations.add("load " + e.txn() + " was sent twice");
            }
            time.schedule(NETWORK_DELAY_MS, () -> {
                if (!engine.isAvailable()) {
                    return;
                }
                double workMs = requestClass.workMs() * (MIN_WORK_FACTOR + WORK_FACTOR_RANGE * random.nextDouble());
                if (!engine.submit(new AttemptKey(e.link(), e.txn()), workMs, () -> attemptServed(e, engine))) {
                    engineFailureTimes.add(time.now());
                    frontEnds.forEach(f -> f.engineFailed(engine));
                }
            });
        }

        private void attemptServed(Effect.Send e, VirtualEngine engine) {
            if (links.get(e.link()) == engine) {
                EngineMessage done = new EngineMessage.Done(e.txn(), 1, new byte[] {'r'}, List.of());
                deliver(new Input.EngineMessageReceived(e.link(), done));
            }
        }

        private void engineFailed(VirtualEngine engine) {
            List.copyOf(links.keySet()).stream().filter(link -> links.get(link) == engine).forEach(link -> {
                links.remove(link);
                deliverAfter(NETWORK_DELAY_MS, new Input.LinkDown(link, "reset"));
            });
        }

        private void answerReceived(Effect.Answer e) {
            OpenRequest request = openRequests.remove(e.caller());
            if (request == null) {
                violations.add(name + " answered a request twice");
                return;
            }
            if (e.reply() instanceof Reply.Served) {
                count("served");
                int second = (int) (time.now() / 1000);
                servedWorth[Math.min(second, servedWorth.length - 1)] += CLASSES.get(request.classIndex()).worth();
                firstServedMs = Math.min(firstServedMs, time.now());
            } else if (e.reply() instanceof Reply.Refused refused) {
                count("refused");
                if (request.previousTries() + 1 < MAX_TRIES) { // the client honours the retry-after delay
                    time.schedule(Math.max(MIN_RETRY_DELAY_MS, refused.retryAfterMs()),
                            () -> sendToReadyFrontEnd(request.classIndex(), request.previousTries() + 1));
                }
            } else {
                count("failed");
            }
        }
    }

    private static RoutingSettings settings(int frontEnds, int index) {
        Map<String, String> settings = new HashMap<>(Map.of("balancers", "" + frontEnds, "me", "" + index, "tick", "" + TICK_MS,
                "limits.maxAttempts", "3", "limits.cancelling", "true", "limits.retryAfter", "true",
                "limits.maxRetryAfter", "10000", "projects.count", "1", "projects.0.name", "acme",
                "projects.0.quotaPerS", "1000000"));
        settings.putAll(Map.of("projects.0.share", "1", "rules.cold", "" + ENGINE.coldMs(),
                "rules.coldShare", "" + ENGINE.initialColdShare(), "rules.fall", "" + ENGINE.overloadWindowMs(),
                "rules.fallMultiple", "" + ENGINE.overloadFactor(),
                "extra.sizeCores", "" + ENGINE.cores(), "extra.tellsCost", "true", "requestClasses.count", "" + CLASSES.size()));
        StringBuilder writesTables = new StringBuilder();
        for (int i = 0; i < CLASSES.size(); i++) {
            RequestClass requestClass = CLASSES.get(i);
            String prefix = "requestClasses." + i + ".";
            settings.putAll(Map.of(prefix + "name", requestClass.name(), prefix + "slo", "" + requestClass.targetMs(),
                    prefix + "hardLimit", "" + requestClass.deadlineMs(), prefix + "points", "" + requestClass.worth(),
                    prefix + "effect", requestClass.effect()));
            writesTables.append(i == 0 ? "" : ",").append(requestClass.effect().equals("unsafe"));
        }
        settings.put("extra.writesTables", writesTables.toString());
        return RoutingSettings.of(settings);
    }
}
