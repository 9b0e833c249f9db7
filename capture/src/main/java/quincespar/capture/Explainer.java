package quincespar.capture;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import quincespar.decision.DecisionExplainer;
import quincespar.decision.GcMuScheduler;
import quincespar.decision.Scheduler;
import quincespar.decision.Scheduler.Action;
import quincespar.decision.Scheduler.Event;

/** Explains to operators, from a capture, what happened to a request and why, or what the module knew of an engine. */
public final class Explainer {
    private static final double MS_PER_S = 1000;

    private final CaptureReader captures;
    private final CurrentModuleFactory modules = new CurrentModuleFactory();
    private final Consumer<String> output;
    private Scheduler.Settings settings;
    private Scheduler.Request received;
    private double receivedAt;
    private int lines;

    /** Explains line by line to {@code output}. */
    public Explainer(CaptureReader captures, Consumer<String> output) {
        this.captures = captures;
        this.output = output;
    }

    /** Explains a request by its number; false if these segments do not contain it. */
    public boolean explainRequest(List<SegmentName> names, long id) throws IOException {
        Replay replay = new Replay(modules);
        captures.forEachEntry(names, (name, e) -> {
            DecisionExplainer before = e instanceof Entry.Call c && sends(c, id) && replay.module() instanceof GcMuScheduler m
                    ? new DecisionExplainer(copyOf(m)) : null;
            boolean more = replay.play(e);
            if (e instanceof Entry.Call c) {
                c.events().stream().filter(x -> concerns(x, id)).forEach(x -> {
                    received = x instanceof Scheduler.Request r ? r : received;
                    receivedAt = x instanceof Scheduler.Request ? c.time() : receivedAt;
                    printAt(c.time(), describe(x));
                });
                if (before != null) {
                    before.choices(c.time(), c.events(), c.actions()).stream().filter(x -> x.request() == id)
                            .forEach(x -> printChoice(c.time(), x));
                }
                c.actions().stream().filter(a -> concerns(a, id) && (before == null || !(a instanceof Scheduler.SendAttempt)))
                        .forEach(a -> printAt(c.time(), describe(a) + describeTimeLeft(a, c.time())));
            } else if (e instanceof Entry.Opening o && settings == null) {
                settings = o.settings();
            }
            return more;
        });
        printLimits(replay.result());
        return lines > 0;
    }

    /** Explains what was known of an engine at a time, in milliseconds; false if these segments do not contain it. */
    public boolean explainEngine(List<SegmentName> names, long engine, double at) throws IOException {
        Replay replay = new Replay(modules);
        captures.forEachEntry(names, (name, e) -> !(e instanceof Entry.Call c && c.time() > at) && replay.play(e));
        if (replay.module() instanceof GcMuScheduler m) {
            new DecisionExplainer(copyOf(m)).engines().forEach((cls, views) -> views.stream().filter(v -> v.engine() == engine)
                    .forEach(v -> printAt(at, "engine " + engine + " for " + cls + ": " + describe(v))));
        }
        return lines > 0;
    }

    private GcMuScheduler copyOf(GcMuScheduler module) throws IOException {
        return (GcMuScheduler) modules.restore(new Entry.State(0, modules.stateOf(module)));
    }

    private static boolean sends(Entry.Call c, long id) {
        return c.actions().stream().anyMatch(a -> a instanceof Scheduler.SendAttempt s && s.id() == id);
    }

    private void printLimits(Replay.Result r) {
        if (r.divergence() != null) {
            output.accept("this build decides differently from call " + r.divergence().call() + " on: the explanation ends here");
        }
        if (r.lostCalls() > 0) {
            output.accept("calls missing from the capture: " + r.lostCalls());
        }
    }

    private void printAt(double ms, String text) {
        lines++;
        output.accept(String.format(Locale.ROOT, "%.3f  %s", ms / MS_PER_S, text));
    }

