package quincespar.routing;

/** One attempt: the module's number of its request, and which attempt of that request it is, from 0. */
public record AttemptKey(long request, int attempt) { }
