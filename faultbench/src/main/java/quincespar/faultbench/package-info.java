/** The fault injection tool: its command line, and a test run from start to verdict. */
package quincespar.faultbench;
