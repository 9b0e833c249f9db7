package quincespar.routing;

import java.util.ArrayList;
import java.util.List;

/** A request that was taken, until it is answered and nothing of it is out. */
final class OpenRequest {
    final long id;
    final Caller caller;
    final Query query;
    /** The module's deadline: the client's, less the time it takes to write an answer. */
    final double until;
    final List<Attempt> attempts = new ArrayList<>(1);
    boolean over;

    OpenRequest(long id, Caller caller, Query query, double until) {
        this.id = id;
        this.caller = caller;
        this.query = query;
        this.until = until;
    }

    boolean running() {
        return attempts.stream().anyMatch(a -> a.outcome == null);
    }

    boolean mayHaveRun() {
        return attempts.stream().anyMatch(a -> a.outcome == null || !a.outcome.neverRan);
    }
}
