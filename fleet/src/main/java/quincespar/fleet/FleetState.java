package quincespar.fleet;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The replicated state machine. It is deterministic: replicas that have applied the same commands in the same order have the
 * same state, so it reads no clock, uses no randomness and does no I/O. Not thread-safe.
 */
public final class FleetState {
    /** The most instances that are kept, including those that are gone; beyond it the one gone for longest is forgotten. */
    static final int MAX_INSTANCES = 1024;
    static final int MAX_REGISTERS = 4096;
    /** The longest name or address, and the longest value of a register, in characters. */
    static final int MAX_NAME_CHARS = 200, MAX_VALUE_CHARS = 65_536;

    private final FleetCodec codec = new FleetCodec();
    private final Map<String, Instance> instances = new TreeMap<>();
    private final Map<String, Snapshot.NameRecord> names = new TreeMap<>();
    private final Map<String, Register> registers = new TreeMap<>();
    private long version;
    private long time;
    private long lastIncarnation;

    /** Restores the state that a snapshot was taken of. */
    public static FleetState restore(Snapshot snapshot) {
        FleetState out = new FleetState();
        out.version = snapshot.version();
        out.time = snapshot.time();
        out.lastIncarnation = snapshot.lastIncarnation();
        snapshot.instances().forEach(i -> out.instances.put(i.name(), i));
        snapshot.registers().forEach(r -> out.registers.put(r.name(), r));
        snapshot.names().forEach(n -> out.names.put(n.name(), n));
        return out;
    }

    /** A snapshot of the whole state. */
    public Snapshot snapshot() {
        return new Snapshot(Snapshot.FORMAT, version, time, lastIncarnation, List.copyOf(instances.values()),
                List.copyOf(registers.values()), List.copyOf(names.values()));
    }

    /** Rises with each change that other instances should learn of. */
    public long version() {
        return version;
    }

    /** Agreed time, in milliseconds since the fleet was created; does not advance while there is no leader. */
    public long time() {
        return time;
    }

    /** The instance of that name, null if none is known. */
    public Instance instance(String name) {
        return instances.get(name);
    }

    /** All known instances, by name. */
    public Collection<Instance> instances() {
        return instances.values();
    }

    /** The register of that name, null if there is none. */
    public Register register(String name) {
        return registers.get(name);
    }

    /** Applies the next committed command. */
    public Result apply(Command command) {
        if (command instanceof Command.Tick tick) {
            return tick(tick);
        } else if (command instanceof Command.Join join) {
            return join(join);
        } else if (command instanceof Command.Renew renew) {
            return renew(renew);
        } else if (command instanceof Command.Leave leave) {
            return leave(leave);
        }
        return write((Command.Write) command);
    }

    private Result tick(Command.Tick command) {
        time = Math.max(time, command.time());
        for (Instance i : List.copyOf(instances.values())) {
            long sinceRenewal = time - i.renewedAt();
            if (i.standing() != Standing.GONE && sinceRenewal > command.goneAfterMs()) {
                update(i.withStanding(Standing.GONE, time));
            } else if (i.standing().isActive() && i.standing() != Standing.SUSPECTED && sinceRenewal > command.suspectAfterMs()) {
                update(i.withStanding(Standing.SUSPECTED, time));
            }
        }
        return new Result.Done();
    }

    /** Replaces an instance, and raises the version if the change is one that other instances should learn of. */
    private void update(Instance instance) {
        Instance before = instances.put(instance.name(), instance);
        if (before == null || before.standing() != instance.standing() || before.incarnation() != instance.incarnation()) {
            version++;
        }
    }

