/**
 * TCP transport: event loops, listeners and connections, each connection with a bounded outbox. It moves bytes and knows
 * no protocol; routing and the program use it.
 */
package quincespar.transport;
