package quincespar.recovery;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import quincespar.fleet.FleetView;
import quincespar.fleet.Instance;
import quincespar.fleet.Snapshot;
import quincespar.fleet.Standing;

/**
 * One front end's recovery after a loss of power, as a state machine. It takes the contents of the folder, the fleet's state,
 * the change log's engines and the time, and returns the actions to carry out. It tells which requests may be sent now and
 * when others may, which engines take no work yet, and from when an engine counts as cold.
 *
 * <p>It is fail-safe: until it is certain that another instance kept running through the loss, every engine may be cold and
 * every configured front end may be sending to it. Times are milliseconds of one monotonic clock, which is not the one of
 * before the loss.
 */
public final class Recovery {
    /** The phase of a recovery, in the order in which they are passed. */
    public enum Phase {
        /** Reads the journal. Nothing is sent, because drained engines and loads in doubt are not known yet. */
        READING,
        /** Waits for a quorum of the fleet. Only the first class is sent. */
        FINDING,
        /** Finds out whether other instances kept running through the loss. Only the first class is sent. */
        AGREEING,
        /** Waits for the change log's first complete answer. Only the first class is sent. */
        PROBING,
        /** Admits one class after the other. */
        RETURNING,
        /** Everything is sent, except loads on tables that a load in doubt may still be writing. */
        FULL
    }

    /** What is to be done. */
    public sealed interface Action {
        /** Call {@link Recovery#timerFired} with this id after the delay. */
        record StartTimer(long timerId, double delayMs) implements Action { }

        /** Read the fleet's replicated state and call {@link Recovery#fleetStateRead}. */
        record ReadFleetState() implements Action { }

        /** Persist this entry in the journal. */
        record Persist(JournalEntry entry) implements Action { }

        /** Log a message for operators. */
        record Log(String message) implements Action { }

        /** Evaluate the list of engines again: which of them count as cold, or take no work, has changed. */
        record RefreshEngineList() implements Action { }
    }

    /** Where information about an engine comes from. */
    public enum ListSource {
        /** The configuration, or the change log's first complete answer; may be older than the journal. */
        SNAPSHOT,
        /** An event received while following the change log. */
        UPDATE
    }

    /** An engine that was never reached counts as started so long after this process, so that it stays cold. */
    static final double UNREACHED_COLD_MS = 3_600_000;

    /** Spreads the bits of a hash code; 2^32 divided by the golden ratio. */
    private static final int HASH_MULTIPLIER = 0x9E3779B9;
    private static final int RETRY_SPREAD_STEPS = 1000;

    private final RecoveryTimeouts timeouts;
    private final String self;
    private final boolean hasFleet;
    private RecoveryState state = RecoveryState.replay(List.of());
    private Phase phase = Phase.READING;
    private String statusLine = "";
    private List<Action> actions = new ArrayList<>();
    private List<ClassTraits> classes;
    /** Indexes of the classes in the order of their admission. */
    private List<Integer> admissionOrder;
    /** Until when a table group may still be written by a load in doubt. */
    private final Map<Integer, Double> tablesHeldUntil = new HashMap<>();
    /** When each engine that the list shows as taking work has started. */
    private final Map<String, Double> listedEngines = new HashMap<>();
    /** When this process first connected to each engine: one that is reached late may have got its power back late. */
    private final Map<String, Double> connectedAt = new HashMap<>();
    /** Withheld engines that have been logged. */
    private final Set<String> loggedWithheld = new HashSet<>();
    private double startedAt;
    private double coldFrom;
    private double phaseUntil;
    /** How many classes of the admission order are admitted. */
    private int openClasses;
    private long lastTimerId;
    private long phaseTimer;
    private boolean withoutQuorum;
    private boolean changeLogAnswered;
    /** When this instance joined the fleet, in agreed time; negative before that is known. */
    private long joinedAt = -1;

    /**
     * Creates the recovery of one process.
     *
     * @param self this instance's name
     * @param hasFleet whether a fleet is configured
     */
    public Recovery(RecoveryTimeouts timeouts, String self, boolean hasFleet, List<ClassTraits> classes) {
        this.timeouts = timeouts;
        this.self = self;
        this.hasFleet = hasFleet;
        setClasses(classes);
    }

