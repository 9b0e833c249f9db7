package quincespar.protocol.thrift;

import java.util.Map;

/** A decoded message from a client. */
public sealed interface Message {
    /** The sequence number that the reply carries. */
    int seqid();

    /** {@code call}: a request. */
    record Call(int seqid, Map<String, String> fields, byte[] body) implements Message { }

    /** {@code cancel}: the client no longer waits for the call with number {@code cancelled}. */
    record Cancel(int seqid, int cancelled) implements Message { }

    /** {@code health}: a health check. */
    record Health(int seqid) implements Message { }

    /** A message that must be answered with an application exception of this type. */
    record Invalid(int seqid, int type, String reason) implements Message { }
}
