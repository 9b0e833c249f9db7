package quincespar.program.keys;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.IntPredicate;

/** Which processes live, by slot. A check takes system calls, so its result is used for a while. Not thread-safe. */
final class ProcessLiveness {
    private static final long CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /** Of a dead process, {@code sinceNanos} is when it was first seen dead; of a live one, when it was last checked. */
    private record Check(boolean alive, long checkedAtNanos, long sinceNanos) { }

    private final IntPredicate alive;
    private final Map<Integer, Check> checks = new HashMap<>();

    ProcessLiveness(IntPredicate alive) {
        this.alive = alive;
    }

    boolean alive(int slot, long nowNanos) {
        return check(slot, nowNanos).alive();
    }

    /** When a process that does not live was first seen dead. */
    long deadSinceNanos(int slot, long nowNanos) {
        return check(slot, nowNanos).sinceNanos();
    }

    private Check check(int slot, long nowNanos) {
        Check last = checks.get(slot);
        if (last != null && nowNanos - last.checkedAtNanos() < CHECK_INTERVAL_NANOS) {
            return last;
        }
        boolean lives = alive.test(slot);
        boolean stillDead = last != null && !last.alive() && !lives;
        Check check = new Check(lives, nowNanos, stillDead ? last.sinceNanos() : nowNanos);
        checks.put(slot, check);
        return check;
    }
}
