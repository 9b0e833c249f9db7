package quincespar.capture;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;
import quincespar.decision.Scheduler;

/** A decision module whose calls are reported to a listener; its answers and exceptions are passed on unchanged. */
public final class CapturedScheduler implements Scheduler {
    /** Receives calls on the caller's thread; no method may block. */
    public interface Listener {
        /** A call has returned. */
        void onCall(Entry.Call call);

        /** A call has thrown: the module's state is undefined, and a replay cannot continue past this point. */
        void onFailure(Entry.Gap gap);

        /** Whether a snapshot of the module's state is needed now. */
        boolean wantsState();

        /** The module's state after the last call. */
        void onState(double time, byte[] bytes);
    }

    private final Scheduler module;
    private final Listener listener;
    private final Function<Scheduler, byte[]> stateEncoder;

    /** Reports the calls of {@code module}; {@code stateEncoder} encodes its state when the listener wants it. */
    public CapturedScheduler(Scheduler module, Listener listener, Function<Scheduler, byte[]> stateEncoder) {
        this.module = module;
        this.listener = listener;
        this.stateEncoder = stateEncoder;
    }

    /** Reports calls and failures, and never a state. */
    public CapturedScheduler(Scheduler module, Consumer<Entry> consumer) {
        this(module, new Listener() {
            @Override
            public void onCall(Entry.Call call) {
                consumer.accept(call);
            }

            @Override
            public void onFailure(Entry.Gap gap) {
                consumer.accept(gap);
            }

            @Override
            public boolean wantsState() {
                return false;
            }

            @Override
            public void onState(double time, byte[] bytes) {
                throw new IllegalStateException("no state was requested");
            }
        }, m -> new byte[0]);
    }

    @Override
    public int ejectedEngineCount() {
        return module.ejectedEngineCount();
    }

    @Override
    public List<Action> decide(double now, List<Event> events) {
        List<Event> captured = List.copyOf(events);
        List<Action> actions;
        try {
            actions = module.decide(now, events);
        } catch (RuntimeException e) {
            listener.onFailure(new Entry.Gap(now, 1, "the module failed: " + e));
            throw e;
        }
        listener.onCall(new Entry.Call(now, captured, List.copyOf(actions)));
        if (listener.wantsState()) {
            listener.onState(now, stateEncoder.apply(module));
        }
        return actions;
    }
}
