package quincespar.program;

import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import quincespar.decision.GcMuScheduler;
import quincespar.fleet.Standing;
import quincespar.metrics.MetricsSnapshot;
import quincespar.metrics.PrometheusText;
import quincespar.program.Lifecycle.Phase;
import quincespar.program.captures.CaptureSession;
import quincespar.program.clients.HealthCalls;
import quincespar.program.clients.ThriftServer;
import quincespar.program.engines.ChangeLogClient;
import quincespar.program.engines.EngineLinks;
import quincespar.program.fleet.FleetService;
import quincespar.program.fleet.FleetPages;
import quincespar.program.fleet.FleetSettings;
import quincespar.program.keys.KeyLocks;
import quincespar.program.keys.StartedTransactions;
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
import quincespar.routing.Caller;
import quincespar.routing.Effect;
import quincespar.routing.Input;
import quincespar.routing.RecoveryReport;
import quincespar.routing.Reducer;
import quincespar.settings.Keyword;
import quincespar.settings.Settings;
import quincespar.transport.DurationStats;
import quincespar.transport.EventLoop;
import quincespar.transport.Listener;
import quincespar.transport.Retry;

/** A running front end: connects the reducer with its I/O, and runs the thread that feeds inputs to the reducer. */
final class FrontEnd {
    private final Logger log = LoggerFactory.getLogger(FrontEnd.class);
    /** After SIGTERM clients may connect for up to 0.4 s, and send requests on open connections for 0.2 s more. */
    private static final double LEAVING_MS = 800;
    /** Time limit for writing the last answers. */
    private static final double FLUSH_MS = 300;
    /**
     * SIGKILL may follow SIGTERM after the longest deadline, but at most these times (alone, and beside a new process), and then
     * {@code KILL_DELAY_MS}.
     */
    private static final double MAX_LEAVE_MS = 3000, MAX_YIELD_MS = 5000, KILL_DELAY_MS = 700;
    /** Interval at which idle client connections are closed during a shutdown. */
    private static final double CLOSE_IDLE_INTERVAL_MS = 25;
    /**
     * Open requests are answered this long before SIGKILL: on a busy machine SIGTERM may be handled 0.4 s late, and the process
     * may be paused for as long again before its last clients have moved.
     */
    private static final double YIELD_MARGIN_MS = 800;
    /** For this long after that, new requests are refused at once, which lets their connections be closed as idle. */
    private static final double REFUSE_PERIOD_MS = 400;
    /** On a fraction of a core the last requests may stay unread for this long: stopped earlier, the process would lose them. */
    private static final double SETTLE_MS = 300;
    /** How long a start waits for the change log's first answer. */
    private static final double FIRST_LIST_TIMEOUT_MS = 1500;
    private static final long LIST_CHECK_INTERVAL_MS = 20;
    private static final double OTHERS_CHECK_INTERVAL_MS = 500;
    /** Time limit for closing the fleet service and the recovery journal, after all clients have their answers. */
    private static final long CLOSE_TIMEOUT_MS = 100;
    private static final long FLEET_READ_DELAY_MS = 100;

    private final DurationStats steps = new DurationStats();
    private final DurationStats healthSteps = new DurationStats();
    private final Lifecycle lifecycle = new Lifecycle();
    private final Counters counters = new Counters();
    private final Clock clock = new Clock();
    private final PauseDetector pauseDetector = new PauseDetector();
    private final InputQueue inputs = new InputQueue();
    private final Timers timers = new Timers(inputs::add);
    private final ConfigurationReloader configurationReloader;
    private final Logs logs;
    private final Configuration configuration;
    /** The last accepted document, used on the reducer's thread only; a new one must have all of its keys. */
    private Map<String, Object> currentDocument;
    private final Bounds bounds;
    private final Reducer reducer;
    /** Null without a capture. */
    private final CaptureSession capture;
    private final EventLoop clientLoop = new EventLoop("clients");
    private final EventLoop engineLoop = new EventLoop("engines");
    private final ProcessLocks processLocks;
    /** Null where other processes of this front end can't be detected. */
    private final KeyLocks keyLocks;
    /** Null where other processes of this front end can't be detected. */
    private final StartedTransactions startedTransactions;
    private final Listener listener;
    private final StatusServer status;
    /** Null without a fleet. */
    private final FleetService fleetService;
    /** Null without recovery from a power loss. */
    private final RecoveryJournal recoveryJournal;
    private volatile RecoveryReport recoveryReport;
    /** Published by the reducer's thread. */
    private volatile MetricsSnapshot metrics = MetricsSnapshot.NONE;
    /** Of the classes in force; published by the reducer's thread. */
    private volatile double longestDeadlineMs;
    private final ThriftServer thriftServer;
    /** Used on the reducer's thread only. */
    private final HealthCalls healthCalls = new HealthCalls();
    private final EngineLinks engines;
    private final ChangeLogClient changeLogClient;

