package quincespar.protocol;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import quincespar.protocol.http.ResponseDecoder;
import quincespar.protocol.resp.EngineCodec;
import quincespar.protocol.resp.RespDecoder;
import quincespar.protocol.thrift.FrameDecoder;
import quincespar.protocol.thrift.FrameMemory;
import quincespar.protocol.thrift.FrontCodec;
import quincespar.protocol.thrift.Message;
import quincespar.protocol.thrift.ReceivedFrames;

class CodecsTest {
    private static byte[] bytes(String s) {
        return s.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static List<List<byte[]>> resp(byte[] all, int step) {
        List<List<byte[]>> out = new ArrayList<>();
        RespDecoder decoder = new RespDecoder();
        for (int i = 0; i < all.length; i += step) {
            byte[] part = Arrays.copyOfRange(all, i, Math.min(all.length, i + step));
            decoder.feed(part, part.length, out::add);
        }
        return out;
    }

    private static List<ResponseDecoder.Response> http(String text, int step) {
        List<ResponseDecoder.Response> out = new ArrayList<>();
        ResponseDecoder decoder = new ResponseDecoder();
        for (int i = 0; i < text.length(); i += step) {
            byte[] part = bytes(text.substring(i, Math.min(text.length(), i + step)));
            decoder.feed(part, part.length, out::add);
        }
        return out;
    }

    private static byte[] callFrame(byte[] body) {
        byte[] framed = FrontCodec.call(7, Map.of("verb", "lookup"), body);
        return Arrays.copyOfRange(framed, 4, framed.length);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 1000})
    void respIsDecodedHoweverItIsSplit(int step) {
        byte[] messages = bytes("*4\r\n$2\r\nab\r\n$4\r\nDONE\r\n$22\r\ncount=1,use=x1:0.5;q:2\r\n$3\r\na\r\n\r\n"
                + "*2\r\n$1\r\nc\r\n$5\r\nBROKE\r\n");
        List<List<byte[]>> decoded = resp(messages, step);
        assertThat(decoded).hasSize(2);
        EngineCodec.Reply reply = EngineCodec.readReply(decoded.get(0));
        assertThat(reply.type()).isEqualTo("DONE");
        assertThat(reply.number("count")).isEqualTo(1);
        assertThat(reply.fields()).containsEntry("use", "x1:0.5;q:2");
        assertThat(reply.body()).isEqualTo(bytes("a\r\n"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"+OK\r\n", "*0\r\n", "*99\r\n", "*1\r\n$-1\r\n", "*1\r\n$99999999\r\n", "*x\r\n",
        "*1\r\n$1\r\nabc\r\n", "*1111111111111111111111111111111111111111"})
    void invalidRespIsRejected(String invalid) {
        assertThatThrownBy(() -> resp(bytes(invalid), 100)).isInstanceOf(MalformedException.class);
    }

    @Test
    void aReplyWithInvalidTextIsRejected() {
        byte[] id = bytes("id");
        assertThatThrownBy(() -> EngineCodec.readReply(List.of(id, new byte[] {(byte) 0xff})))
                .isInstanceOf(MalformedException.class);
        assertThatThrownBy(() -> EngineCodec.readReply(List.of(id, bytes("DONE"), bytes("count"))))
                .isInstanceOf(MalformedException.class);
        assertThatThrownBy(() -> EngineCodec.readReply(List.of(id, bytes("DONE"), bytes("-"))).number("count"))
                .isInstanceOf(MalformedException.class);
    }

    @ParameterizedTest
    @ValueSource(strings = {"a\tb\tc", "a\tb\n", "a\tb\tc\td\n", "a\tb\tc\nd", "a\tb\t\u00ff\n"})
    void aPageThatIsNotCompleteRowsOfThreeColumnsIsRejected(String invalid) {
        EngineCodec.requirePage(bytes("a\tb\tc\n\t\t\n"));
        assertThatThrownBy(() -> EngineCodec.requirePage(bytes(invalid))).isInstanceOf(MalformedException.class);
        assertThatThrownBy(() -> EngineCodec.requirePage(bytes("a\tb\tc\n".repeat(1001))))
                .isInstanceOf(MalformedException.class);
    }

    @Test
    void thriftFramesAreDecodedAndNegativeLengthsRejected() {
        ReceivedFrames received = new ReceivedFrames();
        FrameDecoder decoder = new FrameDecoder(new FrameMemory(0));
        for (byte b : FrontCodec.call(7, Map.of("verb", "load"), bytes("x"))) {
            decoder.feed(new byte[] {b}, 0, 1, received);
        }
        assertThat(received.complete).hasSize(1);
        Message.Call call = (Message.Call) FrontCodec.read(received.complete.get(0));
        assertThat(call.seqid()).isEqualTo(7);
        assertThat(call.fields()).containsEntry("verb", "load");
        assertThat(call.body()).isEqualTo(bytes("x"));
        assertThatThrownBy(() -> new FrameDecoder(new FrameMemory(0)).feed(new byte[] {-1, 0, 0, 0}, 0, 4, received))
                .isInstanceOf(MalformedException.class);
    }

    @Test
    void aTruncatedCallIsInvalidWithItsSequenceNumberOrRejectedWithoutOne() {
        byte[] complete = callFrame(bytes("SELECT 1"));
        int head = 4 + 4 + 4 + 4; // version, the method's length and name, sequence number
        for (int n = 0; n < complete.length; n++) {
            byte[] part = Arrays.copyOf(complete, n);
            if (n < head) {
                assertThatThrownBy(() -> FrontCodec.read(part)).isInstanceOf(MalformedException.class);
            } else {
                assertThat(FrontCodec.read(part)).isInstanceOf(Message.Invalid.class)
                        .extracting(Message::seqid).isEqualTo(7);
            }
        }
    }

    @Test
    void fieldsThatAreNotUtf8MakeACallInvalid() {
        byte[] frame = callFrame(bytes("x"));
        int at = new String(frame, StandardCharsets.ISO_8859_1).indexOf("lookup");
        frame[at] = (byte) 0xff;
        assertThat(FrontCodec.read(frame)).isInstanceOf(Message.Invalid.class);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 7, 1000})
    void httpResponsesAreDecodedByLengthAndInChunks(int step) {
        String text = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabcd"
                + "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n3;x=y\r\ncde\r\n0\r\n\r\n"
                + "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n";
        List<ResponseDecoder.Response> decoded = http(text, step);
        assertThat(decoded).extracting(ResponseDecoder.Response::status).containsExactly(200, 200, 503);
        assertThat(decoded).extracting(r -> new String(r.body(), StandardCharsets.US_ASCII))
                .containsExactly("abcd", "abcde", "");
    }

