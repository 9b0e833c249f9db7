package quincespar.routing;

/** A protocol that clients speak. It posts what they ask as inputs and words the replies; it decides nothing. */
public interface ClientProtocol {
    /** Words and queues the final answer; a caller that has gone is passed over. */
    void reply(Caller caller, Reply reply);

    /** Answers whether requests can be served now. */
    void health(Caller caller, boolean good);
}
