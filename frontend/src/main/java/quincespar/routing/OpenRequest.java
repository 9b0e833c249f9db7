package quincespar.routing;

import java.util.ArrayList;
import java.util.List;
import quincespar.decision.Scheduler.ClassSpec;
import quincespar.decision.Scheduler.Idempotency;
import quincespar.decision.Scheduler.DeduplicationScope;
import quincespar.protocol.resp.EngineCodec;

/** A request from its arrival until it is answered and none of its attempts is open. */
final class OpenRequest {
    final long id;
    final Caller caller;
    final Query query;
    final double openedAt;
    /** The settings of its class when it arrived; they hold for this request until its end. */
    final ClassSpec spec;
    /** The decision module's deadline: the client's, less the time that it takes to deliver an answer. */
    final double deadline;
    /** The last moment for an answer of any kind. */
    final double answerDeadline;
    final List<Attempt> attempts = new ArrayList<>(1);
    /** It has been answered, or its client has left. */
    boolean closed;
    /** It waits for its recovery entry to be on disk. */
    boolean awaitingDisk;
    /** It waits for its key, which another process of this front end may have. */
    boolean awaitingKey;
    /** It waits until all input of its connection has been read, which may hold its cancel or its client's end. */
    boolean awaitingInput;
    /** The decision module has been told of it. */
    boolean reported;
    /** The priority of its next attempts at engines, from 0 to 3. */
    int priority = EngineCodec.DEFAULT_PRIORITY;
    /** Null where its class keeps no order. */
    OrderingKeys.OrderingKey orderingKey;

    OpenRequest(long id, Caller caller, Query query, double openedAt, ClassSpec spec, double deadline, double answerDeadline) {
        this.id = id;
        this.caller = caller;
        this.query = query;
        this.openedAt = openedAt;
        this.spec = spec;
        this.deadline = deadline;
        this.answerDeadline = answerDeadline;
    }

    /** Whether it must not run twice. */
    boolean unsafe() {
        return spec.idempotency() == Idempotency.UNSAFE;
    }

    /** Whether it may be refused, which tells its client that a retry is safe. */
    boolean refusable() {
        return spec.idempotency() == Idempotency.SAFE
                || spec.idempotency() == Idempotency.KEYED && spec.deduplicationScope() == DeduplicationScope.ALL
                || !mayHaveRun();
    }

    /** Until when a further attempt may start: engines drop a repeat of a keyed request only within its class's window. */
    double startDeadline() {
        return spec.idempotency() != Idempotency.KEYED ? Double.POSITIVE_INFINITY : attempts.stream()
                .filter(a -> a.outcome == null || !a.outcome.neverRan).mapToDouble(a -> a.createdAt + spec.deduplicationWindow())
                .min().orElse(Double.POSITIVE_INFINITY);
    }

    /** Whether anything but an earlier request of its key keeps it from the decision module. */
    boolean awaiting() {
        return awaitingDisk || awaitingKey || awaitingInput;
    }

    boolean running() {
        return attempts.stream().anyMatch(a -> a.outcome == null);
    }

    boolean mayHaveRun() {
        return attempts.stream().anyMatch(a -> a.outcome == null || !a.outcome.neverRan);
    }

    /** When the last attempt ended that may still run at its engine; negative infinity where there is none. */
    double lastDoubtfulEnd() {
        return attempts.stream().filter(Attempt::endedInDoubt).mapToDouble(a -> a.endedAt).max()
                .orElse(Double.NEGATIVE_INFINITY);
    }
}
