package quincespar.faultbench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import quincespar.faultbench.report.ReportPage;
import quincespar.faultbench.schedule.FixedSchedules;
import quincespar.faultbench.schedule.PowerLossSchedules;
import quincespar.faultbench.schedule.Schedule;
import quincespar.faultbench.world.Cluster;
import quincespar.faultbench.world.Plant;

/** Command line of the fault injection tool. */
@Command(name = "faultbench",
        description = "Runs several processes of the front end, injects faults, and checks the recorded history.",
        mixinStandardHelpOptions = true, subcommands = Measure.class)
public final class FaultBench implements Callable<Integer> {
    private static final int USAGE = 2;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Option(names = "--root", paramLabel = "DIR", defaultValue = ".", scope = CommandLine.ScopeType.INHERIT,
            description = "Root of the built repository.")
    private Path root;

    @Option(names = "--instances", paramLabel = "N", defaultValue = "5", scope = CommandLine.ScopeType.INHERIT,
            description = "Number of processes of the program.")
    private int instances;

    @Option(names = "--voters", paramLabel = "N", defaultValue = "5", scope = CommandLine.ScopeType.INHERIT,
            description = "Number of instances that vote.")
    private int voters;

    @Option(names = "--losses", scope = CommandLine.ScopeType.INHERIT,
            description = "Simulate power losses: engines can restart cold, and front ends recover.")
    private boolean losses;

    @Option(names = "--off", scope = CommandLine.ScopeType.INHERIT,
            description = "With power losses, disable the recovery of front ends, for comparison.")
    private boolean off;

    @Option(names = "--plant", paramLabel = "GUARD", scope = CommandLine.ScopeType.INHERIT,
            description = "Remove this guard from the program, or add this source change.")
    private String guard;

    /** Runs one command. Exit codes: 0 all checks held, 1 a check failed, 2 wrong arguments. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new FaultBench()).execute(args));
    }

    @Override
    public Integer call() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is required");
    }

    Path root() {
        return root.toAbsolutePath();
    }

    private Cluster.Options clusterOptions(Path folder, boolean cold, boolean recovery) throws IOException {
        Path jar = Run.jar(root());
        return new Cluster.Options(instances, voters, true, jar, guard == null ? null : Plant.compileWithout(guard, root(), jar,
                folder), folder, cold, recovery);
    }

    private Run runSchedule(Schedule s, Path folder, boolean losses, List<String> into) throws IOException, InterruptedException {
        Run run = new Run(clusterOptions(folder, losses, losses && !off), s);
        into.addAll(run.play());
        return run;
    }

    @Command(name = "list", description = "List the fixed schedules and the guards that can be removed.")
    int list() {
        FixedSchedules.names().forEach(n -> System.out.println(
                "# " + n + "\n" + Schedule.read(FixedSchedules.texts().get(n)).text()));
        System.out.println("guards: " + Plant.guards());
        return 0;
    }

    @Command(name = "play", description = "Play one schedule: a fixed schedule by name, a file, or one generated from a seed.")
    int play(@Parameters(paramLabel = "NAME|FILE", arity = "0..1") String what,
            @Option(names = "--seed", paramLabel = "N") Long seed,
            @Option(names = "--report", paramLabel = "FILE", description = "Write an HTML report of the run.") Path report,
            @Option(names = "--keep", paramLabel = "DIR", description = "Keep logs and folders in this directory.") Path keep)
            throws IOException, InterruptedException {
        if ((what == null) == (seed == null)) {
            throw new CommandLine.ParameterException(spec.commandLine(), "play needs either a schedule or --seed");
        }
        Schedule s = seed != null ? drawSchedule(seed) : Schedule.read(FixedSchedules.texts().containsKey(what)
                ? FixedSchedules.texts().get(what) : Files.readString(Path.of(what)));
        guard = guard == null && what != null ? FixedSchedules.requiredPlant(what) : guard;
        System.out.print(s.text());
        List<String> problems = new java.util.ArrayList<>();
        if (keep != null) {
            Cluster.deleteFolder(keep); // otherwise this run would start from the state of an earlier one
        }
        Path folder = keep == null ? Files.createTempDirectory("faultbench") : Files.createDirectories(keep);
        Run run = runSchedule(s, folder, losses || what != null && FixedSchedules.isPowerLoss(what), problems);
        if (report != null) {
            Files.writeString(report, ReportPage.of(run.history(), problems, s));
        }
        printResult(problems, run);
        return problems.isEmpty() ? 0 : 1;
    }

    private Schedule drawSchedule(long seed) {
        return losses ? PowerLossSchedules.draw(seed, instances) : Schedule.draw(seed, instances);
    }

    private static void printResult(List<String> problems, Run run) {
        problems.forEach(p -> System.out.println("BROKEN " + p));
        System.out.printf("%s: %d operations, %d requests, %d glances%n", problems.isEmpty() ? "held" : "broken",
                run.history().operations().size(), run.history().requests().size(), run.history().statusSamples().size());
    }

    @Command(name = "hunt", description = "Play seeds one after the other and save the schedules that fail.")
    int hunt(@Option(names = "--from", paramLabel = "N", defaultValue = "1") long from,
            @Option(names = "--count", paramLabel = "N", defaultValue = "10") int count,
            @Option(names = "--found", paramLabel = "DIR", defaultValue = "found") Path found)
            throws IOException, InterruptedException {
        int broken = 0;
        for (long seed = from; seed < from + count; seed++) {
            List<String> problems = new java.util.ArrayList<>();
            Schedule s = drawSchedule(seed);
            Path folder = Files.createTempDirectory("faultbench");
            Run run = runSchedule(s, folder, losses, problems);
            if (problems.isEmpty()) {
                Cluster.deleteFolder(folder);
            } else {
                broken++;
                Files.createDirectories(found);
                Files.writeString(found.resolve("seed-" + seed + ".txt"), "# " + String.join("\n# ", problems) + "\n# logs: "
                        + folder + "\n" + s.text());
                Files.writeString(found.resolve("seed-" + seed + ".html"), ReportPage.of(run.history(), problems, s));
            }
            System.out.printf("[%-30s] %d of %d, seed %d: %s%n", "#".repeat((int) (30 * (seed - from + 1) / count)),
                    seed - from + 1, count, seed, problems.isEmpty() ? "held" : "BROKEN " + problems.get(0));
        }
        System.out.println(count + " seeds, " + broken + " broken");
        return broken == 0 ? 0 : 1;
    }

    @Command(name = "shrink", description = "Remove the steps of a schedule that are not needed for it to fail.")
    int shrink(@Parameters(paramLabel = "FILE") Path file, @Option(names = "--tries", paramLabel = "N", defaultValue = "2",
            description = "A step is not needed if one of this number of plays without it fails.") int tries)
            throws IOException, InterruptedException {
        Schedule s = Schedule.read(Files.readString(file));
        for (int i = s.steps().size() - 1; i >= 0; i--) {
            Schedule shorter = s.withoutStep(i);
            boolean fails = false;
            for (int t = 0; t < tries && !fails; t++) {
                List<String> problems = new java.util.ArrayList<>();
                runSchedule(shorter, Files.createTempDirectory("faultbench"), losses, problems);
                fails = !problems.isEmpty();
            }
            System.out.println((fails ? "not needed: " : "needed: ") + s.steps().get(i));
            s = fails ? shorter : s;
        }
        System.out.print(s.text());
        return 0;
    }
}
