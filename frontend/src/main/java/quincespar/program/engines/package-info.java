/**
 * The engines' side: links to engines, and the client of the change log. It may use {@code runtime}, and not {@code clients}.
 */
package quincespar.program.engines;
