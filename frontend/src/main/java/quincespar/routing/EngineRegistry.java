package quincespar.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import quincespar.decision.Gateway;
import quincespar.decision.Gateway.EngineState;
import quincespar.protocol.FleetEvent;
import quincespar.protocol.FleetEvent.Phase;

/**
 * The engines by their id. Never by address: a new engine may take the address of one that has gone, and what
 * was sent to the old one must not be taken for the new one's.
 */
final class EngineRegistry {
    /** An engine, and the links to it. */
    static final class Engine {
        final long number;
        final List<Link> links = new ArrayList<>();
        FleetEvent.Member listed;
        /** When it started by this program's clock, 0 where that is long ago. */
        double startedAt;
        /** It takes nothing all the same: it had left before a loss of power, or all are held. */
        boolean withheld;

        Engine(long number, FleetEvent.Member listed, double startedAt) {
            this.number = number;
            this.listed = listed;
            this.startedAt = startedAt;
        }

        boolean ready() {
            return listed.phase() == Phase.UP && !withheld;
        }
    }

    /** News of a start that comes later than this tells of an engine that is warm, or of clocks that differ. */
    private static final double LATEST_NEWS_MS = 30_000;

    private final RecoveryCoordinator returning;
    private RoutingSettings site;
    private long revision;
    private final Map<Long, Engine> engines = new LinkedHashMap<>();
    private boolean listed;
    private boolean held;

    EngineRegistry(RoutingSettings site, RecoveryCoordinator returning) {
        this.returning = returning;
        this.site = site;
    }

    Engine get(long number) {
        return engines.get(number);
    }

    /** The engine of that id in the list, null where there is none. */
    Engine named(String id) {
        return engines.get(number(id));
    }

    Collection<Engine> all() {
        return List.copyOf(engines.values());
    }

    boolean canServe() {
        return engines.values().stream().anyMatch(Engine::ready);
    }

    /** A connection to an engine has come up. */
    void met(Engine e) {
        returning.met(e.listed);
    }

    /** How many engines are in the list: up or draining. */
    int listed() {
        int n = 0;
        for (Engine e : engines.values()) {
            n += e.listed.phase() == Phase.REMOVED ? 0 : 1;
        }
        return n;
    }

    /** Takes one event of the change log and whom it leaves out, and words it for the module. */
    Gateway.Listed take(FleetEvent event, List<FleetEvent.Member> removed, double now) {
        Gateway.ListKind kind = !event.complete() ? Gateway.ListKind.DELTA
                : listed ? Gateway.ListKind.FULL : Gateway.ListKind.CACHED;
        listed = true;
        revision = event.revision();
        List<Gateway.Engine> told = new ArrayList<>();
        event.members().forEach(m -> told.add(word(engine(m, kind, now))));
        removed.forEach(m -> engine(m, kind, now));
        return new Gateway.Listed(kind, event.revision(), told);
    }

    /** None takes anything new from the next {@link #adopt} on, or each does again as it is listed. */
    void hold(boolean on) {
        held = on;
    }

    /** Drops engines that are gone and have no link left. */
    void tidy() {
        engines.values().removeIf(e -> e.listed.phase() == Phase.REMOVED && e.links.isEmpty());
    }

    /** The whole list again, as the names of these settings number zones and kinds. */
    Gateway.Listed adopt(RoutingSettings next) {
        site = next;
        engines.values().forEach(e -> e.withheld = held || returning.withholds(e.listed));
        return new Gateway.Listed(Gateway.ListKind.FULL, revision, engines.values().stream()
                .filter(e -> e.listed.phase() != Phase.REMOVED).map(this::word).toList());
    }

    private Engine engine(FleetEvent.Member m, Gateway.ListKind kind, double now) {
        boolean change = kind == Gateway.ListKind.DELTA;
        Engine e = engines.computeIfAbsent(number(m.id()), n -> new Engine(n, m, startedAt(m, change, now)));
        if (m.startedAt() != e.listed.startedAt()) {
            e.startedAt = startedAt(m, change, now);
        }
        e.listed = m;
        returning.engine(m);
        e.withheld = held || returning.withholds(m);
        return e;
    }

    /**
     * A start that is told as a change was a moment ago, whatever the clocks say: one that is stamped as later than now, or as
     * too long ago for a change, comes from a clock that has stepped. Taken for warm, a cold engine would be overloaded.
     */
    private static double startedAt(FleetEvent.Member m, boolean change, double now) {
        boolean stepped = m.startedAt() > now || change && now - m.startedAt() > LATEST_NEWS_MS;
        return m.startedAt() <= 0 ? 0 : stepped ? now : m.startedAt();
    }

    private long number(String id) {
        long h = EngineNumber.of(id);
        while (engines.containsKey(h) && !engines.get(h).listed.id().equals(id)) {
            h++;
        }
        return h;
    }

    private Gateway.Engine word(Engine e) {
        FleetEvent.Member m = e.listed;
        EngineState state = switch (m.phase()) {
            case UP -> e.withheld ? EngineState.DRAINING : EngineState.READY;
            case DRAINING -> EngineState.DRAINING;
            case REMOVED -> EngineState.GONE;
        };
        return new Gateway.Engine(e.number, Math.max(0, site.zones().indexOf(m.zone())),
                Math.max(0, site.kinds().indexOf(m.kind())), m.cell(), state, m.size(), returning.startedAt(m.id(), e.startedAt));
    }
}
