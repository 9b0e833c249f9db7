package quincespar.program.runtime;

import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;
import quincespar.routing.Effect;
import quincespar.routing.EngineMessage;
import quincespar.routing.Input;
import quincespar.routing.Reply;

/** Counts what is taken in, sent and answered, by looking at what passes the reducer. */
public final class Counters {
    /** What is counted; the names are printed in lower case with a point for the underscore. */
    public enum Count {
        CALLERS_TAKEN, CALLERS_CLOSED, REQUESTS_TAKEN, REQUESTS_CANCELLED, REQUESTS_UNUSABLE, ANSWERS_SERVED,
        ANSWERS_REFUSED, ANSWERS_FAILED, ATTEMPTS_SENT, ATTEMPTS_CANCELLED, ENGINES_DONE, ENGINES_PAGE, ENGINES_FULL,
        ENGINES_BROKE, ENGINES_PAST, ENGINES_NOTE, ENGINES_UNREADABLE, PROBES_SENT, PROBES_ANSWERED, PAGES_ASKED,
        LINKS_OPENED, LINKS_CLOSED, CHANGES_QUIET, CHANGES_NEWS, CHANGES_FAILED, CONFIGURATIONS_TAKEN,
        CONFIGURATIONS_REFUSED, ERRORS_UNCAUGHT
    }

    /** What the causes of connections' ends begin with where a system call has failed. */
    private static final Set<String> CALLS = Set.of("connect", "start", "read", "write", "finishing");
    /** Causes of closes are our own words and few; beyond this many they are counted together. */
    private static final int MOST_CAUSES = 40;

    private final Map<String, AtomicLong> closes = new ConcurrentHashMap<>();
    private final Map<String, AtomicLong> failures = new ConcurrentHashMap<>();
    private final AtomicLongArray counts = new AtomicLongArray(Count.values().length);

    public void count(Count c) {
        counts.incrementAndGet(c.ordinal());
    }

    /** Counts the end of a client's connection under its cause, up to a colon and without numbers. */
    public void countClose(String cause) {
        String name = cause.split(":")[0].replaceAll("[0-9]+", "").strip().replaceAll(" +", "_").toLowerCase(Locale.ROOT);
        countBounded(closes, "closed.", name);
    }

    /** Counts one by a name that comes from outside; beyond so many names they are counted together. */
    private static void countBounded(Map<String, AtomicLong> counted, String group, String name) {
        String key = group + (counted.size() < MOST_CAUSES || counted.containsKey(group + name) ? name : "other");
        counted.computeIfAbsent(key, k -> new AtomicLong()).incrementAndGet();
    }

    /** Counts a system call that failed, as {@code failures.side.call.error}; {@code cause} is 'call: error'. */
    public void countSystemCallFailure(String side, String cause) {
        int colon = cause.indexOf(": ");
        if (colon > 0 && CALLS.contains(cause.substring(0, colon))) {
            String error = cause.substring(colon + 2).split("[:(]")[0].strip().replaceAll("[^A-Za-z]+", "_").toLowerCase(Locale.ROOT);
            countBounded(failures, "failures.", side + "." + cause.substring(0, colon) + "." + error);
        }
    }

    public void countInput(Input i) {
        if (i instanceof Input.RequestReceived) {
            count(Count.REQUESTS_TAKEN);
        } else if (i instanceof Input.CallerConnected) {
            count(Count.CALLERS_TAKEN);
        } else if (i instanceof Input.RequestCancelled) {
            count(Count.REQUESTS_CANCELLED);
        } else if (i instanceof Input.EngineMessageReceived s) {
            count(said(s.message()));
        } else if (i instanceof Input.LinkDown d) {
            count(Count.LINKS_CLOSED);
            countSystemCallFailure("servers", d.cause());
        } else if (i instanceof Input.LinkUp) {
            count(Count.LINKS_OPENED);
        } else if (i instanceof Input.ChangesReceived c) {
            count(c.events().isEmpty() ? Count.CHANGES_QUIET : Count.CHANGES_NEWS);
        } else if (i instanceof Input.PollFailed f) {
            count(Count.CHANGES_FAILED);
            countSystemCallFailure("changelog", f.cause());
        } else if (i instanceof Input.ConfigurationLoaded) {
            count(Count.CONFIGURATIONS_TAKEN);
        } else if (i instanceof Input.ConfigurationRejected) {
            count(Count.CONFIGURATIONS_REFUSED);
        }
    }

    private static Count said(EngineMessage news) {
        return news instanceof EngineMessage.Done ? Count.ENGINES_DONE
                : news instanceof EngineMessage.Page ? Count.ENGINES_PAGE
                : news instanceof EngineMessage.Note ? Count.ENGINES_NOTE
                : news instanceof EngineMessage.Full ? Count.ENGINES_FULL
                : news instanceof EngineMessage.Failed ? Count.ENGINES_BROKE
                : news instanceof EngineMessage.Malformed ? Count.ENGINES_UNREADABLE
                : news instanceof EngineMessage.Expired ? Count.ENGINES_PAST : Count.PROBES_ANSWERED;
    }

    public void countEffect(Effect e) {
        if (e instanceof Effect.Send) {
            count(Count.ATTEMPTS_SENT);
        } else if (e instanceof Effect.Cancel) {
            count(Count.ATTEMPTS_CANCELLED);
        } else if (e instanceof Effect.ReadPage) {
            count(Count.PAGES_ASKED);
        } else if (e instanceof Effect.CloseCaller) {
            count(Count.CALLERS_CLOSED);
        } else if (e instanceof Effect.Probe) {
            count(Count.PROBES_SENT);
        } else if (e instanceof Effect.Answer a) {
            count(a.reply() instanceof Reply.Served ? Count.ANSWERS_SERVED
                    : a.reply() instanceof Reply.Refused ? Count.ANSWERS_REFUSED : Count.ANSWERS_FAILED);
        }
    }

    public Map<String, String> snapshot() {
        Map<String, String> out = new TreeMap<>();
        for (Count c : Count.values()) {
            out.put(c.name().toLowerCase(Locale.ROOT).replace('_', '.'), Long.toString(counts.get(c.ordinal())));
        }
        closes.forEach((name, n) -> out.put(name, n.toString()));
        failures.forEach((name, n) -> out.put(name, n.toString()));
        return out;
    }
}
