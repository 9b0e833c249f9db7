package quincespar.protocol.thrift;

import quincespar.protocol.MalformedException;

/**
 * Splits received bytes into frames with a length prefix. A long frame that is partly received needs memory, which all
 * connections share. Where there is none, and of a frame over the limit, all but the beginning is dropped: that is enough
 * to answer it, and the frames behind it are read as usual.
 */
public final class FrameDecoder {
    /** Receives what is found in the bytes, in their order. */
    public interface Receiver {
        /** Whether a further frame may begin now; if not, the rest of the bytes is left to the caller. */
        default boolean acceptsFrame() {
            return true;
        }

        /** A complete frame's content. */
        void frame(byte[] content);

        /** A frame has ended for which there was no memory; only its beginning is there. */
        void dropped(byte[] head);

        /** A frame of {@code length} bytes, which is over the limit, has begun; the rest of it is dropped. */
        void tooLong(byte[] head, int length);
    }

    /** Limit on a frame's content. */
    public static final int MAX_FRAME_BYTES = 64 * 1024;
    private static final int PREFIX_BYTES = 4;
    /** Frames up to this length need no reserved memory. */
    private static final int SHORT_FRAME_BYTES = 4 * 1024;
    /** What is kept of a frame that is dropped: enough for its message's type, method and sequence number. */
    private static final int HEAD_BYTES = 256;

    private final FrameMemory memory;
    private final byte[] prefix = new byte[PREFIX_BYTES];
    /** Bytes of the current frame that have been received, with its prefix. */
    private long received;
    private int frameLength;
    /** The current frame's content, or its beginning where the rest is dropped; null while the prefix is incomplete. */
    private byte[] frame;
    private int reserved;

    /** Creates a decoder; a long frame that is partly received takes its memory from {@code memory}. */
    public FrameDecoder(FrameMemory memory) {
        this.memory = memory;
    }

    /** Whether a frame has begun and is incomplete. */
    public boolean hasPartialMessage() {
        return received > 0;
    }

    /**
     * Feeds the bytes up to {@code to}, and returns up to where they were taken: all of them, unless the receiver accepts no
     * further frame. Throws {@link MalformedException} if a length is negative: no further frame can be found then.
     */
    public int feed(byte[] bytes, int from, int to, Receiver receiver) {
        int offset = from;
        while (offset < to && (received > 0 || receiver.acceptsFrame())) {
            offset += frame == null ? addToPrefix(bytes, offset, to) : addToFrame(bytes, offset, to, receiver);
            if (received == PREFIX_BYTES) {
                beginFrame(to - offset);
            }
            if (frame != null && received == PREFIX_BYTES + (long) frameLength) {
                endFrame(receiver);
            }
        }
        return offset;
    }

    /** Forgets the partly received frame. */
    public void reset() {
        memory.release(reserved);
        reserved = 0;
        received = 0;
        frame = null;
    }

    private int addToPrefix(byte[] bytes, int offset, int count) {
        int at = (int) received;
        int taken = Math.min(PREFIX_BYTES - at, count - offset);
        System.arraycopy(bytes, offset, prefix, at, taken);
        received += taken;
        return taken;
    }

    private int addToFrame(byte[] bytes, int offset, int count, Receiver receiver) {
        int at = (int) (received - PREFIX_BYTES);
        int taken = Math.min(frameLength - at, count - offset);
        if (at < frame.length) {
            System.arraycopy(bytes, offset, frame, at, Math.min(taken, frame.length - at));
        }
        received += taken;
        if (tooLong() && at < HEAD_BYTES && at + taken >= HEAD_BYTES) {
            receiver.tooLong(frame, frameLength);
        }
        return taken;
    }

    private boolean tooLong() {
        return frameLength > MAX_FRAME_BYTES;
    }

    private void beginFrame(int available) {
        frameLength = (prefix[0] & 255) << 24 | (prefix[1] & 255) << 16 | (prefix[2] & 255) << 8 | prefix[3] & 255;
        if (frameLength < 0) {
            throw new MalformedException("a frame of " + frameLength + " bytes");
        }
        boolean needsMemory = !tooLong() && frameLength > SHORT_FRAME_BYTES && available < frameLength;
        if (needsMemory && memory.reserve(frameLength)) {
            reserved = frameLength;
        }
        frame = new byte[tooLong() || needsMemory && reserved == 0 ? HEAD_BYTES : frameLength];
    }

    private void endFrame(Receiver receiver) {
        byte[] ended = frame;
        boolean whole = ended.length == frameLength;
        boolean reported = tooLong();
        reset();
        if (whole) {
            receiver.frame(ended);
        } else if (!reported) {
            receiver.dropped(ended);
        }
    }
}