    /** Sets the classes in force. Repeatable classes are admitted first, by latency target and then by worth; loads come last. */
    public void setClasses(List<ClassTraits> inForce) {
        classes = List.copyOf(inForce);
        admissionOrder = IntStream.range(0, classes.size()).boxed().sorted(Comparator
                .comparing((Integer c) -> classes.get(c).load() || !classes.get(c).repeatable())
                .thenComparing(c -> classes.get(c).targetLatencyMs())
                .thenComparing(c -> -classes.get(c).worth())).toList();
        openClasses = phase == Phase.FULL ? admissionOrder.size() : Math.min(openClasses, admissionOrder.size());
    }

    /**
     * Starts the recovery.
     *
     * @param upgrade whether the process was started beside an older one of the same name, so that there was no loss of power
     */
    public List<Action> start(double now, boolean upgrade) {
        startedAt = now;
        coldFrom = upgrade ? 0 : now;
        if (upgrade) {
            enterFull("it was started beside a process that serves");
        } else {
            enter(now, Phase.READING, timeouts.readTimeoutMs(), "reads what it has kept");
        }
        return takeActions();
    }

    /**
     * The journal was read. If that comes after the time limit it still counts, because everything that is taken from it is
     * fail-safe.
     *
     * @param why the reason for the condition, for operators; empty if the folder is whole
     */
    public List<Action> folderRead(double now, DurableFact.FolderCondition condition, List<JournalEntry> entries, String why) {
        DurableFact.Handling loads = DurableFact.LOAD_STARTED.handling(condition);
        RecoveryState meanwhile = state;
        state = RecoveryState.replay(loads == DurableFact.Handling.MISSING ? List.of() : entries);
        apply(new JournalEntry.ProcessStarted(self, state.lastProcess().processNumber() + 1));
        meanwhile.compactedEntries().stream().filter(e -> !(e instanceof JournalEntry.ProcessStarted)).forEach(this::apply);
        if (condition != DurableFact.FolderCondition.WHOLE) {
            actions.add(new Action.Log("its folder is " + condition.name().toLowerCase(Locale.ROOT)
                    + (why.isEmpty() ? "" : ": " + why) + (loads == DurableFact.Handling.MISSING
                    ? "; the doubtful loads and drained engines of before are not known"
                    : "; its lists of doubtful loads and drained engines may be incomplete")));
        }
        for (RecoveryState.Load load : state.doubtfulLoads()) {
            tablesHeldUntil.merge(load.start().tableGroup(), startedAt + load.start().limitMs(), Math::max);
        }
        if (!state.doubtfulLoads().isEmpty()) {
            actions.add(new Action.Log(state.doubtfulLoads().size()
                    + " loads may have run before the loss; 'quincespar fleet doubtful' lists them"));
        }
        if (listedEngines.keySet().stream().anyMatch(this::isWithheld)) {
            actions.add(new Action.RefreshEngineList());
        }
        listedEngines.keySet().forEach(this::logIfWithheld);
        if (phase == Phase.READING) {
            findQuorum(now);
        }
        return takeActions();
    }

    private void findQuorum(double now) {
        if (hasFleet) {
            enter(now, Phase.FINDING, timeouts.majorityTimeoutMs(), "looks for a majority of the fleet");
        } else {
            withoutQuorum = true;
            awaitChangeLog(now);
        }
    }

    private void awaitChangeLog(double now) {
        if (changeLogAnswered) {
            admitNextClass(now);
        } else {
            enter(now, Phase.PROBING, timeouts.changeLogTimeoutMs(), "waits for the change log");
        }
    }

    /** The view of the fleet has changed. */
    public List<Action> fleetChanged(double now, FleetView view) {
        if (view.quorumReachable() && withoutQuorum && hasFleet) {
            withoutQuorum = false;
            actions.add(new Action.Log("is in contact with a quorum"));
        }
        if (phase == Phase.FINDING && view.quorumReachable()) {
            enter(now, Phase.AGREEING, timeouts.agreementTimeoutMs(), "asks whether others stood through it");
            actions.add(new Action.ReadFleetState());
        }
        return takeActions();
    }

