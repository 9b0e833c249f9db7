/**
 * The HTTP server of the second address with readiness and metrics. It may use {@code runtime} and the pages of
 * {@code program.fleet}.
 */
package quincespar.program.status;
