package quincespar.program.recovery;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import quincespar.records.MalformedRecordException;
import quincespar.records.RecordCodec;
import quincespar.recovery.DurableFact;
import quincespar.recovery.JournalEntry;
import quincespar.recovery.RecoveryState;
import quincespar.routing.Input;
import quincespar.store.FolderDisk;
import quincespar.store.Journal;
import quincespar.transport.Threads;

/**
 * The file of what must be known after a loss of power, and the one thread that waits for its disk. What has come while one group was forced
 * out goes out together as the next (group commit), so that loads wait for one force, not for one each.
 */
public final class RecoveryJournal {
    private static final String FILE = "kept";
    /** So many entries more than it must hold, and the file is written anew. */
    private static final int REWRITE_AFTER = 4096;
    private static final long LOCK_AGAIN_MS = 500, DISK_AGAIN_MS = 3000;
    /** What waits for the disk at the most; beyond it what nobody waits for is dropped and counted, and what one waits for is not kept. */
    private static final int MOST = 100_000;

    private sealed interface Job {
        record Add(JournalEntry entry, long request) implements Job { }

        record End() implements Job { }
    }

    private final LinkedBlockingQueue<Job> jobs = new LinkedBlockingQueue<>();
    private final RecordCodec codec = new RecordCodec(JournalEntry.STORED_NAMES, JournalEntry.class);
    private final AtomicLong forces = new AtomicLong(), failures = new AtomicLong(), added = new AtomicLong();
    private final FolderDisk disk;
    private final Journal journal;
    private final Path folder;
    private final String owner;
    private final Consumer<Input> to;
    private final Consumer<String> say;
    private final Thread thread = Threads.daemon("kept", this::run);
    /** What the file should hold; with it the file is written anew when it has grown, or the disk has refused. */
    private RecoveryState kept = RecoveryState.replay(List.of());
    /** What was to be kept while the file could not be read. */
    private final List<JournalEntry> unread = new ArrayList<>();
    /** Entries in the file. */
    private long written;
    /** What is in the file is not what it should hold, so that it is written whole and not added to. */
    private boolean behind;
    private boolean locked;
    /** It is another instance's: nothing in it is touched. */
    private boolean foreign;
    /** What the disk has said; null while it takes what it is given. */
    private String refusal;
    private double refusedAt;

    /**
     * Nothing is read yet.
     *
     * @param owner whose folder it must be
     * @param to takes what was read, and what has been noted
     * @param say takes a line for operators
     */
    public RecoveryJournal(Path folder, String owner, Consumer<Input> to, Consumer<String> say) {
        this.folder = folder;
        this.owner = owner;
        this.to = to;
        this.say = say;
        disk = new FolderDisk(folder);
        journal = new Journal(disk, FILE);
    }

    /** Begins to read. */
    public void start() {
        thread.start();
    }

    /** Keeps an entry; the request, where that is not 0, is told of by {@link Input.PersistFinished}. */
    public void add(JournalEntry e, long request) {
        if (jobs.size() < MOST) {
            jobs.add(new Job.Add(e, request));
        } else {
            failures.incrementAndGet();
            tell(request, false);
        }
    }

    /** Writes what waits, for so long at the most. */
    public void close(long longestMs) throws InterruptedException {
        jobs.add(new Job.End());
        thread.join(longestMs);
    }

    /** What is counted: forced groups, entries in them, and what the disk refused. */
    public record Counts(long forces, long entries, long failures) { }

    /** Counts since the start. */
    public Counts counts() {
        return new Counts(forces.get(), added.get(), failures.get());
    }

    private void run() {
        try {
            boolean more = open();
            while (more) {
                more = group();
            }
            journal.close();
            disk.close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            say.accept("recovery: closing " + folder + ": " + e.getMessage());
        }
    }

    /** Reads it as soon as the disk lets it be read: taken for lost, it would be written over. False where the end came first. */
    private boolean open() throws InterruptedException {
        boolean more = true;
        while (more && !read()) {
            more = refuseWaiting();
        }
        return more;
    }

    /** An older process of this name may still hold the folder; until it ends nothing is read, and nothing written. */
    private boolean read() throws InterruptedException {
        try {
            while (!locked) {
                locked = disk.lock();
                Thread.sleep(locked ? 0 : LOCK_AGAIN_MS);
            }
            Journal.Contents f = journal.read();
            List<JournalEntry> entries = new ArrayList<>();
            for (byte[] r : f.records()) {
                entries.add(codec.read(r, JournalEntry.class));
            }
            found(f.condition(), entries);
            return true;
        } catch (MalformedRecordException e) { // whole, and yet not what this program writes
            to.accept(new Input.RecoveryJournalRead(DurableFact.FolderCondition.CORRUPT, List.of(), e.getMessage()));
            return true;
        } catch (IOException e) {
            refused(e);
            return false;
        }
    }

