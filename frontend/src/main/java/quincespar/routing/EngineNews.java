package quincespar.routing;

import java.util.List;
import quincespar.decision.Gateway.NoteKind;

/** What an engine says, in no protocol's terms; {@code id} is a request's txn or a probe's tag. */
public sealed interface EngineNews {
    /** What it speaks of. */
    String id();

    /** It was served: page 0 of {@code pages}. */
    record Done(String id, int pages, byte[] page, List<Double> load) implements EngineNews { }

    /** A further page. */
    record Page(String id, int number, byte[] page) implements EngineNews { }

    /** Turned away unseen. */
    record Full(String id, List<Double> load) implements EngineNews { }

    /** An error, of a query or of a page; it may have run. */
    record Broke(String id, List<Double> load) implements EngineNews { }

    /** Over before it came; it never ran. */
    record Past(String id, List<Double> load) implements EngineNews { }

    /** Not yet over. */
    record Note(String id, NoteKind kind, double value) implements EngineNews { }

    /** An answer in its frame that makes no sense. */
    record Unreadable(String id, String why) implements EngineNews { }

    /** What a probe found. */
    record Health(String id, boolean fit, List<Double> load) implements EngineNews { }
}
