package quincespar.agreement;

import java.nio.ByteBuffer;
import java.util.concurrent.ThreadLocalRandom;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.thirdparty.com.google.protobuf.ByteString;

/**
 * Eight bytes before each question, which its answer brings back. The transport hands answers out in the order in which they
 * come: one that was lost on the way shifts all that follow on that connection, and each would pass for another's.
 */
final class CorrelationToken {
    private static final int LENGTH = Long.BYTES;

    private CorrelationToken() { }

    /** A question with a token of its own. */
    static ByteString tagRequest(byte[] bytes) {
        return with(ByteString.copyFrom(ByteBuffer.allocate(LENGTH).putLong(ThreadLocalRandom.current().nextLong()).flip()),
                bytes);
    }

    private static ByteString with(ByteString token, byte[] bytes) {
        return token.concat(ByteString.copyFrom(bytes));
    }

    /** An answer to a question. */
    static Message tagReply(ByteString question, byte[] bytes) {
        return Message.valueOf(with(question.substring(0, Math.min(LENGTH, question.size())), bytes));
    }

    /** What is behind the token; empty where there is none. */
    static byte[] payload(ByteString bytes) {
        return bytes.size() < LENGTH ? new byte[0] : bytes.substring(LENGTH).toByteArray();
    }

    /** Whether an answer is to this question. */
    static boolean matches(ByteString question, ByteString answer) {
        return answer.size() >= LENGTH && answer.substring(0, LENGTH).equals(question.substring(0, LENGTH));
    }
}
