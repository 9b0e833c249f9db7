package quincespar.program;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import quincespar.protocol.thrift.FrontCodec;

/** The jar on one core, under clients that send small messages at full speed without waiting for the answers. */
@Timeout(120)
class FullSpeedClientsIT extends FloodedFrontEnd {
    private static final int LONG_BYTES = 70_000;
    private static final int FLOODING_CONNECTIONS = 6, MESSAGES_AT_ONCE = 200, USUAL_CLIENTS = 4;
    private static final String ON_ONE_CORE = "taskset -pc 0 $$ > /dev/null; ";
    private static final long FLOOD_MS = 3000, BETWEEN_LOOKUPS_MS = 20;
    private static final int LOOKUP_LIMIT_MS = 950;
    /** An answer counts until half a second after its request's time, and each limit is 50 ms longer on sockets. */
    private static final int LATEST_ANSWER_MS = LOOKUP_LIMIT_MS + 550;

    /** Messages that clients send at full speed. */
    enum Flood {
        HEALTH(FrontCodec::healthCall),
        UNKNOWN_CLASS(i -> call(i, Map.of("verb", "class-" + i))),
        UNKNOWN_TENANT(i -> call(i, Map.of("team", "tenant-" + i))),
        CANCEL(i -> ScriptedPeers.cancel(i)),
        REPEATED_NUMBER(i -> call(1, Map.of())),
        VALID_CALL(i -> call(i, Map.of("verb", "load"))),
        EMPTY_FRAME(i -> new byte[Integer.BYTES]),
        LONG_MESSAGE(i -> ByteBuffer.allocate(Integer.BYTES + LONG_BYTES).putInt(LONG_BYTES).array());

        private final IntFunction<byte[]> message;

        Flood(IntFunction<byte[]> message) {
            this.message = message;
        }

        private static byte[] call(int number, Map<String, String> changed) {
            Map<String, String> fields = new HashMap<>(ScriptedPeers.fields("lookup",
                    String.format("%08x%08x", Thread.currentThread().getId(), number)));
            fields.putAll(changed);
            return FrontCodec.call(number, fields, new byte[] {'x'});
        }

        private byte[] next(AtomicInteger number) {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            for (int i = 0; i < MESSAGES_AT_ONCE; i++) {
                out.writeBytes(message.apply(number.incrementAndGet()));
            }
            return out.toByteArray();
        }
    }

    private final AtomicInteger lookups = new AtomicInteger();

    /** Guards against answers after their time while other clients send small messages at full speed. */
    @ParameterizedTest
    @EnumSource
    void usualClientsAreAnsweredInTimeBeside(Flood flood) throws Exception {
        int port = start(ON_ONE_CORE);
        for (int i = 0; i < FLOODING_CONNECTIONS; i++) {
            startFlood(() -> flood(port, flood));
        }
        assertUsualClientsAreAnsweredInTime(port);
    }

    /** Guards against answers after their time while other clients connect, send and leave at full speed. */
    @ParameterizedTest
    @EnumSource(names = {"HEALTH", "VALID_CALL"})
    void usualClientsAreAnsweredInTimeBesideClientsThatLeaveAfter(Flood flood) throws Exception {
        int port = start(ON_ONE_CORE);
        for (int i = 0; i < FLOODING_CONNECTIONS; i++) {
            startFlood(() -> connectAndLeave(port, flood));
        }
        assertUsualClientsAreAnsweredInTime(port);
    }

    private void connectAndLeave(int port, Flood flood) throws IOException {
        AtomicInteger number = new AtomicInteger();
        while (!floodIsOver()) {
            try (ScriptedPeers.Client client = new ScriptedPeers.Client(port)) {
                client.raw(flood.next(number));
            }
        }
    }

    private void assertUsualClientsAreAnsweredInTime(int port) throws Exception {
        List<CompletableFuture<Void>> usual = new ArrayList<>();
        long endsAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FLOOD_MS);
        for (int i = 0; i < USUAL_CLIENTS; i++) {
            usual.add(ScriptedPeers.runAsync(() -> lookUpUntil(port, endsAt)));
        }
        usual.forEach(CompletableFuture::join);
        assertAlive();
        assertEnoughMemory();
    }

    private void lookUpUntil(int port, long endsAtNanos) throws IOException, InterruptedException {
        try (ScriptedPeers.Client client = new ScriptedPeers.Client(port)) {
            for (int call = 1; System.nanoTime() - endsAtNanos < 0; call++) {
                Map<String, String> fields = new HashMap<>(ScriptedPeers.fields("lookup",
                        String.format("%016x", lookups.incrementAndGet())));
                fields.put("limit", Integer.toString(LOOKUP_LIMIT_MS));
                long sentAt = System.nanoTime();
                client.call(call, fields);
                ScriptedPeers.Kind answer = client.answer();
                long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt);
                assertThat(tookMs).as("time to the answer %s", answer).isLessThan(LATEST_ANSWER_MS);
                Thread.sleep(BETWEEN_LOOKUPS_MS);
            }
        }
    }

    /** Sends at full speed; another thread reads the answers. */
    private void flood(int port, Flood flood) throws IOException {
        AtomicInteger number = new AtomicInteger();
        try (ScriptedPeers.Client client = new ScriptedPeers.Client(port)) {
            ScriptedPeers.runAsync(() -> client.socket.getInputStream().transferTo(ByteArrayOutputStream.nullOutputStream()));
            while (!floodIsOver()) {
                client.raw(flood.next(number));
            }
        }
    }
}
