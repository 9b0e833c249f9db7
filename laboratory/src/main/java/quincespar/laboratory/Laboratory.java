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

/** The command line. */
@Command(name = "laboratory", description = "Many front ends in one process and in virtual time.", mixinStandardHelpOptions = true)
public final class Laboratory implements Callable<Integer> {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    /** Runs one command: 0 all held, 1 something did not, 2 wrong arguments. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new Laboratory()).execute(args));
    }

    @Override
    public Integer call() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is needed");
    }

    @Command(name = "loss", description = "All lose their power and come back, with and without looking for the return.")
    int loss(@Option(names = "--fronts", defaultValue = "100") int fronts, @Option(names = "--engines", defaultValue = "80") int engines,
            @Option(names = "--per-second", defaultValue = "4000", description = "Requests of all clients.") double perSecond,
            @Option(names = "--fronts-over", defaultValue = "5000", description = "Milliseconds.") double frontsOver,
            @Option(names = "--engines-over", defaultValue = "8000", description = "Milliseconds.") double enginesOver,
            @Option(names = "--seconds", defaultValue = "40") int seconds, @Option(names = "--from", defaultValue = "1") long from,
            @Option(names = "--seeds", defaultValue = "1") int seeds,
            @Option(names = "--plot", paramLabel = "FILE", description = "Draw the worth served by the last seed as SVG.") Path plot)
            throws IOException {
        boolean held = true;
        Map<String, double[]> series = new LinkedHashMap<>();
        for (long seed = from; seed < from + seeds; seed++) {
            for (boolean returns : new boolean[] {true, false}) {
                LostFleet.Outcome o = new LostFleet(new LostFleet.Loss(fronts, engines, perSecond, frontsOver, enginesOver, returns, seed, seconds))
                        .play();
                System.out.printf(Locale.ROOT, "seed %d, return %s: %d of %d engines fell, first served at %.0f ms, of what was possible %.2f in 10 s,"
                        + " %.2f in 20 s, %.2f in %d s; %s%n", seed, returns ? "looked for" : "not looked for", o.fell().size(), engines, o.firstMs(),
                        o.part(10), o.part(20), o.part(seconds), seconds, o.counts());
                o.problems().stream().distinct().limit(5).forEach(p -> System.out.println("BROKEN " + p));
                held &= o.problems().isEmpty() && (!returns || o.fell().isEmpty());
                series.put("possible", o.possible());
                series.put(returns ? "return looked for" : "not looked for", o.served());
            }
        }
        if (plot != null) {
            Files.writeString(plot, LineChart.of("Worth served a second after a loss of power", series));
        }
        return held ? 0 : 1;
    }
}
