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

/**
 * Counts the reducer's inputs and effects, closed connections and failed system calls. The keys are read by operators' tools;
 * some are derived from the texts of close causes, which are therefore fixed. Safe for use by several threads.
 */
public final class Counters {
    /** The fixed counters. Their keys are the names in lower case, with a dot for each underscore. */
    public enum Count {
        CALLERS_TAKEN, CALLERS_CLOSED, CALLERS_DISCARDED_BYTES, CALLERS_PAUSED, CALLERS_ACCEPT_PAUSES, CALLERS_ACCEPT_PAUSED_MS,
        REQUESTS_TAKEN, REQUESTS_CANCELLED, REQUESTS_DROPPED, REQUESTS_UNUSABLE, ANSWERS_SERVED, ANSWERS_REFUSED,
        ANSWERS_FAILED, HEALTH_ANSWERED, ATTEMPTS_SENT, ATTEMPTS_CANCELLED, ENGINES_DONE,
        ENGINES_PAGE, ENGINES_FULL, ENGINES_BROKE, ENGINES_PAST, ENGINES_NOTE, ENGINES_UNREADABLE, PROBES_SENT,
        PROBES_ANSWERED, PAGES_ASKED, LINKS_OPENED, LINKS_CLOSED, CHANGES_QUIET, CHANGES_NEWS, CHANGES_FAILED,
        CONFIGURATIONS_TAKEN, CONFIGURATIONS_REFUSED, ERRORS_UNCAUGHT
    }

    /** First words of close causes that report a failed system call. */
    private static final Set<String> SYSTEM_CALLS = Set.of("connect", "start", "read", "write", "finishing");
    /** Limit on the keys of a group; there are few causes, and any beyond the limit are counted together as "other". */
    private static final int MAX_KEYS_PER_GROUP = 40;

    private final Map<String, AtomicLong> closes = new ConcurrentHashMap<>();
    private final Map<String, AtomicLong> failures = new ConcurrentHashMap<>();
    private final AtomicLongArray counts = new AtomicLongArray(Count.values().length);

    /** Increments a counter. */
    public void count(Count counter) {
        add(counter, 1);
    }

    /** Increases a counter. */
    public void add(Count counter, long amount) {
        counts.addAndGet(counter.ordinal(), amount);
    }

    /** Counts the close of a client's connection as {@code closed.CAUSE}; CAUSE is the cause up to its colon, without numbers. */
    public void countClose(String cause) {
        String name = cause.split(":")[0].replaceAll("[0-9]+", "").strip().replaceAll(" +", "_").toLowerCase(Locale.ROOT);
        countBounded(closes, "closed.", name);
    }

    private static void countBounded(Map<String, AtomicLong> counters, String group, String name) {
        String key = group + (counters.size() < MAX_KEYS_PER_GROUP || counters.containsKey(group + name) ? name : "other");
        counters.computeIfAbsent(key, k -> new AtomicLong()).incrementAndGet();
    }

    /**
     * Counts a failed system call as {@code failures.SIDE.CALL.ERROR}.
     *
     * @param side whose connection it was: "clients", "servers" or "changelog"
     * @param cause the close cause, "CALL: ERROR"; any other cause is not counted
     */
    public void countSystemCallFailure(String side, String cause) {
        int colon = cause.indexOf(": ");
        if (colon > 0 && SYSTEM_CALLS.contains(cause.substring(0, colon))) {
            String error = cause.substring(colon + 2).split("[:(]")[0].strip()
                    .replaceAll("[^A-Za-z]+", "_").toLowerCase(Locale.ROOT);
            countBounded(failures, "failures.", side + "." + cause.substring(0, colon) + "." + error);
        }
    }

    /** Counts an input that the reducer takes. */
    public void countInput(Input input) {
        if (input instanceof Input.RequestReceived) {
            count(Count.REQUESTS_TAKEN);
        } else if (input instanceof Input.CallerConnected) {
            count(Count.CALLERS_TAKEN);
        } else if (input instanceof Input.RequestCancelled) {
            count(Count.REQUESTS_CANCELLED);
        } else if (input instanceof Input.EngineMessageReceived i) {
            count(counterOf(i.message()));
        } else if (input instanceof Input.LinkDown i) {
            count(Count.LINKS_CLOSED);
            countSystemCallFailure("servers", i.cause());
        } else if (input instanceof Input.LinkUp) {
            count(Count.LINKS_OPENED);
        } else if (input instanceof Input.ChangesReceived i) {
            count(i.events().isEmpty() ? Count.CHANGES_QUIET : Count.CHANGES_NEWS);
        } else if (input instanceof Input.PollFailed i) {
            count(Count.CHANGES_FAILED);
            countSystemCallFailure("changelog", i.cause());
        } else if (input instanceof Input.ConfigurationLoaded) {
            count(Count.CONFIGURATIONS_TAKEN);
        } else if (input instanceof Input.ConfigurationRejected) {
            count(Count.CONFIGURATIONS_REFUSED);
        }
    }

    private static Count counterOf(EngineMessage message) {
        return message instanceof EngineMessage.Done ? Count.ENGINES_DONE
                : message instanceof EngineMessage.Page ? Count.ENGINES_PAGE
                : message instanceof EngineMessage.Note ? Count.ENGINES_NOTE
                : message instanceof EngineMessage.Full ? Count.ENGINES_FULL
                : message instanceof EngineMessage.Failed ? Count.ENGINES_BROKE
                : message instanceof EngineMessage.Malformed ? Count.ENGINES_UNREADABLE
                : message instanceof EngineMessage.Expired ? Count.ENGINES_PAST : Count.PROBES_ANSWERED;
    }

    /** Counts an effect of the reducer. */
    public void countEffect(Effect effect) {
        if (effect instanceof Effect.Send) {
            count(Count.ATTEMPTS_SENT);
        } else if (effect instanceof Effect.Cancel) {
            count(Count.ATTEMPTS_CANCELLED);
        } else if (effect instanceof Effect.ReadPage) {
            count(Count.PAGES_ASKED);
        } else if (effect instanceof Effect.CloseCaller) {
            count(Count.CALLERS_CLOSED);
        } else if (effect instanceof Effect.Probe) {
            count(Count.PROBES_SENT);
        } else if (effect instanceof Effect.Answer e) {
            count(e.reply() instanceof Reply.Served ? Count.ANSWERS_SERVED
                    : e.reply() instanceof Reply.Refused ? Count.ANSWERS_REFUSED : Count.ANSWERS_FAILED);
        }
    }

    /** All counters by key, in the order of the keys. */
    public Map<String, String> snapshot() {
        Map<String, String> out = new TreeMap<>();
        for (Count counter : Count.values()) {
            out.put(counter.name().toLowerCase(Locale.ROOT).replace('_', '.'), Long.toString(counts.get(counter.ordinal())));
        }
        closes.forEach((name, n) -> out.put(name, n.toString()));
        failures.forEach((name, n) -> out.put(name, n.toString()));
        return out;
    }
}
