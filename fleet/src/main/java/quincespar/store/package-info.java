/**
 * An instance's durable folder: what was written to it survives a kill and a loss of power, or is found to be missing. Knows
 * files only, nothing of fleets.
 */
package quincespar.store;
