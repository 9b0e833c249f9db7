package quincespar.routing;

/** The source of a request, to which the answer goes: a client's connection and the client's number for the call on it. */
public record Caller(long connection, int call) { }
