package quincespar.protocol.thrift;

import java.util.function.Consumer;
import quincespar.protocol.Buffer;
import quincespar.protocol.MalformedException;

/** Takes bytes as they come and hands on the content of each whole frame. */
public final class FrameDecoder {
    private static final int LONGEST = 64 * 1024;

    private final Buffer buffer = new Buffer();

    /** Whether a frame has begun and not ended. */
    public boolean hasPartialMessage() {
        return buffer.size() > 0;
    }

    /** Feeds {@code count} bytes; throws {@link MalformedException} where a length is out of bounds. */
    public void feed(byte[] bytes, int count, Consumer<byte[]> taker) {
        buffer.add(bytes, count);
        while (buffer.size() >= 4) {
            int length = buffer.int32(0);
            if (length <= 0 || length > LONGEST) {
                throw new MalformedException("a frame of " + length + " bytes");
            }
            if (buffer.size() < 4 + length) {
                return;
            }
            buffer.skip(4);
            taker.accept(buffer.take(length));
        }
    }
}
