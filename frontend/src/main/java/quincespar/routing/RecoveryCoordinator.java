package quincespar.routing;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import quincespar.decision.Gateway;
import quincespar.fleet.FleetView;
import quincespar.protocol.FleetEvent;
import quincespar.recovery.Entry;
import quincespar.recovery.Recovery;
import quincespar.recovery.Recovery.Act;
import quincespar.recovery.Recovery.Source;
import quincespar.recovery.Terms;

/** The reducer's holder of a return from a loss of power: carries out what {@link Recovery} wants. Where there is none, nothing is held back. */
final class RecoveryCoordinator {
    private static final int DIGEST_BYTES = 8;

    private final StepContext turn;
    /** Null where nothing of this is on. */
    private final Recovery recovery;
    private final boolean notesLoads;
    private Source source = Source.SNAPSHOT;
    private boolean relist;
    private boolean news = true;
    private long unkept;
    private RecoveryReport report;

    RecoveryCoordinator(StepContext turn, Recovery recovery, boolean notesLoads) {
        this.turn = turn;
        this.recovery = recovery;
        this.notesLoads = notesLoads;
    }

    /** Classes as a return needs them. */
    static List<Terms> terms(RoutingSettings site) {
        return site.decision().classes().stream().map(c -> new Terms(c.name(), c.effect() != Gateway.Effect.UNSAFE, c.loads(), c.worth(),
                c.aim())).toList();
    }

    boolean on() {
        return recovery != null;
    }

    private void perform(List<Act> acts) {
        for (Act act : acts) {
            // what one load goes through changes nothing that is told: a list of doubts must not be copied for each
            news |= !(act instanceof Act.Keep k && (k.entry() instanceof Entry.SentTo || k.entry() instanceof Entry.Ended));
            if (act instanceof Act.Await a) {
                turn.timer(new TimerKey.Recovery(a.number()), a.ms());
            } else if (act instanceof Act.AskFleet) {
                turn.effect(new Effect.FetchFleetState());
            } else if (act instanceof Act.Keep a) {
                turn.effect(new Effect.PersistEntry(a.entry(), 0));
            } else if (act instanceof Act.Say a) {
                turn.effect(new Effect.Log("recovery: " + a.line()));
            } else if (act instanceof Act.Relist) {
                relist = true;
            }
        }
    }

    void start(boolean beside) {
        if (on()) {
            perform(recovery.start(turn.now, beside));
        }
    }

    void read(Input.RecoveryLogRead x) {
        perform(recovery.read(turn.now, x.finding(), x.entries(), x.reason()));
    }

    void agreed(Input.FleetStateReceived x) {
        perform(recovery.agreed(turn.now, x.state()));
    }

    void due(long number) {
        perform(recovery.due(turn.now, number));
    }

    void fleet(FleetView view) {
        if (on()) {
            perform(recovery.fleet(turn.now, view));
        }
    }

    void classes(RoutingSettings site) {
        if (on()) {
            recovery.classes(terms(site));
            news = true;
        }
    }

    /** The change log has answered whole; what it tells from now on is news. */
    void answered() {
        if (on() && source == Source.SNAPSHOT) {
            source = Source.NEWS;
            perform(recovery.answered(turn.now));
        }
    }

    /** Whether the list is to be told anew; asked once. */
    boolean relists() {
        boolean out = relist;
        relist = false;
        return out;
    }

    /** The list has this of an engine. */
    void engine(FleetEvent.Member m) {
        if (on()) {
            perform(recovery.engine(source, m.id(), m.phase() == FleetEvent.Phase.UP, m.startedAt()));
        }
    }

    boolean withholds(FleetEvent.Member m) {
        return on() && recovery.withholds(m.id());
    }

    double startedAt(String id, double startedAt) {
        return on() ? recovery.coldFrom(id, startedAt) : startedAt;
    }

    /** A connection to it has come up. */
    void met(FleetEvent.Member m) {
        if (on()) {
            perform(recovery.met(turn.now, m.id()));
        }
    }

    /** Whether anything may be sent yet. */
    boolean maySend() {
        return !on() || recovery.maySend();
    }

    /** What a request that may not go yet is told: when to come back, as far as the settings let a client be told; NaN where it may go. */
    double turnsAway(Query q) {
        double wait = on() ? recovery.waitMs(turn.now, q.classNumber(), q.tables()) : 0;
        if (wait <= 0) {
            return Double.NaN;
        }
        Gateway.Limits l = turn.site.decision().limits();
        double back = recovery.comeBackMs(wait, q.txn());
        return !l.retryAfter() ? 0 : l.maxRetryAfter() > 0 ? Math.min(back, l.maxRetryAfter()) : back;
    }

    /** Whether it is to be on disk before such a request can go that it may run. */
    boolean notes(OpenRequest r) {
        return on() && notesLoads && r.unsafe();
    }

    /** It may run once {@link Input.PersistFinished} has come for it. */
    void begins(OpenRequest r) {
        Query q = r.query;
        Entry.Begun e = recovery.begun(q.txn(), q.classNumber(), turn.site.decision().tenants().get(q.tenantNumber()).name(), digest(q.statement()), q.tables(),
                q.timeoutMs(), Math.round(turn.now));
        recovery.note(e); // the effect below carries it, with who waits for it
        turn.effect(new Effect.PersistEntry(e, r.id));
    }

    private static String digest(byte[] statement) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(statement), 0, DIGEST_BYTES);
        } catch (NoSuchAlgorithmException e) { // every platform has it
            throw new IllegalStateException(e);
        }
    }

    void sent(OpenRequest r, EngineRegistry.Engine e) {
        if (notes(r)) {
            perform(recovery.note(new Entry.SentTo(r.query.txn(), e.listed.id())));
        }
    }

    /** Its client has its answer and nothing of it is out. */
    void ended(OpenRequest r) {
        if (notes(r)) {
            perform(recovery.note(new Entry.Ended(r.query.txn())));
        }
    }

    /** Whether what was noted is on disk; where the disk refuses, service goes on and the list of doubts is not whole. */
    void noted(boolean kept) {
        unkept += kept ? 0 : 1;
        news |= !kept;
    }

    /** Staff have looked into a load that was in doubt. */
    void acknowledged(String txn) {
        if (on()) {
            perform(recovery.note(new Entry.Acknowledged(txn)));
        }
    }

    /** Staff say that an engine takes work again. */
    void allowed(String engine) {
        if (on()) {
            perform(recovery.note(new Entry.Back(engine)));
            relist = true;
        }
    }

    /** As it stands; the same object while nothing has changed. Null where nothing of this is on. */
    RecoveryReport report() {
        if (on() && news) {
            news = false;
            report = new RecoveryReport(recovery.view(turn.now), List.copyOf(recovery.kept().doubtful()), unkept);
        }
        return report;
    }
}
