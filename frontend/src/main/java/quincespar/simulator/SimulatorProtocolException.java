package quincespar.simulator;

/** Input that can't be understood; the message says what and where in plain words. */
public final class SimulatorProtocolException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Makes one with a message for whoever reads standard error. */
    public SimulatorProtocolException(String message) {
        super(message);
    }
}
