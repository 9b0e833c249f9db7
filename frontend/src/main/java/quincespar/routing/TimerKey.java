package quincespar.routing;

/** What a timer is for. At most one timer runs for each key. */
public sealed interface TimerKey {
    /** The decision module may be called again. */
    record DecisionTick() implements TimerKey { }

    /** A timer that the decision module has asked for. */
    record Scheduler(int token, long serial) implements TimerKey { }

    /** A client's connection has had no open request for too long, or has not yet sent one. */
    record CallerIdle(long connection) implements TimerKey { }

    /** The input of a client's connection has been unread for too long. */
    record CallerInputUnread(long connection) implements TimerKey { }

    /** A message that has arrived in part on a link must be complete by now. */
    record PartialMessage(long link) implements TimerKey { }

    /** A request must be answered now. */
    record RequestDeadline(long id) implements TimerKey { }

    /** An attempt has run for as long as it may. */
    record AttemptTimeout(AttemptKey key) implements TimerKey { }

    /** An attempt of which no byte has been written must not be sent any more. */
    record StartDeadline(AttemptKey key) implements TimerKey { }

    /** The cancel of an attempt must be written by now. */
    record CancelTimeout(AttemptKey key) implements TimerKey { }

    /** A link must be established by now. */
    record ConnectTimeout(long link) implements TimerKey { }

    /** A link has had nothing open for too long. */
    record LinkIdle(long link) implements TimerKey { }

    /** A probe must be answered by now. */
    record ProbeTimeout(String tag) implements TimerKey { }

    /** A poll of the change log must be answered by now, or the next poll is due. */
    record ChangeLogTimer(long timerId) implements TimerKey { }

    /** The phase of a recovery from a power loss has timed out. */
    record Recovery(long timerId) implements TimerKey { }

    /** Fewer front ends have been known for long enough: this one's share of the engines may grow. */
    record ShareGrowth() implements TimerKey { }

    /** What another process of this front end has sent no longer counts against a budget. */
    record OverlapEnd() implements TimerKey { }
}
