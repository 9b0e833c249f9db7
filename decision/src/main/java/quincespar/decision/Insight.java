package quincespar.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import quincespar.decision.Gateway.Action;
import quincespar.decision.Gateway.EngineState;
import quincespar.decision.Gateway.Event;
import quincespar.decision.State.Kind;
import quincespar.decision.State.Node;
import quincespar.decision.State.Query;

/**
 * Why a module chose as it did, for people: what it knew of each engine at the moment of a choice, and what ruled out the
 * others. It looks into a module of its own, made of a captured state, and decides nothing; a module that serves is never
 * handed to it, so what is not asked costs nothing.
 */
public final class Insight {
    /** What was left of the cold allowance is found in this many halvings. */
    private static final int HALVINGS = 30;

    /**
     * What was known of an engine for a class. Times are milliseconds; {@code reportAge} is NaN where it has told nothing,
     * {@code report} is load for each core; {@code meanTime} is the learned time of the class there; {@code retryIn} is
     * how long it stays shunned, NaN where it is not; {@code coldLeft} is the work that it may still get within the span,
     * NaN where it is warm. {@code figure} is the index after all that speaks for the engine, NaN where it was ruled out;
     * {@code verdict} says by what.
     */
    public record View(long engine, EngineState state, double reportAge, double report, double meanTime, int threads,
            double width, boolean pooled, double retryIn, double coldLeft, double figure, String verdict) { }

    /** One choice: which request, its class, age and expected time, the attempts before, and all engines. */
    public record Choice(long request, String cls, double age, double expected, int attempt, long chosen,
            List<View> engines) { }

    private final Brain brain;

    /** Looks into this module, which must not be used for anything else: looking changes it. */
    public Insight(Brain brain) {
        this.brain = brain;
    }

    /** The choices that this call makes, of a module in the state before it; {@code actions} is what it answered. */
    public List<Choice> choices(double time, List<Event> events, List<Action> actions) {
        prepare(time, events);
        List<Choice> out = new ArrayList<>();
        for (Action a : actions) {
            Query q = a instanceof Gateway.Send s ? brain.queries.get(s.id()) : null;
            Node chosen = a instanceof Gateway.Send s ? brain.nodes.get(s.engine()) : null;
            if (q != null && q.type != null && chosen != null) {
                out.add(new Choice(q.id, q.spec.name(), brain.now - q.born, brain.expected(q), q.sends, chosen.engine.id(),
                        views(q, chosen)));
                brain.send(q, chosen);
            }
        }
        return out;
    }

    /** What is known of each engine for each class, after a module's last call. */
    public Map<String, List<View>> engines() {
        Map<String, List<View>> out = new LinkedHashMap<>();
        for (Kind k : brain.kinds) {
            if (k.band == 0 && !k.dropped) {
                out.put(k.spec.name(), brain.nodes.values().stream().map(n -> view(n, k, Double.NaN,
                        Objects.requireNonNullElse(barred(n, k), "takes work"))).toList());
            }
        }
        return out;
    }

    /** As a call goes up to its first choice. */
    private void prepare(double time, List<Event> events) {
        brain.out = new ArrayList<>();
        brain.stalled = brain.timerAt > brain.now && time > brain.timerAt + 3 * brain.beat;
        brain.now = Math.max(brain.now, time);
        events.forEach(brain::take);
        if (brain.now >= brain.tidyAt) {
            brain.supervise();
            brain.expire();
        }
        brain.survey();
    }

    private List<View> views(Query q, Node chosen) {
        Kind k = brain.kinds[q.cls * 2];
        Map<Node, Query> candidates = candidates(q);
        List<View> out = new ArrayList<>();
        for (Node n : brain.nodes.values()) {
            String why = barred(n, q.type.kind);
            why = why != null ? why : ruled(q, n);
            if (why == null && candidates.get(n) != q) {
                why = "request " + candidates.get(n).id + " of its queue goes there first";
            }
            long chance = brain.random.state;
            double figure = why == null ? brain.index(q.type, q, n) * brain.fit(q, n) : Double.NaN;
            brain.random.state = chance; // the same for all, so that figures compare
            out.add(view(n, k, figure, why != null ? why : n == chosen ? "chosen" : "a lower figure"));
        }
        return out;
    }

    /** For each engine the request of this queue that was looked at there: the one before stays while it may go. */
    private Map<Node, Query> candidates(Query of) {
        Map<Node, Query> out = new HashMap<>();
        Query q = null;
        for (Node n : brain.nodes.values()) {
            if (barred(n, of.type.kind) == null) {
                if (q == null || !brain.legal(q, n) || brain.wouldStandStill(q, n)) {
                    q = brain.first(of.type, n);
                }
                out.put(n, q);
            }
        }
        return out;
    }

    /** What keeps all requests of a kind from an engine; null where nothing does. */
    private String barred(Node n, Kind k) {
        if (n.engine.state() != EngineState.READY) {
            return n.engine.state() == EngineState.DRAINING ? "it drains" : "it is gone";
        }
        if (brain.allPooled && !brain.room(brain.pool, k) && !brain.roomy(n)) {
            return bound("the bound of all engines is full", n);
        }
        if (!brain.room(n, k)) {
            return n.shunned() ? text("shunned for %.0f ms, tried again in %.0f ms", brain.now - n.shunnedFrom,
                    n.retryAt - brain.now) : bound("its bound is full, or its report says so", n);
        }
        return brain.coldRoom(brain.kinds[k.cls * 2], n) ? null : text("cold for %.0f ms, and its allowance is used up",
                brain.now - n.engine.startedAt());
    }

    private static String bound(String what, Node n) {
        return text(what + ": %d of %.1f threads", n.bound.threads, n.bound.width);
    }

    /** What keeps this request from an engine that is open to its kind; null where nothing does. */
    private String ruled(Query q, Node n) {
        if (!brain.placed(q, n)) {
            return "its class does not go there";
        } else if (!brain.repeatable(q, n)) {
            return "it may have run, and may not run twice";
        } else if (!brain.inTurn(q)) {
            return "another request of its key goes first";
        } else if (q.sends > 0 && !brain.budget(0)) {
            return "the budget of further attempts is used up";
        } else if (!brain.legal(q, n)) {
            return "its time or its attempts are used up";
        }
        return brain.wouldStandStill(q, n) ? "a load holds its tables there" : null;
    }

    private View view(Node n, Kind k, double figure, String verdict) {
        boolean told = !Double.isNaN(n.told);
        return new View(n.engine.id(), n.engine.state(), told ? brain.now - n.toldAt : Double.NaN, n.told,
                1 / brain.rate(k, n), n.threads, n.bound.width, n.bound == brain.pool,
                n.shunned() ? n.retryAt - brain.now : Double.NaN, brain.cold(n) ? coldLeft(n, k) : Double.NaN, figure,
                verdict);
    }

    /** Found by asking the guard itself for ever finer amounts, as if so much more had been sent. */
    private double coldLeft(Node n, Kind k) {
        double low = 0;
        double high = 1e7;
        double usual = brain.usualWork(k);
        for (int i = 0; i < HALVINGS; i++) {
            double more = (low + high) / 2;
            n.load.addLast(new double[] {brain.now, more - usual});
            boolean room = brain.coldRoom(k, n);
            n.load.removeLast();
            low = room ? more : low;
            high = room ? high : more;
        }
        return low;
    }

    private static String text(String form, Object... values) {
        return String.format(Locale.ROOT, form, values);
    }
}
