package quincespar.program.fleet;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import quincespar.settings.ConfException;
import quincespar.settings.ConfReader;
import quincespar.store.FolderDisk;
import quincespar.store.StateFolder;

/** What operators ask of a running instance's second address about its fleet. */
@Command(name = "fleet", description = "Ask a running front end about its fleet, at its second address.",
        mixinStandardHelpOptions = true)
public final class FleetCommands {
    private static final int WAIT_MS = 6000, OK = 200;
    private static final String RECOVERY = "/fleet/recovery";

    /** Called by the command line. */
    public FleetCommands() { }

    @Command(name = "status", description = "Where this instance stands with its fleet; exit code 1 where it hears of no"
            + " majority.")
    int status(@Parameters(paramLabel = "HOST:PORT") String address, @Option(names = "--json",
            description = "As it came, for programs.") boolean json) throws IOException {
        String text = ask(address, "GET", "/fleet");
        Map<String, String> all = new LinkedHashMap<>();
        read(text, all);
        if (json) {
            System.out.print(text);
        } else {
            all.forEach((name, value) -> System.out.printf("%-15s %s%n", name, value));
        }
        return all.getOrDefault("inTouch", "false").equals("true") ? 0 : 1;
    }

    @Command(name = "members", description = "All instances that the fleet knows.")
    int members(@Parameters(paramLabel = "HOST:PORT") String address, @Option(names = "--json",
            description = "As it came, for programs.") boolean json) throws IOException {
        String text = ask(address, "GET", "/fleet");
        if (json) {
            System.out.print(text);
            return 0;
        }
        String row = "%-16s %12s %-10s %-6s %-22s %s%n";
        System.out.printf(row, "NAME", "INCARNATION", "STANDING", "VOTER", "ADDRESS", "BUILD");
        for (Map<String, String> m : read(text, new LinkedHashMap<>())) {
            System.out.printf(row, m.get("name"), m.get("incarnation"), m.get("standing"), m.get("voter").equals("true")
                    ? "yes" : "no", m.get("address").isEmpty() ? "-" : m.get("address"), m.get("build"));
        }
        return 0;
    }

    @Command(name = "recovery", description = "Where this instance's return from a loss of power stands.")
    int recovery(@Parameters(paramLabel = "HOST:PORT") String address) throws IOException {
        Map<String, String> all = new LinkedHashMap<>();
        read(ask(address, "GET", RECOVERY), all);
        all.forEach((name, value) -> System.out.printf("%-15s %s%n", name, value));
        return 0;
    }

    @Command(name = "doubtful", description = "Loads that may have run before a loss of power, until they are acknowledged; exit code 1"
            + " where there are any.")
    int doubtful(@Parameters(paramLabel = "HOST:PORT") String address, @Option(names = "--json",
            description = "As it came, for programs.") boolean json) throws IOException {
        String text = ask(address, "GET", RECOVERY);
        List<Map<String, String>> rows = read(text, new LinkedHashMap<>());
        if (json) {
            System.out.print(text);
        } else {
            String row = "%-18s %-10s %-10s %-18s %6s %-16s %s%n";
            System.out.printf(row, "TXN", "CLASS", "TEAM", "STATEMENT", "TABLES", "ENGINE", "CAME");
            rows.forEach(m -> System.out.printf(row, m.get("txn"), m.get("class"), m.get("team"), m.get("digest"), m.get("tables"),
                    m.get("engine").isEmpty() ? "not known" : m.get("engine"), m.get("at")));
        }
        return rows.isEmpty() ? 0 : 1;
    }

    @Command(name = "acknowledge", description = "Take a load off the list of doubtful ones: staff have seen whether it ran.")
    int acknowledge(@Parameters(paramLabel = "HOST:PORT") String address, @Parameters(paramLabel = "TXN") String txn) throws IOException {
        System.out.print(ask(address, "PUT", "/fleet/doubtful/" + txn));
        return 0;
    }

