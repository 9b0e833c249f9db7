package quincespar.protocol.thrift;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Frames are complete however their bytes arrive, and what is partly received takes a limited memory. */
class FrameDecoderTest {
    private static final int LONG_BODY_BYTES = 60_000;
    private static final int READ_BYTES = 16 * 1024;

    private final ReceivedFrames received = new ReceivedFrames();

    private static byte[] call(int seqid, int bodyBytes) {
        return FrontCodec.call(seqid, Map.of("verb", "load"), new byte[bodyBytes]);
    }

    private void feed(FrameDecoder decoder, byte[] bytes, int from, int to) {
        decoder.feed(bytes, from, to, received);
    }

    private void feed(FrameDecoder decoder, byte[] bytes) {
        for (int from = 0; from < bytes.length; from += READ_BYTES) {
            feed(decoder, bytes, from, Math.min(bytes.length, from + READ_BYTES));
        }
    }

    @Test
    void framesAreTheSameHoweverTheirBytesAreSplit() {
        for (int seed = 0; seed < 200; seed++) {
            Random random = new Random(seed);
            FrameMemory memory = new FrameMemory(1 << 20);
            FrameDecoder decoder = new FrameDecoder(memory);
            ByteArrayOutputStream sent = new ByteArrayOutputStream();
            List<byte[]> frames = new ArrayList<>();
            for (int i = 1; i <= 10; i++) {
                byte[] call = call(i, random.nextInt(2) == 0 ? 1 + random.nextInt(40) : random.nextInt(LONG_BODY_BYTES));
                sent.writeBytes(call);
                frames.add(Arrays.copyOfRange(call, 4, call.length));
            }
            byte[] bytes = sent.toByteArray();
            for (int from = 0; from < bytes.length;) {
                int to = Math.min(bytes.length, from + 1 + random.nextInt(random.nextInt(3) == 0 ? 5 : READ_BYTES));
                feed(decoder, bytes, from, to);
                from = to;
            }
            assertThat(received.complete.toArray(byte[][]::new)).as("seed %d", seed).isDeepEqualTo(frames.toArray(byte[][]::new));
            assertThat(decoder.hasPartialMessage()).isFalse();
            assertThat(memory.reservedBytes()).isZero();
            received.complete.clear();
        }
        assertThat(received.dropped).isEmpty();
    }

    /** Guards against a heap filled by long frames that are partly received on many connections. */
    @Test
    void aLongFrameForWhichThereIsNoMemoryIsDroppedButForItsHead() {
        FrameMemory memory = new FrameMemory(2 * LONG_BODY_BYTES);
        byte[] call = call(7, LONG_BODY_BYTES);
        FrameDecoder holder = new FrameDecoder(memory);
        feed(holder, call, 0, 100);
        FrameDecoder other = new FrameDecoder(memory);
        feed(other, call);
        assertThat(received.complete).isEmpty();
        assertThat(received.dropped).hasSize(1).allSatisfy(head -> {
            assertThat(head.length).isLessThan(1000);
            assertThat(FrontCodec.callSeqid(head)).hasValue(7);
        });
        feed(other, call(8, 100)); // what follows is read again
        assertThat(received.complete).hasSize(1);
        feed(holder, call, 100, call.length);
        assertThat(received.complete).hasSize(2);
        assertThat(memory.reservedBytes()).isZero();
    }

    /** Guards against a message that is too long and hides the ones behind it, or that can't be answered under its number. */
    @Test
    void aFrameOverTheLimitIsReportedAtItsBeginningAndSkipped() {
        FrameDecoder decoder = new FrameDecoder(new FrameMemory(0));
        int length = call(0, 1 << 20).length - Integer.BYTES;
        byte[] call = call(7, 1 << 20);
        feed(decoder, call, 0, 200);
        assertThat(received.tooLong).isEmpty();
        feed(decoder, call, 200, 300);
        assertThat(received.tooLong).singleElement().satisfies(frame -> {
            assertThat(frame.length()).isEqualTo(length);
            assertThat(FrontCodec.callSeqid(frame.head())).hasValue(7);
        });
        feed(decoder, Arrays.copyOfRange(call, 300, call.length));
        feed(decoder, call(8, 100));
        assertThat(received.tooLong).hasSize(1);
        assertThat(received.complete).hasSize(1);
        assertThat(received.dropped).isEmpty();
    }

    @Test
    void theLongestLengthIsSkippedToo() {
        FrameDecoder decoder = new FrameDecoder(new FrameMemory(0));
        byte[] call = call(Integer.MAX_VALUE, 1 << 20);
        System.arraycopy(new byte[] {0x7f, -1, -1, -1}, 0, call, 0, Integer.BYTES);
        feed(decoder, call);
        feed(decoder, new byte[1 << 20]);
        assertThat(received.tooLong).extracting(ReceivedFrames.TooLong::length).containsExactly(Integer.MAX_VALUE);
        assertThat(decoder.hasPartialMessage()).isTrue();
        assertThat(received.complete).isEmpty();
    }

    @Test
    void aDecoderThatIsResetReleasesItsMemory() {
        FrameMemory memory = new FrameMemory(LONG_BODY_BYTES + 1000);
        FrameDecoder decoder = new FrameDecoder(memory);
        feed(decoder, call(1, LONG_BODY_BYTES), 0, 100);
        assertThat(memory.reservedBytes()).isPositive();
        decoder.reset();
        assertThat(memory.reservedBytes()).isZero();
        assertThat(decoder.hasPartialMessage()).isFalse();
    }

    @Test
    void onlyTheHeadOfACallHasItsSequenceNumber() {
        byte[] health = FrontCodec.healthCall(3);
        assertThat(FrontCodec.callSeqid(Arrays.copyOfRange(health, 4, health.length))).isEmpty();
        assertThat(FrontCodec.callSeqid(new byte[3])).isEmpty();
    }
}
