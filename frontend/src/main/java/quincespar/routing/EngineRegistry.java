package quincespar.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import quincespar.decision.Scheduler;
import quincespar.decision.Scheduler.EngineState;
import quincespar.protocol.FleetEvent;
import quincespar.protocol.FleetEvent.Phase;

/**
 * The engines by their id. Never by address: a new engine may take over the address of one that is gone, and what was sent to
 * the old one must not be taken for the new one's.
 */
final class EngineRegistry {
    /** An engine, and the links to it. */
    static final class Engine {
        final long number;
        final List<Link> links = new ArrayList<>();
        FleetEvent.Member listed;
        /** When it started by this process's clock, 0 where that is long ago. */
        double startedAt;
        /** It gets no work although it is listed as up: it had drained before a power loss, or all sends are on hold. */
        boolean withheld;
        /** The number of the list's event since which it has its address: it was new, moved or restarted then. */
        private long hasAddressSince;
        /** A newer engine has its address, so that its process has gone, though the list may not have said so yet. */
        private boolean replaced;
        /** Another engine is listed at its address, and which of the two is the newer one is not known. */
        private boolean addressInDoubt;

        Engine(long number, FleetEvent.Member listed, double startedAt) {
            this.number = number;
            this.listed = listed;
            this.startedAt = startedAt;
        }

        /** Whether it takes new work. */
        boolean ready() {
            return listed.phase() == Phase.UP && !withheld && !replaced && !addressInDoubt;
        }

        /** Whether its process has certainly begun after that of the other one, which is listed at the same address. */
        private boolean isNewerThan(Engine other) {
            boolean sameEvent = hasAddressSince == other.hasAddressSince;
            return sameEvent ? listed.startedAt() > 0 && other.listed.startedAt() == 0 : hasAddressSince > other.hasAddressSince;
        }

        private boolean movesOrRestarts(FleetEvent.Member next) {
            return listed.phase() == Phase.REMOVED && next.phase() != Phase.REMOVED || !next.address().equals(listed.address())
                    || next.startedAt() > 0 && next.startedAt() != listed.startedAt();
        }
    }

    /** If a change reports a start that is longer ago than this, the clock that stamped it differs from this one. */
    private static final double MAX_START_REPORT_DELAY_MS = 30_000;

    private final RecoveryCoordinator recovery;
    private final NameNumbers zones;
    private final NameNumbers kinds;
    /** What operators are told of the list, since this was last taken. */
    private final List<String> notices = new ArrayList<>();
    private long lastEvent;
    private long revision;
    private final Map<Long, Engine> byNumber = new LinkedHashMap<>();
    /** Whether a list has been received. */
    private boolean listReceived;
    /** All sends are on hold. */
    private boolean held;

    EngineRegistry(RoutingSettings settings, RecoveryCoordinator recovery) {
        this.recovery = recovery;
        zones = new NameNumbers(settings.zones());
        kinds = new NameNumbers(settings.kinds());
    }

    /** The settings that follow {@code current}, in which all zones and kinds that are known here keep their numbers. */
    RoutingSettings renumber(RoutingSettings next, RoutingSettings current) {
        RoutingSettings renumbered = next.keepingNumbersOf(current.withPlaces(zones.names(), kinds.names()));
        zones.addNamed(next.zones());
        kinds.addNamed(next.kinds());
        return renumbered;
    }

    /** How many zones and kinds the list has had that the settings have never named. */
    int unnamedPlaces() {
        return zones.unnamedCount() + kinds.unnamedCount();
    }

    /** How many engines get no work because another one is listed at their address, and either may be the newer one. */
    int inDoubt() {
        return (int) byNumber.values().stream().filter(e -> e.addressInDoubt && e.listed.phase() == Phase.UP).count();
    }

    /** Hands over what operators are told of the list. */
    List<String> takeNotices() {
        List<String> taken = List.copyOf(notices);
        notices.clear();
        return taken;
    }

    Engine get(long number) {
        return byNumber.get(number);
    }

    /** The engine with that id, null where there is none. */
    Engine byId(String id) {
        return byNumber.get(number(id));
    }

    Collection<Engine> all() {
        return List.copyOf(byNumber.values());
    }

    /** Whether any engine takes new work. */
    boolean canServe() {
        return byNumber.values().stream().anyMatch(Engine::ready);
    }

    /** A link to an engine has been established. */
    void reached(Engine engine) {
        recovery.engineReached(engine.listed);
    }

    /** How many engines are listed as up or draining. */
    int listedCount() {
        int count = 0;
        for (Engine engine : byNumber.values()) {
            count += engine.listed.phase() == Phase.REMOVED ? 0 : 1;
        }
        return count;
    }

    /** Applies one event of the change log, with the engines that its list leaves out, and makes the module's event of it. */
    Scheduler.EngineList apply(FleetEvent event, List<FleetEvent.Member> removed, double now) {
        Scheduler.ListKind kind = !event.complete() ? Scheduler.ListKind.DELTA
                : listReceived ? Scheduler.ListKind.FULL : Scheduler.ListKind.CACHED;
        listReceived = true;
        revision = event.revision();
        lastEvent++;
        Set<Engine> changed = new LinkedHashSet<>();
        event.members().forEach(m -> changed.add(update(m, kind, now)));
        removed.forEach(m -> update(m, kind, now));
        changed.addAll(checkAddresses());
        return new Scheduler.EngineList(kind, event.revision(), changed.stream().map(this::toSchedulerEngine).toList());
    }

