/**
 * How a front end recovers after a loss of power, alone or with its whole fleet: which facts on its disk it trusts, and in which
 * order it admits requests again. Pure: the contents of the disk, the fleet's state, the change log and the time go in; a phase,
 * permissions and actions come out. Knows the fleet's replicated state.
 */
package quincespar.recovery;
