/**
 * The decision module: which request is sent to which engine, and when. {@link quincespar.decision.Scheduler}
 * is its interface, {@link quincespar.decision.GcMuScheduler} makes the decisions on the data in {@link
 * quincespar.decision.SchedulerState}, and {@link quincespar.decision.DecisionExplainer} explains them.
 *
 * <p>The package knows no other package of this program. Its decisions are a function of settings, events and
 * seed: it performs no input or output, reads no clock and uses no threads. The state that the classes hold
 * can be written as a snapshot and restored, so fields hold only what the snapshot's codec knows.
 */
package quincespar.decision;
