package quincespar.capture;

import java.util.Arrays;
import java.util.List;
import quincespar.decision.Gateway;

/** One record of a capture. */
public sealed interface Entry {
    /**
     * The first one: who was captured and from where it can be played. {@code time} is in milliseconds on the module's
     * clock; {@code module} is the digest of the module's text ({@link ModuleDigest}).
     */
    record Opening(String name, double time, long seed, String build, String moduleDigest, Gateway.Settings settings)
            implements Entry { }

    /** The module's state as it stood then ({@link StateCodec}): replay can begin here, without what came before. */
    record State(double time, byte[] bytes) implements Entry {
        @Override
        public boolean equals(Object o) {
            return o instanceof State s && time == s.time && Arrays.equals(bytes, s.bytes);
        }

        @Override
        public int hashCode() {
            return Arrays.hashCode(bytes);
        }
    }

    /** One call of the module: its time, what it was told in order, and what it answered. */
    record Call(double time, List<Gateway.Event> events, List<Gateway.Action> actions) implements Entry { }

    /** Calls that were not captured: what follows can't be played on. */
    record Gap(double time, long lostCalls, String reason) implements Entry { }
}
