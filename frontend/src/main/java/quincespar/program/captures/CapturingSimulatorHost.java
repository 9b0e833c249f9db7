package quincespar.program.captures;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import quincespar.decision.Scheduler;
import quincespar.program.runtime.Clock;
import quincespar.settings.Settings;
import quincespar.simulator.SimulatorHost;

/** The adapter with each instance captured, into one folder. Nothing waits for the folder, also not in the simulator. */
public final class CapturingSimulatorHost {
    private final Path folder;
    private final Clock clock = new Clock();
    private final List<CaptureSession> all = new ArrayList<>();

    private CapturingSimulatorHost(Path folder) {
        this.folder = folder;
    }

    /** Answers batches until the input ends; throws where the folder can't be used. */
    public static void serve(Path folder, InputStream in, OutputStream out) throws IOException, InterruptedException {
        Files.createDirectories(folder);
        CapturingSimulatorHost made = new CapturingSimulatorHost(folder);
        try {
            new SimulatorHost(made::make).serve(in, out);
        } finally {
            for (CaptureSession c : made.all) {
                c.stop();
            }
        }
    }

    private Scheduler make(Scheduler.Settings settings, long seed) {
        try {
            CaptureSession c = CaptureSession.open(folder, Settings.defaults(), "i" + all.size(), 0, seed, settings, clock,
                    System.err::println);
            all.add(c);
            c.start();
            return c.module();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
