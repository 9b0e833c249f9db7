package quincespar.program;

import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import quincespar.decision.GcMuScheduler;
import quincespar.fleet.Standing;
import quincespar.metrics.MetricsSnapshot;
import quincespar.metrics.PrometheusText;
import quincespar.program.Lifecycle.Phase;
import quincespar.program.captures.CaptureSession;
import quincespar.program.clients.ThriftServer;
import quincespar.program.engines.ChangeLogClient;
import quincespar.program.engines.EngineLinks;
import quincespar.program.fleet.FleetService;
import quincespar.program.fleet.FleetPages;
import quincespar.program.fleet.FleetSettings;
import quincespar.program.recovery.RecoveryJournal;
import quincespar.program.recovery.RecoveryPages;
import quincespar.program.recovery.RecoverySettings;
import quincespar.program.runtime.Clock;
import quincespar.program.runtime.Counters;
import quincespar.program.runtime.InputQueue;
import quincespar.program.runtime.Timers;
import quincespar.program.runtime.Version;
import quincespar.program.status.StatusServer;
import quincespar.recovery.Recovery;
import quincespar.routing.Bounds;
import quincespar.routing.Effect;
import quincespar.routing.Input;
import quincespar.routing.RecoveryReport;
import quincespar.routing.Reducer;
import quincespar.settings.Keyword;
import quincespar.settings.Settings;
import quincespar.transport.EventLoop;
import quincespar.transport.Listener;
import quincespar.transport.Retry;

/** The running front end: wires the layers, and runs the one thread that feeds the reducer. */
final class FrontEnd {
    private final Logger log = LoggerFactory.getLogger(FrontEnd.class);
    /** After word to stop, connections come for up to 0.4 s and requests on open ones for 0.2 s more. */
    private static final double LEAVING_MS = 800;
    private static final double FLUSH_MS = 300;
    /** So long after the word to stop the system's own end follows, deadlines or not: alone, and beside a new process. */
    private static final double LONGEST_LEAVE_MS = 3000, LONGEST_YIELD_MS = 5000, END_MS = 700;
    /** How often clients' connections are looked at for a moment in which they can end. */
    private static final double MOVE_LOOK_MS = 25;
    /**
     * What is open is answered so long before the system's own end: on a busy machine the word to stop may come 0.4 s
     * late, and the process may be stopped for as long once more before its last clients have moved.
     */
    private static final double YIELD_MARGIN_MS = 800;
    /** So long after that time what still comes is turned away at once, and its client moves in the moment that follows. */
    private static final double LAST_LOOKS_MS = 400;
    /** What came last may lie unread for so long, on a part of a core: stopped before, it would be lost. */
    private static final double SETTLE_MS = 300;
    /** How long a start waits for the change log's first answer. */
    private static final double FIRST_LIST_MS = 1500;
    private static final long LIST_LOOK_MS = 20;
    /** Descriptors: a third is the clients' by the protocol; the rest covers theirs that linger, and ours. */
    private static final double CLIENT_SHARE = 0.45;
    /**
     * Beside an older process, which holds its part of one front end's descriptors until it ends: what clients hold at
     * the most by the protocol, and a little less from which on they make room for each other.
     */
    private static final double BESIDE_SHARE = 1 / 3.0, BESIDE_REVIEW = 0.3;
    private static final double BESIDE_LOOK_MS = 500;
    /** At the end the fleet's word is waited for so long at the most, when all clients have had theirs. */
    private static final long FAREWELL_MS = 100;
    private static final long ASK_FLEET_MS = 100;

