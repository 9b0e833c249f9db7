package quincespar.program;

import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine;
import quincespar.program.captures.CaptureCommands;
import quincespar.program.captures.CapturingSimulatorHost;
import quincespar.program.clients.HealthClient;
import quincespar.program.fleet.FleetCommands;
import quincespar.program.fleet.FleetSettings;
import quincespar.program.recovery.RecoverySettings;
import quincespar.program.runtime.Addresses;
import quincespar.protocol.thrift.FrontCodec;
import quincespar.settings.ConfException;
import quincespar.settings.ConfReader;
import quincespar.settings.Keyword;
import quincespar.settings.Settings;
import quincespar.simulator.SimulatorHost;
import quincespar.simulator.SimulatorProtocolException;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/** The command line. */
@Command(name = "quincespar", description = "A front end before shared query engines.",
        mixinStandardHelpOptions = true, versionProvider = Main.Version.class, subcommands = {CaptureCommands.class, FleetCommands.class})
public final class Main implements Callable<Integer> {
    private static final int USAGE = 2;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    private Main() { }

    /** Runs one command: 0 done, 1 failed with a line on standard error, 2 wrong arguments. */
    public static void main(String[] args) {
        System.exit(run(args));
    }

    /** As {@link #main}, with the exit code returned. */
    public static int run(String... args) {
        CommandLine line = new CommandLine(new Main());
        line.setExecutionExceptionHandler((e, command, parsed) -> {
            if (e instanceof ConfException c) { // a line each, as scripts and editors read them
                c.problems().forEach(System.err::println);
                return 1;
            }
            System.err.println("quincespar: " + e.getMessage());
            return 1;
        });
        line.setParameterExceptionHandler((e, given) -> {
            System.err.println("quincespar: " + e.getMessage() + "; --help lists the commands");
            return USAGE;
        });
        return line.execute(args);
    }

