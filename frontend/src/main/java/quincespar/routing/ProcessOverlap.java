package quincespar.routing;

import quincespar.decision.Scheduler;

/**
 * What the processes of one front end share while more than one is alive, as during an upgrade. Budgets hold for the front end,
 * and each process counts only what it has sent itself. So each may send a cold engine half of what the front end may, and the
 * retries that need no requests belong to the older process alone. Once a process is alone, that holds for one more window of
 * the budget, in which the other's part still counts.
 */
final class ProcessOverlap {
    /** The part of a cold engine's allowance for each of two processes. */
    private static final double COLD_PART = 0.5;

    private boolean othersAlive;
    private boolean olderAlive;
    private double othersGoneAt = Double.NEGATIVE_INFINITY;
    private double olderGoneAt = Double.NEGATIVE_INFINITY;

    /** Which other processes are alive has changed. */
    void changed(double now, Input.OtherProcesses input) {
        othersGoneAt = othersAlive && !input.alive() ? now : othersGoneAt;
        olderGoneAt = olderAlive && !input.olderAlive() ? now : olderGoneAt;
        othersAlive = input.alive();
        olderAlive = input.olderAlive();
    }

    /** The settings for this process. */
    RoutingSettings limit(RoutingSettings settings, double now) {
        Scheduler.Rules rules = settings.decision().rules();
        double overloadMultiple = rules.overloadMultiple() * (sharesColdAllowance(rules, now) ? COLD_PART : 1);
        boolean withoutFreeRetries = rules.retryBudgetBase() > 0 && leavesFreeRetries(rules, now);
        return settings.withRules(rules.withBudgets(overloadMultiple, withoutFreeRetries ? 0 : rules.retryBudgetBase()));
    }

    /** In how many milliseconds {@link #limit} changes without an input; infinite where it does not. */
    double nextChangeMs(RoutingSettings settings, double now) {
        Scheduler.Rules rules = settings.decision().rules();
        double cold = !othersAlive && sharesColdAllowance(rules, now) ? othersGoneAt + rules.overloadWindow() - now
                : Double.POSITIVE_INFINITY;
        double retries = !olderAlive && leavesFreeRetries(rules, now) ? olderGoneAt + rules.retryBudgetWindow() - now
                : Double.POSITIVE_INFINITY;
        return Math.min(cold, retries);
    }

    private boolean sharesColdAllowance(Scheduler.Rules rules, double now) {
        return othersAlive || now < othersGoneAt + rules.overloadWindow();
    }

    private boolean leavesFreeRetries(Scheduler.Rules rules, double now) {
        return olderAlive || now < olderGoneAt + rules.retryBudgetWindow();
    }
}
