/**
 * The replicated state of a fleet of front ends and each instance's part in it: pure state machines that take commands, events
 * and the current time, and return results and actions. Knows nothing of processes, sockets or disks, nor of the consensus
 * implementation behind {@link quincespar.fleet.Agreement}.
 */
package quincespar.fleet;
