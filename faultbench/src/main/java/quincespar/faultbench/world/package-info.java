/** The test environment: processes of the program, relays between them, and stand-ins for engines, change log and clients. */
package quincespar.faultbench.world;
