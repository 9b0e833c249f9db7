package quincespar.capture;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;
import quincespar.decision.Gateway;

/** A module whose calls are told to someone; what it decides, and what it throws, is not touched. */
public final class CapturedGateway implements Gateway {
    /** Who is told, on the caller's thread: none of it may wait. */
    public interface Tap {
        /** A call has its answer. */
        void call(Entry.Call call);

        /** The module failed: its state may be anything now, and a replay would part from it here. */
        void failed(Entry.Gap gap);

        /** Whether the module's state is wanted now. */
        boolean wantsState();

        /** The module's state after the last call. */
        void state(double time, byte[] bytes);
    }

    private final Gateway module;
    private final Tap to;
    private final Function<Gateway, byte[]> state;

    /** Tells {@code to}; {@code state} makes bytes of the module's state where those are wanted. */
    public CapturedGateway(Gateway module, Tap to, Function<Gateway, byte[]> state) {
        this.module = module;
        this.to = to;
        this.state = state;
    }

    /** Tells {@code to} of calls and failures, and never of a state. */
    public CapturedGateway(Gateway module, Consumer<Entry> to) {
        this(module, new Tap() {
            @Override
            public void call(Entry.Call call) {
                to.accept(call);
            }

            @Override
            public void failed(Entry.Gap gap) {
                to.accept(gap);
            }

            @Override
            public boolean wantsState() {
                return false;
            }

            @Override
            public void state(double time, byte[] bytes) {
                throw new IllegalStateException("no state was wanted");
            }
        }, m -> new byte[0]);
    }

    @Override
    public int ejectedEngineCount() {
        return module.ejectedEngineCount();
    }

    @Override
    public List<Action> decide(double now, List<Event> events) {
        List<Event> told = List.copyOf(events);
        List<Action> out;
        try {
            out = module.decide(now, events);
        } catch (RuntimeException e) {
            to.failed(new Entry.Gap(now, 1, "the module failed: " + e));
            throw e;
        }
        to.call(new Entry.Call(now, told, List.copyOf(out)));
        if (to.wantsState()) {
            to.state(now, state.apply(module));
        }
        return out;
    }
}
