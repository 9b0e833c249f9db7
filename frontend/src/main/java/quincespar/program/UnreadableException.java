package quincespar.program;

import java.io.IOException;

/** A configuration's file could not be read, as opposed to one that was read and can't be used: a later try may succeed. */
final class UnreadableException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    UnreadableException(String message, IOException cause) {
        super(message, cause);
    }
}