    private final AtomicLong stepUs = new AtomicLong(), longestStepUs = new AtomicLong();
    private final Lifecycle lifecycle = new Lifecycle();
    private final Counters counters = new Counters();
    private final Clock clock = new Clock();
    private final Standstill standstill = new Standstill();
    private final InputQueue inputs = new InputQueue();
    private final Timers timers = new Timers(inputs::add);
    private final ConfigurationReader configurations;
    private final Logs logs;
    private final Configuration configuration;
    /** The document that was taken last, on the reducer's thread: a new one must not lack what it has. */
    private Map<String, Object> inForce;
    private final Bounds bounds;
    private final Reducer reducer;
    /** Null where nothing is captured. */
    private final CaptureSession capturing;
    private final EventLoop clientLoop = new EventLoop("clients");
    private final EventLoop engineLoop = new EventLoop("engines");
    private final Siblings siblings;
    private final Listener listener;
    private final StatusServer status;
    /** Null where there is no fleet. */
    private final FleetService fellows;
    /** Null where no return from a loss of power is looked for. */
    private final RecoveryJournal kept;
    private volatile RecoveryReport returned;
    /** The last that the reducer's thread has published, for whoever reads it. */
    private volatile MetricsSnapshot figures = MetricsSnapshot.NONE;
    private final ThriftServer front;
    private final EngineLinks engines;
    private final ChangeLogClient changes;

    /** One that shares nothing with others. */
    FrontEnd(Map<String, String> environment, Settings settings, Logs logs) throws IOException {
        this(environment, settings, null, null, logs);
    }

    /**
     * Reads the configuration and binds the address, so that what is wrong is told before anything runs; {@code fleet} is
     * null where there is none, and {@code recovery} where no return from a loss of power is looked for.
     */
    FrontEnd(Map<String, String> environment, Settings settings, FleetSettings fleet, RecoverySettings recovery, Logs logs)
            throws IOException {
        configurations = new ConfigurationReader(environment, clock, timers, inputs::add);
        this.logs = logs;
        ConfigurationCheck.Good read = readAtStart(environment);
        inForce = read.document();
        Configuration c = read.configuration();
        configuration = c;
        siblings = Siblings.join(environment, c.listen());
        bounds = c.bounds(settings);
        String folder = settings.text(Keyword.CAPTURE_FOLDER);
        capturing = folder.isEmpty() ? null : CaptureSession.open(Path.of(folder), settings, c.name(), clock.now(), c.seed(),
                c.site().decision(), clock, line -> log.info("{}: {}", c.name(), line));
        reducer = new Reducer(c.site(), bounds, capturing == null ? new GcMuScheduler(c.site().decision(), c.seed())
                : capturing.module(), recovery == null ? null : new Recovery(recovery.timeouts(), c.name(), fleet != null,
                Reducer.classTraits(c.site())), recovery != null && recovery.persistLoads());
        kept = recovery == null ? null : new RecoveryJournal(recovery.folder(), c.name(), inputs::add, line -> log.info("{}: {}", c.name(), line));
        if (c.admin() != null) { // first, so that its "not ready" is heard while the rest starts
            status = new StatusServer(c.admin(), timers, StatusServer.CALL_TIMEOUT_MS, lifecycle::ready,
                    () -> PrometheusText.text(figures) + fleetFigures() + recoveryFigures());
            status.start();
        } else {
            status = null;
        }
        listener = new Listener(clientLoop, c.listen(), true);
        front = new ThriftServer(clientLoop, listener, c.site(), (int) (c.sockets() * CLIENT_SHARE), bounds.firstRequestMs(),
                clock, counters, inputs::addFromPeer, this::report);
        fellows = fleet == null ? null : new FleetService(fleet, c.name(), c.admin() == null ? "" : c.admin().getHostString()
                + ":" + c.admin().getPort(), Version.text(), clock::now,
                line -> log.info("{}: {}", c.name(), line),
                view -> inputs.add(new Input.FleetChanged(view, c.name(), fleet.config().shareGrowthDelayMs())));
        if (status != null && (fellows != null || kept != null)) {
            FleetPages pages = fellows == null ? null : new FleetPages(fellows);
            RecoveryPages more = kept == null ? null : recoveryPages();
            status.addPages((method, path) -> {
                FleetPages.Page page = more == null ? null : more.page(method, path);
                return page != null ? CompletableFuture.completedFuture(page) : pages == null ? null : pages.page(method, path);
            });
        }
        engines = new EngineLinks(engineLoop, c.site(), inputs::addFromPeer);
        changes = new ChangeLogClient(engineLoop, inputs::addFromPeer);
    }

