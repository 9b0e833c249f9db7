/** Fault schedules: their text format, the fixed ones, and generators driven by a seed. Executes nothing. */
package quincespar.faultbench.schedule;
