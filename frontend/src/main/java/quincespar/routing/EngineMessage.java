package quincespar.routing;

import java.util.List;
import quincespar.decision.Scheduler.NoteKind;

/** A message of an engine, independent of the wire protocol; {@code load} is the load report that came with it, or empty. */
public sealed interface EngineMessage {
    /** What the message refers to: a request's txn or a probe's tag. */
    String id();

    /** The bytes of a result that it carries. */
    default int payloadBytes() {
        return 0;
    }

    /** The query has succeeded; its result has {@code pageCount} pages. */
    record Done(String id, int pageCount, byte[] firstPage, List<Double> load) implements EngineMessage {
        @Override
        public int payloadBytes() {
            return firstPage.length;
        }
    }

    /** A further page of a result. */
    record Page(String id, int number, byte[] content) implements EngineMessage {
        @Override
        public int payloadBytes() {
            return content.length;
        }
    }

    /** The engine has rejected the query for lack of capacity; it has not run. */
    record Full(String id, List<Double> load) implements EngineMessage { }

    /** A query, or the reading of a page, has failed; the query may have run. */
    record Failed(String id, List<Double> load) implements EngineMessage { }

    /** The query's time was over when it arrived; it has not run. */
    record Expired(String id, List<Double> load) implements EngineMessage { }

    /** Progress of a running query. */
    record Note(String id, NoteKind kind, double value) implements EngineMessage { }

    /** A message in a valid frame whose content is invalid. */
    record Malformed(String id, String reason) implements EngineMessage { }

    /** The answer to a probe. */
    record Health(String id, boolean healthy, List<Double> load) implements EngineMessage { }
}
