package quincespar.routing;

import java.util.List;

/** The server side of a protocol that clients speak. It posts requests as inputs and encodes the replies; it decides nothing. */
public interface ClientProtocol {
    /** Encodes and queues the final answer; does nothing where the caller's connection has ended. */
    void reply(Caller caller, Reply reply);

    /** Answers these health calls, in order: whether requests can be served now. */
    void health(List<Caller> callers, boolean ready);
}
