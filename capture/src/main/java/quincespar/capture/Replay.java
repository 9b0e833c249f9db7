package quincespar.capture;

import java.security.MessageDigest;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HexFormat;
import java.util.List;
import java.util.function.Function;
import quincespar.decision.Gateway;

/**
 * Feeds a module what another was told, and compares what it decides. It stops where they part: from there on the events
 * are answers to decisions that this module did not make, and prove nothing about it.
 */
public final class Replay {
    /** What came of it; {@code parting} is null where all decisions are the same. */
    public record Result(long calls, long events, long decisions, String digest, Parting parting) { }

    /** The first call whose decisions differ, by number from 1, with the calls before it, the last one last. */
    public record Parting(long call, double time, List<Entry.Call> before, Entry.Call expected, List<Gateway.Action> got) { }

    /** Calls shown before a parting. */
    private static final int BEFORE = 10;

    private final EntryCodec codec = new EntryCodec();
    private final MessageDigest digest = Digests.sha256();
    private final Deque<Entry.Call> before = new ArrayDeque<>();
    private final Function<Entry.Opening, Gateway> modules;
    private Gateway module;
    private Parting parting;
    private long calls;
    private long events;
    private long decisions;

    /** Plays on what {@code modules} makes of an opening. */
    public Replay(Function<Entry.Opening, Gateway> modules) {
        this.modules = modules;
    }

    /** Plays one entry; false where it can't go on: the decisions have parted, or calls are missing. */
    public boolean play(Entry entry) {
        if (parting != null) {
            return false;
        }
        if (entry instanceof Entry.Opening o) {
            module = modules.apply(o);
            return true;
        }
        if (module == null || entry instanceof Entry.Gap) {
            module = null; // what follows is played from the next opening
            return false;
        }
        return call((Entry.Call) entry);
    }

    private boolean call(Entry.Call c) {
        List<Gateway.Action> got = List.copyOf(module.decide(c.time(), c.events()));
        calls++;
        events += c.events().size();
        decisions += got.size();
        Entry.Call played = new Entry.Call(c.time(), c.events(), got);
        codec.digest(digest, played);
        if (!java.util.Arrays.equals(codec.write(c), codec.write(played))) { // bytes: NaN and -0.0 count as they are
            parting = new Parting(calls, c.time(), new ArrayList<>(before), c, got);
            return false;
        }
        if (before.size() == BEFORE) {
            before.removeFirst();
        }
        before.addLast(c);
        return true;
    }

    /** What has come of it so far; the digest is over all decisions, as hex. */
    public Result result() {
        try {
            MessageDigest soFar = (MessageDigest) digest.clone();
            return new Result(calls, events, decisions, HexFormat.of().formatHex(soFar.digest()), parting);
        } catch (CloneNotSupportedException e) {
            throw new IllegalStateException(e);
        }
    }
}
