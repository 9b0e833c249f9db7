/** The program: command line, configuration, start, phases and shutdown, and the wiring of the reducer with its I/O. */
package quincespar.program;
