/**
 * Follows the change log, which says which engines there are: a state machine of polls, answers, failures and changes of
 * address, and the list that results. It does no I/O and reads no clock: times and answers come in, and what is to be polled
 * and waited for goes out. It uses the events of the change log ({@code protocol}) and no other package of the program.
 */
package quincespar.membership;