    /** Creates a front end without a fleet and without recovery. */
    FrontEnd(Map<String, String> environment, Settings settings, Logs logs) throws IOException {
        this(environment, settings, null, null, logs);
    }

    /**
     * Reads the configuration and starts the status server, so that errors are reported before anything runs. {@code fleet} is
     * null without a fleet, and {@code recovery} without recovery from a power loss.
     */
    FrontEnd(Map<String, String> environment, Settings settings, FleetSettings fleet, RecoverySettings recovery, Logs logs)
            throws IOException {
        configurationReloader = new ConfigurationReloader(environment, clock, timers, inputs::add);
        this.logs = logs;
        ConfigurationCheck.Valid valid = readAtStart(environment);
        currentDocument = valid.document();
        Configuration c = valid.configuration();
        configuration = c;
        longestDeadlineMs = c.site().longestDeadlineMs();
        processLocks = ProcessLocks.acquire(environment, c.listen());
        keyLocks = openKeyLocks(c);
        startedTransactions = openStartedTransactions(c);
        bounds = c.bounds(settings);
        String folder = settings.text(Keyword.CAPTURE_FOLDER);
        capture = folder.isEmpty() ? null : CaptureSession.open(Path.of(folder), settings, c.name(), clock.now(), c.seed(),
                c.site().decision(), clock, line -> log.info("{}: {}", c.name(), line));
        reducer = new Reducer(c.site(), bounds, capture == null ? new GcMuScheduler(c.site().decision(), c.seed())
                : capture.module(), recovery == null ? null : new Recovery(recovery.timeouts(), c.name(), fleet != null,
                Reducer.classTraits(c.site())), recovery != null && recovery.persistLoads(), keyLocks != null);
        recoveryJournal = recovery == null ? null : new RecoveryJournal(recovery.folder(), c.name(), inputs::add,
                line -> log.info("{}: {}", c.name(), line));
        if (c.admin() != null) { // first, so that it answers "not ready" while the rest starts
            status = new StatusServer(c.admin(), timers, StatusServer.CALL_TIMEOUT_MS, lifecycle::ready,
                    () -> PrometheusText.text(metrics) + fleetMetrics() + recoveryMetrics());
            status.start();
        } else {
            status = null;
        }
        listener = new Listener(clientLoop, c.listen(), true);
        thriftServer = new ThriftServer(clientLoop, listener, c.site(),
                DescriptorShares.acceptedClients(c.sockets(), bounds.maxBusyCallers()), bounds.firstRequestMs(),
                settings.count(Keyword.CLIENTS_MESSAGE_RATE),
                settings.count(Keyword.CLIENTS_SHARED_MESSAGE_RATE), clock, counters, inputs::addFromClient, this::allCounters,
                txn -> startedTransactions != null && startedTransactions.startedByOther(txn));
        fleetService = fleet == null ? null : new FleetService(fleet, c.name(), c.admin() == null ? "" : c.admin().getHostString()
                + ":" + c.admin().getPort(), Version.text(), clock::now,
                line -> log.info("{}: {}", c.name(), line),
                view -> inputs.add(new Input.FleetChanged(view, c.name(), fleet.config().shareGrowthDelayMs())));
        if (status != null && (fleetService != null || recoveryJournal != null)) {
            FleetPages pages = fleetService == null ? null : new FleetPages(fleetService);
            RecoveryPages more = recoveryJournal == null ? null : recoveryPages();
            status.addPages((method, path) -> {
                FleetPages.Page page = more == null ? null : more.page(method, path);
                return page != null ? CompletableFuture.completedFuture(page) : pages == null ? null : pages.page(method, path);
            });
        }
        engines = new EngineLinks(engineLoop, c.site(), inputs::addFromServer);
        changeLogClient = new ChangeLogClient(engineLoop, inputs::addFromServer);
    }

