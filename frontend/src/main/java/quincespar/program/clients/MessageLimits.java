package quincespar.program.clients;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * How many messages of clients are handled: each connection has a rate of its own, and what it sends beyond that is taken from
 * a rate that all connections share. A client that sends at full speed so costs no more than the shared rate, and takes nothing
 * from what the other connections have of their own. Pure; used by one thread.
 */
final class MessageLimits {
    /** Messages that a connection may send at once after a rest: four times as many as it may have open. */
    static final int OWN_BURST = 128;
    /** The burst of the shared rate. */
    private static final double SHARED_BURST_SECONDS = 0.25;

    /** A token bucket. */
    private static final class Bucket {
        private static final double MS_PER_SECOND = 1000;

        private final double tokensPerSecond;
        private final double capacity;
        private double tokens;
        private double filledAt = Double.NaN;

        Bucket(double tokensPerSecond, double capacity) {
            this.tokensPerSecond = tokensPerSecond;
            this.capacity = capacity;
            tokens = capacity;
        }

        boolean take(double nowMs) {
            add(Double.isNaN(filledAt) ? 0 : Math.max(0, nowMs - filledAt) / MS_PER_SECOND * tokensPerSecond);
            filledAt = nowMs;
            if (tokens < 1) {
                return false;
            }
            tokens--;
            return true;
        }

        void add(double more) {
            tokens = Math.min(capacity, tokens + more);
        }
    }

    /** What one connection may send. */
    final class Allowance {
        private final Bucket own = new Bucket(ownPerSecond, OWN_BURST);
        private final AtomicInteger returned = new AtomicInteger();

        /** Takes one message; false where it must wait. */
        boolean take(double nowMs) {
            own.add(returned.getAndSet(0));
            return own.take(nowMs) || shared.take(nowMs);
        }

        /** A message turned out to be a request that was served; it does not count. May be called by any thread. */
        void giveBack() {
            returned.incrementAndGet();
        }
    }

    private final double ownPerSecond;
    private final Bucket shared;

    /** Limits in messages per second: of each connection, and of what all connections share beyond that. */
    MessageLimits(double ownPerSecond, double sharedPerSecond) {
        this.ownPerSecond = ownPerSecond;
        shared = new Bucket(sharedPerSecond, Math.max(1, sharedPerSecond * SHARED_BURST_SECONDS));
    }

    /** The allowance of a new connection. */
    Allowance forConnection() {
        return new Allowance();
    }
}
