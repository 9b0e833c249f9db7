package quincespar.protocol.thrift;

import java.util.ArrayList;
import java.util.List;

/** Collects what a {@link FrameDecoder} finds. */
public final class ReceivedFrames implements FrameDecoder.Receiver {
    /** A frame over the limit, with its beginning and its length. */
    public record TooLong(byte[] head, int length) { }

    public final List<byte[]> complete = new ArrayList<>();
    public final List<byte[]> dropped = new ArrayList<>();
    public final List<TooLong> tooLong = new ArrayList<>();

    @Override
    public void frame(byte[] content) {
        complete.add(content);
    }

    @Override
    public void dropped(byte[] head) {
        dropped.add(head);
    }

    @Override
    public void tooLong(byte[] head, int length) {
        tooLong.add(new TooLong(head.clone(), length));
    }
}
