/**
 * The record of all that the decision module was told and decided, and its replay. It knows {@code decision}'s interface
 * and nothing of the daemon; the module does not know of it. Bytes come and go through interfaces: what is written where,
 * and by which thread, is the program's.
 */
package quincespar.capture;