    @Override
    public Integer call() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is needed");
    }

    @Command(name = "adapter", description = "Host the decision module on the simulator's wire, on standard input"
            + " and output.")
    int adapter(@CommandLine.Option(names = "--capture", paramLabel = "DIR",
            description = "Write all that each instance is told and decides to segments there.") Path folder)
            throws IOException, InterruptedException {
        try {
            if (folder == null) {
                new SimulatorHost().serve(System.in, System.out);
            } else {
                CapturingSimulatorHost.serve(folder, System.in, System.out);
            }
            return 0;
        } catch (SimulatorProtocolException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    @Command(name = "serve", description = "Serve clients, as GW_CONFIG, GW_LISTEN and GW_NAME say.")
    int serve(@CommandLine.Option(names = "--conf", paramLabel = "FILE",
            description = "The operators' own file; without it all settings are at their defaults.") Path conf,
            @CommandLine.Option(names = "--report", paramLabel = "MS", defaultValue = "0",
            description = "Write the counters to the log every so many milliseconds; 0, the default, is as the file"
                    + " says.") long reportMs) throws IOException, InterruptedException, ConfException {
        Hangups hangups = new Hangups();
        // left alone, it would end the program; where the parent had it ignored, the JVM leaves it so
        boolean ignored = Signal.handle(new Signal("HUP"), s -> hangups.heard()) == SignalHandler.SIG_IGN;
        Settings settings = conf == null ? Settings.defaults() : read(conf);
        FleetSettings fleet = FleetSettings.isEnabled(settings) ? FleetSettings.read(settings, conf.toString()) : null;
        RecoverySettings recovery = RecoverySettings.isEnabled(settings) ? RecoverySettings.read(settings, conf.toString()) : null;
        Logs logs = Logs.start(settings);
        FrontEnd frontEnd = new FrontEnd(System.getenv(), settings, fleet, recovery, logs);
        long every = reportMs > 0 ? reportMs : (long) settings.number(Keyword.REPORT_INTERVAL);
        if (every > 0) {
            frontEnd.reportEvery(every);
        }
        hangups.to(frontEnd::hangup);
        if (ignored) {
            System.err.println("quincespar: SIGHUP is ignored by whoever started this program, so that a new"
                    + " configuration will not be heard of; start it by 'env --default-signal=HUP'");
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            try {
                frontEnd.leave();
            } catch (InterruptedException e) {
                System.err.println("quincespar: interrupted while leaving");
            }
            logs.stop();
        }, "leave"));
        frontEnd.run();
        return 0;
    }

    /** Signals for a new configuration; one that comes before there is a front end to hear it waits for that. */
    private static final class Hangups {
        private Runnable to;
        private boolean waiting;

        synchronized void heard() {
            waiting = to == null;
            if (to != null) {
                to.run();
            }
        }

        synchronized void to(Runnable hears) {
            to = hears;
            if (waiting) {
                hears.run();
            }
        }
    }

    @Command(name = "check-conf", description = "Check an operators' file: exit code 0 where it can be used, 1 with a"
            + " line for each thing that is wrong.")
    int checkConf(@CommandLine.Parameters(paramLabel = "FILE") Path conf) throws IOException, ConfException {
        Settings settings = read(conf);
        if (FleetSettings.isEnabled(settings)) {
            FleetSettings.read(settings, conf.toString());
        }
        if (RecoverySettings.isEnabled(settings)) {
            RecoverySettings.read(settings, conf.toString());
        }
        System.out.println(conf + ": good");
        return 0;
    }

    @Command(name = "conf", description = "Print all settings of the operators' file.")
    int conf(@CommandLine.Option(names = "--defaults", required = true,
            description = "With unit, range, default and meaning, as a file that can be used.") boolean defaults) {
        System.out.print(Settings.template());
        return 0;
    }

    @Command(name = "replay", description = "Play captures again on this build's module: exit code 0 where it decides the"
            + " same, 1 where it parts, with the calls before.")
    int replay(@CommandLine.Parameters(paramLabel = "DIR") Path folder,
            @CommandLine.Option(names = "--from", paramLabel = "SERIAL", defaultValue = "1",
            description = "The number of the first segment that is played.") int from,
            @CommandLine.Option(names = "--decisions", paramLabel = "FILE",
            description = "Write the decisions there, a line for each call that had some.") Path decisions,
            @CommandLine.Option(names = "--against", paramLabel = "JAR",
            description = "Play them on the module of that build instead.") Path against) throws IOException {
        return against == null ? CaptureCommands.replay(folder, from, decisions)
                : CaptureCommands.replayWithJar(against, folder, from, decisions);
    }

    @Command(name = "explain", description = "Tell from captures what became of a request and why, or what was known of an"
            + " engine.")
    int explain(@CommandLine.Parameters(paramLabel = "DIR") Path folder,
            @CommandLine.Option(names = "--request", paramLabel = "N", description = "The module's number of a request.")
            Long request,
            @CommandLine.Option(names = "--engine", paramLabel = "ID", description = "An engine's id in the list, or"
            + " its number in a story.") String engine,
            @CommandLine.Option(names = "--at", paramLabel = "S", description = "When, in seconds since 1970; the end"
            + " unless told.") Double at) throws IOException {
        if ((request == null) == (engine == null)) {
            throw new CommandLine.ParameterException(spec.commandLine(), "explain takes --request or --engine");
        }
        return CaptureCommands.explain(folder, request, engine, at);
    }

    @Command(name = "rehearse", description = "Start and end once on loopback, for the build to archive what a start"
            + " loads.")
    int rehearse() throws IOException, InterruptedException {
        Rehearsal.play();
        return 0;
    }

    private static Settings read(Path conf) throws IOException, ConfException {
        try {
            return ConfReader.read(conf.toString(), Files.readString(conf));
        } catch (NoSuchFileException e) {
            throw new IOException("no file " + conf, e);
        } catch (CharacterCodingException e) {
            throw new IOException(conf + " is no text in UTF-8", e);
        } catch (IOException e) {
            throw new IOException("can't read " + conf + ": " + e.getMessage(), e);
        }
    }

    @Command(name = "health", description = "Ask a running front end whether it can serve, and print its counters;"
            + " exit code 1 where it can't.")
    int health(@CommandLine.Parameters(paramLabel = "HOST:PORT") String address) throws IOException {
        FrontCodec.Answer answer = HealthClient.query(Addresses.parse(address));
        answer.fields().forEach((name, value) -> System.out.println(name + " " + value));
        System.out.println(answer.good() ? "good" : "not good");
        return answer.good() ? 0 : 1;
    }

    @Command(name = "version", description = "Print the version.")
    int version() {
        System.out.println(new Version().getVersion()[0]);
        return 0;
    }

    /** Reads the version from the jar. */
    static final class Version implements IVersionProvider {
        @Override
        public String[] getVersion() {
            return new String[] {quincespar.program.runtime.Version.text()};
        }
    }
}
