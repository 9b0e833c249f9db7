package quincespar.capture;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import quincespar.decision.GcMuScheduler;
import quincespar.decision.Scheduler;
import quincespar.decision.Scheduler.EngineState;

@Timeout(120)
class StateCodecTest {
    private final StateCodec codec = new StateCodec(GcMuScheduler.class);

    private static void replay(Scheduler module, List<Entry> entries, int from, int to) {
        for (Entry e : entries.subList(from, to)) {
            if (e instanceof Entry.Call c) {
                assertThat(module.decide(c.time(), c.events())).isEqualTo(c.actions());
            }
        }
    }

    @Test
    void aDecodedModuleDecidesLikeTheEncodedOneAtAnyPointOfARun() throws IOException {
        List<Entry> entries = new SimulatedCluster(31).run(1500);
        for (int at = 1; at < entries.size(); at += entries.size() / 12) {
            Scheduler module = new GcMuScheduler(SimulatedCluster.settings(), 31);
            replay(module, entries, 1, at);
            byte[] state = codec.write(module);
            Scheduler other = codec.read(state, GcMuScheduler.class);
            assertThat(codec.write(other)).isEqualTo(state);
            replay(other, entries, at, entries.size());
            replay(module, entries, at, entries.size());
            assertThat(codec.write(other)).as("final state after decoding at call " + at).isEqualTo(codec.write(module));
        }
    }

    /** Open requests refer to each other through engines: encoding them recursively would overflow the stack. */
    @Test
    void thousandsOfOpenRequestsAreEncodedOnASmallStack() throws Exception {
        Scheduler module = new GcMuScheduler(SimulatedCluster.settings(), 5);
        List<Scheduler.Engine> engines = new ArrayList<>();
        for (long e = 1; e <= 60; e++) {
            engines.add(new Scheduler.Engine(e, 0, 0, 0, EngineState.READY, 1, 0));
        }
        module.decide(0, List.of(new Scheduler.EngineList(Scheduler.ListKind.CACHED, 1, engines)));
        for (int i = 1; i <= 5000; i++) {
            module.decide(i / 10.0, List.of(new Scheduler.Request(i, i % 3, -1, 5000, 50, 10, i, 0, false, i % 3 == 2)));
        }
        List<byte[]> out = new ArrayList<>();
        Thread small = new Thread(null, () -> out.add(codec.write(module)), "small", 64 * 1024);
        small.start();
        small.join();
        assertThat(out).hasSize(1);
        assertThat(codec.write(codec.read(out.get(0), GcMuScheduler.class))).isEqualTo(out.get(0));
    }

    @Test
    void damagedBytesThrowOnlyMalformedCaptureException() throws IOException {
        SimulatedCluster cluster = new SimulatedCluster(33);
        List<Entry> entries = cluster.run(40);
        Scheduler module = new GcMuScheduler(SimulatedCluster.settings(), 33);
        replay(module, entries, 1, 60);
        byte[] state = codec.write(module);
        SplittableRandom random = new SplittableRandom(3);
        int rejected = 0;
        for (int i = 0; i < 4000; i++) {
            byte[] bad = random.nextBoolean() ? Arrays.copyOf(state, random.nextInt(state.length)) : state.clone();
            if (bad.length > 0) {
                bad[random.nextInt(bad.length)] ^= (byte) (1 + random.nextInt(255));
            }
            try {
                assertThat(codec.read(bad, GcMuScheduler.class)).isNotNull(); // a changed number is a valid state
            } catch (MalformedCaptureException e) {
                rejected++;
                assertThat(e.getMessage()).isNotBlank();
            }
        }
        assertThat(rejected).isGreaterThan(2000);
        assertThatThrownBy(() -> codec.read(new byte[40], GcMuScheduler.class)).isInstanceOf(MalformedCaptureException.class)
                .hasMessageContaining("and this module reads only " + codec.schema());
    }

    /** A module with state that a snapshot would omit is rejected before it runs. */
    @Test
    void unsupportedStateIsRejected() {
        assertThatThrownBy(() -> new StateCodec(WithSuperclass.class)).hasMessageContaining("may have state in its superclass");
        assertThatThrownBy(() -> new StateCodec(WithRandom.class).write(new WithRandom()))
                .isInstanceOf(IllegalStateException.class).hasMessage("unsupported class in a module's state: java.util.Random");
    }
}

final class WithSuperclass extends ArrayList<String> {
    private static final long serialVersionUID = 1;
}

final class WithRandom {
    private final java.util.Random random = new java.util.Random(1);
}
