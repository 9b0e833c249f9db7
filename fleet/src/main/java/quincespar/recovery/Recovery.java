package quincespar.recovery;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import quincespar.fleet.FleetView;
import quincespar.fleet.Instance;
import quincespar.fleet.Snapshot;
import quincespar.fleet.Standing;

/**
 * One front end's way back. It takes what the folder holds, what the fleet says, what the change log tells, and time, and answers what is to be
 * done; asked, it says which requests may go now and when others may, which engines take nothing yet, and from when all count as cold.
 *
 * <p>It errs to the safe side: until it is certain that others stood through what this process did not, every engine may be cold and every
 * configured front end may be sending to it. Times are milliseconds on one clock that never runs backwards and is not that of the loss.
 */
public final class Recovery {
    /** Where it stands; the order is that of a return. */
    public enum Phase {
        /** Reads what it has kept. Nothing goes out, as drained engines and loads in doubt are not known. */
        READING,
        /** Looks for a majority of the fleet. The first class goes. */
        FINDING,
        /** Looks whether others stood through it. The first class goes. */
        AGREEING,
        /** Waits for the change log's first whole answer. The first class goes. */
        PROBING,
        /** One class after the other goes. */
        RETURNING,
        /** All go, but loads on tables that a load in doubt may still hold. */
        FULL
    }

    /** What is to be done. */
    public sealed interface Action {
        /** Call {@link Recovery#timerFired} with this number after a while. */
        record StartTimer(long timerId, double delayMs) implements Action { }

        /** Ask the fleet for what is agreed now; {@link Recovery#fleetStateRead} is told. */
        record ReadFleetState() implements Action { }

        /** Keep this. */
        record Persist(JournalEntry entry) implements Action { }

        /** Tell operators. */
        record Log(String message) implements Action { }

        /** Which engines count as cold, or take nothing, has changed: the list is to be told anew. */
        record RefreshEngineList() implements Action { }
    }

    /** From where a list of engines came. */
    public enum ListSource {
        /** The configuration, or the change log's first whole answer: it may be older than what this instance has kept. */
        SNAPSHOT,
        /** News that came while the change log was followed. */
        UPDATE
    }

    /** An engine that nobody here has reached yet counts as started so long after this process, in milliseconds: it stays cold. */
    static final double UNREACHED_COLD_MS = 3_600_000;

    private final RecoveryTimeouts pace;
    private final String self;
    private final boolean fleet;
    private RecoveryState kept = RecoveryState.replay(List.of());
    private Phase phase = Phase.READING;
    private String line = "";
    private List<Action> acts = new ArrayList<>();
    private List<ClassTraits> classes;
    private List<Integer> order;
    private final Map<Integer, Double> heldUntil = new HashMap<>();
    /** The engines that the list has as taking work, and when each started. */
    private final Map<String, Double> up = new HashMap<>();
    /** When each engine was first seen to stand in this life: one that is reached late may have had its power back late. */
    private final Map<String, Double> metAt = new HashMap<>();
    private final Set<String> told = new HashSet<>();
    private double startedAt;
    private double coldFrom;
    private double phaseUntil;
    private int open;
    private long number;
    private long awaited;
    private boolean alone;
    private boolean answered;
    private long joinedAt = -1;

    /**
     * For one process.
     *
     * @param self this instance's name
     * @param fleet whether there is a fleet to ask
     */
    public Recovery(RecoveryTimeouts pace, String self, boolean fleet, List<ClassTraits> classes) {
        this.pace = pace;
        this.self = self;
        this.fleet = fleet;
        setClasses(classes);
    }

    /** These classes are in force: what is cheap and may be repeated goes first, by worth; loads last. */
    public void setClasses(List<ClassTraits> inForce) {
        classes = List.copyOf(inForce);
        order = IntStream.range(0, classes.size()).boxed().sorted(Comparator
                .comparing((Integer c) -> classes.get(c).load() || !classes.get(c).repeatable())
                .thenComparing(c -> classes.get(c).targetLatencyMs())
                .thenComparing(c -> -classes.get(c).worth())).toList();
        open = phase == Phase.FULL ? order.size() : Math.min(open, order.size());
    }

