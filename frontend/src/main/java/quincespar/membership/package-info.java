/**
 * Which engines there are, as the change log tells it: a state machine of questions, answers, failures, moves to
 * another address, and the list that results. It does no I/O and keeps no clock: times and answers come in, what is to
 * be asked and awaited goes out. It knows the change log's events ({@code protocol}) and nothing else.
 */
package quincespar.membership;
