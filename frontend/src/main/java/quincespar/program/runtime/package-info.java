/**
 * What all other packages of the program use: clock, timers, the input queue of the reducer's thread, counters, parsing of
 * addresses, and the version. It may use the inputs and effects of {@code routing}, and no other package of the program.
 */
package quincespar.program.runtime;
