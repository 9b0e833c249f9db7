package quincespar.recovery;

/**
 * What a return needs to know of a class of requests.
 *
 * @param name as operators know it
 * @param repeatable whether a request may run more than once
 * @param load whether it writes
 * @param worth of one that is answered in time
 * @param aimMs how quickly it is to be answered: what is cheap is wanted soon
 */
public record ClassTraits(String name, boolean repeatable, boolean load, double worth, double targetLatencyMs) { }
