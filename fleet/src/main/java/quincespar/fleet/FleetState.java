package quincespar.fleet;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The replicated state machine: takes agreed commands in order and is the same everywhere after the same ones. It asks no
 * clock, draws no chance and does no reading or writing. Used by one thread.
 */
public final class FleetState {
    /** Instances that are remembered, those that have gone included; beyond it the longest gone are forgotten. */
    static final int MAX_INSTANCES = 1024;
    static final int MAX_REGISTERS = 4096;
    /** Characters in a name or an address, and in a register's value. */
    static final int MAX_NAME_CHARS = 200, MAX_VALUE_CHARS = 65_536;

    private final FleetCodec codec = new FleetCodec();
    private final Map<String, Instance> instances = new TreeMap<>();
    private final Map<String, Snapshot.NameRecord> names = new TreeMap<>();
    private final Map<String, Register> registers = new TreeMap<>();
    private long version;
    private long time;
    private long incarnations;

    /** As it was when that was taken. */
    public static FleetState restore(Snapshot s) {
        FleetState out = new FleetState();
        out.version = s.version();
        out.time = s.time();
        out.incarnations = s.lastIncarnation();
        s.instances().forEach(i -> out.instances.put(i.name(), i));
        s.registers().forEach(r -> out.registers.put(r.name(), r));
        s.names().forEach(n -> out.names.put(n.name(), n));
        return out;
    }

    /** All of it. */
    public Snapshot snapshot() {
        return new Snapshot(Snapshot.FORMAT, version, time, incarnations, List.copyOf(instances.values()),
                List.copyOf(registers.values()), List.copyOf(names.values()));
    }

    /** Rises with each change that others should know of. */
    public long version() {
        return version;
    }

    /** Agreed time, in milliseconds since the fleet began; stands still while there is no leader. */
    public long time() {
        return time;
    }

    /** The instance of that name, null where none is known. */
    public Instance instance(String name) {
        return instances.get(name);
    }

    /** All that are known, by name. */
    public Collection<Instance> instances() {
        return instances.values();
    }

    /** The register of that name, null where there is none. */
    public Register register(String name) {
        return registers.get(name);
    }

    /** Carries out the next agreed command. */
    public Result apply(Command c) {
        if (c instanceof Command.Tick x) {
            return tick(x);
        } else if (c instanceof Command.Join x) {
            return join(x);
        } else if (c instanceof Command.Renew x) {
            return renew(x);
        } else if (c instanceof Command.Leave x) {
            return leave(x);
        }
        return write((Command.Write) c);
    }

    private Result tick(Command.Tick x) {
        time = Math.max(time, x.time());
        for (Instance i : List.copyOf(instances.values())) {
            long silent = time - i.renewedAt();
            if (i.standing() != Standing.GONE && silent > x.goneAfterMs()) {
                put(i.standing(Standing.GONE, time));
            } else if (i.standing().isActive() && i.standing() != Standing.SUSPECTED && silent > x.suspectAfterMs()) {
                put(i.standing(Standing.SUSPECTED, time));
            }
        }
        return new Result.Done();
    }

    /** The one way in which an instance changes so that others should know. */
    private void put(Instance i) {
        Instance before = instances.put(i.name(), i);
        if (before == null || before.standing() != i.standing() || before.incarnation() != i.incarnation()) {
            version++;
        }
    }

    /**
     * A name has one life at a time. A life is taken over at once by who holds the same folder at the same address, as the
     * folder's lock proves that the process before has ended; any other waits until the session is over. A folder that
     * knows less than the fleet does is a copy, or was restored from before: what it has promised since it has forgotten.
     */
    private Result join(Command.Join x) {
        if (x.name().isEmpty() || Math.max(x.name().length(), x.address().length()) > MAX_NAME_CHARS) {
            return new Result.Refused(Result.Reason.LIMIT_REACHED, "a name of 1 to " + MAX_NAME_CHARS + " characters is needed");
        }
        Instance before = instances.get(x.name());
        Snapshot.NameRecord known = names.getOrDefault(x.name(), Snapshot.NameRecord.unknown(x.name()));
        boolean holder = before != null && !before.folder().isEmpty() && before.folder().equals(x.folder());
        boolean same = before != null && known.lastJoinNonce() == x.nonce();
        String against = x.voter() ? known.votingRejection(x.folder(), x.lastIncarnation(), x.mark(), x.nonce())
                : holder && !same && x.lastIncarnation() < before.incarnation() ? "the folder of " + x.name() + " ends with incarnation "
                + x.lastIncarnation() + ", and the fleet knows " + before.incarnation() + " of it" : "";
        if (!against.isEmpty()) {
            return new Result.Refused(Result.Reason.FOLDER_OUTDATED, against);
        }
        if (same && before.standing().isActive()) { // sent again, or by who was killed before it could keep the answer
            return new Result.Joined(before.incarnation());
        }
        if (before != null && before.standing().isActive() && !(holder && before.address().equals(x.address()))) {
            return new Result.Refused(Result.Reason.NAME_TAKEN, "the name " + x.name() + " is taken by incarnation "
                    + before.incarnation() + (before.address().isEmpty() ? "" : " at " + before.address())
                    + ", whose session is not over");
        }
        if (before == null && instances.size() >= MAX_INSTANCES && !forgetOne()) {
            return new Result.Refused(Result.Reason.LIMIT_REACHED, MAX_INSTANCES + " instances are known and none has gone");
        }
        incarnations++;
        names.put(x.name(), x.voter() ? new Snapshot.NameRecord(x.name(), x.nonce(), x.folder(), incarnations, x.mark())
                : new Snapshot.NameRecord(x.name(), x.nonce(), known.votingFolder(), known.votingIncarnation(), known.mark()));
        put(new Instance(x.name(), incarnations, x.folder(), x.address(), x.voter(), x.build(), Standing.JOINING,
                Standing.JOINING, time, time, 0, new Result.Done()));
        return new Result.Joined(incarnations);
    }

