/**
 * The I/O of the recovery from a power loss: its journal on disk, its settings and its pages. It may use
 * {@code program.runtime} and {@code program.fleet}.
 */
package quincespar.program.recovery;
