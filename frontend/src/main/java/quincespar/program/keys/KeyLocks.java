package quincespar.program.keys;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayDeque;
import java.util.BitSet;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntPredicate;
import java.util.function.LongSupplier;
import quincespar.routing.Effect;
import quincespar.routing.Input;

/**
 * Locks on ordering keys, shared by the processes of one front end: requests of a key that one process holds exclude those of
 * the others, and waiting processes take turns in the order in which their requests arrived. The requests of one process do
 * not exclude each other; the decision module orders them.
 *
 * <p>A request publishes that it waits, then that it holds the key, and withdraws the latter if another process holds the key
 * or has an earlier request waiting. As each writes before it reads, two processes never hold a key at the same time. A lock
 * whose process has died is released the settle period after its end was noticed. Thread-safe.
 */
public final class KeyLocks {
    /** Interval at which waiting requests try again. */
    public static final double POLL_MS = 5;

    /** What one request has published. */
    private static final class Claim {
        /** The place of a claim that found no free entry yet. */
        static final int UNPUBLISHED = -1;

        final long request;
        final long key;
        final long ticket;
        final long settleNanos;
        int index = UNPUBLISHED;

        Claim(long request, long key, long ticket, long settleNanos) {
            this.request = request;
            this.key = key;
            this.ticket = ticket;
            this.settleNanos = settleNanos;
        }
    }

    /** A released entry that blocks its key until a time. */
    private record SettlingEntry(int index, long untilNanos) { }

    private final KeyTable table;
    private final int ownSlot;
    private final ProcessLiveness liveness;
    private final Consumer<Runnable> schedulePoll;
    private final Consumer<Input> post;
    private final LongSupplier nanoTime;
    private final BitSet usedEntries = new BitSet(KeyTable.CAPACITY);
    private final Map<Long, Claim> byRequest = new HashMap<>();
    /** In the order of arrival. */
    private final Set<Claim> waiting = new LinkedHashSet<>();
    /** The settle period is the same for nearly all, so that they end in about the order in which they began. */
    private final Deque<SettlingEntry> settling = new ArrayDeque<>();
    private long lastTicket = Long.MIN_VALUE;
    private boolean pollScheduled;

    /**
     * Opens the locks.
     *
     * @param file         maps the table; the same for all processes of the front end
     * @param slots        how many processes there may be, and {@code ownSlot} the number of this one
     * @param alive        whether the process of a slot lives, or may live
     * @param settleMs     how long keys stay blocked that the last process of this slot held until its end
     * @param schedulePoll runs a task once after {@link #POLL_MS}
     * @param post         receives {@link Input.KeyLocked}
     */
    public KeyLocks(Path file, int slots, int ownSlot, IntPredicate alive, double settleMs, Consumer<Runnable> schedulePoll,
            Consumer<Input> post) throws IOException {
        this(file, slots, ownSlot, alive, settleMs, schedulePoll, post, System::nanoTime);
    }

    KeyLocks(Path file, int slots, int ownSlot, IntPredicate alive, double settleMs, Consumer<Runnable> schedulePoll,
            Consumer<Input> post, LongSupplier nanoTime) throws IOException {
        this.ownSlot = ownSlot;
        liveness = new ProcessLiveness(alive);
        this.schedulePoll = schedulePoll;
        this.post = post;
        this.nanoTime = nanoTime;
        table = KeyTable.open(file, slots, ownSlot);
        hash(""); // the first one takes tens of milliseconds, which no request is to wait for
        takeOver(nanos(settleMs));
    }

    /** Entries that an earlier process of this slot has left behind: what it held may still run at engines. */
    private void takeOver(long settleNanos) {
        for (int index = 0; index < KeyTable.CAPACITY; index++) {
            KeyTable.State state = table.state(index);
            if (state == KeyTable.State.HELD || state == KeyTable.State.SETTLING) {
                usedEntries.set(index);
                settle(index, settleNanos);
            } else if (state == KeyTable.State.WAITING) {
                table.set(index, KeyTable.State.FREE);
            }
        }
    }

