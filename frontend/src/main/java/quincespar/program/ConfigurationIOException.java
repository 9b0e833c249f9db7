package quincespar.program;

import java.io.IOException;

/** The configuration file could not be read because of an I/O error. Unlike with an invalid file, a retry may succeed. */
final class ConfigurationIOException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    ConfigurationIOException(String message, IOException cause) {
        super(message, cause);
    }
}