    /**
     * The first step. A process that starts {@code beside} an older one of the same name, as in an upgrade, follows no loss.
     */
    public List<Action> start(double now, boolean beside) {
        startedAt = now;
        coldFrom = beside ? 0 : now;
        if (beside) {
            full("it was started beside a process that serves");
        } else {
            enter(now, Phase.READING, pace.readTimeoutMs(), "reads what it has kept");
        }
        return taken();
    }

    /**
     * What the folder holds. Late, when the time for it was over, it counts all the same, as all that is taken of it errs to the safe side.
     *
     * @param why it was found so, for operators; empty where it is whole
     */
    public List<Action> folderRead(double now, DurableFact.FolderCondition found, List<JournalEntry> entries, String why) {
        DurableFact.Handling doubts = DurableFact.LOAD_STARTED.handling(found);
        RecoveryState meanwhile = kept;
        kept = RecoveryState.replay(doubts == DurableFact.Handling.MISSING ? List.of() : entries);
        keep(new JournalEntry.ProcessStarted(self, kept.lastProcess().processNumber() + 1));
        meanwhile.compactedEntries().stream().filter(e -> !(e instanceof JournalEntry.ProcessStarted)).forEach(this::keep);
        if (found != DurableFact.FolderCondition.WHOLE) {
            acts.add(new Action.Log("its folder is " + found.name().toLowerCase(java.util.Locale.ROOT) + (why.isEmpty() ? "" : ": " + why)
                    + (doubts == DurableFact.Handling.MISSING ? "; no list of loads in doubt or of drained engines from before" : "; loads in doubt and"
                    + " drained engines may be missing from its lists")));
        }
        for (RecoveryState.Load l : kept.doubtfulLoads()) {
            heldUntil.merge(l.start().tableGroup(), startedAt + l.start().limitMs(), Math::max);
        }
        if (!kept.doubtfulLoads().isEmpty()) {
            acts.add(new Action.Log(kept.doubtfulLoads().size() + " loads may have run before the loss, see 'quincespar fleet doubtful'"));
        }
        if (up.keySet().stream().anyMatch(this::isWithheld)) {
            acts.add(new Action.RefreshEngineList());
        }
        up.keySet().forEach(this::tell);
        if (phase == Phase.READING) {
            find(now);
        }
        return taken();
    }

    private void find(double now) {
        if (fleet) {
            enter(now, Phase.FINDING, pace.majorityTimeoutMs(), "looks for a majority of the fleet");
        } else {
            alone = true;
            probe(now);
        }
    }

    private void probe(double now) {
        if (answered) {
            step(now);
        } else {
            enter(now, Phase.PROBING, pace.changeLogTimeoutMs(), "waits for the change log");
        }
    }

    /** The view of the fleet has changed. */
    public List<Action> fleetChanged(double now, FleetView view) {
        if (view.quorumReachable() && alone && fleet) {
            alone = false;
            acts.add(new Action.Log("hears a majority"));
        }
        if (phase == Phase.FINDING && view.quorumReachable()) {
            enter(now, Phase.AGREEING, pace.agreementTimeoutMs(), "asks whether others stood through it");
            acts.add(new Action.ReadFleetState());
        }
        return taken();
    }

