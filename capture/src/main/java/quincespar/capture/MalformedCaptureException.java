package quincespar.capture;

import java.io.IOException;

/** A capture that is not what this program writes; the message is one plain sentence. */
public final class MalformedCaptureException extends IOException {
    private static final long serialVersionUID = 1;

    MalformedCaptureException(String message, Throwable cause) {
        super(message, cause);
    }
}