    /**
     * An address is one process: of the engines that are listed there only the newest can still be running, and where that is not
     * known none gets work, as what is meant for one could run at the other. Returns the engines for which this has changed.
     */
    private List<Engine> checkAddresses() {
        Set<Engine> readyBefore = byNumber.values().stream().filter(Engine::ready).collect(Collectors.toSet());
        Map<String, List<Engine>> byAddress = byNumber.values().stream().filter(e -> e.listed.phase() != Phase.REMOVED)
                .collect(Collectors.groupingBy(e -> e.listed.address()));
        byAddress.values().forEach(EngineRegistry::findReplaced);
        byAddress.values().forEach(this::findDoubtful);
        return byNumber.values().stream().filter(e -> e.ready() != readyBefore.contains(e)).toList();
    }

    private static void findReplaced(List<Engine> atOneAddress) {
        atOneAddress.forEach(e -> e.replaced |= atOneAddress.stream().anyMatch(other -> other.isNewerThan(e)));
    }

    private void findDoubtful(List<Engine> atOneAddress) {
        List<Engine> candidates = atOneAddress.stream().filter(e -> !e.replaced).toList();
        boolean inDoubt = candidates.size() > 1;
        if (inDoubt && !candidates.get(0).addressInDoubt) {
            notices.add("engines " + candidates.stream().map(e -> e.listed.id()).toList() + " are listed at one address, "
                    + candidates.get(0).listed.address() + "; they get no work until the list has one of them only");
        }
        atOneAddress.forEach(e -> e.addressInDoubt = inDoubt && !e.replaced);
    }

    /** Puts all sends on hold, or ends that; takes effect with the next {@link #relist}. */
    void hold(boolean on) {
        held = on;
    }

    /** Drops engines that are removed from the list and have no link left. */
    void dropRemoved() {
        byNumber.values().removeIf(e -> e.listed.phase() == Phase.REMOVED && e.links.isEmpty());
    }

    /** The whole list again. */
    Scheduler.EngineList relist() {
        byNumber.values().forEach(e -> e.withheld = held || recovery.withholds(e.listed));
        return new Scheduler.EngineList(Scheduler.ListKind.FULL, revision, byNumber.values().stream()
                .filter(e -> e.listed.phase() != Phase.REMOVED).map(this::toSchedulerEngine).toList());
    }

    private Engine update(FleetEvent.Member member, Scheduler.ListKind kind, double now) {
        boolean change = kind == Scheduler.ListKind.DELTA;
        Engine engine = byNumber.computeIfAbsent(number(member.id()),
                n -> new Engine(n, member, startedAt(member, change, now)));
        if (member.startedAt() != engine.listed.startedAt()) {
            engine.startedAt = startedAt(member, change, now);
        }
        if (engine.hasAddressSince == 0 || engine.movesOrRestarts(member)) {
            engine.hasAddressSince = lastEvent;
            engine.replaced = false;
        }
        engine.listed = member;
        recovery.engineListed(member);
        engine.withheld = held || recovery.withholds(member);
        return engine;
    }

    /**
     * When an engine started. A start that is reported as a change happened a moment ago: a time stamp in the future, or too
     * old for a change, comes from a clock that was stepped, and now is used instead. A cold engine that is taken for a warm
     * one would be overloaded.
     */
    private static double startedAt(FleetEvent.Member member, boolean change, double now) {
        boolean clockStepped = member.startedAt() > now || change && now - member.startedAt() > MAX_START_REPORT_DELAY_MS;
        return member.startedAt() <= 0 ? 0 : clockStepped ? now : member.startedAt();
    }

    /** The number of an id; where another engine has it already, the next free one. */
    private long number(String id) {
        long number = EngineNumber.of(id);
        while (byNumber.containsKey(number) && !byNumber.get(number).listed.id().equals(id)) {
            number++;
        }
        return number;
    }

    private Scheduler.Engine toSchedulerEngine(Engine engine) {
        FleetEvent.Member member = engine.listed;
        EngineState state = switch (member.phase()) {
            case UP -> engine.ready() ? EngineState.READY : EngineState.DRAINING;
            case DRAINING -> EngineState.DRAINING;
            case REMOVED -> EngineState.GONE;
        };
        return new Scheduler.Engine(engine.number, numberOf("zone", member.zone(), zones), numberOf("kind", member.kind(), kinds),
                member.cell(), state, member.size(), recovery.startedAt(member.id(), engine.startedAt));
    }

    /** A name that the settings do not have gets a number of its own: it is none of those that a class may be bound to. */
    private int numberOf(String what, String name, NameNumbers numbers) {
        if (numbers.isUnexpected(name)) {
            notices.add("the list of engines has " + what + " '" + name + "', which the settings do not name");
        }
        return numbers.numberOf(name);
    }
}
