package quincespar.fleet;

/** The agreed status of an instance in the fleet. */
public enum Standing {
    /** Has a session and does not serve clients yet. */
    JOINING,
    /** Serves clients. */
    SERVING,
    /** Is shutting down: takes no new requests and finishes those that it has accepted. */
    LEAVING,
    /** Has not renewed its session for a while: it may have died, be partitioned or be paused. */
    SUSPECTED,
    /** Has left, or its session has expired for good: it can return only as a new incarnation. */
    GONE;

    /** Whether it may still send work to engines; true for all but those that are certainly gone. */
    public boolean isActive() {
        return this != GONE;
    }
}
