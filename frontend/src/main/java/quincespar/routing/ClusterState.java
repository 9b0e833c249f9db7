package quincespar.routing;

import java.util.List;
import quincespar.decision.Scheduler;
import quincespar.decision.Scheduler.Outcome;
import quincespar.membership.Membership;
import quincespar.metrics.MetricsRecorder;
import quincespar.metrics.MetricsSnapshot;
import quincespar.protocol.FleetEvent;

/** What the cluster consists of: the engines as the change log lists them, the other front ends, and the settings. */
final class ClusterState {
    private final StepContext context;
    private final EngineRegistry engines;
    private final Links links;
    private final Attempts attempts;
    private final MetricsRecorder metrics;
    private final Membership membership;
    private final PeerShares peers;
    private final ProcessOverlap overlap = new ProcessOverlap();
    private final RecoveryCoordinator recovery;
    /** The last reload of the configuration; what an earlier one has read is ignored. */
    private long reloadId;

    ClusterState(StepContext context, Bounds bounds, EngineRegistry engines, Links links, Attempts attempts,
            MetricsRecorder metrics, RecoveryCoordinator recovery) {
        this.context = context;
        this.engines = engines;
        this.links = links;
        this.attempts = attempts;
        this.metrics = metrics;
        this.recovery = recovery;
        membership = new Membership(bounds.polling());
        membership.drainGraceMs(context.settings.decision().rules().drainGrace());
        peers = new PeerShares(context.settings);
    }

    void start(String changeLogAddress, List<FleetEvent> known) {
        perform(membership.start(context.now, changeLogAddress, known));
    }

    boolean answeredOnce() {
        return membership.answeredOnce();
    }

    double ageMs(double time) {
        return membership.ageMs(time);
    }

    void changesReceived(Input.ChangesReceived input) {
        perform(membership.answered(context.now, input.pollId(), input.seq(), input.events()));
        recovery.changeLogAnswered();
    }

    void pollFailed(Input.PollFailed input) {
        perform(membership.failed(context.now, input.pollId(), input.failure(), input.cause()));
    }

    void changeLogTimerFired(long timerId) {
        perform(membership.timerFired(context.now, timerId));
    }

    void fleetChanged(Input.FleetChanged input) {
        peers.fleetChanged(context.now, input);
        recovery.fleetChanged(input.view());
        updateShares();
    }

    /** Fewer front ends have been known for long enough: this one's share may grow. */
    void shareTimerFired() {
        peers.timerFired(context.now);
        updateShares();
    }

    /** Reads the configuration again. Of several requests at once only the last one's result is used. */
    void reload() {
        reloadId = context.nextId();
        context.addEffect(new Effect.ReloadConfiguration(reloadId));
    }

    void configurationLoaded(Input.ConfigurationLoaded input) {
        if (input.reloadId() == reloadId) {
            metrics.configurationLoaded();
            context.addEffect(new Effect.ConfigurationAccepted(input.document()));
            // open requests, links and what is known of the fleet are kept
            peers.configure(engines.renumber(input.settings(), context.settings));
            updateOverlap();
            perform(membership.addressChanged(context.now, input.changeLogAddress()));
        }
    }

    void configurationRejected(Input.ConfigurationRejected input) {
        if (input.reloadId() == reloadId) {
            metrics.configurationRejected();
            context.addEffect(new Effect.Log("the new configuration is rejected and the old one stays in force: "
                    + input.cause()));
        }
    }

    /** Carries out what following the change log requires, and applies the events that it has received. */
    private void perform(List<Membership.Action> actions) {
        boolean changed = false;
        for (Membership.Action action : actions) {
            if (action instanceof Membership.Poll a) {
                context.addEffect(new Effect.PollChangeLog(a.pollId(), a.address(), a.afterEvent(), a.waitMs(),
                        a.connectTimeoutMs()));
            } else if (action instanceof Membership.CancelPoll a) {
                context.addEffect(new Effect.CancelPoll(a.pollId()));
            } else if (action instanceof Membership.StartTimer a) {
                context.startTimer(new TimerKey.ChangeLogTimer(a.timerId()), a.delayMs());
            } else if (action instanceof Membership.StopTimer a) {
                context.stopTimer(new TimerKey.ChangeLogTimer(a.timerId()));
            } else if (action instanceof Membership.EventReceived a) {
                logPhaseChanges(a);
                context.addEvent(engines.apply(a.event(), a.removed(), context.now));
                changed = true;
            } else if (action instanceof Membership.HoldSends a) {
                engines.hold(a.held());
                context.addEvent(engines.relist());
                changed = true;
            } else if (action instanceof Membership.Log a) {
                context.addEffect(new Effect.Log(a.line()));
            }
        }
        if (changed) {
            engines.takeNotices().forEach(line -> context.addEffect(new Effect.Log(line)));
            engines.all().forEach(this::applyState);
            engines.dropRemoved();
        }
    }