    private static ConfigurationCheck.Good readAtStart(Map<String, String> environment) throws IOException {
        return Retry.atStartup(() -> {
            try {
                return Configuration.read(environment, null);
            } catch (UnreadableException e) {
                throw new IOException(e.getMessage(), e);
            }
        });
    }

    /** Serves until told to stop and all that was taken is answered; throws where the address can't be bound. */
    void run() throws IOException, InterruptedException {
        try {
            if (capturing != null) {
                capturing.start();
            }
            if (fellows != null) {
                fellows.start();
            }
            if (kept != null) {
                kept.start();
            }
            start();
            while (lifecycle.phase() != Phase.STOPPED) {
                step(inputs.take());
                if (lifecycle.phase() == Phase.FINISHING && reducer.openRequests() == 0 && inputs.size() == 0) {
                    stop();
                }
            }
        } finally {
            if (capturing != null) {
                capturing.stop();
            }
            if (fellows != null) {
                fellows.close(FAREWELL_MS);
            }
            if (kept != null) {
                kept.close(FAREWELL_MS);
            }
            lifecycle.enter(Phase.STOPPED); // whoever waits for the end must not wait for good
        }
    }

    /** Waits until it serves, or has ended without. */
    void awaitServing() throws InterruptedException {
        lifecycle.await(Phase.SERVING);
    }

    /** The port of the clients' address, once it serves. */
    int port() throws IOException {
        return listener.port();
    }

    private void start() throws IOException, InterruptedException {
        if (siblings.beside()) {
            inputs.add(new Input.CallerLimitChanged(Math.min(bounds.maxCallers(), (int) (configuration.sockets() * BESIDE_REVIEW))));
            front.setConnectionLimit((int) (configuration.sockets() * BESIDE_SHARE));
            untilAlone();
        }
        new Warmup(configuration, bounds, front).run();
        engineLoop.start();
        perform(reducer.start(clock.now(), configuration.changeLog(), configuration.known().events(), siblings.beside()));
        publish();
        awaitList(clock.now() + FIRST_LIST_MS);
        if (lifecycle.phase() != Phase.STARTING) {
            return; // told to stop meanwhile
        }
        try {
            listener.bind(); // last: from here on clients connect, and wait
        } catch (IOException | RuntimeException e) {
            throw new IOException("listen " + configuration.listen() + ": " + e.getMessage(), e);
        }
        front.start();
        clientLoop.start();
        lifecycle.serve(siblings::serves, siblings::leaves);
        stands(Standing.SERVING);
        log.info("{}: serving on {}", configuration.name(), configuration.listen());
    }

    /** The list of the start is as old as the start: servers may drain since. It is served by only where nobody answers. */
    private void awaitList(double until) throws InterruptedException {
        while (!reducer.listConfirmed() && clock.now() < until && lifecycle.phase() == Phase.STARTING) {
            step(inputs.take(LIST_LOOK_MS));
        }
        if (!reducer.listConfirmed() && lifecycle.phase() == Phase.STARTING) {
            log.warn("{}: the change log has not answered yet; serving by the list of the start", configuration.name());
        }
    }

    private void stands(Standing s) {
        if (fellows != null) {
            fellows.setStanding(s);
        }
    }

    private RecoveryPages recoveryPages() {
        return new RecoveryPages(() -> returned, kept::counts, inputs::add);
    }

    private String recoveryFigures() {
        return kept == null ? "" : recoveryPages().metrics();
    }

    private String fleetFigures() {
        return fellows == null ? "" : FleetPages.metrics(fellows);
    }

    private void untilAlone() {
        timers.schedule(BESIDE_LOOK_MS, () -> {
            if (siblings.beside()) {
                untilAlone();
            } else if (lifecycle.phase().compareTo(Phase.SERVING) <= 0) {
                inputs.add(new Input.CallerLimitChanged(bounds.maxCallers()));
                front.setConnectionLimit((int) (configuration.sockets() * CLIENT_SHARE));
            }
        });
    }

