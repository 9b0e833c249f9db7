/** The replicated log by Apache Ratis. Knows that library and the fleet's commands as bytes, and makes no decisions. */
package quincespar.agreement;
