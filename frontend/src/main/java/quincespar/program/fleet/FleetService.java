package quincespar.program.fleet;

import java.io.IOException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import quincespar.fleet.Agreement;
import quincespar.fleet.Command;
import quincespar.fleet.FleetCodec;
import quincespar.fleet.FleetView;
import quincespar.fleet.Instance;
import quincespar.fleet.Participation.Action;
import quincespar.fleet.Participation.FolderResult;
import quincespar.fleet.Participation.Phase;
import quincespar.fleet.Participation.VoterAnswers;
import quincespar.fleet.Participation;
import quincespar.fleet.Result;
import quincespar.fleet.Snapshot;
import quincespar.fleet.Standing;
import quincespar.records.MalformedRecordException;
import quincespar.store.FolderDisk;
import quincespar.store.StateFolder;
import quincespar.transport.Threads;

/**
 * Runs this instance's {@link Participation} in its fleet: one thread delivers the events and carries out the actions. Blocking
 * calls run on a second thread.
 */
public final class FleetService {
    private static final String LOG_FOLDER = "votes";
    private static final double WRITE_RETRY_DELAY_MS = 100;
    private static final double SIZE_CHECK_INTERVAL_MS = 10_000;
    private static final int IDENTITY_BYTES = 8;
    /** More than a segment of the replicated log and a snapshot take. */
    private static final long MIN_FREE_BYTES = 8L << 20;

    private final ScheduledThreadPoolExecutor eventThread = new ScheduledThreadPoolExecutor(1, r -> Threads.daemon("fleet", r));
    /** Runs calls that wait for the disk, in order: a slow write must not delay the renewals until the session expires. */
    private final ScheduledThreadPoolExecutor diskThread = new ScheduledThreadPoolExecutor(1,
            r -> Threads.daemon("fleet-disk", r));
    private final FleetCodec codec = new FleetCodec();
    private final FleetSettings settings;
    private final String name;
    private final DoubleSupplier clock;
    private final Consumer<String> log;
    private final Consumer<FleetView> publish;
    private final Participation participation;
    private final RegisterWriteQueue registerWrites;
    private final Agreement agreement;
    private final AtomicLong failures = new AtomicLong();
    private final AtomicLong unanswered = new AtomicLong();
    private final AtomicLong leaderChanges = new AtomicLong();
    private final CountDownLatch left = new CountDownLatch(1);

    // used by the disk thread only
    private FolderDisk disk;
    private StateFolder folder;
    private boolean overSizeLimit;

    // used by the event thread only
    /** Starts and stops of voting that are queued on the disk thread or running there. */
    private int pendingVotingChanges;
    private boolean writeInFlight;
    private double lastSizeCheckAt = Double.NEGATIVE_INFINITY;
    private String leader = "";

    private volatile long folderBytes;
    private volatile FleetView view = FleetView.NONE;

    /**
     * Opens the agreement library; throws {@link IOException} if that is not possible.
     *
     * @param address the second address; empty if there is none
     * @param clock monotonic clock, in milliseconds
     * @param log receives log lines for operators
     * @param publish receives each changed view, on this service's event thread
     */
    public FleetService(FleetSettings settings, String name, String address, String build, DoubleSupplier clock,
            Consumer<String> log, Consumer<FleetView> publish) throws IOException {
        this.settings = settings;
        this.name = name;
        this.clock = clock;
        this.log = log;
        this.publish = publish;
        participation = new Participation(settings.config(), name, address, build, new SecureRandom().nextLong() | 1);
        registerWrites = new RegisterWriteQueue(name);
        agreement = AgreementLibrary.open(settings.library()).open(settings.config(), name,
                state -> execute(() -> perform(participation.stateReceived(now(), state))));
        eventThread.setRemoveOnCancelPolicy(true);
    }

    private double now() {
        return clock.getAsDouble();
    }

    private void execute(Runnable task) {
        executeOn(eventThread, task);
    }

    private void executeOn(ScheduledThreadPoolExecutor executor, Runnable task) {
        try {
            executor.execute(logFailures(task));
        } catch (RejectedExecutionException e) { // the service is closed: the task is dropped
            Thread.onSpinWait();
        }
    }

