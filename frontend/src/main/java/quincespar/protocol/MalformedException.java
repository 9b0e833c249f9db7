package quincespar.protocol;

/** Input that violates a protocol. */
public final class MalformedException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message for the log or the peer. */
    public MalformedException(String message) {
        super(message);
    }
}
