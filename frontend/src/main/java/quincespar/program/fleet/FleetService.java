package quincespar.program.fleet;

import java.io.IOException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.List;
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
import quincespar.fleet.Participation;
import quincespar.fleet.Result;
import quincespar.fleet.Snapshot;
import quincespar.fleet.Standing;
import quincespar.records.MalformedRecordException;
import quincespar.store.FolderDisk;
import quincespar.store.StateFolder;
import quincespar.transport.Threads;

/** This instance's part in its fleet: one thread that feeds {@link Participation} and carries out what it wants. */
public final class FleetService {
    private static final String VOTES = "votes";
    private static final double WRITE_AGAIN_MS = 100, SIZE_MS = 10_000;
    private static final int IDENTITY = 8;
    /** More than a segment of the log of votes and a snapshot. */
    private static final long ROOM = 8L << 20;

    private final ScheduledThreadPoolExecutor thread = new ScheduledThreadPoolExecutor(1, r -> Threads.daemon("fleet", r));
    /** What waits for the disk, in order: a disk that takes seconds must not end a session. */
    private final ScheduledThreadPoolExecutor files = new ScheduledThreadPoolExecutor(1, r -> Threads.daemon("fleet-disk", r));
    private final FleetCodec codec = new FleetCodec();
    private final FleetSettings settings;
    private final String name;
    private final DoubleSupplier clock;
    private final Consumer<String> say;
    private final Consumer<FleetView> publish;
    private final Participation participation;
    private final RegisterWriteQueue writes;
    private final Agreement agreement;
    private final AtomicLong failures = new AtomicLong(), lost = new AtomicLong(), leaders = new AtomicLong();
    private final CountDownLatch left = new CountDownLatch(1);
    /** Of the disk's thread. */
    private FolderDisk disk;
    private StateFolder folder;
    private boolean overTotal;
    /** Votes that were asked for and not yet begun or ended. */
    private int turning;
    private boolean writing;
    private double sizedAt = Double.NEGATIVE_INFINITY;
    private String leader = "";
    private volatile long bytes;
    private volatile FleetView view = FleetView.NONE;

    /**
     * Opens the library; throws {@link IOException} where it can't be had.
     *
     * @param address the second address, empty where there is none
     * @param clock milliseconds on a clock that can't be set
     * @param say takes a line for operators
     * @param publish takes each new view, on this link's thread
     */
    public FleetService(FleetSettings settings, String name, String address, String build, DoubleSupplier clock,
            Consumer<String> say, Consumer<FleetView> publish) throws IOException {
        this.settings = settings;
        this.name = name;
        this.clock = clock;
        this.say = say;
        this.publish = publish;
        participation = new Participation(settings.config(), name, address, build, new SecureRandom().nextLong() | 1);
        writes = new RegisterWriteQueue(name);
        agreement = AgreementLibrary.open(settings.library()).open(settings.config(), name,
                s -> run(() -> perform(participation.stateReceived(now(), s))));
        thread.setRemoveOnCancelPolicy(true);
    }

    private double now() {
        return clock.getAsDouble();
    }

    private void run(Runnable step) {
        on(thread, step);
    }

    private void on(ScheduledThreadPoolExecutor which, Runnable step) {
        try {
            which.execute(guarded(step));
        } catch (RejectedExecutionException e) { // closed: nothing is of interest any more
            Thread.onSpinWait();
        }
    }

    /** The executor would keep what a step throws to itself. */
    private Runnable guarded(Runnable step) {
        return () -> {
            try {
                step.run();
            } catch (RuntimeException e) {
                failures.incrementAndGet();
                say.accept("fleet: a step failed, which is a fault of this program: " + e);
            }
        };
    }

