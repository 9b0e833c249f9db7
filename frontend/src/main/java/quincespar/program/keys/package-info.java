/**
 * What the processes of one front end share, as during an upgrade: locks on ordering keys, and the txns of requests that must not
 * run twice. May use {@code program.runtime} and
 * what is below the program.
 */
package quincespar.program.keys;