    /**
     * What is agreed now, or null where nobody could say. Whoever has served for long and has renewed its session since this instance
     * joined has stood through what this process did not; where all that are known came back as this one did, none has.
     */
    public List<Action> fleetStateRead(double now, Snapshot s) {
        if (phase != Phase.AGREEING) {
            return taken();
        }
        Instance me = s == null ? null : s.instances().stream().filter(i -> i.name().equals(self)).findFirst().orElse(null);
        if (me == null) {
            acts.add(new Action.ReadFleetState());
            return taken();
        }
        joinedAt = joinedAt < 0 ? s.time() : joinedAt;
        List<Instance> others = s.instances().stream().filter(i -> !i.name().equals(self) && i.standing().isActive()).toList();
        String stood = others.stream().filter(i -> i.standing() == Standing.SERVING && i.renewedAt() > joinedAt
                && s.time() - i.standingSince() >= pace.survivedAfterMs()).map(Instance::name).findFirst().orElse("");
        if (!stood.isEmpty()) {
            full(stood + " has served all the time");
        } else if (others.stream().allMatch(i -> i.incarnation() > me.incarnation() || s.time() - i.standingSince() < pace.survivedAfterMs())) {
            acts.add(new Action.Log("all others that are known came back as this one did"));
            probe(now);
        } else {
            acts.add(new Action.ReadFleetState());
        }
        return taken();
    }

    /** The change log has answered whole for the first time. */
    public List<Action> changeLogAnswered(double now) {
        answered = true;
        if (phase == Phase.PROBING) {
            step(now);
        }
        return taken();
    }

    /** A wait is over: what the phase waited for did not come. */
    public List<Action> timerFired(double now, long of) {
        if (of != awaited) {
            return taken();
        }
        switch (phase) {
            case READING -> {
                acts.add(new Action.Log("what it has kept could not be read in time"));
                find(now);
            }
            case FINDING -> {
                alone = true;
                acts.add(new Action.Log("hears of no majority: it serves alone by what is certain"));
                probe(now);
            }
            case AGREEING -> {
                acts.add(new Action.Log("nobody is known to have stood through it: all engines count as cold"));
                probe(now);
            }
            case PROBING -> {
                acts.add(new Action.Log("the change log is silent: it serves by the list that it has"));
                step(now);
            }
            case RETURNING -> step(now);
            case FULL -> { }
        }
        return taken();
    }

    /** The next class goes; after the last the return is over. */
    private void step(double now) {
        open = phase == Phase.RETURNING ? open + 1 : 1;
        if (open >= order.size()) {
            full("all classes go");
        } else {
            enter(now, Phase.RETURNING, pace.classIntervalMs(), "sends " + name(open - 1) + (open == 1 ? "" : " and what went before") + ", next "
                    + name(open));
        }
    }

    private String name(int place) {
        return classes.get(order.get(place)).name();
    }

    private void full(String why) {
        if (why.endsWith("all the time")) { // others have sent to these engines meanwhile: they are as warm as the change log says
            coldFrom = 0;
            metAt.clear();
            acts.add(new Action.RefreshEngineList());
        }
        phase = Phase.FULL;
        open = order.size();
        awaited = 0;
        say(why);
    }

    private void enter(double now, Phase next, double longestMs, String what) {
        phase = next;
        open = next == Phase.READING ? 0 : Math.max(1, open);
        awaited = ++number;
        phaseUntil = now + longestMs;
        acts.add(new Action.StartTimer(awaited, longestMs));
        say(what);
    }

    private void say(String what) {
        line = what;
        acts.add(new Action.Log(phase + ": " + what));
    }

    /**
     * Milliseconds until a request of that class may go, 0 where it may now. An honest guess: the class's own turn in this return, and for a
     * load the time until none in doubt can hold its tables any more.
     */
    public double waitMs(double now, int cls, int tables) {
        boolean load = cls < classes.size() && classes.get(cls).load();
        double held = load ? Math.max(0, heldUntil.getOrDefault(tables, 0.0) - now) : 0;
        if (phase == Phase.FULL) {
            return held;
        }
        int place = order.indexOf(cls);
        if (place >= 0 && place < open) {
            return held;
        }
        double stages = switch (phase) {
            case READING -> 1 + pace.majorityTimeoutMs() / 2 + pace.agreementTimeoutMs() / 2;
            case FINDING -> pace.agreementTimeoutMs() / 2;
            default -> 0;
        };
        return Math.max(held, Math.max(1, phaseUntil - now) + stages + Math.max(0, place - Math.max(open, 1)) * pace.classIntervalMs());
    }

