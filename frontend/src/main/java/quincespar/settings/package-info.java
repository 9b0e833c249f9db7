/**
 * The operators' settings file: a line-based format with blocks, parsed by an ANTLR grammar ({@code Conf.g4}) and checked
 * against the list of settings in {@link quincespar.settings.Keyword}. A file is accepted as a whole or rejected with all
 * its errors at once, each with file, line and column. The package does no file access, keeps no state and does not know
 * what the settings are used for.
 */
package quincespar.settings;