    /**
     * The fleet's replicated state was read; null if no quorum answered. An instance that has served for long and has renewed
     * its session since this one joined kept running through the loss. If all known instances have restarted as this one did,
     * none did.
     */
    public List<Action> fleetStateRead(double now, Snapshot snapshot) {
        if (phase != Phase.AGREEING) {
            return takeActions();
        }
        Instance own = snapshot == null ? null
                : snapshot.instances().stream().filter(i -> i.name().equals(self)).findFirst().orElse(null);
        if (own == null) {
            actions.add(new Action.ReadFleetState());
            return takeActions();
        }
        joinedAt = joinedAt < 0 ? snapshot.time() : joinedAt;
        List<Instance> others = snapshot.instances().stream()
                .filter(i -> !i.name().equals(self) && i.standing().isActive()).toList();
        String survivor = others.stream().filter(i -> i.standing() == Standing.SERVING && i.renewedAt() > joinedAt
                && snapshot.time() - i.standingSince() >= timeouts.survivedAfterMs()).map(Instance::name).findFirst().orElse("");
        if (!survivor.isEmpty()) {
            enterFull(survivor + " has served all the time");
        } else if (others.stream().allMatch(i -> i.incarnation() > own.incarnation()
                || snapshot.time() - i.standingSince() < timeouts.survivedAfterMs())) {
            actions.add(new Action.Log("all other known instances have restarted, as this one has"));
            awaitChangeLog(now);
        } else {
            actions.add(new Action.ReadFleetState());
        }
        return takeActions();
    }

    /** The change log has given its first complete answer. */
    public List<Action> changeLogAnswered(double now) {
        changeLogAnswered = true;
        if (phase == Phase.PROBING) {
            admitNextClass(now);
        }
        return takeActions();
    }

    /** A timer has fired: the time limit of the current phase is over. */
    public List<Action> timerFired(double now, long timerId) {
        if (timerId != phaseTimer) {
            return takeActions();
        }
        switch (phase) {
            case READING -> {
                actions.add(new Action.Log("timed out reading its journal"));
                findQuorum(now);
            }
            case FINDING -> {
                withoutQuorum = true;
                actions.add(new Action.Log("timed out waiting for a quorum; it serves alone, by what is certain"));
                awaitChangeLog(now);
            }
            case AGREEING -> {
                actions.add(new Action.Log("no instance is known to have kept running; all engines count as cold"));
                awaitChangeLog(now);
            }
            case PROBING -> {
                actions.add(new Action.Log("timed out waiting for the change log; it serves by the list of engines that it has"));
                admitNextClass(now);
            }
            case RETURNING -> admitNextClass(now);
            case FULL -> { }
        }
        return takeActions();
    }

    /** Admits the next class; after the last one the recovery is complete. */
    private void admitNextClass(double now) {
        openClasses = phase == Phase.RETURNING ? openClasses + 1 : 1;
        if (openClasses >= admissionOrder.size()) {
            enterFull("all classes go");
        } else {
            enter(now, Phase.RETURNING, timeouts.classIntervalMs(), "sends " + className(openClasses - 1)
                    + (openClasses == 1 ? "" : " and what went before") + ", next " + className(openClasses));
        }
    }

    private String className(int place) {
        return classes.get(admissionOrder.get(place)).name();
    }

    private void enterFull(String why) {
        // others have sent to these engines in the meantime: they are as warm as the change log says
        if (why.endsWith("all the time")) {
            coldFrom = 0;
            connectedAt.clear();
            actions.add(new Action.RefreshEngineList());
        }
        phase = Phase.FULL;
        openClasses = admissionOrder.size();
        phaseTimer = 0;
        setStatus(why);
    }

    private void enter(double now, Phase next, double timeoutMs, String status) {
        phase = next;
        openClasses = next == Phase.READING ? 0 : Math.max(1, openClasses);
        phaseTimer = ++lastTimerId;
        phaseUntil = now + timeoutMs;
        actions.add(new Action.StartTimer(phaseTimer, timeoutMs));
        setStatus(status);
    }

    private void setStatus(String status) {
        statusLine = status;
        actions.add(new Action.Log(phase + ": " + status));
    }

    /**
     * Milliseconds until a request of that class may be sent, 0 if it may now. An estimate: the time until its class is
     * admitted and, for a load, until no load in doubt can be writing its tables any more.
     */
    public double waitMs(double now, int cls, int tableGroup) {
        boolean load = cls < classes.size() && classes.get(cls).load();
        double held = load ? Math.max(0, tablesHeldUntil.getOrDefault(tableGroup, 0.0) - now) : 0;
        if (phase == Phase.FULL) {
            return held;
        }
        int place = admissionOrder.indexOf(cls);
        if (place >= 0 && place < openClasses) {
            return held;
        }
        double laterPhases = switch (phase) {
            case READING -> 1 + timeouts.majorityTimeoutMs() / 2 + timeouts.agreementTimeoutMs() / 2;
            case FINDING -> timeouts.agreementTimeoutMs() / 2;
            default -> 0;
        };
        return Math.max(held, Math.max(1, phaseUntil - now) + laterPhases
                + Math.max(0, place - Math.max(openClasses, 1)) * timeouts.classIntervalMs());
    }