    private KeyLocks openKeyLocks(Configuration c) {
        if (processLocks.folder() == null) {
            return null;
        }
        Path file = processLocks.folder().resolve("quincespar-" + processLocks.address() + "-keys-1.table");
        try {
            return Retry.atStartup(() -> new KeyLocks(file, ProcessLocks.MAX_PROCESSES, processLocks.ownNumber(),
                    processLocks::mayBeAlive, c.site().decision().rules().settlePeriod(),
                    task -> timers.schedule(KeyLocks.POLL_MS, task), inputs::add));
        } catch (IOException e) {
            log.warn("{}: ordering keys are not locked against other processes, as {} can't be used: {}", c.name(), file,
                    e.getMessage());
            return null;
        }
    }

    private StartedTransactions openStartedTransactions(Configuration c) {
        if (processLocks.folder() == null) {
            return null;
        }
        Path file = processLocks.folder().resolve("quincespar-" + processLocks.address() + "-started-1.table");
        try {
            return Retry.atStartup(() -> StartedTransactions.open(file, ProcessLocks.MAX_PROCESSES, processLocks.ownNumber()));
        } catch (IOException e) {
            log.warn("{}: what other processes have begun to send is not known, as {} can't be used: {}", c.name(), file,
                    e.getMessage());
            return null;
        }
    }

    private static ConfigurationCheck.Valid readAtStart(Map<String, String> environment) throws IOException {
        return Retry.atStartup(() -> {
            try {
                return Configuration.read(environment, null);
            } catch (ConfigurationIOException e) {
                throw new IOException(e.getMessage(), e);
            }
        });
    }

    /** Serves until told to stop and all accepted requests are answered; throws if the address can't be bound. */
    void run() throws IOException, InterruptedException {
        try {
            if (capture != null) {
                capture.start();
            }
            if (fleetService != null) {
                fleetService.start();
            }
            if (recoveryJournal != null) {
                recoveryJournal.start();
            }
            start();
            while (lifecycle.phase() != Phase.STOPPED) {
                stepWithNextInputs();
                if (lifecycle.phase() == Phase.FINISHING && nothingOpen()) {
                    stop();
                }
            }
        } finally {
            if (capture != null) {
                capture.stop();
            }
            if (fleetService != null) {
                fleetService.close(CLOSE_TIMEOUT_MS);
            }
            if (recoveryJournal != null) {
                recoveryJournal.close(CLOSE_TIMEOUT_MS);
            }
            lifecycle.enter(Phase.STOPPED); // after an exception too, or threads waiting for the end would wait forever
        }
    }

    /** Handles the next inputs, and then some of the health calls. While more of those wait, it doesn't wait for inputs. */
    private void stepWithNextInputs() throws InterruptedException {
        List<Input> batch = healthCalls.isEmpty() ? inputs.take() : inputs.take(0);
        if (!batch.isEmpty()) {
            step(batch);
        }
        answerHealthCalls();
    }

    private void answerHealthCalls() {
        if (healthCalls.isEmpty()) {
            return;
        }
        long startedAt = System.nanoTime();
        try {
            List<Caller> callers = healthCalls.next();
            thriftServer.health(callers, lifecycle.ready());
            counters.add(Counters.Count.HEALTH_ANSWERED, callers.size());
            healthSteps.addSince(startedAt);
        } catch (RuntimeException | VirtualMachineError e) { // as for effects: no input from a peer may end the program
            reportError("answering health calls", e);
        }
    }

    private boolean nothingOpen() {
        return reducer.openRequests() == 0 && inputs.size() == 0 && healthCalls.isEmpty();
    }

    /** Waits until it serves, or has stopped without serving. */
    void awaitServing() throws InterruptedException {
        lifecycle.await(Phase.SERVING);
    }

    /** The port of the clients' address; known once it serves. */
    int port() throws IOException {
        return listener.port();
    }

