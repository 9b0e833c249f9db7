package quincespar.fleet;

/** How an instance stands with the fleet, as agreed. */
public enum Standing {
    /** Has a session and does not serve clients yet. */
    JOINING,
    /** Serves clients. */
    SERVING,
    /** Has been told to stop, and ends what it has taken. */
    LEAVING,
    /** Has not renewed its session for a while: it may have died, be cut off, or stand still. */
    SUSPECTED,
    /** Has left, or its session is over for good: a return is a new incarnation. */
    GONE;

    /** Whether it may still send work to engines: all but those that have certainly gone. */
    public boolean isActive() {
        return this != GONE;
    }
}
