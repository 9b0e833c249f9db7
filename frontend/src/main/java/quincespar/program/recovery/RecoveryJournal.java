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
 * Journal of the facts that must survive a loss of power, with the one thread that waits for its disk. Entries that arrive while
 * a group is forced to disk are written together as the next group (group commit), so that loads wait for one force, not for one
 * each.
 */
public final class RecoveryJournal {
    private static final String FILE = "kept";
    /** The file is compacted when it has this many entries more than the state needs. */
    private static final int COMPACTION_SURPLUS_ENTRIES = 4096;
    private static final long LOCK_RETRY_MS = 500;
    private static final long DISK_RETRY_MS = 3000;
    /** Jobs that may wait for the disk. Beyond it an entry is dropped and counted, and a request that waits for it is told so. */
    private static final int QUEUE_CAPACITY = 100_000;

    private sealed interface Job {
        record Add(JournalEntry entry, long request) implements Job { }

        record End() implements Job { }
    }

    private final LinkedBlockingQueue<Job> jobs = new LinkedBlockingQueue<>();
    private final RecordCodec codec = new RecordCodec(JournalEntry.STORED_NAMES, JournalEntry.class);
    private final AtomicLong forces = new AtomicLong();
    private final AtomicLong failures = new AtomicLong();
    private final AtomicLong entriesWritten = new AtomicLong();
    private final FolderDisk disk;
    private final Journal journal;
    private final Path folder;
    private final String owner;
    private final Consumer<Input> inputs;
    private final Consumer<String> operatorLog;
    private final Thread thread = Threads.daemon("kept", this::run);
    /** The state that the file should hold; the file is rewritten from it to compact it, and after the disk has failed. */
    private RecoveryState state = RecoveryState.replay(List.of());
    /** Entries that were added while the file could not be read. */
    private final List<JournalEntry> addedBeforeRead = new ArrayList<>();
    private long entriesInFile;
    /** The file does not hold {@link #state}: it must be rewritten as a whole before anything is appended. */
    private boolean rewriteRequired;
    private boolean locked;
    /** The folder belongs to another instance, so the file is not changed. */
    private boolean ownedByAnother;
    /** The message of the last disk error, null while the disk works. */
    private String diskError;
    private double diskErrorAtMs;

    /**
     * Does not read the file yet.
     *
     * @param owner name of the instance that the folder must belong to
     * @param inputs receives the contents of the file and the results of writes
     * @param operatorLog receives log lines
     */
    public RecoveryJournal(Path folder, String owner, Consumer<Input> inputs, Consumer<String> operatorLog) {
        this.folder = folder;
        this.owner = owner;
        this.inputs = inputs;
        this.operatorLog = operatorLog;
        disk = new FolderDisk(folder);
        journal = new Journal(disk, FILE);
    }

    /** Starts the thread, which reads the file first. */
    public void start() {
        thread.start();
    }

    /** Queues an entry to be written; {@link Input.PersistFinished} reports the result to the request unless that is 0. */
    public void add(JournalEntry entry, long request) {
        if (jobs.size() < QUEUE_CAPACITY) {
            jobs.add(new Job.Add(entry, request));
        } else {
            failures.incrementAndGet();
            reportResult(request, false);
        }
    }

    /** Writes the queued entries, and waits up to {@code timeoutMs} for that. */
    public void close(long timeoutMs) throws InterruptedException {
        jobs.add(new Job.End());
        thread.join(timeoutMs);
    }

    /** Counters: groups forced to disk, entries in them, and failures. */
    public record Counts(long forces, long entries, long failures) { }

    /** The counters since the start. */
    public Counts counts() {
        return new Counts(forces.get(), entriesWritten.get(), failures.get());
    }

    private void run() {
        try {
            boolean more = readFile();
            while (more) {
                more = writeGroup();
            }
            journal.close();
            disk.close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            operatorLog.accept("recovery: cannot close the journal in " + folder + ": " + e.getMessage());
        }
    }

    /**
     * Reads the file, and retries until the disk allows it: a file that was taken for lost would be overwritten. False if the
     * journal was closed first.
     */
    private boolean readFile() throws InterruptedException {
        boolean more = true;
        while (more && !tryRead()) {
            more = rejectUntilRetry();
        }
        return more;
    }

    /** Reads and writes nothing until the lock is free, as an older process of this instance may still hold it. */
    private boolean tryRead() throws InterruptedException {
        try {
            while (!locked) {
                locked = disk.lock();
                Thread.sleep(locked ? 0 : LOCK_RETRY_MS);
            }
            Journal.Contents contents = journal.read();
            List<JournalEntry> entries = new ArrayList<>();
            String decodingError = decode(contents.records(), entries);
            contentsRead(decodingError.isEmpty() ? contents.condition() : Journal.Condition.CORRUPT, entries, decodingError);
            return true;
        } catch (IOException e) {
            recordDiskError(e);
            return false;
        }
    }

    /**
     * Decodes the records up to the first that this program does not know, although its checksum is right; returns why that one
     * can't be decoded, or an empty text.
     */
    private String decode(List<byte[]> records, List<JournalEntry> entries) {
        try {
            for (byte[] record : records) {
                entries.add(codec.read(record, JournalEntry.class));
            }
            return "";
        } catch (MalformedRecordException e) {
            return e.getMessage();
        }
    }

