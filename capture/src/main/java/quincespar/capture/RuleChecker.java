package quincespar.capture;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import quincespar.decision.Scheduler;
import quincespar.decision.Scheduler.Action;
import quincespar.decision.Scheduler.ClassSpec;
import quincespar.decision.Scheduler.EngineState;
import quincespar.decision.Scheduler.Event;

/**
 * Holds captured calls against the rules that can be seen in them: what may not run twice is sent once unless it is proven
 * never to have run, and not refused after it may have; one attempt of a request is out at a time; nothing new goes to an
 * engine that drains, once the grace is over; a request has one final answer. It knows requests and engines from where it
 * begins; of what was open before it says nothing. The cold rule is the fleet's, and is not seen in one front end's calls.
 */
public final class RuleChecker {
    /** Of so many requests that are over it is still known that they are. */
    private static final int REMEMBERED = 10_000;
    /** So many violations are kept in words; all are counted. */
    private static final int MOST = 20;

    private static final class Open {
        private final ClassSpec spec;
        private final List<Scheduler.Outcome> attempts = new ArrayList<>();
        private boolean over;
        /** Its client has left: nothing is owed, and nothing new may be sent. */
        private boolean left;

        Open(ClassSpec spec) {
            this.spec = spec;
        }

        long out() {
            return attempts.stream().filter(o -> o == null).count();
        }

        boolean mayHaveRun() {
            return attempts.stream().anyMatch(o -> o == null || !o.neverRan);
        }
    }

    private final Map<Long, Open> requests = new LinkedHashMap<>();
    private final Set<Long> ended = new LinkedHashSet<>();
    private final Map<Long, Double> notReadySince = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private Entry.Opening opening;
    private Scheduler.Settings settings;
    private long count;

    /** Takes one entry. */
    public void check(Entry e) {
        if (e instanceof Entry.Opening o) {
            boolean same = opening != null && o.name().equals(opening.name()) && o.time() == opening.time();
            if (!same) { // another process: its numbers are its own
                forgetAll();
                opening = o;
                settings = o.settings();
            }
        } else if (e instanceof Entry.Gap) {
            forgetAll(); // what became of them is not known
        } else if (e instanceof Entry.Call c && settings != null) {
            c.events().forEach(x -> happened(c.time(), x));
            c.actions().forEach(x -> decided(c.time(), x));
            c.events().forEach(this::left); // who leaves in a call may have been given up in it just before
        }
    }

    private void forgetAll() {
        ended.clear();
        requests.clear();
        notReadySince.clear();
    }

    private void happened(double now, Event e) {
        if (e instanceof Scheduler.Request r && r.requestClass() >= 0 && r.requestClass() < settings.classes().size()) {
            requests.putIfAbsent(r.id(), new Open(settings.classes().get(r.requestClass())));
        } else if (e instanceof Scheduler.SettingsChanged c) {
            settings = c.settings();
        } else if (e instanceof Scheduler.EngineList l) {
            l.engines().forEach(n -> {
                if (n.state() == EngineState.READY) {
                    notReadySince.remove(n.id());
                } else {
                    notReadySince.putIfAbsent(n.id(), now);
                }
            });
        } else if (e instanceof Scheduler.AttemptEnded x) {
            ended(x, requests.get(x.id()));
        } else if (e instanceof Scheduler.ClientLeft l && requests.containsKey(l.id())) {
            requests.get(l.id()).left = true;
        }
    }

    private void ended(Scheduler.AttemptEnded x, Open r) {
        if (r != null && x.attempt() >= 0 && x.attempt() < r.attempts.size() && r.attempts.get(x.attempt()) == null) {
            r.attempts.set(x.attempt(), x.outcome()); // an end that is told again says nothing
            r.over |= x.requestOver();
            forget(x.id(), r);
        }
    }

    private void left(Event e) {
        if (e instanceof Scheduler.ClientLeft l && requests.containsKey(l.id())) {
            requests.get(l.id()).over = true;
            forget(l.id(), requests.get(l.id()));
        }
    }

    private void decided(double now, Action a) {
        if (a instanceof Scheduler.SendAttempt x) {
            send(now, x, requests.get(x.id()));
        } else if (a instanceof Scheduler.RefuseRequest x) {
            answered(now, x.id(), requests.get(x.id()), true);
        } else if (a instanceof Scheduler.FailRequest x) {
            answered(now, x.id(), requests.get(x.id()), false);
        }
    }

    private void send(double now, Scheduler.SendAttempt s, Open r) {
        require(!ended.contains(s.id()), now, s.id(), "is sent after its end");
        if (r == null) {
            return; // over, or open since before the first call that is known
        }
        require(!r.over && !r.left, now, s.id(), "is sent after its end");
        require(r.spec.idempotency() != Scheduler.Idempotency.UNSAFE || !r.mayHaveRun(), now, s.id(),
                "is sent again though it may have run, and may not run twice");
        require(r.out() == 0 || settings.limits().mayRunConcurrentAttempts(), now, s.id(), "has two attempts out");
        Double since = notReadySince.get(s.engine());
        require(since == null || now - since <= settings.rules().drainGrace(), now, s.id(),
                "is sent to engine " + s.engine() + ", which takes nothing new");
        r.attempts.add(null);
    }

    private void answered(double now, long id, Open r, boolean refused) {
        require(!ended.contains(id), now, id, "has two final answers");
        if (r == null) {
            return;
        }
        require(!refused || r.spec.idempotency() != Scheduler.Idempotency.UNSAFE || !r.mayHaveRun(), now, id,
                "is refused after it may have run");
        require(!r.over, now, id, "has two final answers");
        r.over = true;
        forget(id, r);
    }

    private void forget(long id, Open r) {
        if (r.over && r.out() == 0) {
            requests.remove(id);
            ended.add(id);
            if (ended.size() > REMEMBERED) {
                ended.remove(ended.iterator().next());
            }
        }
    }

    private void require(boolean kept, double now, long id, String breach) {
        if (!kept && count++ < MOST) {
            violations.add(String.format(Locale.ROOT, "%.3f request %d %s", now / 1000, id, breach));
        }
    }

    /** How often a rule was broken. */
    public long violationCount() {
        return count;
    }

    /** The first violations, in words. */
    public List<String> violations() {
        return List.copyOf(violations);
    }
}
