/**
 * The fleet's I/O: runs {@code Participation} on a thread of its own and carries out its actions with the state folder and the
 * replicated log; the pages and commands about the fleet. It decides nothing itself.
 */
package quincespar.program.fleet;
