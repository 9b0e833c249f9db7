package quincespar.capture;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import quincespar.decision.GcMuScheduler;
import quincespar.decision.Gateway;
import quincespar.decision.Gateway.Action;
import quincespar.decision.Gateway.Event;
import quincespar.decision.DecisionExplainer;

/** Tells from a capture, in lines for people, what became of a request and why, or what was known of an engine. */
public final class Explainer {
    private static final double SECOND = 1000;

    private final CaptureReader captures;
    private final CurrentModuleFactory modules = new CurrentModuleFactory();
    private final Consumer<String> to;
    private Gateway.Settings settings;
    private Gateway.Request taken;
    private double takenAt;
    private int told;

    /** Tells {@code to} line by line. */
    public Explainer(CaptureReader captures, Consumer<String> to) {
        this.captures = captures;
        this.to = to;
    }

    /** The story of a request by its number; false where no segment tells of it. */
    public boolean explainRequest(List<SegmentName> names, long id) throws IOException {
        Replay replay = new Replay(modules);
        captures.forEachEntry(names, (name, e) -> {
            DecisionExplainer before = e instanceof Entry.Call c && sends(c, id) && replay.module() instanceof GcMuScheduler b
                    ? new DecisionExplainer(copy(b)) : null;
            boolean more = replay.play(e);
            if (e instanceof Entry.Call c) {
                c.events().stream().filter(x -> concerns(x, id)).forEach(x -> {
                    taken = x instanceof Gateway.Request r ? r : taken;
                    takenAt = x instanceof Gateway.Request ? c.time() : takenAt;
                    say(c.time(), event(x));
                });
                if (before != null) {
                    before.choices(c.time(), c.events(), c.actions()).stream().filter(x -> x.request() == id)
                            .forEach(x -> choice(c.time(), x));
                }
                c.actions().stream().filter(a -> concerns(a, id) && (before == null || !(a instanceof Gateway.Send)))
                        .forEach(a -> say(c.time(), action(a) + standing(a, c.time())));
            } else if (e instanceof Entry.Opening o && settings == null) {
                settings = o.settings();
            }
            return more;
        });
        parted(replay.result());
        return told > 0;
    }

    /** What was known of an engine at a time, in milliseconds; false where the capture does not reach it. */
    public boolean explainEngine(List<SegmentName> names, long engine, double at) throws IOException {
        Replay replay = new Replay(modules);
        captures.forEachEntry(names, (name, e) -> !(e instanceof Entry.Call c && c.time() > at) && replay.play(e));
        if (replay.module() instanceof GcMuScheduler b) {
            new DecisionExplainer(copy(b)).engines().forEach((cls, views) -> views.stream().filter(v -> v.engine() == engine)
                    .forEach(v -> say(at, "engine " + engine + " for " + cls + ": " + view(v))));
        }
        return told > 0;
    }

    private GcMuScheduler copy(GcMuScheduler b) throws IOException {
        return (GcMuScheduler) modules.restore(new Entry.State(0, modules.stateOf(b)));
    }

    private static boolean sends(Entry.Call c, long id) {
        return c.actions().stream().anyMatch(a -> a instanceof Gateway.Send s && s.id() == id);
    }

    private void parted(Replay.Result r) {
        if (r.divergence() != null) {
            to.accept("from here on this build decides otherwise (call " + r.divergence().call() + "): the story ends");
        }
        if (r.lostCalls() > 0) {
            to.accept("calls that the capture does not have: " + r.lostCalls());
        }
    }

    private void say(double ms, String what) {
        told++;
        to.accept(String.format(Locale.ROOT, "%.3f  %s", ms / SECOND, what));
    }

    private void choice(double time, DecisionExplainer.Choice c) {
        say(time, String.format(Locale.ROOT, "attempt %d goes to engine %d: %s, %.0f ms old, expected to take %.0f ms",
                c.attempt(), c.chosen(), c.requestClass(), c.age(), c.expected()));
        c.engines().forEach(v -> to.accept("           " + (v.engine() == c.chosen() ? "* " : "  ") + "engine " + v.engine()
                + ": " + view(v)));
    }

    private static String view(DecisionExplainer.EngineView v) {
        StringBuilder out = new StringBuilder(v.verdict());
        if (!Double.isNaN(v.score())) {
            out.append(String.format(Locale.ROOT, " %.4g", v.score()));
        }
        out.append(String.format(Locale.ROOT, "; takes %.0f ms; %d threads out", v.meanTime(), v.threads()));
        out.append(v.sharedLimit() ? ", bound shared by all " : ", bound ").append(String.format(Locale.ROOT, "%.1f", v.threadLimit()));
        out.append(Double.isNaN(v.reportAge()) ? "; no report" : String.format(Locale.ROOT,
                "; report of %.2f a core, %.0f ms old", v.reportedLoad(), v.reportAge()));
        if (!Double.isNaN(v.coldWorkLeft())) {
            out.append(String.format(Locale.ROOT, "; cold, %.0f ms of work left", v.coldWorkLeft()));
        }
        return out.toString();
    }

    private static boolean concerns(Event e, long id) {
        return e instanceof Gateway.Request r && r.id() == id || e instanceof Gateway.Ended x && x.id() == id
                || e instanceof Gateway.Note n && n.id() == id || e instanceof Gateway.Left l && l.id() == id
                || e instanceof Gateway.Started s && s.id() == id;
    }

    private static boolean concerns(Action a, long id) {
        return a instanceof Gateway.Send s && s.id() == id || a instanceof Gateway.Refuse r && r.id() == id
                || a instanceof Gateway.Fail f && f.id() == id || a instanceof Gateway.Cancel c && c.id() == id;
    }

    private static String event(Event e) {
        if (e instanceof Gateway.Request r) {
            return String.format(Locale.ROOT, "request %d is taken: class %d, %.0f ms of patience, estimate %.0f ms%s", r.id(),
                    r.cls(), r.patience(), r.work(), r.retry() ? ", asked again" : "");
        } else if (e instanceof Gateway.Ended x) {
            return String.format(Locale.ROOT, "attempt %d at engine %d ended after %.0f ms: %s", x.attempt(), x.engine(),
                    x.latency(), x.outcome().name().toLowerCase(Locale.ROOT));
        } else if (e instanceof Gateway.Note n) {
            return String.format(Locale.ROOT, "engine %d says of attempt %d: %s %.2f", n.engine(), n.attempt(),
                    n.kind().name().toLowerCase(Locale.ROOT), n.value());
        }
        return e instanceof Gateway.Left ? "the client has left" : "its answer has started";
    }

    /** With a final answer that serves nothing: how the request stood with its time. */
    private String standing(Action a, double now) {
        boolean ends = a instanceof Gateway.Refuse || a instanceof Gateway.Fail;
        return !ends || taken == null || settings == null || taken.cls() >= settings.classes().size() ? ""
                : String.format(Locale.ROOT, "; %.0f ms old, its aim was %.0f ms, and %.0f ms were left", now - takenAt,
                settings.classes().get(taken.cls()).aim(), taken.patience() - (now - takenAt));
    }

    private static String action(Action a) {
        if (a instanceof Gateway.Cancel c) {
            return "attempt " + c.attempt() + " is given up: " + c.why().name().toLowerCase(Locale.ROOT);
        } else if (a instanceof Gateway.Refuse r) {
            return String.format(Locale.ROOT, "it is turned away, to come back after %.0f ms", r.comeBack());
        }
        return a instanceof Gateway.Send s ? "an attempt goes to engine " + s.engine() : "it is answered as failed";
    }
}
