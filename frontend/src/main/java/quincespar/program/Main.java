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
@Command(name = "quincespar", description = "A front end (router) for shared query engines.",
        mixinStandardHelpOptions = true, versionProvider = Main.Version.class,
        subcommands = {CaptureCommands.class, FleetCommands.class})
public final class Main implements Callable<Integer> {
    private static final int INVALID_ARGUMENTS = 2;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    private Main() { }

    /** Runs one command. Exit codes: 0 success, 1 failure with a line on standard error, 2 invalid arguments. */
    public static void main(String[] args) {
        System.exit(run(args));
    }

    /** As {@link #main}, but returns the exit code. */
    public static int run(String... args) {
        CommandLine line = new CommandLine(new Main());
        line.setExecutionExceptionHandler((e, command, parsed) -> {
            if (e instanceof ConfException c) { // one line for each problem, readable by scripts and editors
                c.problems().forEach(System.err::println);
                return 1;
            }
            System.err.println("quincespar: " + e.getMessage());
            return 1;
        });
        line.setParameterExceptionHandler((e, given) -> {
            System.err.println("quincespar: " + e.getMessage() + "; --help lists the commands");
            return INVALID_ARGUMENTS;
        });
        return line.execute(args);
    }

    @Override
    public Integer call() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is required");
    }

    @Command(name = "adapter", description = "Host the decision module for the simulator, by its protocol on standard"
            + " input and output.")
    int adapter(@CommandLine.Option(names = "--capture", paramLabel = "DIR",
            description = "Capture the events and decisions of each instance in segments in this folder.") Path folder)
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

    @Command(name = "serve", description = "Serve clients, configured by GW_CONFIG, GW_LISTEN and GW_NAME.")
    int serve(@CommandLine.Option(names = "--conf", paramLabel = "FILE",
            description = "The operators' settings file; without it all settings have their defaults.") Path conf,
            @CommandLine.Option(names = "--report", paramLabel = "MS", defaultValue = "0",
            description = "Interval at which the counters are logged, in milliseconds; 0, the default, for the"
                    + " interval of the settings file.") long reportMs) throws IOException, InterruptedException, ConfException {
        ReloadSignal reloadSignal = new ReloadSignal();
        // without a handler SIGHUP would end the program; if the parent process ignores it, the JVM leaves it ignored
        boolean ignored = Signal.handle(new Signal("HUP"), s -> reloadSignal.received()) == SignalHandler.SIG_IGN;
        Settings settings = conf == null ? Settings.defaults() : read(conf);
        FleetSettings fleet = FleetSettings.isEnabled(settings) ? FleetSettings.read(settings, conf.toString()) : null;
        RecoverySettings recovery = RecoverySettings.isEnabled(settings) ? RecoverySettings.read(settings, conf.toString())
                : null;
        Logs logs = Logs.start(settings);
        FrontEnd frontEnd = new FrontEnd(System.getenv(), settings, fleet, recovery, logs);
        long every = reportMs > 0 ? reportMs : (long) settings.number(Keyword.REPORT_INTERVAL);
        if (every > 0) {
            frontEnd.logCountersEvery(every);
        }
        reloadSignal.setHandler(frontEnd::requestReload);
        if (ignored) {
            System.err.println("quincespar: SIGHUP is ignored by the process that started this program, so it can't"
                    + " signal a new configuration; start the program with 'env --default-signal=HUP'");
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            try {
                frontEnd.shutDown();
            } catch (InterruptedException e) {
                System.err.println("quincespar: interrupted during shutdown");
            }
            logs.stop();
        }, "shutdown"));
        frontEnd.run();
        return 0;
    }

    /** Passes on signals for a new configuration; one received before the handler is set is passed on once it is. */
    private static final class ReloadSignal {
        private Runnable handler;
        private boolean pending;

        synchronized void received() {
            pending = handler == null;
            if (handler != null) {
                handler.run();
            }
        }

        synchronized void setHandler(Runnable newHandler) {
            handler = newHandler;
            if (pending) {
                newHandler.run();
            }
        }
    }

    @Command(name = "check-conf", description = "Check a settings file: exit code 0 if it is valid, 1 with a line for"
            + " each problem.")
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

    @Command(name = "conf", description = "Print all settings of the settings file.")
    int conf(@CommandLine.Option(names = "--defaults", required = true,
            description = "With unit, range, default and meaning, as a valid file.") boolean defaults) {
        System.out.print(Settings.template());
        return 0;
    }

    @Command(name = "replay", description = "Replay captures on this build's decision module: exit code 0 if its decisions"
            + " are the same, 1 with the first difference and the calls before it.")
    int replay(@CommandLine.Parameters(paramLabel = "DIR") Path folder,
            @CommandLine.Option(names = "--from", paramLabel = "SERIAL", defaultValue = "1",
            description = "The number of the first segment to replay.") int from,
            @CommandLine.Option(names = "--decisions", paramLabel = "FILE",
            description = "Write the decisions to this file, a line for each call that made some.") Path decisions,
            @CommandLine.Option(names = "--against", paramLabel = "JAR",
            description = "Replay them on the decision module of another build.") Path against) throws IOException {
        return against == null ? CaptureCommands.replay(folder, from, decisions)
                : CaptureCommands.replayWithJar(against, folder, from, decisions);
    }

    @Command(name = "explain", description = "Explain from captures how a request was handled, or what was known of an"
            + " engine.")
    int explain(@CommandLine.Parameters(paramLabel = "DIR") Path folder,
            @CommandLine.Option(names = "--request", paramLabel = "N", description = "The number of a request in the capture.")
            Long request,
            @CommandLine.Option(names = "--engine", paramLabel = "ID", description = "An engine's id in the list, or"
            + " its number in an explanation.") String engine,
            @CommandLine.Option(names = "--at", paramLabel = "S", description = "The time, in seconds since 1970; by"
            + " default the end of the captures.") Double at) throws IOException {
        if ((request == null) == (engine == null)) {
            throw new CommandLine.ParameterException(spec.commandLine(), "explain needs either --request or --engine");
        }
        return CaptureCommands.explain(folder, request, engine, at);
    }

    @Command(name = "rehearse", description = "Start and stop once on loopback, as the training run for the class data"
            + " archive.")
    int rehearse() throws IOException, InterruptedException {
        TrainingRun.run();
        return 0;
    }

    private static Settings read(Path conf) throws IOException, ConfException {
        try {
            return ConfReader.read(conf.toString(), Files.readString(conf));
        } catch (NoSuchFileException e) {
            throw new IOException("file not found: " + conf, e);
        } catch (CharacterCodingException e) {
            throw new IOException(conf + " is not UTF-8 text", e);
        } catch (IOException e) {
            throw new IOException("can't read " + conf + ": " + e.getMessage(), e);
        }
    }

    @Command(name = "health", description = "Query a running front end whether it can serve, and print its counters;"
            + " exit code 1 if it can't.")
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

    /** Provides the version stored in the jar. */
    static final class Version implements IVersionProvider {
        @Override
        public String[] getVersion() {
            return new String[] {quincespar.program.runtime.Version.text()};
        }
    }
}