    /** Until the next attempt to read, keeps added entries in memory and reports them as not durable; false at the end. */
    private boolean rejectUntilRetry() throws InterruptedException {
        double retryAtMs = nowMs() + DISK_RETRY_MS;
        for (double leftMs = DISK_RETRY_MS; leftMs > 0; leftMs = retryAtMs - nowMs()) {
            Job job = jobs.poll((long) Math.ceil(leftMs), TimeUnit.MILLISECONDS);
            if (job instanceof Job.End) {
                return false;
            }
            if (job instanceof Job.Add a) {
                addedBeforeRead.add(a.entry());
                failures.incrementAndGet();
                reportResult(a.request(), false);
            }
        }
        return true;
    }

    private void contentsRead(Journal.Condition fileCondition, List<JournalEntry> entries, String decodingError)
            throws IOException {
        String otherOwner = entries.stream().filter(JournalEntry.ProcessStarted.class::isInstance)
                .map(e -> ((JournalEntry.ProcessStarted) e).owner()).filter(o -> !o.equals(owner)).findFirst().orElse("");
        ownedByAnother = !otherOwner.isEmpty();
        rewriteRequired = fileCondition != Journal.Condition.INTACT || !addedBeforeRead.isEmpty();
        entriesInFile = entries.size();
        state = RecoveryState.replay(entries);
        addedBeforeRead.forEach(state::apply);
        if (fileCondition == Journal.Condition.CORRUPT) {
            journal.backUp();
        }
        DurableFact.FolderCondition condition = ownedByAnother ? DurableFact.FolderCondition.ANOTHERS
                : fileCondition == Journal.Condition.CORRUPT ? DurableFact.FolderCondition.CORRUPT
                : fileCondition == Journal.Condition.MISSING ? DurableFact.FolderCondition.LOST
                : DurableFact.FolderCondition.WHOLE;
        inputs.accept(new Input.RecoveryJournalRead(condition, entries, switch (condition) {
            case ANOTHERS -> "it belongs to " + otherOwner + ", and nothing is written";
            case CORRUPT -> "it is corrupt after " + entries.size() + " entries"
                    + (decodingError.isEmpty() ? "" : " (" + decodingError + ")") + ", and a copy was saved";
            case LOST -> "there is no file";
            default -> "";
        }));
    }

    /** Waits for a job and writes the queued entries as one group; false at the end. */
    private boolean writeGroup() throws InterruptedException {
        List<Job> group = new ArrayList<>();
        Job first = diskError == null ? jobs.take() : jobs.poll(DISK_RETRY_MS, TimeUnit.MILLISECONDS);
        if (first != null) {
            group.add(first);
        }
        jobs.drainTo(group);
        List<JournalEntry> entries = new ArrayList<>();
        List<Long> waitingRequests = new ArrayList<>();
        boolean more = true;
        for (Job job : group) {
            if (job instanceof Job.Add a) {
                state.apply(a.entry());
                entries.add(a.entry());
                if (a.request() != 0) {
                    waitingRequests.add(a.request());
                }
            } else {
                more = false;
            }
        }
        boolean durable = !ownedByAnother && write(entries);
        waitingRequests.forEach(r -> reportResult(r, durable));
        return more;
    }

    private boolean write(List<JournalEntry> entries) {
        if (diskError != null && nowMs() < diskErrorAtMs + DISK_RETRY_MS) {
            failures.incrementAndGet();
            return false;
        }
        try {
            List<JournalEntry> compacted = rewriteRequired || entriesInFile > COMPACTION_SURPLUS_ENTRIES
                    ? state.compactedEntries() : null;
            if (compacted != null && (rewriteRequired || entriesInFile > COMPACTION_SURPLUS_ENTRIES + compacted.size())) {
                journal.rewrite(encode(compacted));
                entriesInFile = compacted.size();
                rewriteRequired = false;
            } else if (!entries.isEmpty()) {
                journal.append(encode(entries));
                entriesInFile += entries.size();
            }
            forces.incrementAndGet();
            entriesWritten.addAndGet(entries.size());
            if (diskError != null) {
                diskError = null;
                operatorLog.accept("recovery: the journal in " + folder + " is available again");
            }
            return true;
        } catch (IOException e) {
            recordDiskError(e);
            return false;
        }
    }

    private List<byte[]> encode(List<JournalEntry> entries) {
        return entries.stream().map(e -> codec.write((Record) e)).toList();
    }

    private static double nowMs() {
        return System.nanoTime() / 1e6;
    }

    private void recordDiskError(IOException e) {
        failures.incrementAndGet();
        diskErrorAtMs = nowMs();
        rewriteRequired = true;
        if (!String.valueOf(e.getMessage()).equals(diskError)) {
            diskError = String.valueOf(e.getMessage());
            operatorLog.accept("recovery: the journal in " + folder + " is unavailable, and nothing is persisted for now: "
                    + diskError);
        }
    }

    private void reportResult(long request, boolean durable) {
        if (request != 0) {
            inputs.accept(new Input.PersistFinished(request, durable));
        }
    }
}
