/** Histories of test runs and the checkers that judge them. Independent of the program under test. */
package quincespar.faultbench.check;
