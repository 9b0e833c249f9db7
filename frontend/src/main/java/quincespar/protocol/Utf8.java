package quincespar.protocol;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/** Text from peers: strict UTF-8. Plain ASCII, which nearly all of it is, takes a short way. */
public final class Utf8 {
    private Utf8() { }

    /** The text of all of {@code b}; throws {@link MalformedException} where it is not UTF-8. */
    public static String text(byte[] b) {
        if (ascii(b)) {
            return new String(b, StandardCharsets.ISO_8859_1);
        }
        try {
            return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(b)).toString();
        } catch (CharacterCodingException e) {
            throw new MalformedException("text that is not UTF-8");
        }
    }

    private static boolean ascii(byte[] b) {
        for (byte x : b) {
            if (x < 0) {
                return false;
            }
        }
        return true;
    }
}
