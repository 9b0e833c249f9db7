package quincespar.routing;

/** Who waits for an answer: a front connection, and the number that this connection gave its request. */
public record Caller(long connection, int call) { }
