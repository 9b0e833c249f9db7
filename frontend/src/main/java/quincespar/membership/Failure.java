package quincespar.membership;

/** How a question to the change log failed. */
public enum Failure {
    /** No connection could be had, and nothing of the question went out. */
    UNREACHED,
    /** A connection did not come up in time; one that is only slow needs longer. */
    SLOW_CONNECT,
    /** The question may have arrived: its connection ended, or its answer can't be used. */
    UNANSWERED
}
