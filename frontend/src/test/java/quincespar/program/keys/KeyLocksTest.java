package quincespar.program.keys;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import quincespar.routing.Effect;
import quincespar.routing.Input;

/** Processes of one front end exclude each other from the ordering keys that they hold, in the order of arrival. */
@Timeout(60)
class KeyLocksTest {
    private static final int SLOTS = 4;
    private static final double SETTLE_MS = 300;

    @TempDir
    private Path folder;
    private long nowNanos = TimeUnit.HOURS.toNanos(1);
    private final Set<Integer> dead = new HashSet<>();

    /** A process with its locks; a test says when it polls. */
    private final class FrontEndProcess {
        private final List<Runnable> polls = new ArrayList<>();
        private final List<Long> locked = new ArrayList<>();
        private final KeyLocks locks;

        FrontEndProcess(int slot) {
            try {
                locks = new KeyLocks(folder.resolve("keys"), SLOTS, slot, s -> !dead.contains(s), SETTLE_MS, polls::add,
                        input -> locked.add(((Input.KeyLocked) input).request()), () -> nowNanos);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        /** A request that arrived that long ago asks for a key. */
        void lock(long request, String key, double waitedMs) {
            locks.lock(new Effect.LockKey(request, key, 0, SETTLE_MS), waitedMs);
        }

        void lock(long request, String key) {
            lock(request, key, 0);
        }

        void unlock(long request, double settleMs) {
            locks.unlock(new Effect.UnlockKey(request, settleMs));
        }

        /** The requests that have their key. */
        List<Long> locked() {
            List<Runnable> due = List.copyOf(polls);
            polls.clear();
            due.forEach(Runnable::run);
            return locked;
        }
    }

    private void advance(double ms) {
        nowNanos += Math.round(ms * 1e6);
    }

    /** Guards against two requests of a key that run at the same time, one from each process of an upgrade. */
    @Test
    void aKeyThatAnotherProcessHoldsIsLockedOnlyOnceItIsReleased() {
        FrontEndProcess old = new FrontEndProcess(0);
        FrontEndProcess next = new FrontEndProcess(1);
        old.lock(1, "a");
        next.lock(1, "a");
        next.lock(2, "b");
        assertThat(old.locked()).containsExactly(1L);
        assertThat(next.locked()).containsExactly(2L);
        old.unlock(1, 0);
        assertThat(next.locked()).containsExactly(2L, 1L);
    }

    @Test
    void requestsOfOneProcessDoNotWaitForEachOther() {
        FrontEndProcess only = new FrontEndProcess(0);
        only.lock(1, "a");
        only.lock(2, "a");
        assertThat(only.locked()).containsExactly(1L, 2L);
        assertThat(only.polls).isEmpty();
    }

    /** Guards against a later request of the old process that overtakes an earlier one of the new process. */
    @Test
    void processesTakeTurnsInTheOrderOfArrival() {
        FrontEndProcess old = new FrontEndProcess(0);
        FrontEndProcess next = new FrontEndProcess(1);
        old.lock(1, "a");
        advance(10);
        next.lock(2, "a");
        advance(10);
        old.lock(3, "a");
        assertThat(old.locked()).containsExactly(1L);
        old.unlock(1, 0);
        assertThat(old.locked()).containsExactly(1L);
        assertThat(next.locked()).containsExactly(2L);
        next.unlock(2, 0);
        assertThat(old.locked()).containsExactly(1L, 3L);
    }

    /** A request may wait in its process before it asks for its key. */
    @Test
    void theOrderOfArrivalCountsAndNotThatOfAsking() {
        FrontEndProcess first = new FrontEndProcess(0);
        FrontEndProcess second = new FrontEndProcess(1);
        FrontEndProcess third = new FrontEndProcess(2);
        first.lock(1, "a");
        advance(50);
        second.lock(2, "a");
        third.lock(3, "a", 30);
        first.unlock(1, 0);
        assertThat(second.locked()).isEmpty();
        assertThat(third.locked()).containsExactly(3L);
    }

    @Test
    void aReleasedKeyIsBlockedForOthersWhileItsAttemptMayRun() {
        FrontEndProcess old = new FrontEndProcess(0);
        FrontEndProcess next = new FrontEndProcess(1);
        old.lock(1, "a");
        next.lock(1, "a");
        old.unlock(1, SETTLE_MS);
        advance(SETTLE_MS - 10);
        assertThat(next.locked()).isEmpty();
        advance(20);
        assertThat(next.locked()).containsExactly(1L);
    }

    @Test
    void aRequestThatEndsWhileItWaitsHoldsUpNobody() {
        FrontEndProcess old = new FrontEndProcess(0);
        FrontEndProcess next = new FrontEndProcess(1);
        old.lock(1, "a");
        next.lock(2, "a");
        old.lock(3, "a");
        next.unlock(2, 0);
        assertThat(old.locked()).containsExactly(1L, 3L);
        assertThat(next.locked()).isEmpty();
    }

    /** Guards against a key that stays locked for ever, and against one that is free while its attempts may still run. */
    @Test
    void theKeysOfAKilledProcessAreFreeAfterTheSettlePeriod() {
        FrontEndProcess old = new FrontEndProcess(0);
        FrontEndProcess next = new FrontEndProcess(1);
        old.lock(1, "a");
        old.lock(2, "b");
        next.lock(1, "a");
        advance(100);
        dead.add(0);
        assertThat(next.locked()).isEmpty();
        advance(SETTLE_MS - 10);
        assertThat(next.locked()).isEmpty();
        advance(20);
        assertThat(next.locked()).containsExactly(1L);
        next.lock(2, "b");
        assertThat(next.locked()).containsExactly(1L, 2L);
    }

    @Test
    void whatAKilledProcessWaitedForHoldsUpNobody() {
        FrontEndProcess old = new FrontEndProcess(0);
        FrontEndProcess next = new FrontEndProcess(1);
        next.lock(1, "a");
        old.lock(2, "a");
        advance(10);
        next.lock(3, "a");
        dead.add(0);
        advance(100);
        assertThat(next.locked()).containsExactly(1L, 3L);
    }

    /** A third process may take the place of a killed one while a second still waits for its keys. */
    @Test
    void aProcessInThePlaceOfAKilledOneKeepsItsKeysBlockedForTheSettlePeriod() {
        FrontEndProcess killed = new FrontEndProcess(0);
        FrontEndProcess next = new FrontEndProcess(1);
        killed.lock(1, "a");
        next.lock(2, "a");
        new FrontEndProcess(0);
        advance(SETTLE_MS - 10);
        assertThat(next.locked()).isEmpty();
        advance(20);
        assertThat(next.locked()).containsExactly(2L);
    }

    /** Entries are used again, and none is left over. */
    @Test
    void manyMoreRequestsThanTheTableHasEntriesAreLockedOneAfterAnother() {
        FrontEndProcess old = new FrontEndProcess(0);
        FrontEndProcess next = new FrontEndProcess(1);
        for (long request = 1; request <= 2 * KeyTable.CAPACITY; request++) {
            old.lock(request, "a");
            old.unlock(request, request % 2 == 0 ? 1 : 0);
            advance(1);
        }
        assertThat(old.locked()).hasSize(2 * KeyTable.CAPACITY);
        next.lock(1, "a");
        assertThat(next.locked()).containsExactly(1L);
    }

    @Test
    void aRequestThatFindsTheTableFullIsLockedOnceThereIsRoom() {
        FrontEndProcess only = new FrontEndProcess(0);
        for (long request = 1; request <= KeyTable.CAPACITY + 1; request++) {
            only.lock(request, "k" + request);
        }
        assertThat(only.locked()).hasSize(KeyTable.CAPACITY);
        only.unlock(1, 0);
        assertThat(only.locked()).hasSize(KeyTable.CAPACITY + 1);
    }

    /** Guards against two threads that each see the other's entry too late; each thread stands for a process. */
    @Test
    void processesThatLockOneKeyAtFullSpeedNeverHoldItTogether() throws Exception {
        AtomicInteger holders = new AtomicInteger();
        AtomicInteger most = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        AtomicInteger finished = new AtomicInteger();
        for (int slot = 0; slot < SLOTS; slot++) {
            List<Runnable> polls = new ArrayList<>();
            AtomicInteger locked = new AtomicInteger();
            KeyLocks locks = new KeyLocks(folder.resolve("keys"), SLOTS, slot, s -> true, 0, polls::add,
                    input -> locked.incrementAndGet());
            Random pauses = new Random(slot);
            threads.add(new Thread(() -> {
                for (int request = 1; request <= 2000; request++) {
                    locks.lock(new Effect.LockKey(request, "a", 0, 0), 0);
                    while (locked.get() < request) {
                        List<Runnable> due = List.copyOf(polls);
                        polls.clear();
                        due.forEach(Runnable::run);
                        if (pauses.nextInt(8) == 0) {
                            Thread.yield();
                        }
                    }
                    most.accumulateAndGet(holders.incrementAndGet(), Math::max);
                    Thread.onSpinWait();
                    holders.decrementAndGet();
                    locks.unlock(new Effect.UnlockKey(request, 0));
                }
                finished.incrementAndGet();
            }));
        }
        threads.forEach(Thread::start);
        for (Thread thread : threads) {
            thread.join();
        }
        assertThat(finished).hasValue(SLOTS);
        assertThat(most).hasValue(1);
    }
}
