/** Reports of runs as HTML pages and SVG charts. */
package quincespar.faultbench.report;
