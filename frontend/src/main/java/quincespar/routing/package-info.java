/**
 * The state of a front end as a pure state machine. {@link quincespar.routing.Reducer} takes
 * {@link quincespar.routing.Input}s (connections, requests, engine messages, timers) and returns
 * {@link quincespar.routing.Effect}s for the program to carry out. It holds requests, attempts, links and the list of
 * engines, hands events to the decision module ({@code decision}) and carries out the actions that the module returns.
 *
 * <p>The package may use {@code decision}, {@code membership}, {@code metrics}, {@code protocol}, {@code transport},
 * {@code fleet} and {@code recovery}; only {@code program} uses it. It does no I/O, starts no thread and reads no clock.
 */
package quincespar.routing;
