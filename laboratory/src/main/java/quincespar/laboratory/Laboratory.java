package quincespar.laboratory;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import quincespar.faultbench.report.LineChart;

/** Command line of the laboratory. */
@Command(name = "laboratory", description = "Simulates many front ends in one process and in virtual time.",
        mixinStandardHelpOptions = true)
public final class Laboratory implements Callable<Integer> {
    /** How many distinct violations are printed for one run. */
    private static final int MAX_PRINTED_VIOLATIONS = 5;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    /** Runs one command and exits with 0 if all checks held, 1 if one did not, 2 for invalid arguments. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new Laboratory()).execute(args));
    }

    @Override
    public Integer call() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is needed");
    }

    @Command(name = "loss",
            description = "All front ends and engines lose power and restart, once with and once without recovery for each seed.")
    int loss(@Option(names = "--fronts", defaultValue = "100", description = "Front ends.") int frontEnds,
            @Option(names = "--engines", defaultValue = "80", description = "Engines.") int engines,
            @Option(names = "--per-second", defaultValue = "4000",
                    description = "Requests a second of all clients together.") double requestsPerSecond,
            @Option(names = "--fronts-over", defaultValue = "5000",
                    description = "Front ends restart at random within this many milliseconds.") double frontEndRestartWindowMs,
            @Option(names = "--engines-over", defaultValue = "8000",
                    description = "Engines restart at random within this many milliseconds.") double engineRestartWindowMs,
            @Option(names = "--seconds", defaultValue = "40",
                    description = "Simulated seconds after the power loss.") int durationSeconds,
            @Option(names = "--from", defaultValue = "1", description = "First seed.") long firstSeed,
            @Option(names = "--seeds", defaultValue = "1", description = "Number of seeds.") int seeds,
            @Option(names = "--plot", paramLabel = "FILE",
                    description = "Writes the worth served by the last seed as SVG.") Path plot)
            throws IOException {
        boolean held = true;
        Map<String, double[]> series = new LinkedHashMap<>();
        for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
            for (boolean recovery : new boolean[] {true, false}) {
                PowerLossSimulation.Scenario scenario = new PowerLossSimulation.Scenario(frontEnds, engines, requestsPerSecond,
                        frontEndRestartWindowMs, engineRestartWindowMs, recovery, seed, durationSeconds);
                PowerLossSimulation.Outcome outcome = new PowerLossSimulation(scenario).run();
                System.out.printf(Locale.ROOT, "seed %d, return %s: %d of %d engines fell, first served at %.0f ms,"
                        + " of what was possible %.2f in 10 s, %.2f in 20 s, %.2f in %d s; %s%n", seed,
                        recovery ? "looked for" : "not looked for", outcome.engineFailureTimes().size(), engines,
                        outcome.firstServedMs(), outcome.servedShare(10), outcome.servedShare(20),
                        outcome.servedShare(durationSeconds), durationSeconds, outcome.counts());
                outcome.violations().stream().distinct().limit(MAX_PRINTED_VIOLATIONS)
                        .forEach(violation -> System.out.println("BROKEN " + violation));
                held &= outcome.violations().isEmpty() && (!recovery || outcome.engineFailureTimes().isEmpty());
                series.put("possible", outcome.attainableWorth());
                series.put(recovery ? "return looked for" : "not looked for", outcome.servedWorth());
            }
        }
        if (plot != null) {
            Files.writeString(plot, LineChart.of("Worth served a second after a loss of power", series));
        }
        return held ? 0 : 1;
    }
}
