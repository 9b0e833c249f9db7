/**
 * Simulates many front ends in one process and in virtual time: the program's own reducer, scheduler and recovery run against
 * modelled engines, links, disks and consensus. A run is deterministic for a given seed. This package may use the program's
 * packages; none of them may use this one.
 */
package quincespar.laboratory;