    /** Whoever has ever voted is not forgotten, as their folders must be told apart for good. */
    private boolean forgetOne() {
        Instance oldest = instances.values().stream().filter(i -> i.standing() == Standing.GONE
                && names.get(i.name()).votingFolder().isEmpty())
                .min(Comparator.comparingLong(Instance::standingSince)).orElse(null);
        if (oldest == null) {
            return false;
        }
        instances.remove(oldest.name());
        names.remove(oldest.name());
        return true;
    }

    /** The instance if that life of it goes on, else null. */
    private Instance living(String name, long incarnation) {
        Instance i = instances.get(name);
        return i != null && i.incarnation() == incarnation && i.standing() != Standing.GONE ? i : null;
    }

    private Result over(String name, long incarnation) {
        Instance i = instances.get(name);
        if (i == null || i.incarnation() == incarnation) {
            return new Result.Refused(Result.Reason.INCARNATION_ENDED, "incarnation " + incarnation + " of " + name + " is over");
        }
        return new Result.Refused(Result.Reason.SUPERSEDED, "incarnation " + incarnation + " of " + name
                + " was followed by incarnation " + i.incarnation());
    }

    private Result renew(Command.Renew x) {
        Instance i = living(x.name(), x.incarnation());
        if (i == null) {
            return over(x.name(), x.incarnation());
        }
        put(i.renewed(x.standing(), time));
        names.computeIfPresent(x.name(), (n, k) -> x.mark() > k.mark() && k.votingFolder().equals(i.folder())
                ? new Snapshot.NameRecord(n, k.lastJoinNonce(), k.votingFolder(), k.votingIncarnation(), x.mark()) : k);
        return new Result.Renewed(version, time, x.knownVersion() == version ? new byte[0] : codec.write(snapshot()));
    }

    private Result leave(Command.Leave x) {
        Instance i = living(x.name(), x.incarnation());
        if (i != null) {
            put(i.standing(Standing.GONE, time));
        }
        return new Result.Done();
    }

    private Result write(Command.Write x) {
        Instance i = living(x.name(), x.incarnation());
        if (i == null) {
            return over(x.name(), x.incarnation());
        }
        if (x.sequence() == i.lastWriteSequence()) {
            return i.lastWriteResult(); // the same write, sent again
        }
        if (x.sequence() != i.lastWriteSequence() + 1) {
            return new Result.Refused(Result.Reason.OUT_OF_ORDER, "write " + x.sequence() + " of incarnation "
                    + x.incarnation() + " of " + x.name() + " after write " + i.lastWriteSequence());
        }
        Result r = write(x, registers.get(x.register()));
        instances.put(i.name(), i.answered(x.sequence(), r));
        return r;
    }

    private Result write(Command.Write x, Register before) {
        long is = before == null ? 0 : before.version();
        if (x.expectedVersion() >= 0 && x.expectedVersion() != is) {
            return new Result.Conflict(is, before == null ? "" : before.value());
        }
        if (before == null && registers.size() >= MAX_REGISTERS || x.register().length() > MAX_NAME_CHARS
                || x.value().length() > MAX_VALUE_CHARS) {
            return new Result.Refused(Result.Reason.LIMIT_REACHED, "registers are " + MAX_REGISTERS + " at the most, with values of "
                    + MAX_VALUE_CHARS + " characters");
        }
        registers.put(x.register(), new Register(x.register(), is + 1, x.value(), x.name(), x.incarnation()));
        version++;
        return new Result.Written(is + 1);
    }
}
