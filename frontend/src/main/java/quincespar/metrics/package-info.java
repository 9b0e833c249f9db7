/**
 * What the front end reports of itself: what is counted, an immutable view of it, and that view as text. Pure: it
 * knows nothing of the rest of the program, reads no clock and does no I/O.
 */
package quincespar.metrics;
