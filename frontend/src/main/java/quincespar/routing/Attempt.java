package quincespar.routing;

import java.io.ByteArrayOutputStream;
import java.util.List;
import quincespar.decision.Gateway.Outcome;
import quincespar.transport.WithdrawableWrite;

/** One sending of a request to one engine. */
final class Attempt {
    final OpenRequest request;
    final AttemptKey key;
    final long engine;
    final double at;
    final double until;
    /** It must have begun by then, or it is withdrawn. */
    final double beginBy;
    final WithdrawableWrite write = new WithdrawableWrite();
    Link link;
    /** Its end, once it has one. */
    Outcome outcome;
    /** What it ends as once its cancel is written; null while it is not given up. */
    Outcome givenUp;
    List<Double> load = List.of();
    private byte[][] pages;
    private int missing;

    Attempt(OpenRequest request, int number, long engine, double at, double until, double beginBy) {
        this.request = request;
        this.key = new AttemptKey(request.id, number);
        this.engine = engine;
        this.at = at;
        this.until = until;
        this.beginBy = beginBy;
    }

    /** The engine's name for its request. */
    String txn() {
        return request.query.txn();
    }

    /** Whether its request was given up on its link before: what comes may then be the earlier attempt's. */
    boolean follows() {
        return link.abandoned.contains(txn());
    }

    boolean done() {
        return pages != null;
    }

    int pageCount() {
        return pages.length;
    }

    void begin(int count, byte[] first) {
        pages = new byte[count][];
        missing = count;
        add(0, first);
    }

    /** False where there is no such page; a second copy of one is passed over. */
    boolean add(int number, byte[] page) {
        if (number < 0 || number >= pages.length) {
            return false;
        }
        if (pages[number] == null) {
            pages[number] = page;
            missing--;
        }
        return true;
    }

    boolean whole() {
        return missing == 0;
    }

    byte[] result() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (byte[] p : pages) {
            out.writeBytes(p);
        }
        return out.toByteArray();
    }
}
