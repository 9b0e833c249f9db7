/**
 * Locks on ordering keys that the processes of one front end share, as during an upgrade. May use {@code program.runtime} and
 * what is below the program.
 */
package quincespar.program.keys;
