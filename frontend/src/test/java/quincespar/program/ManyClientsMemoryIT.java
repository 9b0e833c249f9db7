package quincespar.program;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import quincespar.protocol.thrift.FrontCodec;

/** The jar under hundreds of clients at once that each send what takes much memory. */
@Timeout(120)
class ManyClientsMemoryIT extends FloodedFrontEnd {
    private static final int CLIENTS = 380, LOOKUPS = 20, ANSWER_MS = 3500;
    private static final int MEMORY_LIMIT_MB = 192;
    private static final int LONG_BYTES = 60_000, SHORT_FIELDS = 5000, HEALTH_CALLS = 2000;

    /** What each client sends. */
    enum Input {
        MOST_OF_A_LONG_STATEMENT(() -> allButTheLastByte(FrontCodec.call(1, ScriptedPeers.fields("load", "00000000000000aa"),
                "x".repeat(LONG_BYTES).getBytes(StandardCharsets.UTF_8)))),
        MOST_OF_A_HEAD_OF_SHORT_FIELDS(() -> allButTheLastByte(callOfShortFields())),
        CALLS_OF_SHORT_FIELDS(Input::callOfShortFields),
        HEALTH_CALLS_WITHOUT_READING(() -> {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            for (int i = 1; i <= HEALTH_CALLS; i++) {
                out.writeBytes(FrontCodec.healthCall(i));
            }
            return out.toByteArray();
        });

        private final Supplier<byte[]> bytes;

        Input(Supplier<byte[]> bytes) {
            this.bytes = bytes;
        }

        private static byte[] allButTheLastByte(byte[] frame) {
            return Arrays.copyOf(frame, frame.length - 1);
        }

        private static byte[] callOfShortFields() {
            Map<String, String> fields = new HashMap<>(ScriptedPeers.fields("load", "00000000000000bb"));
            for (int i = 0; i < SHORT_FIELDS; i++) {
                fields.put(Integer.toString(i, Character.MAX_RADIX), "");
            }
            return FrontCodec.call(1, fields, new byte[] {'x'});
        }
    }

    /** Guards against a process that is killed for its memory, or stands still, under hundreds of clients at once. */
    @ParameterizedTest
    @EnumSource
    void theMemoryLimitHoldsAndOthersAreAnsweredBesideHundredsOfClientsThatSend(Input input) throws Exception {
        int port = start();
        byte[] bytes = input.bytes.get();
        List<ScriptedPeers.Client> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            ScriptedPeers.Client client = new ScriptedPeers.Client(port);
            clients.add(client);
            client.raw(bytes);
        }
        lookUp(port);
        assertAlive();
        assertThat(peakMemoryMb()).isLessThan(MEMORY_LIMIT_MB);
        for (ScriptedPeers.Client client : clients) {
            client.close();
        }
        assertEnoughMemory();
    }

    private static void lookUp(int port) throws IOException {
        try (ScriptedPeers.Client client = new ScriptedPeers.Client(port)) {
            for (int call = 1; call <= LOOKUPS; call++) {
                long sentAt = System.nanoTime();
                client.call(call, ScriptedPeers.fields("lookup", String.format("%016x", call)));
                assertThat(client.answer()).isIn(ScriptedPeers.Kind.SERVED, ScriptedPeers.Kind.REFUSED);
                assertThat(System.nanoTime() - sentAt).isLessThan(TimeUnit.MILLISECONDS.toNanos(ANSWER_MS));
            }
        }
    }
}