    /**
     * Starts an incarnation; a name has one at a time. The holder of the same folder at the same address replaces the current
     * incarnation at once, because the lock on the folder proves that the previous process has ended. Any other instance has to
     * wait until the session expires. A folder that is behind what the fleet knows of it is a copy or was restored from a
     * backup, and has lost what it has acknowledged since.
     */
    private Result join(Command.Join command) {
        String name = command.name();
        if (name.isEmpty() || Math.max(name.length(), command.address().length()) > MAX_NAME_CHARS) {
            return new Result.Refused(Result.Reason.LIMIT_REACHED, "a name of 1 to " + MAX_NAME_CHARS + " characters is needed");
        }
        Instance before = instances.get(name);
        Snapshot.NameRecord known = names.getOrDefault(name, Snapshot.NameRecord.unknown(name));
        boolean sameFolder = before != null && !before.folder().isEmpty() && before.folder().equals(command.folder());
        boolean retried = before != null && known.lastJoinNonce() == command.nonce();
        String rejection = command.voter()
                ? known.votingRejection(command.folder(), command.lastIncarnation(), command.mark(), command.nonce())
                : sameFolder && !retried && command.lastIncarnation() < before.incarnation() ? "the folder of " + name
                + " ends with incarnation " + command.lastIncarnation() + ", and the fleet knows " + before.incarnation()
                + " of it" : "";
        if (!rejection.isEmpty()) {
            return new Result.Refused(Result.Reason.FOLDER_OUTDATED, rejection);
        }
        if (retried && before.standing().isActive()) { // a retry, or the instance was killed before it stored the result
            return new Result.Joined(before.incarnation());
        }
        if (before != null && before.standing().isActive() && !(sameFolder && before.address().equals(command.address()))) {
            return new Result.Refused(Result.Reason.NAME_TAKEN, "the name " + name + " is taken by incarnation "
                    + before.incarnation() + (before.address().isEmpty() ? "" : " at " + before.address())
                    + ", whose session is not over");
        }
        if (before == null && instances.size() >= MAX_INSTANCES && !forgetOldestGone()) {
            return new Result.Refused(Result.Reason.LIMIT_REACHED, MAX_INSTANCES + " instances are known and none has gone");
        }
        lastIncarnation++;
        names.put(name, command.voter()
                ? new Snapshot.NameRecord(name, command.nonce(), command.folder(), lastIncarnation, command.mark())
                : new Snapshot.NameRecord(name, command.nonce(), known.votingFolder(), known.votingIncarnation(), known.mark()));
        update(new Instance(name, lastIncarnation, command.folder(), command.address(), command.voter(), command.build(),
                Standing.JOINING, Standing.JOINING, time, time, 0, new Result.Done()));
        return new Result.Joined(lastIncarnation);
    }

    /** Forgets the instance that has been gone for longest, but never one that has voted: its folder must stay identifiable. */
    private boolean forgetOldestGone() {
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

    /** The instance if this incarnation is current and has a session, else null: fences earlier incarnations. */
    private Instance current(String name, long incarnation) {
        Instance found = instances.get(name);
        return found != null && found.incarnation() == incarnation && found.standing() != Standing.GONE ? found : null;
    }

    private Result refuseEnded(String name, long incarnation) {
        Instance instance = instances.get(name);
        if (instance == null || instance.incarnation() == incarnation) {
            return new Result.Refused(Result.Reason.INCARNATION_ENDED, "incarnation " + incarnation + " of " + name + " is over");
        }
        return new Result.Refused(Result.Reason.SUPERSEDED, "incarnation " + incarnation + " of " + name
                + " was followed by incarnation " + instance.incarnation());
    }

    private Result renew(Command.Renew command) {
        Instance instance = current(command.name(), command.incarnation());
        if (instance == null) {
            return refuseEnded(command.name(), command.incarnation());
        }
        update(instance.renewed(command.standing(), time));
        names.computeIfPresent(command.name(), (name, known) -> command.mark() > known.mark()
                && known.votingFolder().equals(instance.folder())
                ? new Snapshot.NameRecord(name, known.lastJoinNonce(), known.votingFolder(), known.votingIncarnation(),
                command.mark()) : known);
        return new Result.Renewed(version, time, command.knownVersion() == version ? new byte[0] : codec.write(snapshot()));
    }

    private Result leave(Command.Leave command) {
        Instance instance = current(command.name(), command.incarnation());
        if (instance != null) {
            update(instance.withStanding(Standing.GONE, time));
        }
        return new Result.Done();
    }

    private Result write(Command.Write command) {
        Instance instance = current(command.name(), command.incarnation());
        if (instance == null) {
            return refuseEnded(command.name(), command.incarnation());
        }
        if (command.sequence() == instance.lastWriteSequence()) {
            return instance.lastWriteResult(); // a retry of the same write
        }
        if (command.sequence() != instance.lastWriteSequence() + 1) {
            return new Result.Refused(Result.Reason.OUT_OF_ORDER, "write " + command.sequence() + " of incarnation "
                    + command.incarnation() + " of " + command.name() + " after write " + instance.lastWriteSequence());
        }
        Result result = write(command, registers.get(command.register()));
        instances.put(instance.name(), instance.withLastWrite(command.sequence(), result));
        return result;
    }

    private Result write(Command.Write command, Register before) {
        long currentVersion = before == null ? 0 : before.version();
        if (command.expectedVersion() >= 0 && command.expectedVersion() != currentVersion) {
            return new Result.Conflict(currentVersion, before == null ? "" : before.value());
        }
        if (before == null && registers.size() >= MAX_REGISTERS || command.register().length() > MAX_NAME_CHARS
                || command.value().length() > MAX_VALUE_CHARS) {
            return new Result.Refused(Result.Reason.LIMIT_REACHED, "registers are " + MAX_REGISTERS
                    + " at the most, with values of " + MAX_VALUE_CHARS + " characters");
        }
        registers.put(command.register(), new Register(command.register(), currentVersion + 1, command.value(), command.name(),
                command.incarnation()));
        version++;
        return new Result.Written(currentVersion + 1);
    }
}
