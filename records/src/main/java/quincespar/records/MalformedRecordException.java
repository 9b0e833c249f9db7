package quincespar.records;

import java.io.IOException;

/** Bytes that are not what {@link RecordCodec} writes; the message is one plain sentence. */
public final class MalformedRecordException extends IOException {
    private static final long serialVersionUID = 1;

    /** With its cause, or null where there is none. */
    public MalformedRecordException(String message, Throwable cause) {
        super(message, cause);
    }
}