    /** What is to be kept waits in memory until the file has been read, and nobody waits for it; false at the end. */
    private boolean refuseWaiting() throws InterruptedException {
        double until = now() + DISK_AGAIN_MS;
        for (double left = DISK_AGAIN_MS; left > 0; left = until - now()) {
            Job j = jobs.poll((long) Math.ceil(left), TimeUnit.MILLISECONDS);
            if (j instanceof Job.End) {
                return false;
            }
            if (j instanceof Job.Add a) {
                unread.add(a.entry());
                failures.incrementAndGet();
                tell(a.request(), false);
            }
        }
        return true;
    }

    private void found(Journal.Condition state, List<JournalEntry> entries) throws IOException {
        String other = entries.stream().filter(JournalEntry.ProcessStarted.class::isInstance).map(e -> ((JournalEntry.ProcessStarted) e).owner()).filter(o -> !o.equals(owner))
                .findFirst().orElse("");
        foreign = !other.isEmpty();
        behind = state != Journal.Condition.INTACT || !unread.isEmpty();
        written = entries.size();
        kept = RecoveryState.replay(entries);
        unread.forEach(kept::apply);
        if (state == Journal.Condition.CORRUPT) {
            journal.backUp();
        }
        DurableFact.FolderCondition found = foreign ? DurableFact.FolderCondition.ANOTHERS : state == Journal.Condition.CORRUPT ? DurableFact.FolderCondition.CORRUPT
                : state == Journal.Condition.MISSING ? DurableFact.FolderCondition.LOST : DurableFact.FolderCondition.WHOLE;
        to.accept(new Input.RecoveryJournalRead(found, entries, switch (found) {
            case ANOTHERS -> "it is that of " + other + ", and nothing is kept";
            case CORRUPT -> "what stands behind " + entries.size() + " entries is not what was written, and was set aside";
            case LOST -> "there is no file";
            default -> "";
        }));
    }

    /** Takes all that waits as one group; false at the end. */
    private boolean group() throws InterruptedException {
        List<Job> all = new ArrayList<>();
        Job first = refusal == null ? jobs.take() : jobs.poll(DISK_AGAIN_MS, TimeUnit.MILLISECONDS);
        if (first != null) {
            all.add(first);
        }
        jobs.drainTo(all);
        List<JournalEntry> entries = new ArrayList<>();
        List<Long> waiting = new ArrayList<>();
        boolean more = true;
        for (Job j : all) {
            if (j instanceof Job.Add a) {
                kept.apply(a.entry());
                entries.add(a.entry());
                if (a.request() != 0) {
                    waiting.add(a.request());
                }
            } else {
                more = false;
            }
        }
        boolean done = !foreign && write(entries);
        waiting.forEach(r -> tell(r, done));
        return more;
    }

    private boolean write(List<JournalEntry> entries) {
        if (refusal != null && now() < refusedAt + DISK_AGAIN_MS) {
            failures.incrementAndGet();
            return false;
        }
        try {
            List<JournalEntry> whole = behind || written > REWRITE_AFTER ? kept.compactedEntries() : null;
            if (whole != null && (behind || written > REWRITE_AFTER + whole.size())) {
                journal.rewrite(bytes(whole));
                written = whole.size();
                behind = false;
            } else if (!entries.isEmpty()) {
                journal.append(bytes(entries));
                written += entries.size();
            }
            forces.incrementAndGet();
            added.addAndGet(entries.size());
            if (refusal != null) {
                refusal = null;
                say.accept("recovery: " + folder + " takes what it is given again");
            }
            return true;
        } catch (IOException e) {
            refused(e);
            return false;
        }
    }

    private List<byte[]> bytes(List<JournalEntry> entries) {
        return entries.stream().map(e -> codec.write((Record) e)).toList();
    }

    private static double now() {
        return System.nanoTime() / 1e6;
    }

    private void refused(IOException e) {
        failures.incrementAndGet();
        refusedAt = now();
        behind = true;
        if (!String.valueOf(e.getMessage()).equals(refusal)) {
            refusal = String.valueOf(e.getMessage());
            say.accept("recovery: keeps nothing for now: " + refusal);
        }
    }

    private void tell(long request, boolean kept) {
        if (request != 0) {
            to.accept(new Input.PersistFinished(request, kept));
        }
    }
}
