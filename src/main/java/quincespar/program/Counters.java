package quincespar.program;

import java.util.Map;
import java.util.TreeMap;
import quincespar.routing.Effect;
import quincespar.routing.EngineNews;
import quincespar.routing.Input;
import quincespar.routing.Reply;

/** Counts what is taken in, sent and answered, by looking at what passes the reducer. */
final class Counters {
    private final Map<String, Long> counts = new TreeMap<>();

    synchronized void count(String name) {
        counts.merge(name, 1L, Long::sum);
    }

    /** Keeps the largest value seen. */
    synchronized void peak(String name, long value) {
        counts.merge(name, value, Math::max);
    }

    void taken(Input i) {
        if (i instanceof Input.Asked) {
            count("requests.taken");
        } else if (i instanceof Input.Withdrawn) {
            count("requests.cancelled");
        } else if (i instanceof Input.Said s && !(s.news() instanceof EngineNews.Note)) {
            count("engines." + s.news().getClass().getSimpleName().toLowerCase(java.util.Locale.ROOT));
        } else if (i instanceof Input.LinkDown) {
            count("links.closed");
        } else if (i instanceof Input.LinkUp) {
            count("links.opened");
        } else if (i instanceof Input.Changes c) {
            count(c.events().isEmpty() ? "changes.quiet" : "changes.news");
        } else if (i instanceof Input.ChangesFailed) {
            count("changes.failed");
        }
    }

    void done(Effect e) {
        if (e instanceof Effect.Send) {
            count("attempts.sent");
        } else if (e instanceof Effect.Cancel) {
            count("attempts.cancelled");
        } else if (e instanceof Effect.ReadPage) {
            count("pages.asked");
        } else if (e instanceof Effect.Probe) {
            count("probes.sent");
        } else if (e instanceof Effect.Answer a) {
            count(a.reply() instanceof Reply.Served ? "answers.served"
                    : a.reply() instanceof Reply.Refused ? "answers.refused" : "answers.failed");
        }
    }

    synchronized Map<String, String> all() {
        Map<String, String> out = new TreeMap<>();
        counts.forEach((k, v) -> out.put(k, Long.toString(v)));
        return out;
    }

    @Override
    public String toString() {
        return all().toString();
    }
}
