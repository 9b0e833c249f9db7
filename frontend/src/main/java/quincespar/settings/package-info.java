/**
 * The operators' own file: a line-based form in the manner of classic daemons, read by an ANTLR grammar ({@code
 * Conf.g4}) and checked against one list of what can be set ({@link quincespar.settings.Keyword}). A file is taken whole
 * or not at all, and all that is wrong with it is said at once, each with file, line and column. It knows nothing of
 * what is done with the settings, reads no file by itself, and holds no state.
 */
package quincespar.settings;
