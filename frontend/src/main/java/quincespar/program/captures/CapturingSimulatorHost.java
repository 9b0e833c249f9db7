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

/** The simulator adapter with a capture of each instance, all in one folder. The instances never wait for the folder. */
public final class CapturingSimulatorHost {
    private final Path folder;
    private final Clock clock = new Clock();
    private final List<CaptureSession> captures = new ArrayList<>();

    private CapturingSimulatorHost(Path folder) {
        this.folder = folder;
    }

    /** Answers the simulator's batches until the input ends; throws {@link IOException} if the folder can't be used. */
    public static void serve(Path folder, InputStream in, OutputStream out) throws IOException, InterruptedException {
        Files.createDirectories(folder);
        CapturingSimulatorHost host = new CapturingSimulatorHost(folder);
        try {
            new SimulatorHost(host::createInstance).serve(in, out);
        } finally {
            for (CaptureSession capture : host.captures) {
                capture.stop();
            }
        }
    }

    private Scheduler createInstance(Scheduler.Settings settings, long seed) {
        try {
            CaptureSession capture = CaptureSession.open(folder, Settings.defaults(), "i" + captures.size(), 0, seed,
                    settings, clock, System.err::println);
            captures.add(capture);
            capture.start();
            return capture.module();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
