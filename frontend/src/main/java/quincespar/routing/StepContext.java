package quincespar.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import quincespar.decision.Scheduler.Event;

/**
 * What all parts of the reducer's state share: the time of the step, the settings in force, and the effects and events that
 * the step has produced so far.
 */
final class StepContext {
    double now;
    RoutingSettings settings;
    private List<Effect> effects = new ArrayList<>();
    private List<Event> events = new ArrayList<>();
    private long lastId;

    StepContext(RoutingSettings settings) {
        this.settings = settings;
    }

    /** A number that is not used again. */
    long nextId() {
        return ++lastId;
    }

    void addEffect(Effect effect) {
        effects.add(effect);
    }

    /** Writes a trace line. The text is made before the next step, if at all. */
    void trace(Supplier<String> line) {
        effects.add(new Effect.Trace(line));
    }

    /** Adds an event for the decision module. */
    void addEvent(Event event) {
        events.add(event);
    }

    void startTimer(TimerKey key, double delayMs) {
        effects.add(new Effect.StartTimer(key, Math.max(0, delayMs)));
    }

    void stopTimer(TimerKey key) {
        effects.add(new Effect.StopTimer(key));
    }

    boolean hasEvents() {
        return !events.isEmpty();
    }

    /** Hands over the events that the decision module has not seen yet. */
    List<Event> takeEvents() {
        List<Event> taken = events;
        events = new ArrayList<>();
        return taken;
    }

    /** Hands over the effects of this step. */
    List<Effect> takeEffects() {
        List<Effect> taken = effects;
        effects = new ArrayList<>();
        return taken;
    }
}
