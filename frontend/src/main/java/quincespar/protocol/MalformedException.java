package quincespar.protocol;

/** Bytes that don't follow the protocol; the message says what is wrong in plain words. */
public final class MalformedException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Makes one with a message for the log or the peer. */
    public MalformedException(String message) {
        super(message);
    }
}
