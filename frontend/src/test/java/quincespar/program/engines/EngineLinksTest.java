package quincespar.program.engines;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import quincespar.routing.AttemptKey;
import quincespar.routing.Effect;
import quincespar.routing.Input;
import quincespar.routing.RoutingSettings;
import quincespar.transport.EventLoop;
import quincespar.transport.WithdrawableWrite;

/** What the links report of messages that arrive in parts, and of attempts that can't be queued. */
@Timeout(30)
class EngineLinksTest {
    private static final String RESPONSE = "*4\r\n$1\r\na\r\n$4\r\nDONE\r\n$7\r\ncount=1\r\n$2\r\nx\n\r\n";

    private static final int STATEMENT_BYTES = 60_000;
    private static final RoutingSettings SETTINGS = RoutingSettings.of(Map.of("tick", "5", "requestClasses.count", "1",
            "requestClasses.0.slo", "800", "requestClasses.0.hardLimit", "4000"));

    private final BlockingQueue<Input> posted = new LinkedBlockingQueue<>();
    private EventLoop loop;
    private EngineLinks links;
    private Socket engine;

    /** Opens a link. */
    @BeforeEach
    void connect() throws Exception {
        loop = new EventLoop("test");
        loop.start();
        links = new EngineLinks(loop, SETTINGS, posted::add);
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            links.open(new Effect.OpenLink(1, "127.0.0.1:" + server.getLocalPort()));
            engine = server.accept();
        }
        assertThat(posted.take()).isEqualTo(new Input.LinkUp(1));
    }

    @AfterEach
    void disconnect() throws Exception {
        engine.close();
        loop.stop();
    }

    private void answer(String text) throws Exception {
        engine.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /**
     * Each write of the engine ends in the middle of a message, so the link is never between two messages. Every partial message
     * must still be reported anew, so that each has its own time limit.
     */
    @Test
    void reportsEachPartialMessageAnew() throws Exception {
        String firstPart = RESPONSE.substring(0, 20);
        String rest = RESPONSE.substring(20);
        answer(firstPart);
        assertThat(posted.take()).isEqualTo(new Input.PartialMessage(1, true));
        for (int i = 0; i < 3; i++) {
            answer(rest + firstPart);
            assertThat(posted.take()).isInstanceOf(Input.EngineMessageReceived.class);
            assertThat(posted.take()).isEqualTo(new Input.PartialMessage(1, true));
        }
        answer(rest);
        assertThat(posted.take()).isInstanceOf(Input.EngineMessageReceived.class);
        assertThat(posted.take()).isEqualTo(new Input.PartialMessage(1, false));
    }

    /** Guards against attempts that end because another one does not fit into the outbox of their link. */
    @Test
    void anAttemptThatDoesNotFitLeavesItsLinkToTheOthers() throws Exception {
        int sent = 0;
        while (!(posted.peek() instanceof Input.SendRejected) && !(posted.peek() instanceof Input.LinkDown)) {
            posted.removeIf(input -> input instanceof Input.SendWritten);
            links.send(attempt(++sent));
        }
        assertThat(posted.take()).isEqualTo(new Input.SendRejected(new AttemptKey(sent, 0)));
        answer(RESPONSE);
        assertThat(posted.take()).isInstanceOf(Input.EngineMessageReceived.class);
        int queuedBytes = (sent - 1) * STATEMENT_BYTES;
        assertThat(engine.getInputStream().readNBytes(queuedBytes)).hasSize(queuedBytes);
    }

    private static Effect.Send attempt(int number) {
        return new Effect.Send(1, new AttemptKey(number, 0), String.format("%016x", number), "load", "", 1, 1000,
                new byte[STATEMENT_BYTES], new WithdrawableWrite());
    }
}
