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
 * Feeds the captured events to another instance of the module and compares its actions with the captured ones. Stops at the
 * first difference: later events answer actions that this instance did not take, and prove nothing about it.
 */
public final class Replay {
    /** Creates the module instances for a replay. */
    public interface ModuleFactory {
        /** Creates a new module. */
        Scheduler create(Entry.Opening opening);

        /** Creates a module in a captured state; throws {@link MalformedCaptureException} if its code differs. */
        Scheduler restore(Entry.State state) throws IOException;

        /** Encodes a module's state; equal states give equal bytes. */
        byte[] stateOf(Scheduler module);
    }

    /**
     * The result of a replay.
     *
     * @param decisions the number of actions that the replayed module returned
     * @param matchingStates captured states that the replayed module was in when it reached them
     * @param differingStates captured states that it was not in
     * @param lostCalls calls that were not captured, or could not be replayed for lack of a state
     * @param digest over all decisions, in hex
     * @param divergence null if all decisions were the same
     */
    public record Result(long calls, long events, long decisions, long matchingStates, long differingStates, long lostCalls,
            String digest, Divergence divergence) { }

    /**
     * The first call whose decisions differ.
     *
     * @param call its number, from 1
     * @param before the calls before it, oldest first
     */
    public record Divergence(long call, double time, List<Entry.Call> before, Entry.Call expected, List<Scheduler.Action> got) { }

    /** Calls kept to be shown before a divergence. */
    private static final int CALLS_BEFORE = 10;

    private final EntryCodec codec = new EntryCodec();
    private final MessageDigest digest = Digests.sha256();
    private final Deque<Entry.Call> before = new ArrayDeque<>();
    private final ModuleFactory modules;
    /** The opening of a segment until the next entry tells whether a state follows it; null otherwise. */
    private Entry.Opening opening;
    private Scheduler module;
    private long matchingStates;
    private long differingStates;
    private long lostCalls;
    private Divergence divergence;
    private long calls;
    private long events;
    private long decisions;

    /** Replays on modules from this factory. */
    public Replay(ModuleFactory modules) {
        this.modules = modules;
    }

    /** Replays one entry; false after a divergence. Calls after a gap count as lost until the next state or opening. */
    public boolean play(Entry entry) throws IOException {
        if (divergence != null) {
            return false;
        }
        if (entry instanceof Entry.Opening o) {
            opening = o;
        } else if (entry instanceof Entry.State s) {
            playState(s);
        } else if (entry instanceof Entry.Gap g) {
            lostCalls += g.lostCalls();
            opening = null; // what follows is replayed from the next state
            module = null;
        } else if (entry instanceof Entry.Call c) {
            if (opening != null) {
                module = modules.create(opening);
                opening = null;
            }
            lostCalls += module == null ? 1 : 0;
            return module == null || playCall(c);
        }
        return true;
    }

    private void playState(Entry.State state) throws IOException {
        opening = null;
        if (module == null) {
            module = modules.restore(state);
        } else if (Arrays.equals(modules.stateOf(module), state.bytes())) {
            matchingStates++;
        } else {
            differingStates++;
        }
    }

    private boolean playCall(Entry.Call expected) {
        List<Scheduler.Action> got = List.copyOf(module.decide(expected.time(), expected.events()));
        calls++;
        events += expected.events().size();
        decisions += got.size();
        Entry.Call played = new Entry.Call(expected.time(), expected.events(), got);
        codec.digest(digest, played);
        if (!Arrays.equals(codec.write(expected), codec.write(played))) { // compares bytes, so that NaN and -0.0 count
            divergence = new Divergence(calls, expected.time(), new ArrayList<>(before), expected, got);
            return false;
        }
        if (before.size() == CALLS_BEFORE) {
            before.removeFirst();
        }
        before.addLast(expected);
        return true;
    }

    /** The module in its current state; null if nothing can be replayed before the next state. */
    Scheduler module() {
        return module;
    }

    /** The result so far. */
    public Result result() {
        try {
            MessageDigest soFar = (MessageDigest) digest.clone();
            return new Result(calls, events, decisions, matchingStates, differingStates, lostCalls,
                    HexFormat.of().formatHex(soFar.digest()), divergence);
        } catch (CloneNotSupportedException e) {
            throw new IllegalStateException(e);
        }
    }
}
