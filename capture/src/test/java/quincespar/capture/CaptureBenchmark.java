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
import quincespar.decision.Scheduler;
import quincespar.decision.Scheduler.EngineState;

/** The cost of a capture to the module's thread and to the writer thread, and the duration of a snapshot; not run in CI. */
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(value = 1, jvmArgs = {"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx512m"})
@Warmup(iterations = 3, time = 2)
@Measurement(iterations = 5, time = 2)
public class CaptureBenchmark {
    /** The calls of one run, repeated, each time on a new module. */
    @State(Scope.Thread)
    public static class Workload {
        /** Whether calls are captured. */
        @Param({"off", "on"})
        public String capture;
        private List<Entry.Call> calls;
        private Scheduler module;
        private Recorder recorder;
        private Thread writer;
        private int position;

        /** Collects the calls of one run. */
        @Setup(Level.Trial)
        public void collectCalls() {
            calls = new ArrayList<>();
            new SimulatedCluster(61).run(5000).forEach(e -> {
                if (e instanceof Entry.Call c) {
                    calls.add(c);
                }
            });
            if (capture.equals("on")) {
                SegmentPolicy.Limits limits = new SegmentPolicy.Limits(1L << 40, 1e15, 1L << 50, 1e15, 100, 100);
                SegmentPolicy policy = new SegmentPolicy(limits, new SegmentName("w", 1, 0), List.of(), 0);
                CaptureWriter captureWriter = new CaptureWriter(SimulatedCluster.opening(61), policy, new DiscardingStore(),
                        line -> { });
                recorder = new Recorder(captureWriter, 1 << 16, 500, () -> System.nanoTime() / 1e6);
                writer = new Thread(recorder);
                writer.start();
            }
            reset();
        }

        private void reset() {
            GcMuScheduler scheduler = new GcMuScheduler(SimulatedCluster.settings(), 61);
            module = recorder == null ? scheduler : new CapturedScheduler(scheduler, recorder, m -> new byte[0]);
            position = 0;
        }

        /** Prints how many calls were lost: the measurement is valid only if the writer kept up. */
        @TearDown(Level.Trial)
        public void end() throws InterruptedException {
            if (recorder != null) {
                System.out.println("lost " + recorder.pendingLostCalls() + " of " + recorder.counts().calls() + " calls, "
                        + recorder.counts().bytes() / Math.max(1, recorder.counts().calls()) + " bytes a call");
                writer.interrupt();
                writer.join();
            }
        }

        List<Scheduler.Action> next() {
            if (position == calls.size()) {
                reset();
            }
            Entry.Call c = calls.get(position++);
            return module.decide(c.time(), c.events());
        }
    }

    /** A store that discards all bytes. */
    private static final class DiscardingStore implements SegmentStore {
        @Override
        public List<StoredSegment> list() {
            return List.of();
        }

        @Override
        public InputStream open(String name) throws IOException {
            throw new IOException("nothing is stored");
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

    /** Modules with states of several sizes. */
    @State(Scope.Thread)
    public static class Sizes {
        /** Engines and open requests. */
        @Param({"6x100", "60x500", "60x2000"})
        public String size;
        private final StateCodec codec = new StateCodec(GcMuScheduler.class);
        private Scheduler module;

        /** Fills the module. */
        @Setup(Level.Trial)
        public void fill() {
            String[] parts = size.split("x");
            List<Scheduler.Engine> engines = new ArrayList<>();
            for (long e = 1; e <= Integer.parseInt(parts[0]); e++) {
                engines.add(new Scheduler.Engine(e, 0, 0, 0, EngineState.READY, 1, 0));
            }
            module = new GcMuScheduler(SimulatedCluster.settings(), 5);
            module.decide(0, List.of(new Scheduler.EngineList(Scheduler.ListKind.CACHED, 1, engines)));
            for (int i = 1; i <= Integer.parseInt(parts[1]); i++) {
                module.decide(i / 10.0, List.of(new Scheduler.Request(i, i % 3, -1, 5000, 50, 10, i, 0, false, i % 3 == 2)));
            }
            System.out.println(size + ": " + codec.write(module).length + " bytes");
        }
    }

    /** One call of the module, with the events of a run in order. */
    @Benchmark
    public List<Scheduler.Action> call(Workload workload) {
        return workload.next();
    }

    /** A snapshot, for which the module's thread pauses. */
    @Benchmark
    public byte[] snapshot(Sizes s) {
        return s.codec.write(s.module);
    }
}