    /** A wait as one client is told it: spread by the request's own name, so that those turned away don't return in one wave. */
    public double retryAfterMs(double waitMs, String txn) {
        return waitMs + Math.floorMod(txn.hashCode() * 0x9E3779B9, 1000) / 1000.0 * pace.retrySpreadMs();
    }

    /** Whether anything may be sent: before that this front end is not ready. */
    public boolean maySend() {
        return open > 0;
    }

    /** What the change log, or the configuration, says of an engine that takes work or no longer does. */
    public List<Action> engineListed(ListSource from, String id, boolean takes, double started) {
        if (!takes) {
            up.remove(id);
            keep(new JournalEntry.EngineDeparted(id, started));
        } else {
            up.put(id, started);
            if (kept.departure(id) != null && (from == ListSource.UPDATE || started > kept.departure(id).startedAt())) {
                keep(new JournalEntry.EngineReturned(id));
            }
            tell(id);
        }
        return taken();
    }

    private void tell(String id) {
        if (isWithheld(id) && told.add(id)) {
            acts.add(new Action.Log("engine " + id + " takes nothing: it drained or was gone before the loss, and the list that has it may be"
                    + " older"));
        }
    }

    /** Whether an engine that the list has as taking work gets none all the same. */
    public boolean isWithheld(String id) {
        return kept.departure(id) != null && up.containsKey(id);
    }

    /** A connection to an engine has come up: it stands, and may have its power back only just now. */
    public List<Action> engineConnected(double now, String id) {
        if (coldFrom > 0 && metAt.putIfAbsent(id, now) == null) {
            acts.add(new Action.RefreshEngineList());
        }
        return taken();
    }

    /**
     * From when on an engine counts as just started, by the reducer's clock: the change log's word, or when this process first reached it.
     * That this process has run for a while says nothing of an engine whose power came back later.
     */
    public double coldFrom(String id, double started) {
        return coldFrom == 0 ? started : Math.max(started, metAt.getOrDefault(id, coldFrom + UNREACHED_COLD_MS));
    }

    /** A load may run once this is kept. */
    public JournalEntry.LoadStarted loadStarted(String txn, int cls, String team, String digest, int tables, double limitMs, long at) {
        return new JournalEntry.LoadStarted(txn, classes.get(cls).name(), team, digest, tables, limitMs, at);
    }

    /** Takes an entry; the acts say whether it is to be kept. */
    public List<Action> recordEntry(JournalEntry e) {
        keep(e);
        return taken();
    }

    private void keep(JournalEntry e) {
        if (kept.apply(e)) {
            acts.add(new Action.Persist(e));
        }
    }

    /** Whether a load of that name is in doubt, so that staff can say that they have looked into it. */
    public boolean isDoubtful(String txn) {
        return kept.doubtfulLoads().stream().anyMatch(l -> l.start().txn().equals(txn));
    }

    /** What is kept. */
    public RecoveryState state() {
        return kept;
    }

    /** What is known now, for whoever asks. */
    public View view(double now) {
        return new View(phase, line, alone, IntStream.range(0, open).mapToObj(this::name).toList(), kept.doubtfulLoads().size(),
                (int) up.keySet().stream().filter(this::isWithheld).count(),
                coldFrom, now - startedAt);
    }

    /**
     * Where a return stands.
     *
     * @param sends the classes that go
     * @param doubtful how many loads are in doubt
     * @param withheld how many listed engines take nothing
     * @param coldFrom since when engines count as started at the least, 0 where the change log's word counts
     * @param ageMs since the start, in milliseconds
     */
    public record View(Phase phase, String statusLine, boolean withoutQuorum, List<String> openClasses, int doubtfulLoads, int withheldEngines, double coldFrom,
            double uptimeMs) { }

    private List<Action> taken() {
        List<Action> out = acts;
        acts = new ArrayList<>();
        return out;
    }
}