    private void start() throws IOException, InterruptedException {
        boolean besideOlderProcess = processLocks.othersAlive();
        if (besideOlderProcess) {
            limitConnections(Math.min(bounds.maxCallers(), DescriptorShares.clientsInUpgrade(configuration.sockets())),
                    DescriptorShares.busyClientsInUpgrade(configuration.sockets()));
            inputs.add(new Input.OtherProcesses(true, true));
        }
        watchOtherProcesses(besideOlderProcess, besideOlderProcess);
        new Warmup(configuration, bounds, thriftServer).run();
        engineLoop.start();
        perform(reducer.start(clock.now(), configuration.changeLog(), configuration.known().events(),
                processLocks.othersAlive()));
        publish();
        awaitEngineList(clock.now() + FIRST_LIST_TIMEOUT_MS);
        if (lifecycle.phase() != Phase.STARTING) {
            return; // told to stop meanwhile
        }
        try {
            listener.bind(); // last: from here on clients connect and wait for answers
        } catch (IOException | RuntimeException e) {
            throw new IOException("listen " + configuration.listen() + ": " + e.getMessage(), e);
        }
        thriftServer.start();
        clientLoop.start();
        lifecycle.serve(processLocks::markServing, processLocks::clearServing);
        setStanding(Standing.SERVING);
        log.info("{}: serving on {}", configuration.name(), configuration.listen());
    }

    /** Waits for the change log, as configured engines may be draining. Without an answer the configured list is used. */
    private void awaitEngineList(double deadline) throws InterruptedException {
        while (!reducer.listConfirmed() && clock.now() < deadline && lifecycle.phase() == Phase.STARTING) {
            step(inputs.take(LIST_CHECK_INTERVAL_MS));
        }
        if (!reducer.listConfirmed() && lifecycle.phase() == Phase.STARTING) {
            log.warn("{}: the change log has not answered yet; serving with the engine list of the configuration",
                    configuration.name());
        }
    }

    private void setStanding(Standing standing) {
        if (fleetService != null) {
            fleetService.setStanding(standing);
        }
    }

    private RecoveryPages recoveryPages() {
        return new RecoveryPages(() -> recoveryReport, recoveryJournal::counts, inputs::add);
    }

    private String recoveryMetrics() {
        return recoveryJournal == null ? "" : recoveryPages().metrics();
    }

    private String fleetMetrics() {
        return fleetService == null ? "" : FleetPages.metrics(fleetService);
    }

    /** Checks periodically which other processes of this front end are alive, and sets the limits by that. */
    private void watchOtherProcesses(boolean othersAlive, boolean olderAlive) {
        timers.schedule(OTHERS_CHECK_INTERVAL_MS, () -> {
            boolean nowAlive = processLocks.othersAlive();
            boolean olderNowAlive = olderAlive && nowAlive;
            if (nowAlive != othersAlive) {
                inputs.add(new Input.OtherProcesses(nowAlive, olderNowAlive));
            }
            if (olderAlive && !olderNowAlive) {
                raiseLimits();
            }
            watchOtherProcesses(nowAlive, olderNowAlive);
        });
    }

    /** Sets the full limits, as the older process has ended. */
    private void raiseLimits() {
        if (lifecycle.phase().compareTo(Phase.SERVING) <= 0) {
            limitConnections(bounds.maxCallers(), bounds.maxBusyCallers());
        }
    }

    private void limitConnections(int maxCallers, int maxBusyCallers) {
        inputs.add(new Input.CallerLimitChanged(maxCallers, maxBusyCallers));
        thriftServer.setConnectionLimit(DescriptorShares.acceptedClients(configuration.sockets(), maxBusyCallers));
    }

    /** Publishes the reducer's state for other threads. */
    private void publish() {
        lifecycle.setEngineAvailable(reducer.canServe());
        if (status != null) {
            metrics = reducer.metrics();
        }
        if (recoveryJournal != null) {
            recoveryReport = reducer.recoveryReport();
        }
    }

