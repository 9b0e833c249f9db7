package quincespar.protocol.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class RequestDecoderTest {
    private static final String CALL = "GET /status?deep=1 HTTP/1.1\r\nHost: 127.0.0.1:9\r\nAccept: */*\r\n\r\n";

    private static Optional<RequestDecoder.Request> fed(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        return new RequestDecoder().feed(bytes, bytes.length);
    }

    private static int refusedWith(String text) {
        try {
            fed(text);
        } catch (RequestDecoder.RejectedException e) {
            return e.status();
        }
        return 0;
    }

    @Test
    void aHeadIsTakenHoweverItIsSplitAndNotBeforeItsEnd() {
        RequestDecoder one = new RequestDecoder();
        byte[] bytes = CALL.getBytes(StandardCharsets.ISO_8859_1);
        for (int i = 0; i < bytes.length - 1; i++) {
            assertThat(one.feed(new byte[] {bytes[i]}, 1)).isEmpty();
        }
        assertThat(one.feed(new byte[] {'\n'}, 1)).contains(new RequestDecoder.Request("GET", "/status"));
        assertThat(fed(CALL)).contains(new RequestDecoder.Request("GET", "/status"));
        assertThat(fed(CALL.replace("\r\n", "\n"))).isPresent();
        assertThat(fed("\r\n" + CALL)).isPresent();
    }

    @Test
    void whatFollowsTheHeadIsNotLookedAt() {
        assertThat(fed(CALL + "a body nobody asked for\0\1")).isPresent();
        assertThat(fed(CALL + CALL)).isPresent();
        RequestDecoder done = new RequestDecoder();
        done.feed(CALL.getBytes(StandardCharsets.ISO_8859_1), CALL.length());
        assertThatThrownBy(() -> done.feed(new byte[] {'G'}, 1)).isInstanceOf(IllegalStateException.class);
    }

    @Test
    void whatIsNoHttpIsABadRequest() {
        for (String wrong : List.of("hello\r\n", "GET /status\r\n", "GET  /status HTTP/1.1\r\n", "GET /status HTTP/2.0\r\n",
                "GET /sta\u0001tus HTTP/1.1\r\n", "G(T /status HTTP/1.1\r\n", "GET /status HTTP/1.1\r\nno header\r\n",
                "GET /status HTTP/1.1\r\nHost : x\r\n", "GET /status HTTP/1.1\r\n: x\r\n",
                "GET /status HTTP/1.1\r\nHost: a\u0000b\r\n", "\0\0\0\u0010\u0080\u0001\0\1\n")) {
            assertThat(refusedWith(wrong)).as(wrong).isEqualTo(400);
        }
    }

    @Test
    void aHeadWithoutEndIsTooLargeAndNoMoreOfItIsKept() {
        RequestDecoder d = new RequestDecoder();
        byte[] much = "x".repeat(100_000).getBytes(StandardCharsets.ISO_8859_1);
        assertThatThrownBy(() -> d.feed(much, much.length)).isInstanceOfSatisfying(RequestDecoder.RejectedException.class,
                e -> assertThat(e.status()).isEqualTo(431));
        assertThat(refusedWith("GET / HTTP/1.1\r\n" + "A: b\r\n".repeat(2000))).isEqualTo(431);
        assertThat(fed("GET / HTTP/1.1\r\nA: " + "b".repeat(8000) + "\r\n\r\n")).isPresent();
    }
}
