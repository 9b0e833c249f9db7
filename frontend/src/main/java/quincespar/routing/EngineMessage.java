package quincespar.routing;

import java.util.List;
import quincespar.decision.Gateway.NoteKind;

/** What an engine says, in no protocol's terms; {@code id} is a request's txn or a probe's tag. */
public sealed interface EngineMessage {
    /** What it speaks of. */
    String id();

    /** It was served: page 0 of {@code pages}. */
    record Done(String id, int pageCount, byte[] firstPage, List<Double> load) implements EngineMessage { }

    /** A further page. */
    record Page(String id, int number, byte[] content) implements EngineMessage { }

    /** Turned away unseen. */
    record Full(String id, List<Double> load) implements EngineMessage { }

    /** An error, of a query or of a page; it may have run. */
    record Failed(String id, List<Double> load) implements EngineMessage { }

    /** Over before it came; it never ran. */
    record Expired(String id, List<Double> load) implements EngineMessage { }

    /** Not yet over. */
    record Note(String id, NoteKind kind, double value) implements EngineMessage { }

    /** An answer in its frame that makes no sense. */
    record Malformed(String id, String reason) implements EngineMessage { }

    /** What a probe found. */
    record Health(String id, boolean healthy, List<Double> load) implements EngineMessage { }
}