    private void after(double ms, Runnable step) {
        try {
            thread.schedule(guarded(step), Math.round(ms), TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) { // closed meanwhile
            Thread.onSpinWait();
        }
    }

    /** Begins. */
    public void start() {
        run(() -> perform(participation.start(now())));
        run(this::look);
    }

    /** This instance stands so from now on. */
    public void setStanding(Standing s) {
        run(() -> perform(participation.setStanding(now(), s)));
        if (s == Standing.LEAVING) {
            agreement.transferLeadership();
        }
    }

    /** Tells the fleet that this instance leaves, waits for its word for so long at the most, and ends. */
    public void close(long longestMs) throws InterruptedException {
        run(() -> perform(participation.leave(now())));
        left.await(longestMs, TimeUnit.MILLISECONDS);
        thread.shutdownNow();
        end(); // the library and the disk may take their time, and the process need not wait
        files.awaitTermination(longestMs, TimeUnit.MILLISECONDS);
    }

    private void end() {
        on(files, () -> {
            agreement.close();
            try {
                if (folder != null) {
                    folder.close();
                }
            } catch (IOException e) {
                say.accept("fleet: closing its folder: " + e.getMessage());
            }
        });
        files.shutdown();
    }

    /** What is known now. */
    public FleetView view() {
        return view;
    }

    /** Milliseconds since a majority last answered; infinite before the first time. */
    public double age() {
        return view.millisSinceContact(now());
    }

    /** What the library knows now. */
    public Agreement.Status status() {
        return agreement.status();
    }

    /** This instance's name in the fleet. */
    public String name() {
        return name;
    }

    /** The settings that it was made with. */
    public FleetSettings settings() {
        return settings;
    }

    /** What is counted: failed writes to the folder, commands without an answer, changes of leader, and the folder's bytes. */
    public record Counts(long failures, long lost, long leaders, long bytes) { }

    /** Counts since the start. */
    public Counts counts() {
        return new Counts(failures.get(), lost.get(), leaders.get(), bytes);
    }

    /** The agreed state, with all that was agreed before this call. */
    public CompletionStage<Snapshot> read() {
        CompletableFuture<Snapshot> out = new CompletableFuture<>();
        agreement.readLinearizable().whenComplete((got, e) -> run(() -> {
            try {
                if (e != null) {
                    out.completeExceptionally(e);
                } else {
                    out.complete(codec.readSnapshot(got));
                }
            } catch (MalformedRecordException x) {
                out.completeExceptionally(x);
            }
        }));
        return out;
    }

    /** Writes a register; a stage that ends with an exception leaves open whether it was written. */
    public CompletionStage<Result> write(String register, long ifVersion, String value) {
        CompletableFuture<Result> out = new CompletableFuture<>();
        run(() -> {
            writes.add(register, ifVersion, value).whenComplete((r, e) -> {
                if (e != null) {
                    out.completeExceptionally(e);
                } else {
                    out.complete(r);
                }
            });
            writeNext();
        });
        return out;
    }

    private void writeNext() {
        writes.setIncarnation(participation.incarnation());
        Command.Write w = writing ? null : writes.next();
        if (w == null) {
            return;
        }
        writing = true;
        agreement.submit(codec.write(w)).whenComplete((got, e) -> run(() -> {
            writing = false;
            Result r = e == null ? result(got) : null;
            if (r == null) {
                lost.incrementAndGet();
                after(WRITE_AGAIN_MS, this::writeNext);
            } else {
                writes.complete(w, r);
                writeNext();
            }
        }));
    }

    /** Null where it can't be read. */
    private Result result(byte[] got) {
        try {
            return codec.readResult(got);
        } catch (MalformedRecordException e) {
            say.accept("fleet: an answer that can't be read: " + e.getMessage());
            return null;
        }
    }

    private void perform(List<Action> acts) {
        acts.forEach(this::perform);
    }

    private void perform(Action act) {
        if (act instanceof Action.OpenFolder) {
            on(files, () -> {
                FolderResult found = open();
                run(() -> perform(participation.folderOpened(now(), found)));
            });
        } else if (act instanceof Action.QueryVoters a) {
            askOthers(a);
        } else if (act instanceof Action.StartVoting) {
            turn(this::vote);
        } else if (act instanceof Action.StopVoting) {
            turn(() -> {
                agreement.stopVoting();
                return null;
            });
        } else if (act instanceof Action.RetryDisk a) {
            after(a.delayMs(), () -> perform(participation.diskRetryDue(now())));
        } else if (act instanceof Action.Submit a) {
            submit(a);
        } else if (act instanceof Action.Persist a) {
            on(files, () -> {
                String why = tried(() -> folder.persist(a.incarnation(), a.nonce()));
                run(() -> perform(participation.persisted(now(), why)));
            });
        } else if (act instanceof Action.PersistMark a) {
            on(files, () -> {
                String why = tried(() -> mark(a.mark()));
                run(() -> perform(participation.markPersisted(now(), a.mark(), why)));
            });
        } else if (act instanceof Action.StartTimer a) {
            after(a.delayMs(), () -> perform(participation.timerFired(now(), a.timerId())));
        } else if (act instanceof Action.Log a) {
            say.accept("fleet: " + name + " " + a.message());
        } else if (act instanceof Action.Publish a) {
            members(view.state(), a.view().state());
            view = a.view();
            publish.accept(view);
            if (view.phase() == Phase.LEFT) {
                left.countDown();
            }
        }
    }

    private void members(Snapshot before, Snapshot now) {
        for (Instance i : now.instances()) {
            Instance was = before.instances().stream().filter(x -> x.name().equals(i.name())).findFirst().orElse(null);
            if (was == null || was.incarnation() != i.incarnation() || was.standing() != i.standing()) {
                say.accept("fleet: " + i.name() + " (incarnation " + i.incarnation() + ") is " + i.standing());
            }
        }
    }

    /** Drawn for a new folder. */
    static String identity() {
        byte[] drawn = new byte[IDENTITY];
        new SecureRandom().nextBytes(drawn);
        return HexFormat.of().formatHex(drawn);
    }

    private FolderResult open() {
        Path at = settings.folder();
        if (at == null) {
            return new FolderResult.Failed("'state folder' names none");
        }
        FolderDisk d = new FolderDisk(at);
        try {
            if (!d.lock()) {
                return new FolderResult.Locked("another process holds " + at);
            }
            folder = StateFolder.open(d, name, identity(), false);
            disk = d;
            StateFolder.Facts f = folder.facts();
            return new FolderResult.Open(f.identity(), f.incarnation(), f.pendingNonce(), folder.mark(), f.initializedForVoting());
        } catch (IOException e) {
            failures.incrementAndGet();
            closeQuietly(d);
            return new FolderResult.Failed(e.getMessage());
        }
    }

    private void closeQuietly(FolderDisk d) {
        try {
            d.close();
        } catch (IOException e) {
            say.accept("fleet: " + e.getMessage());
        }
    }

    private interface Written {
        void write() throws IOException;
    }

    /** Votes end before the disk is full: the library loses the last vote that it kept where it finds no room for the next. */
    private void mark(long number) throws IOException {
        if (disk.freeBytes() < ROOM) {
            throw new IOException("less than " + ROOM + " bytes are free");
        }
        folder.persistMark(number);
    }

    /** Null where it is there for certain, else why not. */
    private String tried(Written w) {
        try {
            w.write();
            return null;
        } catch (IOException e) {
            failures.incrementAndGet();
            return e.getMessage();
        }
    }

    /** Null where it takes part in votes now, else why not. */
    private String vote() {
        try {
            agreement.startVoting(settings.folder().resolve(VOTES));
            return null;
        } catch (IOException | RuntimeException e) {
            failures.incrementAndGet();
            return e.toString();
        }
    }

    /** Begins or ends votes, which may wait for the disk. */
    private void turn(Supplier<String> how) {
        turning++;
        on(files, () -> {
            String why = how.get();
            run(() -> {
                turning--;
                if (why != null) {
                    perform(participation.votingFailed(now(), why));
                }
            });
        });
    }

    private void askOthers(Action.QueryVoters what) {
        List<String> others = settings.config().voters().keySet().stream().filter(v -> !v.equals(name)).toList();
        int[] open = {others.size()};
        String[] against = {""};
        boolean[] answered = {false};
        if (others.isEmpty()) {
            perform(participation.votersAnswered(now(), "", false));
        }
        for (String v : others) {
            agreement.readStale(v).whenComplete((got, e) -> run(() -> {
                open[0]--;
                answered[0] |= e == null;
                against[0] = against[0].isEmpty() && e == null ? against(got, what) : against[0];
                if (open[0] == 0 || !against[0].isEmpty()) {
                    perform(participation.votersAnswered(now(), against[0], answered[0]));
                }
            }));
        }
    }

    private String against(byte[] state, Action.QueryVoters what) {
        try {
            return codec.readSnapshot(state).votingRejection(name, what.folder(), what.lastIncarnation(), what.mark(), what.nonce());
        } catch (MalformedRecordException e) {
            say.accept("fleet: an answer that can't be read: " + e.getMessage());
            return "";
        }
    }

    private void submit(Action.Submit a) {
        agreement.submit(codec.write((Record) a.command())).whenComplete((got, e) -> run(() -> {
            Result r = e == null ? result(got) : null;
            if (r == null) {
                lost.incrementAndGet();
                perform(participation.commandFailed(now(), a.requestId(), String.valueOf(e)));
                return;
            }
            if (r instanceof Result.Renewed x && x.state().length > 0) {
                try {
                    perform(participation.stateReceived(now(), codec.readSnapshot(x.state())));
                } catch (MalformedRecordException bad) {
                    say.accept("fleet: a state that can't be read: " + bad.getMessage());
                }
            }
            perform(participation.commandCompleted(now(), a.requestId(), r));
            writeNext();
        }));
    }

    /** Tells of a new leader, and of a folder that has grown beyond its bound. */
    private void look() {
        Agreement.Status s = agreement.status();
        if (!s.leader().equals(leader)) {
            leader = s.leader();
            leaders.incrementAndGet();
            say.accept("fleet: " + (leader.isEmpty() ? "no leader is known" : leader + " leads") + (s.voting() ? ", term "
                    + s.term() : ""));
        }
        if (participation.isVoting() && turning == 0 && !s.voting()) {
            failures.incrementAndGet();
            perform(participation.votingFailed(now(), "the log of votes has ended, as on a disk that refuses"));
        }
        if (now() >= sizedAt + SIZE_MS) {
            sizedAt = now();
            on(files, this::size);
        }
        after(settings.config().renewIntervalMs(), this::look);
    }

    /** Over its bound the log of votes is cut to what was agreed last, and that is told once. */
    private void size() {
        if (disk == null) {
            return;
        }
        try {
            bytes = disk.usedBytes();
            boolean over = bytes > settings.sizeLimitBytes();
            if (over && !overTotal) {
                say.accept("fleet: its folder holds " + bytes + " bytes, over 'state total'; the log of votes is cut");
            }
            if (over) {
                agreement.compactLog();
            }
            overTotal = over;
        } catch (IOException e) {
            failures.incrementAndGet();
        }
    }
}