    private void printChoice(double time, DecisionExplainer.Choice c) {
        printAt(time, String.format(Locale.ROOT, "attempt %d is sent to engine %d: %s, age %.0f ms, expected time %.0f ms",
                c.attempt(), c.chosen(), c.requestClass(), c.age(), c.expected()));
        c.engines().forEach(v -> output.accept("           " + (v.engine() == c.chosen() ? "* " : "  ") + "engine " + v.engine()
                + ": " + describe(v)));
    }

    private static String describe(DecisionExplainer.EngineView v) {
        StringBuilder out = new StringBuilder(v.verdict());
        if (!Double.isNaN(v.score())) {
            out.append(String.format(Locale.ROOT, " %.4g", v.score()));
        }
        out.append(String.format(Locale.ROOT, "; mean time %.0f ms; %d threads in use", v.meanTime(), v.threads()));
        out.append(v.sharedLimit() ? ", limit shared by all " : ", limit ")
                .append(String.format(Locale.ROOT, "%.1f", v.threadLimit()));
        out.append(Double.isNaN(v.reportAge()) ? "; no report" : String.format(Locale.ROOT,
                "; reported load %.2f per core, %.0f ms old", v.reportedLoad(), v.reportAge()));
        if (!Double.isNaN(v.coldWorkLeft())) {
            out.append(String.format(Locale.ROOT, "; cold, %.0f ms of work left", v.coldWorkLeft()));
        }
        return out.toString();
    }

    private static boolean concerns(Event e, long id) {
        return e instanceof Scheduler.Request r && r.id() == id || e instanceof Scheduler.AttemptEnded x && x.id() == id
                || e instanceof Scheduler.AttemptNote n && n.id() == id || e instanceof Scheduler.ClientLeft l && l.id() == id
                || e instanceof Scheduler.AnswerStarted s && s.id() == id;
    }

    private static boolean concerns(Action a, long id) {
        return a instanceof Scheduler.SendAttempt s && s.id() == id || a instanceof Scheduler.RefuseRequest r && r.id() == id
                || a instanceof Scheduler.FailRequest f && f.id() == id || a instanceof Scheduler.CancelAttempt c && c.id() == id;
    }

    private static String describe(Event e) {
        if (e instanceof Scheduler.Request r) {
            return String.format(Locale.ROOT, "request %d received: class %d, time limit %.0f ms, estimated work %.0f ms%s",
                    r.id(), r.requestClass(), r.clientTimeout(), r.estimatedWork(), r.retry() ? ", marked as a retry" : "");
        } else if (e instanceof Scheduler.AttemptEnded x) {
            return String.format(Locale.ROOT, "attempt %d at engine %d ended after %.0f ms: %s", x.attempt(), x.engine(),
                    x.latency(), x.outcome().name().toLowerCase(Locale.ROOT));
        } else if (e instanceof Scheduler.AttemptNote n) {
            return String.format(Locale.ROOT, "engine %d reports on attempt %d: %s %.2f", n.engine(), n.attempt(),
                    n.kind().name().toLowerCase(Locale.ROOT), n.value());
        }
        return e instanceof Scheduler.ClientLeft ? "the client has left" : "the engine has started to answer";
    }

    /** For an answer without a result: the request's age, its target and its time left; empty for any other action. */
    private String describeTimeLeft(Action a, double now) {
        boolean withoutResult = a instanceof Scheduler.RefuseRequest || a instanceof Scheduler.FailRequest;
        return !withoutResult || received == null || settings == null || received.requestClass() >= settings.classes().size() ? ""
                : String.format(Locale.ROOT, "; age %.0f ms, target %.0f ms, time left %.0f ms", now - receivedAt,
                settings.classes().get(received.requestClass()).latencyTarget(), received.clientTimeout() - (now - receivedAt));
    }

    private static String describe(Action a) {
        if (a instanceof Scheduler.CancelAttempt c) {
            return "attempt " + c.attempt() + " is cancelled: " + c.reason().label;
        } else if (a instanceof Scheduler.RefuseRequest r) {
            return String.format(Locale.ROOT, "the request is refused; retry after %.0f ms", r.retryAfter());
        }
        return a instanceof Scheduler.SendAttempt s ? "an attempt is sent to engine " + s.engine() : "the request is failed";
    }
}
