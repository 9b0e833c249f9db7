package quincespar.routing;

/** Identifies an attempt: the number of its request, and its index among the attempts of that request, from 0. */
public record AttemptKey(long request, int attempt) { }
