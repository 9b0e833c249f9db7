package quincespar.agreement;

import java.nio.ByteBuffer;
import java.util.concurrent.ThreadLocalRandom;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.thirdparty.com.google.protobuf.ByteString;

/**
 * Eight random bytes in front of each request, which its reply repeats. The transport matches replies to requests by their order
 * on a connection: after a lost reply each one that follows would be taken for the reply to another request.
 */
final class CorrelationToken {
    private static final int LENGTH_BYTES = Long.BYTES;

    private CorrelationToken() { }

    /** A request with a new token. */
    static ByteString tagRequest(byte[] bytes) {
        ByteBuffer token = ByteBuffer.allocate(LENGTH_BYTES).putLong(ThreadLocalRandom.current().nextLong()).flip();
        return prepend(ByteString.copyFrom(token), bytes);
    }

    private static ByteString prepend(ByteString token, byte[] bytes) {
        return token.concat(ByteString.copyFrom(bytes));
    }

    /** A reply with the token of its request. */
    static Message tagReply(ByteString request, byte[] bytes) {
        return Message.valueOf(prepend(request.substring(0, Math.min(LENGTH_BYTES, request.size())), bytes));
    }

    /** The bytes after the token; empty if there is no token. */
    static byte[] payload(ByteString bytes) {
        return bytes.size() < LENGTH_BYTES ? new byte[0] : bytes.substring(LENGTH_BYTES).toByteArray();
    }

    /** Whether a reply has the token of this request. */
    static boolean matches(ByteString request, ByteString reply) {
        return reply.size() >= LENGTH_BYTES && reply.substring(0, LENGTH_BYTES).equals(request.substring(0, LENGTH_BYTES));
    }
}
