package quincespar.routing;

/** What a timer is for; each wait has one of its own. */
public sealed interface TimerKey {
    /** The module may decide again. */
    record DecisionTick() implements TimerKey { }

    /** The module asked to be woken. */
    record Gateway(int token, long serial) implements TimerKey { }

    /** A client's connection has had nothing open for a while, or has not yet said anything. */
    record CallerIdle(long connection) implements TimerKey { }

    /** An engine's message that has begun ought to be whole by now. */
    record PartialMessage(long link) implements TimerKey { }

    /** A request's client waits no longer. */
    record RequestDeadline(long id) implements TimerKey { }

    /** An attempt has had its time. */
    record AttemptTimeout(AttemptKey key) implements TimerKey { }

    /** An attempt ought to have begun by now. */
    record StartDeadline(AttemptKey key) implements TimerKey { }

    /** A cancel ought to be written by now. */
    record CancelTimeout(AttemptKey key) implements TimerKey { }

    /** A link ought to be up by now. */
    record ConnectTimeout(long link) implements TimerKey { }

    /** A link has carried nothing for a while. */
    record LinkIdle(long link) implements TimerKey { }

    /** A probe ought to be answered by now. */
    record ProbeTimeout(String tag) implements TimerKey { }

    /** The change log ought to have answered by now, or may be asked again. */
    record ChangeLogTimer(long timerId) implements TimerKey { }

    /** What a phase of a return waits for did not come. */
    record Recovery(long number) implements TimerKey { }

    /** Fewer front ends have been known for a while: shares may grow. */
    record ShareGrowth() implements TimerKey { }
}