    /** The wait that a client is told: spread by the request's id, so that refused clients do not retry all at once. */
    public double retryAfterMs(double waitMs, String txn) {
        return waitMs + Math.floorMod(txn.hashCode() * HASH_MULTIPLIER, RETRY_SPREAD_STEPS) / (double) RETRY_SPREAD_STEPS
                * timeouts.retrySpreadMs();
    }

    /** Whether anything may be sent; until then this front end is not ready. */
    public boolean maySend() {
        return openClasses > 0;
    }

    /**
     * The change log, or the configuration, has reported an engine.
     *
     * @param takesWork whether it takes work
     * @param engineStartedAt when it started according to the change log, 0 if that is not known
     */
    public List<Action> engineListed(ListSource source, String id, boolean takesWork, double engineStartedAt) {
        if (!takesWork) {
            listedEngines.remove(id);
            apply(new JournalEntry.EngineDeparted(id, engineStartedAt));
        } else {
            listedEngines.put(id, engineStartedAt);
            if (state.departure(id) != null
                    && (source == ListSource.UPDATE || engineStartedAt > state.departure(id).startedAt())) {
                apply(new JournalEntry.EngineReturned(id));
            }
            logIfWithheld(id);
        }
        return takeActions();
    }

    private void logIfWithheld(String id) {
        if (isWithheld(id) && loggedWithheld.add(id)) {
            actions.add(new Action.Log("engine " + id + " takes no work: it had drained or was gone before the loss, and the list"
                    + " that has it may be older"));
        }
    }

    /** Whether an engine gets no work although the list shows it as taking work. */
    public boolean isWithheld(String id) {
        return state.departure(id) != null && listedEngines.containsKey(id);
    }

    /** A connection to an engine was established; the engine may have got its power back only just now. */
    public List<Action> engineConnected(double now, String id) {
        if (coldFrom > 0 && connectedAt.putIfAbsent(id, now) == null) {
            actions.add(new Action.RefreshEngineList());
        }
        return takeActions();
    }

    /**
     * From when an engine counts as just started, by the reducer's clock: its start according to the change log, or when this
     * process first connected to it if that is later. How long this process has run says nothing of an engine whose power
     * came back later.
     */
    public double coldFrom(String id, double engineStartedAt) {
        return coldFrom == 0 ? engineStartedAt
                : Math.max(engineStartedAt, connectedAt.getOrDefault(id, coldFrom + UNREACHED_COLD_MS));
    }

    /** The entry to persist before a load may run. */
    public JournalEntry.LoadStarted loadStarted(String txn, int cls, String team, String statementDigest, int tableGroup,
            double limitMs, long startedAtUnixMs) {
        return new JournalEntry.LoadStarted(txn, classes.get(cls).name(), team, statementDigest, tableGroup, limitMs,
                startedAtUnixMs);
    }

    /** Applies an entry; the returned actions persist it if it changes anything. */
    public List<Action> recordEntry(JournalEntry entry) {
        apply(entry);
        return takeActions();
    }

    private void apply(JournalEntry entry) {
        if (state.apply(entry)) {
            actions.add(new Action.Persist(entry));
        }
    }

    /** Whether a load of that id is in doubt and may be acknowledged. */
    public boolean isDoubtful(String txn) {
        return state.doubtfulLoads().stream().anyMatch(load -> load.start().txn().equals(txn));
    }

    /** The state that the journal should hold. */
    public RecoveryState state() {
        return state;
    }

    /** The current status of the recovery. */
    public View view(double now) {
        return new View(phase, statusLine, withoutQuorum, IntStream.range(0, openClasses).mapToObj(this::className).toList(),
                state.doubtfulLoads().size(), (int) listedEngines.keySet().stream().filter(this::isWithheld).count(),
                coldFrom, now - startedAt);
    }

    /**
     * The status of a recovery.
     *
     * @param withoutQuorum whether it goes on without a quorum of the fleet
     * @param openClasses the names of the classes that are admitted
     * @param doubtfulLoads how many loads are in doubt
     * @param withheldEngines how many listed engines get no work
     * @param coldFrom the earliest time from which engines count as just started, 0 if the change log's start times count
     * @param uptimeMs since the start, in milliseconds
     */
    public record View(Phase phase, String statusLine, boolean withoutQuorum, List<String> openClasses, int doubtfulLoads,
            int withheldEngines, double coldFrom, double uptimeMs) { }

    private List<Action> takeActions() {
        List<Action> out = actions;
        actions = new ArrayList<>();
        return out;
    }
}
