package quincespar.capture;

import java.util.List;
import java.util.function.Consumer;
import quincespar.decision.Gateway;

/** A module whose calls are told to someone; what it decides, and what it throws, is not touched. */
public final class CapturedGateway implements Gateway {
    private final Gateway module;
    private final Consumer<Entry> to;

    /** Tells {@code to} of each call, once it has its answer, on the caller's thread: it must not wait. */
    public CapturedGateway(Gateway module, Consumer<Entry> to) {
        this.module = module;
        this.to = to;
    }

    @Override
    public int avoided() {
        return module.avoided();
    }

    @Override
    public List<Action> decide(double now, List<Event> events) {
        List<Event> told = List.copyOf(events);
        try {
            List<Action> out = module.decide(now, events);
            to.accept(new Entry.Call(now, told, List.copyOf(out)));
            return out;
        } catch (RuntimeException e) { // its state may be anything now: a replay would part from it here
            to.accept(new Entry.Gap(now, 1, "the module failed: " + e));
            throw e;
        }
    }
}