    @ParameterizedTest
    @ValueSource(strings = {"SSH-2.0\r\n", "HTTP/1.1 x\r\n", "HTTP/1.1 200 OK\r\nno header\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n"})
    void invalidHttpIsRejected(String invalid) {
        assertThatThrownBy(() -> http(invalid, 100)).isInstanceOf(MalformedException.class);
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '~', value = {
        "SELECT a FROM sales_17.orders o|17",
        "select 'x_3.y' from -- y_4.z¶ /* b_5.c */ \"sales_8\" . \"orders\"|8",
        "INSERT INTO staging.t SELECT t_9.c FROM sales_6.t t_9|6",
        "SELECT 'it''s sales_3.x', d_2.c FROM stock_12.items d_2|12",
        "SELECT 1 FROM staging.t|0", "UPDATE stock_4.items SET n = 1|4", "SELECT 'open|0", "/* open|0"})
    void theTableGroupIsTheNumberOfTheSchema(String statement, int group) {
        assertThat(StatementScanner.tableGroup(bytes(statement.replace('¶', '\n')))).isEqualTo(group);
    }

    @Test
    void invalidChangeLogAnswersAreRejected() {
        String valid = "{\"seq\":41,\"results\":[{\"seq\":41,\"fleet\":{\"revision\":7,\"complete\":false,\"members\":"
                + "[{\"id\":\"s-1\",\"host_port\":\"10.1.0.9:8080\",\"phase\":\"up\",\"size\":4,\"up_since_ms\":0}]}}]}";
        ChangeLogCodec.Changes changes = ChangeLogCodec.read(bytes(valid));
        assertThat(changes.seq()).isEqualTo(41);
        assertThat(changes.events().get(0).members().get(0).phase()).isEqualTo(FleetEvent.Phase.UP);
        for (String invalid : List.of("", "[]", "{\"seq\":1}", valid.substring(0, 60), valid.replace("\"up\"", "\"odd\""),
                valid.replace("10.1.0.9:8080", "10"))) {
            assertThatThrownBy(() -> ChangeLogCodec.read(bytes(invalid))).isInstanceOf(MalformedException.class);
        }
    }
}
