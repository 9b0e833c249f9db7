package quincespar.protocol.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class RequestDecoderTest {
    private static final String GET_STATUS = "GET /status?deep=1 HTTP/1.1\r\nHost: 127.0.0.1:9\r\nAccept: */*\r\n\r\n";

    private static Optional<RequestDecoder.Request> decode(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        return new RequestDecoder().feed(bytes, bytes.length);
    }

    private static int rejectionStatus(String text) {
        try {
            decode(text);
        } catch (RequestDecoder.RejectedException e) {
            return e.status();
        }
        return 0;
    }

    @Test
    void aHeadIsDecodedHoweverItIsSplitAndNotBeforeItsEnd() {
        RequestDecoder decoder = new RequestDecoder();
        byte[] bytes = GET_STATUS.getBytes(StandardCharsets.ISO_8859_1);
        for (int i = 0; i < bytes.length - 1; i++) {
            assertThat(decoder.feed(new byte[] {bytes[i]}, 1)).isEmpty();
        }
        assertThat(decoder.feed(new byte[] {'\n'}, 1)).contains(new RequestDecoder.Request("GET", "/status"));
        assertThat(decode(GET_STATUS)).contains(new RequestDecoder.Request("GET", "/status"));
        assertThat(decode(GET_STATUS.replace("\r\n", "\n"))).isPresent();
        assertThat(decode("\r\n" + GET_STATUS)).isPresent();
    }

    @Test
    void bytesAfterTheHeadAreIgnored() {
        assertThat(decode(GET_STATUS + "an unexpected body\0\1")).isPresent();
        assertThat(decode(GET_STATUS + GET_STATUS)).isPresent();
        RequestDecoder completed = new RequestDecoder();
        completed.feed(GET_STATUS.getBytes(StandardCharsets.ISO_8859_1), GET_STATUS.length());
        assertThatThrownBy(() -> completed.feed(new byte[] {'G'}, 1)).isInstanceOf(IllegalStateException.class);
    }

    @Test
    void anInvalidHeadIsABadRequest() {
        for (String invalid : List.of("hello\r\n", "GET /status\r\n", "GET  /status HTTP/1.1\r\n", "GET /status HTTP/2.0\r\n",
                "GET /sta\u0001tus HTTP/1.1\r\n", "G(T /status HTTP/1.1\r\n", "GET /status HTTP/1.1\r\nno header\r\n",
                "GET /status HTTP/1.1\r\nHost : x\r\n", "GET /status HTTP/1.1\r\n: x\r\n",
                "GET /status HTTP/1.1\r\nHost: a\u0000b\r\n", "\0\0\0\u0010\u0080\u0001\0\1\n")) {
            assertThat(rejectionStatus(invalid)).as(invalid).isEqualTo(400);
        }
    }

    @Test
    void aHeadOverTheLimitIsTooLarge() {
        RequestDecoder decoder = new RequestDecoder();
        byte[] oversized = "x".repeat(100_000).getBytes(StandardCharsets.ISO_8859_1);
        assertThatThrownBy(() -> decoder.feed(oversized, oversized.length)).isInstanceOfSatisfying(
                RequestDecoder.RejectedException.class,
                e -> assertThat(e.status()).isEqualTo(431));
        assertThat(rejectionStatus("GET / HTTP/1.1\r\n" + "A: b\r\n".repeat(2000))).isEqualTo(431);
        assertThat(decode("GET / HTTP/1.1\r\nA: " + "b".repeat(8000) + "\r\n\r\n")).isPresent();
    }
}
