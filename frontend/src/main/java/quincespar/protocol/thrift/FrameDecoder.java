package quincespar.protocol.thrift;

import java.util.function.Consumer;
import quincespar.protocol.Buffer;
import quincespar.protocol.MalformedException;

/** Splits received bytes into frames with a length prefix. */
public final class FrameDecoder {
    private static final int MAX_FRAME_BYTES = 64 * 1024;

    private final Buffer buffer = new Buffer();

    /** Whether a frame has begun and is incomplete. */
    public boolean hasPartialMessage() {
        return buffer.size() > 0;
    }

    /**
     * Feeds {@code count} bytes and passes on the content of each complete frame. Throws {@link MalformedException} if a
     * length is out of range.
     */
    public void feed(byte[] bytes, int count, Consumer<byte[]> consumer) {
        buffer.add(bytes, count);
        while (buffer.size() >= 4) {
            int length = buffer.int32(0);
            if (length <= 0 || length > MAX_FRAME_BYTES) {
                throw new MalformedException("a frame of " + length + " bytes");
            }
            if (buffer.size() < 4 + length) {
                return;
            }
            buffer.skip(4);
            consumer.accept(buffer.take(length));
        }
    }
}
