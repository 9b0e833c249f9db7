package quincespar.protocol;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/** Decodes strict UTF-8, with a fast path for ASCII, which nearly all input is. */
public final class Utf8 {
    private Utf8() { }

    /** Decodes {@code bytes}; throws {@link MalformedException} if they are not valid UTF-8. */
    public static String text(byte[] bytes) {
        if (isAscii(bytes)) {
            return new String(bytes, StandardCharsets.ISO_8859_1);
        }
        try {
            return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
        } catch (CharacterCodingException e) {
            throw new MalformedException("text that is not UTF-8");
        }
    }

    private static boolean isAscii(byte[] bytes) {
        for (byte b : bytes) {
            if (b < 0) {
                return false;
            }
        }
        return true;
    }
}
