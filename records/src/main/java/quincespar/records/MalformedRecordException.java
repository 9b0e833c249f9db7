package quincespar.records;

import java.io.IOException;

/** Thrown for bytes that {@link RecordCodec} did not write; the message is one sentence for operators. */
public final class MalformedRecordException extends IOException {
    private static final long serialVersionUID = 1;

    /** Creates an exception; {@code cause} may be null. */
    public MalformedRecordException(String message, Throwable cause) {
        super(message, cause);
    }
}
