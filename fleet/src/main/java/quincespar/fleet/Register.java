package quincespar.fleet;

/**
 * A replicated named value.
 *
 * @param version how often it has been written, from 1
 * @param writer the name of the instance that wrote it last
 * @param writerIncarnation that instance's incarnation at the time
 */
public record Register(String name, long version, String value, String writer, long writerIncarnation) { }
