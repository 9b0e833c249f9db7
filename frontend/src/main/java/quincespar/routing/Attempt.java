package quincespar.routing;

import java.io.ByteArrayOutputStream;
import java.util.List;
import quincespar.decision.Scheduler.Outcome;
import quincespar.transport.WithdrawableWrite;

/** One sending of a request to one engine. */
final class Attempt {
    final OpenRequest request;
    final AttemptKey key;
    final long engine;
    final double createdAt;
    final double timeoutAt;
    /** If no byte of it has been written by then, it is withdrawn. */
    final double startDeadline;
    final WithdrawableWrite write = new WithdrawableWrite();
    /** It is written only once all input of its client's connection has been read. */
    boolean awaitingInput;
    /** Null where it was never assigned to a link. */
    Link link;
    /** How it ended; null while it is open. */
    Outcome outcome;
    /** When it ended. */
    double endedAt;
    /** What it ends as once its cancel is written; null while it is not cancelled. */
    Outcome cancelOutcome;
    List<Double> load = List.of();
    private byte[][] pages;
    private int missingPages;
    private int resultBytes;

    Attempt(OpenRequest request, int number, long engine, double createdAt, double timeoutAt, double startDeadline) {
        this.request = request;
        this.key = new AttemptKey(request.id, number);
        this.engine = engine;
        this.createdAt = createdAt;
        this.timeoutAt = timeoutAt;
        this.startDeadline = startDeadline;
    }

    /** The engine's name for its request. */
    String txn() {
        return request.query.txn();
    }

    /** Whether an earlier attempt of its request was cancelled on its link, so that a message may belong to that one. */
    boolean followsCancelled() {
        return link.cancelled.contains(txn());
    }

    /**
     * Whether it may still run at its engine although the engine has reported an end, and the next request of its key must not
     * run meanwhile: the report may belong to an earlier attempt of its request, which was cancelled on the same link.
     */
    boolean blocksKeyDespiteReport() {
        return request.spec.orderedByKey() && followsCancelled();
    }

    /** Whether it may have run, and may still run, after its end. */
    boolean endedInDoubt() {
        return outcome != null && !outcome.neverRan && outcome != Outcome.OK;
    }

    /** Whether the engine has reported success; pages may still be missing. */
    boolean done() {
        return pages != null;
    }

    int pageCount() {
        return pages.length;
    }

    void startResult(int pageCount, byte[] firstPage) {
        pages = new byte[pageCount][];
        missingPages = pageCount;
        addPage(0, firstPage);
    }

    /** False where there is no such page; a page that arrives twice is ignored. */
    boolean addPage(int number, byte[] page) {
        if (number < 0 || number >= pages.length) {
            return false;
        }
        if (pages[number] == null) {
            pages[number] = page;
            missingPages--;
            resultBytes += page.length;
        }
        return true;
    }

    /** The length of the pages that have arrived. */
    int resultBytes() {
        return resultBytes;
    }

    boolean hasAllPages() {
        return missingPages == 0;
    }

    byte[] result() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (byte[] page : pages) {
            out.writeBytes(page);
        }
        return out.toByteArray();
    }
}
