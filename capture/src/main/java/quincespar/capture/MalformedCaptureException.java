package quincespar.capture;

import java.io.IOException;

/** Thrown for a capture that this program did not write; the message is one sentence for operators. */
public final class MalformedCaptureException extends IOException {
    private static final long serialVersionUID = 1;

    MalformedCaptureException(String message, Throwable cause) {
        super(message, cause);
    }
}
