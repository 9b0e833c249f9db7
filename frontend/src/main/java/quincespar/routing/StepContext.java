package quincespar.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import quincespar.decision.Gateway.Event;

/** What all holders of state share: the time of the step, the settings in force, and what the step has brought about so far. */
final class StepContext {
    double now;
    RoutingSettings site;
    private List<Effect> effects = new ArrayList<>();
    private List<Event> events = new ArrayList<>();
    private long serial;

    StepContext(RoutingSettings site) {
        this.site = site;
    }

    /** A number that is not used again. */
    long number() {
        return ++serial;
    }

    void effect(Effect e) {
        effects.add(e);
    }

    /** Tells whoever follows single requests; the line is made before the next step, if at all. */
    void trace(Supplier<String> line) {
        effects.add(new Effect.Trace(line));
    }

    /** The module is to hear of this. */
    void event(Event e) {
        events.add(e);
    }

    void timer(TimerKey key, double delay) {
        effects.add(new Effect.StartTimer(key, Math.max(0, delay)));
    }

    void stop(TimerKey key) {
        effects.add(new Effect.StopTimer(key));
    }

    boolean eventful() {
        return !events.isEmpty();
    }

    /** What the module has not heard yet; it has now. */
    List<Event> events() {
        List<Event> out = events;
        events = new ArrayList<>();
        return out;
    }

    /** What is to be done; it is handed over with this. */
    List<Effect> effects() {
        List<Effect> out = effects;
        effects = new ArrayList<>();
        return out;
    }
}