    private void publish() {
        lifecycle.listed(reducer.canServe());
        if (status != null) {
            figures = reducer.metrics();
        }
        if (kept != null) {
            returned = reducer.recoveryReport();
        }
    }

    /** Asks for an orderly end and waits for it; called from another thread. */
    void leave() throws InterruptedException {
        if (!lifecycle.leave(siblings.othersServe())) {
            lifecycle.await(Phase.STOPPED);
            return;
        }
        siblings.leaves();
        stands(Standing.LEAVING);
        if (lifecycle.phase() == Phase.YIELDING) {
            log.info("{}: another process serves at this address, clients are moved to it", configuration.name());
            double endsAt = killedAt(LONGEST_YIELD_MS) - YIELD_MARGIN_MS;
            inputs.add(new Input.ShutdownScheduled(endsAt));
            listener.close(() -> moveSome(endsAt + LAST_LOOKS_MS));
        } else if (lifecycle.phase() == Phase.LEAVING) {
            double until = killedAt(LONGEST_LEAVE_MS);
            front.raiseConnectionLimitForShutdown();
            timers.schedule(LEAVING_MS, () -> {
                listener.close(() -> {
                    lifecycle.enter(Phase.SETTLING);
                    timers.schedule(SETTLE_MS, () -> {
                        inputs.add(new Input.RefuseNewRequests());
                        clientLoop.executeAfterReads(() -> moveSome(until));
                    });
                });
            });
        }
        lifecycle.await(Phase.STOPPED);
        log.info("{}: stopped: {}", configuration.name(), report());
    }

    /** The system's own end may follow from that time on. */
    private double killedAt(double longestMs) {
        double longest = configuration.site().decision().classes().stream().mapToDouble(c -> c.deadline()).max().orElse(0);
        return clock.now() - standstill.lateness(clock.now()) + Math.min(longest, longestMs) + END_MS;
    }

    /**
     * Ends each client's connection at a moment when nothing of its client's is open, half there or unread, so that the
     * client moves with its next request: the one way in which they end at a stop, beside another process or alone. What
     * has had no such moment by the end is left to {@link #stop}.
     */
    private void moveSome(double until) {
        front.closeIdleConnections();
        if (front.connectionCount() == 0) {
            finishing();
        } else if (clock.now() >= until) {
            clientLoop.executeAfterReads(this::finishing); // after a stop of the process requests may lie unread
        } else {
            timers.schedule(MOVE_LOOK_MS, () -> moveSome(until));
        }
    }

    private void finishing() {
        lifecycle.enter(Phase.FINISHING);
        inputs.add(new Input.CallerDisconnected(0)); // wakes the loop, which may have nothing open
    }

    /** Writes the counters to the log every so often, from now on. */
    void reportEvery(long everyMs) {
        timers.schedule(everyMs, () -> {
            log.info("{}: counters: {}", configuration.name(), report());
            log.info("{}: engines: {}", configuration.name(), reducer.engineCounters());
            reportEvery(everyMs);
        });
    }

    /** The configuration has been replaced; called from another thread, at any time from the start on. */
    void hangup() {
        inputs.add(new Input.ReloadRequested());
    }

    private void stop() throws InterruptedException {
        front.finishConnections();
        double until = clock.now() + FLUSH_MS;
        while (front.connectionCount() > 0 && clock.now() < until) {
            inputs.take(10);
        }
        lifecycle.enter(Phase.STOPPED);
    }

    private void step(List<Input> batch) {
        try {
            batch.forEach(counters::countInput);
            double from = clock.now();
            standstill.ran(from);
            perform(reducer.step(from, batch));
            publish();
            long us = Math.round(1000 * (clock.now() - from));
            stepUs.addAndGet(us);
            longestStepUs.accumulateAndGet(us, Math::max);
        } catch (RuntimeException | OutOfMemoryError e) { // nothing that comes from a peer may end the program
            uncaught("in the reducer", e);
        }
    }

    private void perform(List<Effect> effects) {
        for (Effect e : effects) {
            counters.countEffect(e);
            try {
                perform(e);
            } catch (RuntimeException | OutOfMemoryError x) { // one that fails must not keep back the others
                uncaught("performing " + e.getClass().getSimpleName(), x);
            }
        }
    }

