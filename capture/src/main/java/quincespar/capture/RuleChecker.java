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
 * Checks captured calls against the rules that they show:
 * <ul>
 * <li>a request that must not run twice is sent again only if the earlier attempts are proven never to have run, and is not
 * refused once an attempt may have run;
 * <li>a request has one attempt in flight at a time, unless second copies are allowed;
 * <li>no request is sent to a draining engine once the grace period is over;
 * <li>a request has one final answer.
 * </ul>
 * Requests that were open before the first checked call are ignored. The limit on work for cold engines applies to the whole
 * fleet and cannot be checked from the calls of one front end.
 */
public final class RuleChecker {
    /** The number of finished requests that are remembered as finished. */
    private static final int MAX_FINISHED = 10_000;
    /** The number of violations that are described; all are counted. */
    private static final int MAX_DESCRIBED = 20;
    private static final double MS_PER_S = 1000;

    private static final class OpenRequest {
        private final ClassSpec spec;
        /** The outcome of each attempt, by its number; null while it is in flight. */
        private final List<Scheduler.Outcome> attempts = new ArrayList<>();
        private boolean answered;
        /** The client has left: no answer is due, and no attempt may be sent. */
        private boolean clientLeft;

        OpenRequest(ClassSpec spec) {
            this.spec = spec;
        }

        long inFlight() {
            return attempts.stream().filter(o -> o == null).count();
        }

        boolean mayHaveRun() {
            return attempts.stream().anyMatch(o -> o == null || !o.neverRan);
        }
    }

    private final Map<Long, OpenRequest> requests = new LinkedHashMap<>();
    private final Set<Long> finished = new LinkedHashSet<>();
    private final Map<Long, Double> notReadySince = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private Entry.Opening opening;
    private Scheduler.Settings settings;
    private long violationCount;

    /** Checks the next entry. */
    public void check(Entry e) {
        if (e instanceof Entry.Opening o) {
            boolean same = opening != null && o.name().equals(opening.name()) && o.time() == opening.time();
            if (!same) { // another process, which numbers its requests from 1 again
                forgetAll();
                opening = o;
                settings = o.settings();
            }
        } else if (e instanceof Entry.Gap) {
            forgetAll(); // their state after the gap is unknown
        } else if (e instanceof Entry.Call c && settings != null) {
            c.events().forEach(x -> checkEvent(c.time(), x));
            c.actions().forEach(x -> checkAction(c.time(), x));
            c.events().forEach(this::clientLeft); // last, as this call may also answer the request of a client that leaves
        }
    }

    private void forgetAll() {
        finished.clear();
        requests.clear();
        notReadySince.clear();
    }

    private void checkEvent(double now, Event e) {
        if (e instanceof Scheduler.Request r && r.requestClass() >= 0 && r.requestClass() < settings.classes().size()) {
            requests.putIfAbsent(r.id(), new OpenRequest(settings.classes().get(r.requestClass())));
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
            attemptEnded(x, requests.get(x.id()));
        } else if (e instanceof Scheduler.ClientLeft l && requests.containsKey(l.id())) {
            requests.get(l.id()).clientLeft = true;
        }
    }

    private void attemptEnded(Scheduler.AttemptEnded x, OpenRequest r) {
        if (r != null && x.attempt() >= 0 && x.attempt() < r.attempts.size() && r.attempts.get(x.attempt()) == null) {
            r.attempts.set(x.attempt(), x.outcome()); // a repeated report is ignored
            r.answered |= x.requestOver();
            removeIfFinished(x.id(), r);
        }
    }

    private void clientLeft(Event e) {
        if (e instanceof Scheduler.ClientLeft l && requests.containsKey(l.id())) {
            requests.get(l.id()).answered = true;
            removeIfFinished(l.id(), requests.get(l.id()));
        }
    }

    private void checkAction(double now, Action a) {
        if (a instanceof Scheduler.SendAttempt x) {
            checkSend(now, x, requests.get(x.id()));
        } else if (a instanceof Scheduler.RefuseRequest x) {
            checkAnswer(now, x.id(), requests.get(x.id()), true);
        } else if (a instanceof Scheduler.FailRequest x) {
            checkAnswer(now, x.id(), requests.get(x.id()), false);
        }
    }

    private void checkSend(double now, Scheduler.SendAttempt s, OpenRequest r) {
        require(!finished.contains(s.id()), now, s.id(), "is sent after it ended");
        if (r == null) {
            return; // finished, or open since before the first checked call
        }
        require(!r.answered && !r.clientLeft, now, s.id(), "is sent after it ended");
        require(r.spec.idempotency() != Scheduler.Idempotency.UNSAFE || !r.mayHaveRun(), now, s.id(),
                "is sent again although it may have run and must not run twice");
        require(r.inFlight() == 0 || settings.limits().mayRunConcurrentAttempts(), now, s.id(), "has two attempts in flight");
        Double since = notReadySince.get(s.engine());
        require(since == null || now - since <= settings.rules().drainGrace(), now, s.id(),
                "is sent to engine " + s.engine() + ", which accepts no new requests");
        r.attempts.add(null);
    }

    private void checkAnswer(double now, long id, OpenRequest r, boolean refused) {
        require(!finished.contains(id), now, id, "has two final answers");
        if (r == null) {
            return;
        }
        require(!refused || r.spec.idempotency() != Scheduler.Idempotency.UNSAFE || !r.mayHaveRun(), now, id,
                "is refused after it may have run");
        require(!r.answered, now, id, "has two final answers");
        r.answered = true;
        removeIfFinished(id, r);
    }

    private void removeIfFinished(long id, OpenRequest r) {
        if (r.answered && r.inFlight() == 0) {
            requests.remove(id);
            finished.add(id);
            if (finished.size() > MAX_FINISHED) {
                finished.remove(finished.iterator().next());
            }
        }
    }

    private void require(boolean condition, double now, long id, String violation) {
        if (!condition && violationCount++ < MAX_DESCRIBED) {
            violations.add(String.format(Locale.ROOT, "%.3f request %d %s", now / MS_PER_S, id, violation));
        }
    }

    /** The number of violations. */
    public long violationCount() {
        return violationCount;
    }

    /** The first violations, one line each. */
    public List<String> violations() {
        return List.copyOf(violations);
    }
}
