package quincespar.routing;

/** What a timer is for; each wait has one of its own. */
public sealed interface TimerKey {
    /** The module may decide again. */
    record Tick() implements TimerKey { }

    /** The module asked to be woken. */
    record Module(int token, long serial) implements TimerKey { }

    /** A client's connection has had nothing open for a while, or has not yet said anything. */
    record Front(long connection) implements TimerKey { }

    /** An engine's message that has begun ought to be whole by now. */
    record Midway(long link) implements TimerKey { }

    /** A request's client waits no longer. */
    record Request(long id) implements TimerKey { }

    /** An attempt has had its time. */
    record Attempt(AttemptKey key) implements TimerKey { }

    /** An attempt ought to have begun by now. */
    record Begin(AttemptKey key) implements TimerKey { }

    /** A cancel ought to be written by now. */
    record GiveUp(AttemptKey key) implements TimerKey { }

    /** A link ought to be up by now. */
    record Connect(long link) implements TimerKey { }

    /** A link has carried nothing for a while. */
    record Idle(long link) implements TimerKey { }

    /** A probe ought to be answered by now. */
    record Probe(String tag) implements TimerKey { }

    /** The change log ought to have answered by now, or may be asked again. */
    record Changes(long serial) implements TimerKey { }

    /** What a phase of a return waits for did not come. */
    record Recovery(long number) implements TimerKey { }

    /** Fewer front ends have been known for a while: shares may grow. */
    record Shares() implements TimerKey { }
}
