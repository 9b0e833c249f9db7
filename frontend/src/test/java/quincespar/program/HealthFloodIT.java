package quincespar.program;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import quincespar.protocol.thrift.FrontCodec;

/** The jar under clients that make health calls at full speed: requests of others are answered beside them. */
@Timeout(120)
class HealthFloodIT extends FloodedFrontEnd {
    private static final int FLOODING_CONNECTIONS = 60, CALLS_AT_ONCE = 300, LOOKUPS = 50;
    /** How soon lookups should be answered. */
    private static final double LOOKUP_AIM_MS = 800;

    private final AtomicInteger bursts = new AtomicInteger();

    /** Guards against requests that wait until all health calls before them are answered. */
    @Test
    void lookupsAreAnsweredWithinTheirAimBesideAFloodOfHealthCalls() throws Exception {
        int port = start();
        for (int i = 0; i < FLOODING_CONNECTIONS; i++) {
            startFlood(() -> flood(port));
        }
        while (bursts.get() < FLOODING_CONNECTIONS) {
            ScriptedPeers.spin();
        }
        assertThat(slowestLookupMs(port)).isLessThan(LOOKUP_AIM_MS);
        assertEnoughMemory();
    }

    /** Makes lookups one after the other, after one that is not counted, and returns how long the slowest took. */
    private static double slowestLookupMs(int port) throws IOException {
        double slowest = 0;
        try (ScriptedPeers.Client c = new ScriptedPeers.Client(port)) {
            for (int call = 0; call <= LOOKUPS; call++) {
                long sentAt = System.nanoTime();
                c.call(call + 1, ScriptedPeers.fields("lookup", String.format("%016x", call + 1)));
                assertThat(c.answer()).isEqualTo(ScriptedPeers.Kind.SERVED);
                double tookMs = (System.nanoTime() - sentAt) / (double) TimeUnit.MILLISECONDS.toNanos(1);
                slowest = call == 0 ? 0 : Math.max(slowest, tookMs);
            }
        }
        return slowest;
    }

    private void flood(int port) throws IOException {
        try (ScriptedPeers.Client c = new ScriptedPeers.Client(port)) {
            ByteArrayOutputStream calls = new ByteArrayOutputStream();
            for (int i = 1; i <= CALLS_AT_ONCE; i++) {
                calls.writeBytes(FrontCodec.healthCall(i));
            }
            while (!floodIsOver()) {
                c.raw(calls.toByteArray());
                for (int i = 0; i < CALLS_AT_ONCE; i++) {
                    c.frame();
                }
                bursts.incrementAndGet();
            }
        }
    }
}
