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
import quincespar.protocol.thrift.FrontCodec;
import quincespar.protocol.thrift.Message;

class CodecsTest {
    private static byte[] bytes(String s) {
        return s.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static List<List<byte[]>> resp(byte[] all, int step) {
        List<List<byte[]>> out = new ArrayList<>();
        RespDecoder d = new RespDecoder();
        for (int i = 0; i < all.length; i += step) {
            byte[] part = Arrays.copyOfRange(all, i, Math.min(all.length, i + step));
            d.feed(part, part.length, out::add);
        }
        return out;
    }

    private static List<ResponseDecoder.Response> http(String text, int step) {
        List<ResponseDecoder.Response> out = new ArrayList<>();
        ResponseDecoder d = new ResponseDecoder();
        for (int i = 0; i < text.length(); i += step) {
            byte[] part = bytes(text.substring(i, Math.min(text.length(), i + step)));
            d.feed(part, part.length, out::add);
        }
        return out;
    }

    private static byte[] callFrame(byte[] body) {
        byte[] framed = FrontCodec.call(7, Map.of("verb", "lookup"), body);
        return Arrays.copyOfRange(framed, 4, framed.length);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 1000})
    void respComesWholeHoweverItIsSplit(int step) {
        byte[] two = bytes("*4\r\n$2\r\nab\r\n$4\r\nDONE\r\n$22\r\ncount=1,use=x1:0.5;q:2\r\n$3\r\na\r\n\r\n"
                + "*2\r\n$1\r\nc\r\n$5\r\nBROKE\r\n");
        List<List<byte[]>> got = resp(two, step);
        assertThat(got).hasSize(2);
        EngineCodec.Reply a = EngineCodec.readReply(got.get(0));
        assertThat(a.type()).isEqualTo("DONE");
        assertThat(a.number("count")).isEqualTo(1);
        assertThat(a.fields()).containsEntry("use", "x1:0.5;q:2");
        assertThat(a.body()).isEqualTo(bytes("a\r\n"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"+OK\r\n", "*0\r\n", "*99\r\n", "*1\r\n$-1\r\n", "*1\r\n$99999999\r\n", "*x\r\n",
        "*1\r\n$1\r\nabc\r\n", "*1111111111111111111111111111111111111111"})
    void respThatCannotBeRightIsMalformed(String wrong) {
        assertThatThrownBy(() -> resp(bytes(wrong), 100)).isInstanceOf(MalformedException.class);
    }

    @Test
    void anAnswerWithBadTextIsMalformed() {
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
    void aPageThatIsNotWholeRowsOfThreeColumnsIsMalformed(String wrong) {
        EngineCodec.requirePage(bytes("a\tb\tc\n\t\t\n"));
        assertThatThrownBy(() -> EngineCodec.requirePage(bytes(wrong))).isInstanceOf(MalformedException.class);
        assertThatThrownBy(() -> EngineCodec.requirePage(bytes("a\tb\tc\n".repeat(1001))))
                .isInstanceOf(MalformedException.class);
    }

    @Test
    void thriftFramesComeWholeAndOverlongOnesAreMalformed() {
        List<byte[]> got = new ArrayList<>();
        FrameDecoder d = new FrameDecoder();
        for (byte b : FrontCodec.call(7, Map.of("verb", "load"), bytes("x"))) {
            d.feed(new byte[] {b}, 1, got::add);
        }
        assertThat(got).hasSize(1);
        Message.Call call = (Message.Call) FrontCodec.read(got.get(0));
        assertThat(call.seqid()).isEqualTo(7);
        assertThat(call.fields()).containsEntry("verb", "load");
        assertThat(call.body()).isEqualTo(bytes("x"));
        assertThatThrownBy(() -> new FrameDecoder().feed(new byte[] {0x7f, 0, 0, 0}, 4, got::add))
                .isInstanceOf(MalformedException.class);
    }

    @Test
    void aTruncatedCallIsAnsweredByItsNumberAndOneWithoutNumberIsMalformed() {
        byte[] whole = callFrame(bytes("SELECT 1"));
        int head = 4 + 4 + 4 + 4; // version, the method's length and name, sequence number
        for (int n = 0; n < whole.length; n++) {
            byte[] part = Arrays.copyOf(whole, n);
            if (n < head) {
                assertThatThrownBy(() -> FrontCodec.read(part)).isInstanceOf(MalformedException.class);
            } else {
                assertThat(FrontCodec.read(part)).isInstanceOf(Message.Invalid.class)
                        .extracting(Message::seqid).isEqualTo(7);
            }
        }
    }

    @Test
    void fieldsThatAreNotUtf8AreAnsweredByTheCallsNumber() {
        byte[] frame = callFrame(bytes("x"));
        int at = new String(frame, StandardCharsets.ISO_8859_1).indexOf("lookup");
        frame[at] = (byte) 0xff;
        assertThat(FrontCodec.read(frame)).isInstanceOf(Message.Invalid.class);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 7, 1000})
    void httpResponsesComeByLengthAndInChunks(int step) {
        String text = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabcd"
                + "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n3;x=y\r\ncde\r\n0\r\n\r\n"
                + "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n";
        List<ResponseDecoder.Response> got = http(text, step);
        assertThat(got).extracting(ResponseDecoder.Response::status).containsExactly(200, 200, 503);
        assertThat(got).extracting(r -> new String(r.body(), StandardCharsets.US_ASCII))
                .containsExactly("abcd", "abcde", "");
    }

    @ParameterizedTest
    @ValueSource(strings = {"SSH-2.0\r\n", "HTTP/1.1 x\r\n", "HTTP/1.1 200 OK\r\nno header\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n"})
    void httpThatCannotBeRightIsMalformed(String wrong) {
        assertThatThrownBy(() -> http(wrong, 100)).isInstanceOf(MalformedException.class);
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '~', value = {
        "SELECT a FROM sales_17.orders o|17",
        "select 'x_3.y' from -- y_4.z¶ /* b_5.c */ \"sales_8\" . \"orders\"|8",
        "INSERT INTO staging.t SELECT t_9.c FROM sales_6.t t_9|6",
        "SELECT 'it''s sales_3.x', d_2.c FROM stock_12.items d_2|12",
        "SELECT 1 FROM staging.t|0", "UPDATE stock_4.items SET n = 1|4", "SELECT 'open|0", "/* open|0"})
    void theGroupIsTheNumberOfTheSchema(String statement, int group) {
        assertThat(StatementScanner.tableGroup(bytes(statement.replace('¶', '\n')))).isEqualTo(group);
    }

    @Test
    void changesAreReadWholeOrNotAtAll() {
        String good = "{\"seq\":41,\"results\":[{\"seq\":41,\"fleet\":{\"revision\":7,\"complete\":false,\"members\":"
                + "[{\"id\":\"s-1\",\"host_port\":\"10.1.0.9:8080\",\"phase\":\"up\",\"size\":4,\"up_since_ms\":0}]}}]}";
        ChangeLogCodec.Changes c = ChangeLogCodec.read(bytes(good));
        assertThat(c.seq()).isEqualTo(41);
        assertThat(c.events().get(0).members().get(0).phase()).isEqualTo(FleetEvent.Phase.UP);
        for (String wrong : List.of("", "[]", "{\"seq\":1}", good.substring(0, 60), good.replace("\"up\"", "\"odd\""),
                good.replace("10.1.0.9:8080", "10"))) {
            assertThatThrownBy(() -> ChangeLogCodec.read(bytes(wrong))).isInstanceOf(MalformedException.class);
        }
    }
}
