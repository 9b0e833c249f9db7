package quincespar.capture;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

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

    static byte[] sha256(byte[] bytes) {
        return sha256().digest(bytes);
    }
}
