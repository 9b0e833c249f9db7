/**
 * The metrics of a front end: the counts, an immutable snapshot of them, and that snapshot as text for Prometheus. The
 * package uses no other package of the program, reads no clock and does no I/O.
 */
package quincespar.metrics;
