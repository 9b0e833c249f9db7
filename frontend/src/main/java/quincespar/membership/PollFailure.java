package quincespar.membership;

/** How a question to the change log failed. */
public enum PollFailure {
    /** This machine could not even begin to connect: it says nothing of the change log, which may be telling events. */
    LOCAL_ERROR,
    /** No connection could be had, and nothing of the question went out. */
    UNREACHABLE,
    /** A connection did not come up in time; one that is only slow needs longer. */
    CONNECT_TIMEOUT,
    /** The question may have arrived: its connection ended, or its answer can't be used. */
    NO_ANSWER
}
