package quincespar.program.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import quincespar.fleet.Command;
import quincespar.fleet.Result;

/**
 * Queue of register writes, of which one at a time is in flight. A write whose answer was lost is retried with the same sequence
 * number until its outcome is known, so that it is applied at most once. Does no I/O, but completes the stages of the writes.
 * Not thread-safe.
 */
final class RegisterWriteQueue {
    /** Writes beyond this are refused. */
    private static final int MAX_PENDING_WRITES = 256;

    private record PendingWrite(String register, long ifVersion, String value, CompletableFuture<Result> result) { }

    private final Deque<PendingWrite> pending = new ArrayDeque<>();
    private final String name;
    private long incarnation;
    private long sequence;
    /** Whether the first write of the queue has been sent: then it may have been applied. */
    private boolean sent;

    RegisterWriteQueue(String name) {
        this.name = name;
    }

    /**
     * Sets the incarnation. A new one numbers its writes from 1; a write that was in flight in the previous one fails, as its
     * outcome stays unknown.
     */
    void setIncarnation(long current) {
        if (current != incarnation) {
            if (sent) {
                pending.poll().result().completeExceptionally(new IllegalStateException("this life of the instance is over"));
            }
            incarnation = current;
            sequence = 0;
            sent = false;
        }
    }

    /** Adds a write; refuses it if too many are pending. */
    CompletionStage<Result> add(String register, long ifVersion, String value) {
        CompletableFuture<Result> result = new CompletableFuture<>();
        if (pending.size() >= MAX_PENDING_WRITES) {
            result.complete(new Result.Refused(Result.Reason.LIMIT_REACHED, MAX_PENDING_WRITES + " writes wait already"));
        } else {
            pending.add(new PendingWrite(register, ifVersion, value, result));
        }
        return result;
    }

    /**
     * Returns the write to send now, which is the same one until its outcome is known; null if there is none. To be called again
     * after each outcome or failure.
     */
    Command.Write next() {
        PendingWrite first = pending.peek();
        if (first == null || incarnation == 0) {
            return null;
        }
        sequence += sent ? 0 : 1;
        sent = true;
        return new Command.Write(name, incarnation, sequence, first.register(), first.ifVersion(), first.value());
    }

    /** Reports the outcome of a write that was sent; ignored unless it is the write in flight. */
    void complete(Command.Write write, Result outcome) {
        if (!sent || write.incarnation() != incarnation || write.sequence() != sequence) {
            return;
        }
        sent = false;
        PendingWrite first = pending.poll();
        if (outcome instanceof Result.Refused refused && (refused.reason() == Result.Reason.INCARNATION_ENDED
                || refused.reason() == Result.Reason.SUPERSEDED)) {
            // an earlier try may have been applied
            first.result().completeExceptionally(new IllegalStateException(refused.message()));
        } else {
            first.result().complete(outcome);
        }
    }
}
