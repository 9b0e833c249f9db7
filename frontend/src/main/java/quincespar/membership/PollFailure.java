package quincespar.membership;

/** How a poll of the change log failed. */
public enum PollFailure {
    /** This machine could not even begin to connect. The change log may be working, and reporting events. */
    LOCAL_ERROR,
    /** No connection could be established, and nothing of the request was sent. */
    UNREACHABLE,
    /** The connection was not established in time. If the change log is only slow, it needs a longer timeout. */
    CONNECT_TIMEOUT,
    /** The request may have arrived: its connection ended, or the answer can't be used. */
    NO_ANSWER
}