    /** Starts a graceful shutdown and waits for its end; called from another thread. */
    void shutDown() throws InterruptedException {
        if (!lifecycle.stop(processLocks.othersServing())) {
            lifecycle.await(Phase.STOPPED);
            return;
        }
        processLocks.clearServing();
        setStanding(Standing.LEAVING);
        if (lifecycle.phase() == Phase.YIELDING) {
            log.info("{}: another process serves at this address, clients are moved to it", configuration.name());
            double endsAt = killTime(MAX_YIELD_MS) - YIELD_MARGIN_MS;
            inputs.add(new Input.ShutdownScheduled(endsAt));
            listener.close(() -> closeIdleConnections(endsAt + REFUSE_PERIOD_MS));
        } else if (lifecycle.phase() == Phase.LEAVING) {
            double until = killTime(MAX_LEAVE_MS);
            thriftServer.raiseConnectionLimitForShutdown();
            timers.schedule(LEAVING_MS, () -> {
                listener.close(() -> {
                    lifecycle.enter(Phase.SETTLING);
                    timers.schedule(SETTLE_MS, () -> {
                        inputs.add(new Input.RefuseNewRequests());
                        clientLoop.executeAfterReads(() -> closeIdleConnections(until));
                    });
                });
            });
        }
        lifecycle.await(Phase.STOPPED);
        log.info("{}: stopped: {}", configuration.name(), allCounters());
    }

    /** The earliest time of SIGKILL, by the configuration in force. */
    private double killTime(double maxDeadlineMs) {
        return clock.now() - pauseDetector.maxDelayMs(clock.now()) + Math.min(longestDeadlineMs, maxDeadlineMs) + KILL_DELAY_MS;
    }

    /**
     * Closes, now and repeatedly until {@code until}, each client connection without open, partial or unread requests, so that
     * the client reconnects for its next request without losing one. Connections that are never idle are left to {@link #stop}.
     */
    private void closeIdleConnections(double until) {
        thriftServer.closeIdleConnections();
        if (thriftServer.connectionCount() == 0) {
            enterFinishing();
        } else if (clock.now() >= until) {
            clientLoop.executeAfterReads(this::enterFinishing); // after a pause of the process requests may be unread
        } else {
            timers.schedule(CLOSE_IDLE_INTERVAL_MS, () -> closeIdleConnections(until));
        }
    }

    private void enterFinishing() {
        lifecycle.enter(Phase.FINISHING);
        inputs.add(new Input.CallerDisconnected(0)); // unknown caller, ignored: wakes the reducer's thread
    }

    /** Logs the counters at this interval from now on. */
    void logCountersEvery(long intervalMs) {
        timers.schedule(intervalMs, () -> {
            log.info("{}: counters: {}", configuration.name(), allCounters());
            log.info("{}: engines: {}", configuration.name(), reducer.engineCounters());
            logCountersEvery(intervalMs);
        });
    }

    /** Requests a reload of the configuration file; called from any thread, at any time. */
    void requestReload() {
        inputs.add(new Input.ReloadRequested());
    }

    /** Writes the last answers and closes the remaining connections. */
    private void stop() throws InterruptedException {
        thriftServer.finishConnections();
        double deadline = clock.now() + FLUSH_MS;
        while (thriftServer.connectionCount() > 0 && clock.now() < deadline) {
            inputs.take(10);
        }
        lifecycle.enter(Phase.STOPPED);
    }

    private void step(List<Input> batch) {
        try {
            batch.forEach(counters::countInput);
            long startedAt = System.nanoTime();
            double from = clock.now();
            pauseDetector.stepped(from);
            perform(reducer.step(from, batch));
            publish();
            steps.addSince(startedAt);
        } catch (RuntimeException | VirtualMachineError e) { // no input from a peer may end the program
            reportError("in the reducer", e);
        }
    }

    private void perform(List<Effect> effects) {
        for (Effect e : effects) {
            counters.countEffect(e);
            try {
                perform(e);
            } catch (RuntimeException | VirtualMachineError x) { // the other effects must still be performed
                reportError("performing " + e.getClass().getSimpleName(), x);
            }
        }
    }

    private void reportError(String activity, Throwable e) {
        log.error("{}: {}", configuration.name(), activity, e);
        counters.count(Counters.Count.ERRORS_UNCAUGHT);
    }

