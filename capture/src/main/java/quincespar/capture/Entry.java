package quincespar.capture;

import java.util.Arrays;
import java.util.List;
import quincespar.decision.Scheduler;

/** One record of a capture. Names that differ from the stored ones are listed in {@link EntryCodec}. */
public sealed interface Entry {
    /**
     * The first record of a segment: the instance, and the arguments with which its module was created. {@code time} is in
     * milliseconds on the module's clock; {@code moduleDigest} identifies the module's code ({@link ModuleDigest}).
     */
    record Opening(String name, double time, long seed, String build, String moduleDigest, Scheduler.Settings settings)
            implements Entry { }

    /** A snapshot of the module's state ({@link StateCodec}): replay can start here, without any earlier segment. */
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

    /** One call of the module: its time, its events in order, and the actions returned. */
    record Call(double time, List<Scheduler.Event> events, List<Scheduler.Action> actions) implements Entry { }

    /** Calls that were not captured: replay cannot continue until the next {@link State} or {@link Opening}. */
    record Gap(double time, long lostCalls, String reason) implements Entry { }
}
