package quincespar.routing;

import java.util.List;
import quincespar.decision.Gateway;
import quincespar.decision.Gateway.Outcome;
import quincespar.membership.Membership;
import quincespar.metrics.MetricsSnapshot;
import quincespar.metrics.MetricsRecorder;
import quincespar.protocol.FleetEvent;

/** Who there is and by which settings: the list of engines as the change log tells it, the other front ends, the settings. */
final class ClusterState {
    private final StepContext turn;
    private final EngineRegistry fleet;
    private final Links links;
    private final Attempts attempts;
    private final MetricsRecorder ledger;
    private final Membership membership;
    private final PeerShares fellows;
    private final RecoveryCoordinator returning;
    private long reread;

    ClusterState(StepContext turn, Bounds bounds, EngineRegistry fleet, Links links, Attempts attempts, MetricsRecorder ledger, RecoveryCoordinator returning) {
        this.returning = returning;
        this.turn = turn;
        this.fleet = fleet;
        this.links = links;
        this.attempts = attempts;
        this.ledger = ledger;
        membership = new Membership(bounds.polling());
        membership.drainGraceMs(turn.site.decision().rules().drainGrace());
        fellows = new PeerShares(turn.site);
    }

    void start(String changeLogAt, List<FleetEvent> known) {
        follow(membership.start(turn.now, changeLogAt, known));
    }

    boolean answeredOnce() {
        return membership.answeredOnce();
    }

    double age(double time) {
        return membership.ageMs(time);
    }

    void answered(Input.ChangesReceived x) {
        follow(membership.answered(turn.now, x.pollId(), x.seq(), x.events()));
        returning.answered();
    }

    void failed(Input.PollFailed x) {
        follow(membership.failed(turn.now, x.pollId(), x.failure(), x.cause()));
    }

    void due(long changes) {
        follow(membership.timerFired(turn.now, changes));
    }

    void news(Input.FleetChanged x) {
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
        turn.effect(new Effect.ReloadConfiguration(reread));
    }

    void reconfigured(Input.ConfigurationLoaded x) {
        if (x.reloadId() == reread) {
            ledger.loaded();
            turn.effect(new Effect.ConfigurationAccepted(x.document()));
            // requests, links and the fleet stay as they are; the file may be replaced again soon, the last one counts
            fellows.configured(x.settings().keepingNumbersOf(turn.site));
            adopt(fellows.site());
            follow(membership.addressChanged(turn.now, x.changeLogAddress()));
        }
    }

    void reconfigureFailed(Input.ConfigurationRejected x) {
        if (x.reloadId() == reread) {
            ledger.invalid();
            turn.effect(new Effect.Log("the configuration stays as it was: " + x.cause()));
        }
    }

    /** Carries out what following the change log takes, and passes on what it has told. */
    private void follow(List<Membership.Action> acts) {
        boolean news = false;
        for (Membership.Action act : acts) {
            if (act instanceof Membership.Poll a) {
                turn.effect(new Effect.PollChangeLog(a.pollId(), a.address(), a.afterEvent(), a.waitMs(), a.connectTimeoutMs()));
            } else if (act instanceof Membership.CancelPoll) {
                turn.effect(new Effect.CancelPoll());
            } else if (act instanceof Membership.StartTimer a) {
                turn.timer(new TimerKey.ChangeLogTimer(a.timerId()), a.delayMs());
            } else if (act instanceof Membership.StopTimer a) {
                turn.stop(new TimerKey.ChangeLogTimer(a.timerId()));
            } else if (act instanceof Membership.EventReceived a) {
                sayWhoLeaves(a);
                turn.event(fleet.take(a.event(), a.removed(), turn.now));
                news = true;
            } else if (act instanceof Membership.HoldSends a) {
                fleet.hold(a.held());
                turn.event(fleet.adopt(turn.site));
                news = true;
            } else if (act instanceof Membership.Log a) {
                turn.effect(new Effect.Log(a.line()));
            }
        }
        if (news) {
            fleet.all().forEach(this::review);
            fleet.tidy();
        }
    }

    /** Engines that take nothing new from now on, with what is out there, before the event is taken. */
    private void sayWhoLeaves(Membership.EventReceived a) {
        for (FleetEvent.Member m : a.event().members()) {
            if (m.phase() != FleetEvent.Phase.UP) {
                sayWhoLeaves(m, a.event().seq());
            }
        }
        a.removed().forEach(m -> sayWhoLeaves(m, a.event().seq()));
    }

    private void sayWhoLeaves(FleetEvent.Member m, long event) {
        EngineRegistry.Engine e = fleet.named(m.id());
        if (e != null && e.listed.phase() != m.phase()) {
            int open = e.links.stream().mapToInt(l -> l.open.size()).sum();
            turn.effect(new Effect.Log("server " + m.id() + ": " + e.listed.phase() + " -> " + m.phase() + " by event "
                    + event + ", " + open + " attempts out on " + e.links.size() + " connections"));
        }
    }

    /** How the change log is followed, for what is reported. */
    MetricsSnapshot.ChangeLogStatus watch() {
        return new MetricsSnapshot.ChangeLogStatus(membership.lastEvent(), Math.round(membership.ageMs(turn.now)), membership.failureCount());
    }

    /** After news of an engine: nothing goes out to one that is not ready, and old processes' links end. */
    private void review(EngineRegistry.Engine e) {
        for (Link l : List.copyOf(e.links)) {
            if (e.ready() && l.dialledAt < e.startedAt) {
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
            turn.timer(new TimerKey.ShareGrowth(), wait);
        } else {
            turn.stop(new TimerKey.ShareGrowth());
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
    private void adopt(RoutingSettings next) {
        if (!next.equals(turn.site)) {
            turn.site = next;
            membership.drainGraceMs(next.decision().rules().drainGrace());
            ledger.classes(turn.site.classNames());
            returning.classes(turn.site);
            turn.effect(new Effect.ApplySettings(turn.site));
            turn.event(new Gateway.Configured(turn.site.decision(), turn.site.droppedClasses()));
            turn.event(fleet.adopt(turn.site));
        }
    }
}