    private void perform(Effect effect) {
        if (effect instanceof Effect.StartTimer e) {
            timers.start(e.key(), e.delayMs());
        } else if (effect instanceof Effect.StopTimer e) {
            timers.stop(e.key());
        } else if (effect instanceof Effect.Answer e) {
            thriftServer.reply(e.caller(), e.reply());
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
            healthCalls.add(e.caller());
        } else if (effect instanceof Effect.Probe e) {
            engines.probe(e);
        } else if (effect instanceof Effect.PollChangeLog e) {
            changeLogClient.poll(e);
        } else if (effect instanceof Effect.CloseCaller e) {
            thriftServer.closeCaller(e);
        } else if (effect instanceof Effect.EndCaller e) {
            thriftServer.endCaller(e);
        } else if (effect instanceof Effect.UnexpectedError e) {
            reportError(e.activity(), e.error());
        } else if (effect instanceof Effect.ReloadConfiguration e) {
            configurationReloader.reload(e.reloadId(), currentDocument);
        } else if (effect instanceof Effect.ConfigurationAccepted e) {
            currentDocument = e.document();
        } else if (effect instanceof Effect.ApplySettings e) {
            longestDeadlineMs = e.settings().longestDeadlineMs();
            thriftServer.applySettings(e.settings());
            engines.applySettings(e.settings());
        } else if (effect instanceof Effect.PersistEntry e) {
            recoveryJournal.add(e.entry(), e.request());
        } else if (effect instanceof Effect.RecordStart e) {
            if (startedTransactions != null) {
                startedTransactions.add(e.txn());
            }
        } else if (effect instanceof Effect.LockKey e) {
            keyLocks.lock(e, clock.now() - e.arrivedAt());
        } else if (effect instanceof Effect.UnlockKey e) {
            keyLocks.unlock(e);
        } else if (effect instanceof Effect.ReadFleetState) {
            readFleetState();
        } else if (effect instanceof Effect.CancelPoll e) {
            changeLogClient.cancel(e.pollId());
        } else if (effect instanceof Effect.Log e) {
            log.info("{}: {}", configuration.name(), e.line());
        } else if (effect instanceof Effect.Trace e && log.isDebugEnabled()) {
            log.debug("{}: {}", configuration.name(), e.line().get());
        }
    }

    /** Reads the fleet's replicated state, null on failure. Delayed, as the reducer may answer the result with another read. */
    private void readFleetState() {
        timers.schedule(FLEET_READ_DELAY_MS, () -> fleetService.read().whenComplete((state, e) ->
                inputs.add(new Input.FleetStateReceived(e == null ? state : null))));
    }

    /** What was sent to each engine, and how it ended; see {@link Reducer#engineCounters}. */
    Map<String, Long> engineCounters() {
        return reducer.engineCounters();
    }

    private static void putDurations(Map<String, String> counters, String name, DurationStats durations) {
        counters.put(name + ".us", Long.toString(durations.totalUs()));
        counters.put(name + ".longest_us", Long.toString(durations.longestUs()));
    }

    private Map<String, String> allCounters() {
        Map<String, String> all = new LinkedHashMap<>(counters.snapshot());
        all.put("phase", lifecycle.phase().name().toLowerCase(java.util.Locale.ROOT));
        reducer.retainedCounts().forEach((name, n) -> all.put(name, n.toString()));
        all.put("changes.age_ms", Long.toString(Math.round(reducer.listAgeMs(clock.now()))));
        reducer.attemptCounters().forEach((name, n) -> all.put(name, n.toString()));
        if (capture != null) {
            capture.counts().forEach((name, n) -> all.put(name, n.toString()));
        }
        putDurations(all, "steps", steps);
        putDurations(all, "steps.health", healthSteps);
        putDurations(all, "loops.clients", clientLoop.passes());
        putDurations(all, "loops.engines", engineLoop.passes());
        putDurations(all, "inputs.wait", inputs.waits());
        all.put("held.health-calls", Integer.toString(healthCalls.size()));
        ProcessHandle.current().info().totalCpuDuration().ifPresent(d -> all.put("cpu.ms", Long.toString(d.toMillis())));
        all.put("log.dropped", Long.toString(logs.dropped()));
        all.put("held.timers", Integer.toString(timers.size()));
        all.put("held.keys-awaited", Integer.toString(keyLocks == null ? 0 : keyLocks.waitingCount()));
        all.put("held.inputs", Integer.toString(inputs.size()));
        all.put("requests.open", Integer.toString(reducer.openRequests()));
        all.put("held.frame-bytes", Long.toString(thriftServer.partialFrameBytes()));
        all.put("clients.connected", Integer.toString(thriftServer.connectionCount()));
        all.put("engines.connected", Integer.toString(engines.size()));
        return all;
    }
}
