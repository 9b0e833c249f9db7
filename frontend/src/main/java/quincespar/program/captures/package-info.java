/**
 * Captures of the decision module's calls: their files, the running capture of a module, and the commands that read them. It
 * may use {@code runtime} and the module {@code capture}.
 */
package quincespar.program.captures;
