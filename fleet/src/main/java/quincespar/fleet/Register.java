package quincespar.fleet;

/**
 * A named value on which all agree.
 *
 * @param version how often it has been written, from 1
 * @param value its text
 * @param by the name of the instance that wrote it
 * @param incarnation that instance's life
 */
public record Register(String name, long version, String value, String writer, long writerIncarnation) { }
