package quincespar.program.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import quincespar.fleet.Command;
import quincespar.fleet.Result;

/**
 * Writes to registers, one at a time: a write whose answer was lost is sent again under its number until its outcome is
 * known, so that it is done once. Pure but for the stages that it ends; used by one thread.
 */
final class RegisterWriteQueue {
    /** More wait for nothing and are turned away. */
    private static final int MOST = 256;

    private record Pending(String register, long ifVersion, String value, CompletableFuture<Result> result) { }

    private final Deque<Pending> waiting = new ArrayDeque<>();
    private final String name;
    private long incarnation;
    private long serial;
    /** Whether the first in the queue has ever been handed out: then its outcome may be anything. */
    private boolean sent;

    RegisterWriteQueue(String name) {
        this.name = name;
    }

    /** A new life: its writes are numbered from 1, and what was sent in the one before has an unknown outcome. */
    void setIncarnation(long number) {
        if (number != incarnation) {
            if (sent) {
                waiting.poll().result().completeExceptionally(new IllegalStateException("this life of the instance is over"));
            }
            incarnation = number;
            serial = 0;
            sent = false;
        }
    }

    CompletionStage<Result> add(String register, long ifVersion, String value) {
        CompletableFuture<Result> out = new CompletableFuture<>();
        if (waiting.size() >= MOST) {
            out.complete(new Result.Refused(Result.Reason.LIMIT_REACHED, MOST + " writes wait already"));
        } else {
            waiting.add(new Pending(register, ifVersion, value, out));
        }
        return out;
    }

    /** What is to be handed out now, null where nothing is; to be asked again after each outcome or failure. */
    Command.Write next() {
        Pending p = waiting.peek();
        if (p == null || incarnation == 0) {
            return null;
        }
        serial += sent ? 0 : 1;
        sent = true;
        return new Command.Write(name, incarnation, serial, p.register(), p.ifVersion(), p.value());
    }

    /** The outcome of what was handed out last. */
    void complete(Command.Write of, Result r) {
        if (!sent || of.incarnation() != incarnation || of.sequence() != serial) {
            return;
        }
        sent = false;
        Pending p = waiting.poll();
        if (r instanceof Result.Refused x && (x.reason() == Result.Reason.INCARNATION_ENDED || x.reason() == Result.Reason.SUPERSEDED)) {
            p.result().completeExceptionally(new IllegalStateException(x.message())); // an earlier try may have been applied
        } else {
            p.result().complete(r);
        }
    }
}
