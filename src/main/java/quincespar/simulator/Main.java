package quincespar.simulator;

import java.io.IOException;

/** The command line: {@code wirehost} speaks the simulator's wire on standard input and output. */
public final class Main {
    private Main() { }

    /** Runs the host; wrong arguments get the usage and exit code 2, malformed input a message and 1. */
    public static void main(String[] args) {
        System.exit(run(args));
    }

    static int run(String[] args) {
        if (args.length != 1 || !args[0].equals("wirehost")) {
            System.err.println("usage: java -jar mothlead.jar wirehost");
            return 2;
        }
        try {
            new WireHost().serve(System.in, System.out);
            return 0;
        } catch (WireException | IOException e) {
            System.err.println("mothlead: " + e.getMessage());
            return 1;
        }
    }
}
