package quincespar.membership;

/** How a question to the change log failed. */
public enum Failure {
    /** This machine could not even begin to connect: it says nothing of the change log, which may be telling events. */
    FAILED_HERE,
    /** No connection could be had, and nothing of the question went out. */
    UNREACHED,
    /** A connection did not come up in time; one that is only slow needs longer. */
    SLOW_CONNECT,
    /** The question may have arrived: its connection ended, or its answer can't be used. */
    UNANSWERED
}
