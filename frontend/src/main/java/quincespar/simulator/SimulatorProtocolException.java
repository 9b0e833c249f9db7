package quincespar.simulator;

/** Malformed input from the simulator; the message names the record and the offset. */
public final class SimulatorProtocolException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message that is printed to standard error. */
    public SimulatorProtocolException(String message) {
        super(message);
    }
}
