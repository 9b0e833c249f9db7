package quincespar.capture;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Digests that every Java platform has. */
final class Digests {
    private Digests() { }

    static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Sixteen hex digits of a text's digest: a name for a form that changes where the form does. */
    static String name(String text) {
        return HexFormat.of().formatHex(sha256(text.getBytes(StandardCharsets.UTF_8)), 0, 8);
    }

    static byte[] sha256(byte[] bytes) {
        return sha256().digest(bytes);
    }
}
