package quincespar.recovery;

/**
 * What recovery needs to know of a class of requests.
 *
 * @param name its name, as operators know it
 * @param repeatable whether a request may be executed more than once
 * @param load whether its requests write tables
 * @param worth the value of a request that is answered in time
 * @param targetLatencyMs how quickly a request should be answered; classes with a lower one are admitted earlier
 */
public record ClassTraits(String name, boolean repeatable, boolean load, double worth, double targetLatencyMs) { }