    /** Logs, before an event is applied, which engines take no new work from now on, and what is open there. */
    private void logPhaseChanges(Membership.EventReceived received) {
        for (FleetEvent.Member member : received.event().members()) {
            if (member.phase() != FleetEvent.Phase.UP) {
                logPhaseChange(member, received.event().seq());
            }
        }
        received.removed().forEach(m -> logPhaseChange(m, received.event().seq()));
    }

    private void logPhaseChange(FleetEvent.Member member, long event) {
        EngineRegistry.Engine engine = engines.byId(member.id());
        if (engine != null && engine.listed.phase() != member.phase()) {
            int open = engine.links.stream().mapToInt(l -> l.open.size()).sum();
            context.addEffect(new Effect.Log("engine " + member.id() + ": " + engine.listed.phase() + " -> " + member.phase()
                    + " by event " + event + ", " + open + " attempts open on " + engine.links.size() + " links"));
        }
    }

    /** How the change log is followed, for the metrics. */
    MetricsSnapshot.ChangeLogStatus changeLogStatus() {
        return new MetricsSnapshot.ChangeLogStatus(membership.lastEvent(), Math.round(membership.ageMs(context.now)),
                membership.failureCount());
    }

    /** Adapts links to an engine's state: one that takes no work is sent none, and links to an old process are closed. */
    private void applyState(EngineRegistry.Engine engine) {
        for (Link link : List.copyOf(engine.links)) {
            if (engine.ready() && link.openedAt < engine.startedAt) {
                links.close(link, "to a process that has ended");
            } else if (!engine.ready() && !link.up) {
                links.close(link, "its engine takes nothing new"); // it must not connect after the drain grace
            } else if (!engine.ready()) {
                List.copyOf(link.open.values()).forEach(a -> attempts.withdraw(a, Outcome.CONNECT_FAILED));
                links.startIdleTimer(link);
            }
        }
    }

    /** Applies the number of front ends that is in force now, and waits until it may change without an input. */
    private void updateShares() {
        applyLimits();
        double delayMs = peers.timerDelayMs(context.now);
        if (delayMs < Double.POSITIVE_INFINITY) {
            context.startTimer(new TimerKey.ShareGrowth(), delayMs);
        } else {
            context.stopTimer(new TimerKey.ShareGrowth());
        }
    }

    /** Which other processes of this front end are alive has changed. */
    void otherProcesses(Input.OtherProcesses input) {
        overlap.changed(context.now, input);
        updateOverlap();
    }

    /** What another process has sent no longer counts against a budget. */
    void overlapTimerFired() {
        updateOverlap();
    }

    private void updateOverlap() {
        applyLimits();
        double delayMs = overlap.nextChangeMs(peers.settings(), context.now);
        if (delayMs < Double.POSITIVE_INFINITY) {
            context.startTimer(new TimerKey.OverlapEnd(), delayMs);
        } else {
            context.stopTimer(new TimerKey.OverlapEnd());
        }
    }

    private void applyLimits() {
        apply(overlap.limit(peers.settings(), context.now));
    }

    /** Tells the module the list again if recovery has changed which engines take work, or since when they count as started. */
    void relistAfterRecovery() {
        if (recovery.takeRelist()) {
            context.addEvent(engines.relist());
            engines.all().forEach(this::applyState);
        }
    }

    /** Applies new settings in one step; where nothing in them has changed, the module is told nothing. */
    private void apply(RoutingSettings next) {
        if (!next.equals(context.settings)) {
            context.settings = next;
            membership.drainGraceMs(next.decision().rules().drainGrace());
            metrics.setClasses(next.classNames());
            recovery.setClasses(next);
            context.addEffect(new Effect.ApplySettings(next));
            context.addEvent(new Scheduler.SettingsChanged(next.decision(), next.droppedClasses()));
            context.addEvent(engines.relist());
        }
    }
}
