package quincespar.routing;

import java.util.List;
import quincespar.decision.Gateway;
import quincespar.decision.Gateway.Outcome;
import quincespar.membership.Membership;
import quincespar.metrics.Figures;
import quincespar.metrics.Ledger;
import quincespar.protocol.FleetEvent;

/** Who there is and by which settings: the list of engines as the change log tells it, the other front ends, the settings. */
final class Roster {
    private final Turn turn;
    private final Fleet fleet;
    private final Links links;
    private final Attempts attempts;
    private final Ledger ledger;
    private final Membership membership;
    private final Fellows fellows;
    private final Returning returning;
    private long reread;

    Roster(Turn turn, Bounds bounds, Fleet fleet, Links links, Attempts attempts, Ledger ledger, Returning returning) {
        this.returning = returning;
        this.turn = turn;
        this.fleet = fleet;
        this.links = links;
        this.attempts = attempts;
        this.ledger = ledger;
        membership = new Membership(bounds.changes());
        membership.grace(turn.site.module().rules().drainGrace());
        fellows = new Fellows(turn.site);
    }

    void start(String changeLogAt, List<FleetEvent> known) {
        follow(membership.start(turn.now, changeLogAt, known));
    }

    boolean answeredOnce() {
        return membership.answeredOnce();
    }

    double age(double time) {
        return membership.age(time);
    }

    void answered(Input.Changes x) {
        follow(membership.answered(turn.now, x.serial(), x.seq(), x.events()));
        returning.answered();
    }

    void failed(Input.ChangesFailed x) {
        follow(membership.failed(turn.now, x.serial(), x.how(), x.cause()));
    }

    void due(long changes) {
        follow(membership.due(turn.now, changes));
    }

    void news(Input.FleetNews x) {
        fellows.take(turn.now, x);
        returning.fleet(x.view());
        share();
    }

    /** Fewer front ends have been known for a while: shares may grow. */
    void sharesDue() {
        fellows.due(turn.now);
        share();
    }

    /** The configuration has been replaced; of several words at once the last counts. */
    void hangup() {
        reread = turn.number();
        turn.effect(new Effect.Reread(reread));
    }

    void reconfigured(Input.Reconfigured x) {
        if (x.serial() == reread) {
            ledger.loaded();
            turn.effect(new Effect.InForce(x.document()));
            // requests, links and the fleet stay as they are; the file may be replaced again soon, the last one counts
            fellows.configured(x.site().following(turn.site));
            adopt(fellows.site());
            follow(membership.moved(turn.now, x.changeLog()));
        }
    }

    void reconfigureFailed(Input.ReconfigureFailed x) {
        if (x.serial() == reread) {
            ledger.invalid();
            turn.effect(new Effect.Log("the configuration stays as it was: " + x.cause()));
        }
    }

    /** Carries out what following the change log takes, and passes on what it has told. */
    private void follow(List<Membership.Act> acts) {
        boolean news = false;
        for (Membership.Act act : acts) {
            if (act instanceof Membership.Ask a) {
                turn.effect(new Effect.Poll(a.question(), a.address(), a.since(), a.waitMs(), a.connectMs()));
            } else if (act instanceof Membership.Drop) {
                turn.effect(new Effect.DropPoll());
            } else if (act instanceof Membership.Await a) {
                turn.timer(new TimerKey.Changes(a.serial()), a.delayMs());
            } else if (act instanceof Membership.Forget a) {
                turn.stop(new TimerKey.Changes(a.serial()));
            } else if (act instanceof Membership.Learned a) {
                sayWhoLeaves(a);
                turn.event(fleet.take(a.event(), a.removed()));
                news = true;
            } else if (act instanceof Membership.Hold a) {
                fleet.hold(a.on());
                turn.event(fleet.adopt(turn.site));
                news = true;
            } else if (act instanceof Membership.Say a) {
                turn.effect(new Effect.Log(a.line()));
            }
        }
        if (news) {
            fleet.all().forEach(this::review);
            fleet.tidy();
        }
    }

    /** Engines that take nothing new from now on, with what is out there, before the event is taken. */
    private void sayWhoLeaves(Membership.Learned a) {
        for (FleetEvent.Member m : a.event().members()) {
            if (m.phase() != FleetEvent.Phase.UP) {
                sayWhoLeaves(m, a.event().seq());
            }
        }
        a.removed().forEach(m -> sayWhoLeaves(m, a.event().seq()));
    }

    private void sayWhoLeaves(FleetEvent.Member m, long event) {
        Fleet.Engine e = fleet.named(m.id());
        if (e != null && e.listed.phase() != m.phase()) {
            int open = e.links.stream().mapToInt(l -> l.open.size()).sum();
            turn.effect(new Effect.Log("server " + m.id() + ": " + e.listed.phase() + " -> " + m.phase() + " by event "
                    + event + ", " + open + " attempts out on " + e.links.size() + " connections"));
        }
    }

    /** How the change log is followed, for what is reported. */
    Figures.Watch watch() {
        return new Figures.Watch(membership.seq(), Math.round(membership.age(turn.now)), membership.failures());
    }

    /** After news of an engine: nothing goes out to one that is not ready, and old processes' links end. */
    private void review(Fleet.Engine e) {
        for (Link l : List.copyOf(e.links)) {
            if (e.ready() && l.dialledAt < e.listed.startedAt()) {
                links.drop(l, "to a process that has ended");
            } else if (!e.ready() && !l.up) {
                links.drop(l, "its engine takes nothing new"); // a connect must not outlive the grace
            } else if (!e.ready()) {
                List.copyOf(l.open.values()).forEach(a -> attempts.withdraw(a, Outcome.CONNECT_FAILED));
                links.rest(l);
            }
        }
    }

    /** Among how many the engines are shared may have changed, or does once a while has passed. */
    private void share() {
        adopt(fellows.site());
        double wait = fellows.dueMs(turn.now);
        if (wait < Double.POSITIVE_INFINITY) {
            turn.timer(new TimerKey.Shares(), wait);
        } else {
            turn.stop(new TimerKey.Shares());
        }
    }

    /** Which engines take work, or since when they count as started, may have changed by what a return has learned. */
    void relist() {
        if (returning.relists()) {
            turn.event(fleet.adopt(turn.site));
            fleet.all().forEach(this::review);
        }
    }

    /** New settings bind whole, in one step; where nothing in them is new, the module hears nothing. */
    private void adopt(Site next) {
        if (!next.equals(turn.site)) {
            turn.site = next;
            membership.grace(next.module().rules().drainGrace());
            ledger.classes(turn.site.classNames());
            returning.classes(turn.site);
            turn.effect(new Effect.Adopt(turn.site));
            turn.event(new Gateway.Configured(turn.site.module(), turn.site.dropped()));
            turn.event(fleet.adopt(turn.site));
        }
    }
}
