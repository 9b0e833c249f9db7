package quincespar.capture;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** SHA-256 digests. */
final class Digests {
    private Digests() { }

    /** A new digest; every Java platform has the algorithm. */
    static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The first sixteen hex digits of a text's digest. */
    static String shortHex(String text) {
        return HexFormat.of().formatHex(sha256(text.getBytes(StandardCharsets.UTF_8)), 0, 8);
    }

    static byte[] sha256(byte[] bytes) {
        return sha256().digest(bytes);
    }
}