    private void uncaught(String where, Throwable e) {
        log.error("{}: {}", configuration.name(), where, e);
        counters.count(Counters.Count.ERRORS_UNCAUGHT);
    }

    private void perform(Effect effect) {
        if (effect instanceof Effect.StartTimer e) {
            timers.start(e.key(), e.delayMs());
        } else if (effect instanceof Effect.StopTimer e) {
            timers.stop(e.key());
        } else if (effect instanceof Effect.Answer e) {
            front.reply(e.caller(), e.reply());
        } else if (effect instanceof Effect.Send e) {
            engines.send(e);
        } else if (effect instanceof Effect.Cancel e) {
            engines.cancel(e);
        } else if (effect instanceof Effect.ReadPage e) {
            engines.readPage(e);
        } else if (effect instanceof Effect.Release e) {
            engines.release(e);
        } else if (effect instanceof Effect.OpenLink e) {
            engines.open(e);
        } else if (effect instanceof Effect.CloseLink e) {
            engines.close(e);
        } else if (effect instanceof Effect.AnswerHealth e) {
            front.health(e.caller(), lifecycle.ready());
        } else if (effect instanceof Effect.Probe e) {
            engines.probe(e);
        } else if (effect instanceof Effect.PollChangeLog e) {
            changes.poll(e);
        } else if (effect instanceof Effect.CloseCaller e) {
            front.closeCaller(e);
        } else if (effect instanceof Effect.UnexpectedError e) {
            uncaught(e.activity(), e.error());
        } else if (effect instanceof Effect.ReloadConfiguration e) {
            configurations.read(e.reloadId(), inForce);
        } else if (effect instanceof Effect.ConfigurationAccepted e) {
            inForce = e.document();
        } else if (effect instanceof Effect.ApplySettings e) {
            front.applySettings(e.settings());
            engines.applySettings(e.settings());
        } else if (effect instanceof Effect.PersistEntry e) {
            kept.add(e.entry(), e.request());
        } else if (effect instanceof Effect.ReadFleetState) {
            askFleet();
        } else if (effect instanceof Effect.CancelPoll) {
            changes.disconnect();
        } else if (effect instanceof Effect.Log e) {
            log.info("{}: {}", configuration.name(), e.line());
        } else if (effect instanceof Effect.Trace e && log.isDebugEnabled()) {
            log.debug("{}: {}", configuration.name(), e.line().get());
        }
    }

    /** What is agreed now, or nothing where nobody says so; not at once, as the next question may follow on the answer. */
    private void askFleet() {
        timers.schedule(ASK_FLEET_MS, () -> fellows.read().whenComplete((state, e) -> inputs.add(new Input.FleetStateReceived(e == null ? state : null))));
    }

    private Map<String, String> report() {
        Map<String, String> all = new LinkedHashMap<>(counters.snapshot());
        all.put("phase", lifecycle.phase().name().toLowerCase(java.util.Locale.ROOT));
        reducer.retainedCounts().forEach((name, n) -> all.put(name, n.toString()));
        all.put("changes.age_ms", Long.toString(Math.round(reducer.listAgeMs(clock.now()))));
        reducer.attemptCounters().forEach((name, n) -> all.put(name, n.toString()));
        if (capturing != null) {
            capturing.counts().forEach((name, n) -> all.put(name, n.toString()));
        }
        all.put("steps.us", stepUs.toString());
        all.put("steps.longest_us", longestStepUs.toString());
        ProcessHandle.current().info().totalCpuDuration().ifPresent(d -> all.put("cpu.ms", Long.toString(d.toMillis())));
        all.put("log.dropped", Long.toString(logs.dropped()));
        all.put("held.timers", Integer.toString(timers.size()));
        all.put("held.inputs", Integer.toString(inputs.size()));
        all.put("requests.open", Integer.toString(reducer.openRequests()));
        all.put("clients.connected", Integer.toString(front.connectionCount()));
        all.put("engines.connected", Integer.toString(engines.size()));
        return all;
    }
}