    /** Wraps a task so that its exception is counted and logged; the executor alone would discard it. */
    private Runnable logFailures(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                failures.incrementAndGet();
                log.accept("fleet: internal error in a task: " + e);
            }
        };
    }

    private void schedule(double delayMs, Runnable task) {
        try {
            eventThread.schedule(logFailures(task), Math.round(delayMs), TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) { // the service is closed: the task is dropped
            Thread.onSpinWait();
        }
    }

    /** Starts the participation and the periodic checks. */
    public void start() {
        execute(() -> perform(participation.start(now())));
        execute(this::checkStatus);
    }

    /** Sets this instance's standing; gives up leadership if it is {@link Standing#LEAVING}. */
    public void setStanding(Standing standing) {
        execute(() -> perform(participation.setStanding(now(), standing)));
        if (standing == Standing.LEAVING) {
            agreement.transferLeadership();
        }
    }

    /**
     * Leaves the fleet and closes the service.
     *
     * @param timeoutMs how long to wait for the fleet's confirmation, and again for the library and the disk to close
     */
    public void close(long timeoutMs) throws InterruptedException {
        execute(() -> perform(participation.leave(now())));
        left.await(timeoutMs, TimeUnit.MILLISECONDS);
        eventThread.shutdownNow();
        closeResources(); // may take longer than the timeout; the process does not wait for it to complete
        diskThread.awaitTermination(timeoutMs, TimeUnit.MILLISECONDS);
    }

    private void closeResources() {
        executeOn(diskThread, () -> {
            agreement.close();
            try {
                if (folder != null) {
                    folder.close();
                }
            } catch (IOException e) {
                log.accept("fleet: closing the state folder failed: " + e.getMessage());
            }
        });
        diskThread.shutdown();
    }

    /** The view published last. */
    public FleetView view() {
        return view;
    }

    /** Milliseconds since a majority last answered; infinite if none has yet. */
    public double age() {
        return view.millisSinceContact(now());
    }

    /** The library's current status. */
    public Agreement.Status status() {
        return agreement.status();
    }

    /** This instance's name in the fleet. */
    public String name() {
        return name;
    }

    /** The settings of this service. */
    public FleetSettings settings() {
        return settings;
    }

    /**
     * Counters since the start, and the size of the state folder.
     *
     * @param failures failed operations on the state folder and the log in it, and internal errors
     * @param lost commands without a readable answer
     * @param leaders changes of leader
     * @param bytes size of the state folder
     */
    public record Counts(long failures, long lost, long leaders, long bytes) { }

    /** The current counts. */
    public Counts counts() {
        return new Counts(failures.get(), unanswered.get(), leaderChanges.get(), folderBytes);
    }

    /** Reads the replicated state linearizably: it includes everything that was committed before this call. */
    public CompletionStage<Snapshot> read() {
        CompletableFuture<Snapshot> snapshot = new CompletableFuture<>();
        agreement.readLinearizable().whenComplete((encoded, e) -> execute(() -> {
            try {
                if (e != null) {
                    snapshot.completeExceptionally(e);
                } else {
                    snapshot.complete(codec.readSnapshot(encoded));
                }
            } catch (MalformedRecordException malformed) {
                snapshot.completeExceptionally(malformed);
            }
        }));
        return snapshot;
    }

    /**
     * Writes a register. A stage that completes exceptionally leaves open whether it was written.
     *
     * @param ifVersion the version that the register must have; 0 if it must not exist, -1 for any
     */
    public CompletionStage<Result> write(String register, long ifVersion, String value) {
        CompletableFuture<Result> result = new CompletableFuture<>();
        execute(() -> {
            registerWrites.add(register, ifVersion, value).whenComplete((outcome, e) -> {
                if (e != null) {
                    result.completeExceptionally(e);
                } else {
                    result.complete(outcome);
                }
            });
            submitNextWrite();
        });
        return result;
    }

    private void submitNextWrite() {
        registerWrites.setIncarnation(participation.incarnation());
        Command.Write command = writeInFlight ? null : registerWrites.next();
        if (command == null) {
            return;
        }
        writeInFlight = true;
        agreement.submit(codec.write(command)).whenComplete((encoded, e) -> execute(() -> {
            writeInFlight = false;
            Result result = e == null ? readResult(encoded) : null;
            if (result == null) {
                unanswered.incrementAndGet();
                schedule(WRITE_RETRY_DELAY_MS, this::submitNextWrite);
            } else {
                registerWrites.complete(command, result);
                submitNextWrite();
            }
        }));
    }

    /** Decodes a result; returns null if it is malformed. */
    private Result readResult(byte[] encoded) {
        try {
            return codec.readResult(encoded);
        } catch (MalformedRecordException e) {
            log.accept("fleet: malformed answer: " + e.getMessage());
            return null;
        }
    }

    private void perform(List<Action> actions) {
        actions.forEach(this::perform);
    }

    private void perform(Action action) {
        if (action instanceof Action.OpenFolder) {
            executeOn(diskThread, () -> {
                FolderResult result = openFolder();
                execute(() -> perform(participation.folderOpened(now(), result)));
            });
        } else if (action instanceof Action.QueryVoters query) {
            queryOtherVoters(query);
        } else if (action instanceof Action.StartVoting) {
            changeVoting(this::startVoting);
        } else if (action instanceof Action.StopVoting) {
            changeVoting(() -> {
                agreement.stopVoting();
                return null;
            });
        } else if (action instanceof Action.RetryDisk retry) {
            schedule(retry.delayMs(), () -> perform(participation.diskRetryDue(now())));
        } else if (action instanceof Action.Submit submission) {
            submit(submission);
        } else if (action instanceof Action.Persist persist) {
            executeOn(diskThread, () -> {
                String failure = tryWrite(() -> folder.persist(persist.incarnation(), persist.nonce()));
                execute(() -> perform(participation.persisted(now(), failure)));
            });
        } else if (action instanceof Action.PersistMark persistMark) {
            executeOn(diskThread, () -> {
                String failure = tryWrite(() -> writeMark(persistMark.mark()));
                execute(() -> perform(participation.markPersisted(now(), persistMark.mark(), failure)));
            });
        } else if (action instanceof Action.StartTimer timer) {
            schedule(timer.delayMs(), () -> perform(participation.timerFired(now(), timer.timerId())));
        } else if (action instanceof Action.Log line) {
            log.accept("fleet: " + name + " " + line.message());
        } else if (action instanceof Action.Publish publication) {
            logMemberChanges(view.state(), publication.view().state());
            view = publication.view();
            publish.accept(view);
            if (view.phase() == Phase.LEFT) {
                left.countDown();
            }
        }
    }

    private void logMemberChanges(Snapshot before, Snapshot after) {
        for (Instance instance : after.instances()) {
            Instance previous = before.instances().stream().filter(i -> i.name().equals(instance.name())).findFirst()
                    .orElse(null);
            if (previous == null || previous.incarnation() != instance.incarnation()
                    || previous.standing() != instance.standing()) {
                log.accept("fleet: " + instance.name() + " (incarnation " + instance.incarnation() + ") is "
                        + instance.standing());
            }
        }
    }

    /** Draws a random identity for a new folder. */
    static String identity() {
        byte[] random = new byte[IDENTITY_BYTES];
        new SecureRandom().nextBytes(random);
        return HexFormat.of().formatHex(random);
    }

    private FolderResult openFolder() {
        Path path = settings.folder();
        if (path == null) {
            return new FolderResult.Failed("'state folder' names none");
        }
        FolderDisk opened = new FolderDisk(path);
        try {
            if (!opened.lock()) {
                return new FolderResult.Locked("another process holds " + path);
            }
            folder = StateFolder.open(opened, name, identity(), false);
            disk = opened;
            StateFolder.Facts facts = folder.facts();
            return new FolderResult.Open(facts.identity(), facts.incarnation(), facts.pendingNonce(), folder.mark(),
                    facts.initializedForVoting());
        } catch (IOException e) {
            failures.incrementAndGet();
            closeQuietly(opened);
            return new FolderResult.Failed(e.getMessage());
        }
    }

    private void closeQuietly(FolderDisk opened) {
        try {
            opened.close();
        } catch (IOException e) {
            log.accept("fleet: closing the state folder failed: " + e.getMessage());
        }
    }

    private interface DiskWrite {
        void write() throws IOException;
    }

    /** Fails before the disk is full, which stops voting: on a full disk the library would lose the last vote that it stored. */
    private void writeMark(long mark) throws IOException {
        if (disk.freeBytes() < MIN_FREE_BYTES) {
            throw new IOException("less than " + MIN_FREE_BYTES + " bytes are free");
        }
        folder.persistMark(mark);
    }

    /** Returns null if the write succeeded and is durable, else the reason why not. */
    private String tryWrite(DiskWrite write) {
        try {
            write.write();
            return null;
        } catch (IOException e) {
            failures.incrementAndGet();
            return e.getMessage();
        }
    }

    /** Returns null if this instance votes now, else the reason why not. */
    private String startVoting() {
        try {
            agreement.startVoting(settings.folder().resolve(LOG_FOLDER));
            return null;
        } catch (IOException | RuntimeException e) {
            failures.incrementAndGet();
            return e.toString();
        }
    }

    /** Starts or stops voting on the disk thread, as either may wait for the disk; {@code change} returns the failure or null. */
    private void changeVoting(Supplier<String> change) {
        pendingVotingChanges++;
        executeOn(diskThread, () -> {
            String failure = change.get();
            execute(() -> {
                pendingVotingChanges--;
                if (failure != null) {
                    perform(participation.votingFailed(now(), failure));
                }
            });
        });
    }

    private void queryOtherVoters(Action.QueryVoters query) {
        List<String> others = settings.config().voters().keySet().stream().filter(v -> !v.equals(name)).toList();
        if (others.isEmpty()) {
            perform(participation.votersAnswered(now(), VoterAnswers.NONE));
        }
        List<Snapshot> states = new ArrayList<>();
        int[] pending = {others.size()};
        for (String voter : others) {
            agreement.readStale(voter).whenComplete((encoded, e) -> execute(() -> {
                pending[0]--;
                if (e == null) {
                    readState(encoded).ifPresent(states::add);
                }
                VoterAnswers answers = summarize(states, query);
                if (pending[0] == 0 || !answers.rejection().isEmpty()) {
                    perform(participation.votersAnswered(now(), answers));
                }
            }));
        }
    }

    private VoterAnswers summarize(List<Snapshot> states, Action.QueryVoters query) {
        String rejection = states.stream().map(state -> state.votingRejection(name, query.folder(), query.lastIncarnation(),
                query.mark(), query.nonce())).filter(reason -> !reason.isEmpty()).findFirst().orElse("");
        int withState = (int) states.stream().filter(state -> state.version() > 0).count();
        return new VoterAnswers(rejection, !states.isEmpty(), withState);
    }

    /** Decodes another voter's state; empty if it is malformed. */
    private Optional<Snapshot> readState(byte[] encoded) {
        try {
            return Optional.of(codec.readSnapshot(encoded));
        } catch (MalformedRecordException e) {
            log.accept("fleet: malformed answer: " + e.getMessage());
            return Optional.empty();
        }
    }

    private void submit(Action.Submit submission) {
        agreement.submit(codec.write((Record) submission.command())).whenComplete((encoded, e) -> execute(() -> {
            Result result = e == null ? readResult(encoded) : null;
            if (result == null) {
                unanswered.incrementAndGet();
                perform(participation.commandFailed(now(), submission.requestId(), String.valueOf(e)));
                return;
            }
            if (result instanceof Result.Renewed renewed && renewed.state().length > 0) {
                try {
                    perform(participation.stateReceived(now(), codec.readSnapshot(renewed.state())));
                } catch (MalformedRecordException malformed) {
                    log.accept("fleet: malformed state: " + malformed.getMessage());
                }
            }
            perform(participation.commandCompleted(now(), submission.requestId(), result));
            submitNextWrite();
        }));
    }

    /** Detects a new leader and the end of voting, and starts a check of the folder's size when it is due. */
    private void checkStatus() {
        Agreement.Status status = agreement.status();
        if (!status.leader().equals(leader)) {
            leader = status.leader();
            leaderChanges.incrementAndGet();
            log.accept("fleet: " + (leader.isEmpty() ? "no leader is known" : leader + " is the leader")
                    + (status.voting() ? ", term " + status.term() : ""));
        }
        if (participation.isVoting() && pendingVotingChanges == 0 && !status.voting()) {
            failures.incrementAndGet();
            perform(participation.votingFailed(now(), "the log of votes has ended, as on a disk that refuses"));
        }
        if (now() >= lastSizeCheckAt + SIZE_CHECK_INTERVAL_MS) {
            lastSizeCheckAt = now();
            executeOn(diskThread, this::checkFolderSize);
        }
        schedule(settings.config().renewIntervalMs(), this::checkStatus);
    }

    /** Compacts the log while the folder is over its size limit; logs that once, when the limit is first exceeded. */
    private void checkFolderSize() {
        if (disk == null) {
            return;
        }
        try {
            folderBytes = disk.usedBytes();
            boolean over = folderBytes > settings.sizeLimitBytes();
            if (over && !overSizeLimit) {
                log.accept("fleet: the state folder holds " + folderBytes
                        + " bytes, more than 'state total'; compacting the log");
            }
            if (over) {
                agreement.compactLog();
            }
            overSizeLimit = over;
        } catch (IOException e) {
            failures.incrementAndGet();
        }
    }
}
