/**
 * Adapter that runs instances of the decision module under a simulator, over a binary protocol on standard input and
 * output. It translates between the protocol's records and the decision module's events and actions.
 */
package quincespar.simulator;
