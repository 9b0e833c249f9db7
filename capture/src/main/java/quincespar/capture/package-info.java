/**
 * Captures every call of the decision module with its answer, and replays, verifies and explains captures. Depends on the
 * interface of {@code decision} and on nothing of the front end; the decision module does not know of it. Bytes pass through
 * {@link quincespar.capture.SegmentStore}: which files are written, and on which thread, is up to the caller.
 */
package quincespar.capture;
