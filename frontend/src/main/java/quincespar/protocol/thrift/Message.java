package quincespar.protocol.thrift;

import java.util.Map;

/** A message from a client. */
public sealed interface Message {
    /** The number that its answer carries. */
    int seqid();

    /** {@code call}: a request. */
    record Call(int seqid, Map<String, String> fields, byte[] body) implements Message { }

    /** {@code cancel}: the client has stopped waiting for that call. */
    record Cancel(int seqid, int cancelled) implements Message { }

    /** {@code health}. */
    record Health(int seqid) implements Message { }

    /** Something that must be answered with an application exception of this type. */
    record Invalid(int seqid, int type, String why) implements Message { }
}