    /** Posts {@link Input.KeyLocked} once no other process holds the key of this request or has an earlier one waiting. */
    public synchronized void lock(Effect.LockKey effect, double waitedMs) {
        lastTicket = Math.max(lastTicket + 1, nanoTime.getAsLong() - nanos(waitedMs));
        Claim claim = new Claim(effect.request(), hash(effect.key()), lastTicket, nanos(effect.settleMs()));
        byRequest.put(claim.request, claim);
        freeSettled();
        if (!acquireAndPost(claim)) {
            waiting.add(claim);
            schedulePollIfNeeded();
        }
    }

    /** The request has ended, or no longer waits; its key stays blocked for a while where one of its attempts may still run. */
    public synchronized void unlock(Effect.UnlockKey effect) {
        Claim claim = byRequest.remove(effect.request());
        if (claim == null) {
            return;
        }
        waiting.remove(claim);
        if (claim.index == Claim.UNPUBLISHED) {
            return;
        }
        if (effect.settleMs() > 0) {
            settle(claim.index, nanos(effect.settleMs()));
        } else {
            free(claim.index);
        }
    }

    /** How many requests wait for a key of another process. */
    public synchronized int waitingCount() {
        return waiting.size();
    }

    private synchronized void poll() {
        pollScheduled = false;
        freeSettled();
        waiting.removeIf(this::acquireAndPost);
        schedulePollIfNeeded();
    }

    private boolean acquireAndPost(Claim claim) {
        boolean acquired = acquire(claim);
        if (acquired) {
            post.accept(new Input.KeyLocked(claim.request));
        }
        return acquired;
    }

    private void schedulePollIfNeeded() {
        if (!waiting.isEmpty() && !pollScheduled) {
            pollScheduled = true;
            schedulePoll.accept(this::poll);
        }
    }

    private boolean acquire(Claim claim) {
        if (claim.index == Claim.UNPUBLISHED && !publish(claim) || blocked(claim)) {
            return false;
        }
        table.set(claim.index, KeyTable.State.HELD);
        if (blocked(claim)) { // another process has come between
            table.set(claim.index, KeyTable.State.WAITING);
            return false;
        }
        return true;
    }

    private boolean publish(Claim claim) {
        int index = usedEntries.nextClearBit(0);
        if (index >= KeyTable.CAPACITY) {
            return false;
        }
        usedEntries.set(index);
        claim.index = index;
        table.publish(index, claim.key, claim.ticket);
        return true;
    }

    private boolean blocked(Claim claim) {
        return table.entriesOfOthers(claim.key).stream().anyMatch(entry -> blocks(entry, claim));
    }

    private boolean blocks(KeyTable.Entry entry, Claim claim) {
        long now = nanoTime.getAsLong();
        if (liveness.alive(entry.slot(), now)) {
            return switch (entry.state()) {
                case FREE -> false;
                case WAITING -> entry.ticket() - claim.ticket < 0 || entry.ticket() == claim.ticket && entry.slot() < ownSlot;
                case HELD -> true;
                case SETTLING -> now - entry.untilNanos() < 0;
            };
        }
        long settledAt = liveness.deadSinceNanos(entry.slot(), now) + claim.settleNanos;
        return now - settledAt < 0 && (entry.state() == KeyTable.State.HELD
                || entry.state() == KeyTable.State.SETTLING && now - entry.untilNanos() < 0);
    }

    private void settle(int index, long forNanos) {
        long until = nanoTime.getAsLong() + forNanos;
        table.settle(index, until);
        settling.add(new SettlingEntry(index, until));
    }

    private void freeSettled() {
        while (!settling.isEmpty() && settling.peek().untilNanos() - nanoTime.getAsLong() <= 0) {
            free(settling.poll().index());
        }
    }

    private void free(int index) {
        table.set(index, KeyTable.State.FREE);
        usedEntries.clear(index);
    }

    private static long nanos(double ms) {
        return Math.round(ms * TimeUnit.MILLISECONDS.toNanos(1));
    }

    /** Keys whose hashes are the same, which is next to impossible, wait for each other. */
    private static long hash(String key) {
        try {
            return ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8))).getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("each Java platform has SHA-256", e);
        }
    }
}
