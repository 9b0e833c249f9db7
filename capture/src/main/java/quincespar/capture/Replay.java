package quincespar.capture;

import java.io.IOException;
import java.security.MessageDigest;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HexFormat;
import java.util.List;
import quincespar.decision.Scheduler;

/**
 * Feeds a module what another was told, and compares what it decides. It stops where they part: from there on the events
 * are answers to decisions that this module did not make, and prove nothing about it.
 */
public final class Replay {
    /** Makes the modules that are played on. */
    public interface ModuleFactory {
        /** A new one. */
        Scheduler create(Entry.Opening opening);

        /** One in that state; throws {@link MalformedCaptureException} where it is of another text, or none. */
        Scheduler restore(Entry.State state) throws IOException;

        /** A module's state, as bytes that are the same where the state is. */
        byte[] stateOf(Scheduler module);
    }

    /**
     * What came of it; {@code divergence} is null where all decisions are the same. Of the snapshots that were reached by
     * playing on, so many were {@code states} that the module was in, and so many {@code otherStates}. {@code lost}: calls
     * that were not captured, or could not be played for want of a state.
     */
    public record Result(long calls, long events, long decisions, long matchingStates, long differingStates, long lostCalls, String digest,
            Divergence divergence) { }

    /** The first call whose decisions differ, by number from 1, with the calls before it, the last one last. */
    public record Divergence(long call, double time, List<Entry.Call> before, Entry.Call expected, List<Scheduler.Action> got) { }

    /** Calls shown before a divergence. */
    private static final int BEFORE = 10;

    private final EntryCodec codec = new EntryCodec();
    private final MessageDigest digest = Digests.sha256();
    private final Deque<Entry.Call> before = new ArrayDeque<>();
    private final ModuleFactory modules;
    /** Of the segment that begins: whether a state comes with it is known with the next entry. */
    private Entry.Opening opening;
    private Scheduler module;
    private long states;
    private long otherStates;
    private long lost;
    private Divergence divergence;
    private long calls;
    private long events;
    private long decisions;

    /** Plays on what {@code modules} makes. */
    public Replay(ModuleFactory modules) {
        this.modules = modules;
    }

    /** Plays one entry; false once the decisions have parted. Calls after a gap are counted as lost up to the next state. */
    public boolean play(Entry entry) throws IOException {
        if (divergence != null) {
            return false;
        }
        if (entry instanceof Entry.Opening o) {
            opening = o;
        } else if (entry instanceof Entry.State s) {
            state(s);
        } else if (entry instanceof Entry.Gap g) {
            lost += g.lostCalls();
            opening = null; // what follows is played from the next state
            module = null;
        } else if (entry instanceof Entry.Call c) {
            if (opening != null) {
                module = modules.create(opening);
                opening = null;
            }
            lost += module == null ? 1 : 0;
            return module == null || call(c);
        }
        return true;
    }

    private void state(Entry.State s) throws IOException {
        opening = null;
        if (module == null) {
            module = modules.restore(s);
        } else if (Arrays.equals(modules.stateOf(module), s.bytes())) {
            states++;
        } else {
            otherStates++;
        }
    }

    private boolean call(Entry.Call c) {
        List<Scheduler.Action> got = List.copyOf(module.decide(c.time(), c.events()));
        calls++;
        events += c.events().size();
        decisions += got.size();
        Entry.Call played = new Entry.Call(c.time(), c.events(), got);
        codec.digest(digest, played);
        if (!Arrays.equals(codec.write(c), codec.write(played))) { // bytes: NaN and -0.0 count as they are
            divergence = new Divergence(calls, c.time(), new ArrayList<>(before), c, got);
            return false;
        }
        if (before.size() == BEFORE) {
            before.removeFirst();
        }
        before.addLast(c);
        return true;
    }

    /** The module as it stands, null where nothing can be played before the next state. */
    Scheduler module() {
        return module;
    }

    /** What has come of it so far; the digest is over all decisions, as hex. */
    public Result result() {
        try {
            MessageDigest soFar = (MessageDigest) digest.clone();
            return new Result(calls, events, decisions, states, otherStates, lost, HexFormat.of().formatHex(soFar.digest()), divergence);
        } catch (CloneNotSupportedException e) {
            throw new IllegalStateException(e);
        }
    }
}