    @Command(name = "allow", description = "Let an engine take work again that takes none since a loss of power, as it had drained before.")
    int allow(@Parameters(paramLabel = "HOST:PORT") String address, @Parameters(paramLabel = "ENGINE") String engine) throws IOException {
        System.out.print(ask(address, "PUT", "/fleet/allowed/" + engine));
        return 0;
    }

    @Command(name = "init", description = "Begin a voter's folder, once, before the fleet's first start: one that is found empty"
            + " later does not vote.")
    int init(@Parameters(paramLabel = "FILE", description = "The operators' file.") Path conf,
            @Option(names = "--name", paramLabel = "NAME", required = true, description = "The instance.") String name)
            throws IOException, ConfException {
        FleetSettings f = FleetSettings.read(ConfReader.read(conf.toString(), Files.readString(conf)), conf.toString());
        if (f.folder() == null || !f.config().isVoter(name)) {
            throw new IOException(f.folder() == null ? "'state folder' names none" : name + " is not one of 'fleet voters'");
        }
        try (FolderDisk disk = new FolderDisk(f.folder())) {
            if (!disk.lock()) {
                throw new IOException("another process holds " + f.folder());
            }
            if (disk.usedBytes() > 0) {
                throw new IOException(f.folder() + " is not empty: it was begun before");
            }
            StateFolder.open(disk, name, FleetService.identity(), true);
        }
        System.out.println(f.folder() + ": begun for " + name);
        return 0;
    }

    @Command(name = "get", description = "Read a register, with all that was agreed before.")
    int get(@Parameters(paramLabel = "HOST:PORT") String address, @Parameters(paramLabel = "NAME") String name)
            throws IOException {
        System.out.print(ask(address, "GET", "/fleet/registers/" + name));
        return 0;
    }

    @Command(name = "put", description = "Write a register, where the operators' file allows it.")
    int put(@Parameters(paramLabel = "HOST:PORT") String address, @Parameters(paramLabel = "NAME") String name,
            @Parameters(paramLabel = "VALUE") String value, @Option(names = "--if", paramLabel = "VERSION",
            defaultValue = "any", description = "Only if it has this version; 0 if it must not exist.") String version)
            throws IOException {
        System.out.print(ask(address, "PUT", "/fleet/registers/" + name + "/" + version + "/" + value));
        return 0;
    }

    private static String ask(String address, String method, String path) throws IOException {
        int colon = address.lastIndexOf(':');
        if (colon < 1 || !address.substring(colon + 1).matches("[0-9]{1,5}")) {
            throw new IOException("no address: '" + address + "'");
        }
        try (Socket s = new Socket()) {
            s.connect(new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                    WAIT_MS);
            s.setSoTimeout(WAIT_MS);
            s.getOutputStream().write((method + " " + path + " HTTP/1.1\r\nHost: " + address + "\r\n\r\n").getBytes(
                    StandardCharsets.UTF_8));
            String text = new String(s.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            int head = text.indexOf("\r\n\r\n");
            if (head < 0 || !text.startsWith("HTTP/1.1 ")) {
                throw new IOException(address + " gave no whole answer");
            }
            String body = text.substring(head + 4);
            if (Integer.parseInt(text.substring(9, 12)) != OK) {
                throw new IOException(address + ": " + text.substring(9, text.indexOf("\r\n")) + ": " + body.strip());
            }
            return body;
        }
    }

    /** Single values go to {@code all}; the objects of the one list are returned. */
    private static List<Map<String, String>> read(String text, Map<String, String> all) throws IOException {
        List<Map<String, String>> rows = new ArrayList<>();
        try (JsonParser in = new JsonFactory().createParser(text)) {
            Map<String, String> to = all;
            for (JsonToken t = in.nextToken(); t != null; t = in.nextToken()) {
                if (t == JsonToken.START_OBJECT && in.getParsingContext().getParent().inArray()) {
                    to = new LinkedHashMap<>();
                    rows.add(to);
                } else if (t == JsonToken.END_ARRAY) {
                    to = all;
                } else if (t.isScalarValue()) {
                    to.put(in.currentName(), in.getText());
                }
            }
        }
        return rows;
    }
}
