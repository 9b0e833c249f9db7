package quincespar.capture;

import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.TearDown;
import org.openjdk.jmh.annotations.Warmup;
import quincespar.decision.GcMuScheduler;
import quincespar.decision.Gateway;
import quincespar.decision.Gateway.EngineState;

/** What a capture costs the module's thread, what it costs the writer's, and how long a snapshot takes; no part of CI. */
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(value = 1, jvmArgs = {"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx512m"})
@Warmup(iterations = 3, time = 2)
@Measurement(iterations = 5, time = 2)
public class CaptureBenchmark {
    /** One day, call by call, over and over, each time on a new module. */
    @State(Scope.Thread)
    public static class Day {
        /** Whether calls are captured. */
        @Param({"off", "on"})
        public String capture;
        private List<Entry.Call> calls;
        private Gateway module;
        private Recorder recorder;
        private Thread writer;
        private int at;

        /** Plays the day once, to have its calls. */
        @Setup(Level.Trial)
        public void play() {
            calls = new ArrayList<>();
            new World(61).play(5000).forEach(e -> {
                if (e instanceof Entry.Call c) {
                    calls.add(c);
                }
            });
            if (capture.equals("on")) {
                recorder = new Recorder(new CaptureWriter(World.opening(61), new SegmentPolicy(new SegmentPolicy.Limits(1L << 40, 1e15, 1L << 50,
                        1e15, 100, 100), new SegmentName("w", 1, 0), List.of(), 0), new Nowhere(), line -> { }), 1 << 16, 500,
                        () -> System.nanoTime() / 1e6);
                writer = new Thread(recorder);
                writer.start();
            }
            begin();
        }

        private void begin() {
            GcMuScheduler b = new GcMuScheduler(World.settings(), 61);
            module = recorder == null ? b : new CapturedGateway(b, recorder, m -> new byte[0]);
            at = 0;
        }

        /** Tells whether the writer kept up, without which the figure is that of losing calls. */
        @TearDown(Level.Trial)
        public void end() throws InterruptedException {
            if (recorder != null) {
                System.out.println("lost " + recorder.pendingLostCalls() + " of " + recorder.counts().calls() + " calls, "
                        + recorder.counts().bytes() / Math.max(1, recorder.counts().calls()) + " bytes a call");
                writer.interrupt();
                writer.join();
            }
        }

        List<Gateway.Action> next() {
            if (at == calls.size()) {
                begin();
            }
            Entry.Call c = calls.get(at++);
            return module.decide(c.time(), c.events());
        }
    }

    /** A store whose bytes go nowhere. */
    private static final class Nowhere implements SegmentStore {
        @Override
        public List<StoredSegment> list() {
            return List.of();
        }

        @Override
        public InputStream open(String name) throws IOException {
            throw new IOException("nothing is kept");
        }

        @Override
        public SegmentOutput create(String name) {
            return new SegmentOutput() {
                @Override
                public void write(byte[] bytes) { }

                @Override
                public void flush() { }

                @Override
                public void close() { }
            };
        }

        @Override
        public void delete(String name) { }
    }

    /** Modules with ever more in them. */
    @State(Scope.Thread)
    public static class Sizes {
        /** Engines and open requests. */
        @Param({"6x100", "60x500", "60x2000"})
        public String size;
        private final StateCodec codec = new StateCodec(GcMuScheduler.class);
        private Gateway module;

        /** Fills one. */
        @Setup(Level.Trial)
        public void fill() {
            String[] parts = size.split("x");
            List<Gateway.Engine> engines = new ArrayList<>();
            for (long e = 1; e <= Integer.parseInt(parts[0]); e++) {
                engines.add(new Gateway.Engine(e, 0, 0, 0, EngineState.READY, 1, 0));
            }
            module = new GcMuScheduler(World.settings(), 5);
            module.decide(0, List.of(new Gateway.Listed(Gateway.ListKind.CACHED, 1, engines)));
            for (int i = 1; i <= Integer.parseInt(parts[1]); i++) {
                module.decide(i / 10.0, List.of(new Gateway.Request(i, i % 3, -1, 5000, 50, 10, i, 0, false, i % 3 == 2)));
            }
            System.out.println(size + ": " + codec.write(module).length + " bytes");
        }
    }

    /** One call of the module, events of a day in their order. */
    @Benchmark
    public List<Gateway.Action> call(Day d) {
        return d.next();
    }

    /** The pause of the module's thread for a snapshot. */
    @Benchmark
    public byte[] snapshot(Sizes s) {
        return s.codec.write(s.module);
    }
}
