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

/**
 * Commands for operators about the fleet. All but {@code init} send a request to the second address of a running instance.
 */
@Command(name = "fleet", description = "Ask a running front end about its fleet, at its second address.",
        mixinStandardHelpOptions = true)
public final class FleetCommands {
    /** Limit for connecting and for each read. */
    private static final int TIMEOUT_MS = 6000;
    private static final int OK = 200;
    private static final String HEAD_END = "\r\n\r\n";
    private static final String FLEET_PATH = "/fleet";
    private static final String RECOVERY_PATH = "/fleet/recovery";

    /** Creates the command; called by picocli. */
    public FleetCommands() { }

    @Command(name = "status", description = "Where this instance stands with its fleet; exit code 1 where it hears of no"
            + " majority.")
    int status(@Parameters(paramLabel = "HOST:PORT") String address, @Option(names = "--json",
            description = "As it came, for programs.") boolean json) throws IOException {
        String text = request(address, "GET", FLEET_PATH);
        Map<String, String> values = new LinkedHashMap<>();
        parse(text, values);
        if (json) {
            System.out.print(text);
        } else {
            values.forEach((name, value) -> System.out.printf("%-15s %s%n", name, value));
        }
        return values.getOrDefault("inTouch", "false").equals("true") ? 0 : 1;
    }

    @Command(name = "members", description = "All instances that the fleet knows.")
    int members(@Parameters(paramLabel = "HOST:PORT") String address, @Option(names = "--json",
            description = "As it came, for programs.") boolean json) throws IOException {
        String text = request(address, "GET", FLEET_PATH);
        if (json) {
            System.out.print(text);
            return 0;
        }
        String format = "%-16s %12s %-10s %-6s %-22s %s%n";
        System.out.printf(format, "NAME", "INCARNATION", "STANDING", "VOTER", "ADDRESS", "BUILD");
        for (Map<String, String> member : parse(text, new LinkedHashMap<>())) {
            System.out.printf(format, member.get("name"), member.get("incarnation"), member.get("standing"),
                    member.get("voter").equals("true") ? "yes" : "no",
                    member.get("address").isEmpty() ? "-" : member.get("address"),
                    member.get("build"));
        }
        return 0;
    }

    @Command(name = "recovery", description = "Where this instance's return from a loss of power stands.")
    int recovery(@Parameters(paramLabel = "HOST:PORT") String address) throws IOException {
        Map<String, String> values = new LinkedHashMap<>();
        parse(request(address, "GET", RECOVERY_PATH), values);
        values.forEach((name, value) -> System.out.printf("%-15s %s%n", name, value));
        return 0;
    }

    @Command(name = "doubtful", description = "Loads that may have run before a loss of power, until they are acknowledged; exit"
            + " code 1 where there are any.")
    int doubtful(@Parameters(paramLabel = "HOST:PORT") String address, @Option(names = "--json",
            description = "As it came, for programs.") boolean json) throws IOException {
        String text = request(address, "GET", RECOVERY_PATH);
        List<Map<String, String>> rows = parse(text, new LinkedHashMap<>());
        if (json) {
            System.out.print(text);
        } else {
            String format = "%-18s %-10s %-10s %-18s %6s %-16s %s%n";
            System.out.printf(format, "TXN", "CLASS", "TEAM", "STATEMENT", "TABLES", "ENGINE", "CAME");
            rows.forEach(load -> System.out.printf(format, load.get("txn"), load.get("class"), load.get("team"),
                    load.get("digest"), load.get("tables"), load.get("engine").isEmpty() ? "not known" : load.get("engine"),
                    load.get("at")));
        }
        return rows.isEmpty() ? 0 : 1;
    }

    @Command(name = "acknowledge", description = "Take a load off the list of doubtful ones: staff have seen whether it ran.")
    int acknowledge(@Parameters(paramLabel = "HOST:PORT") String address, @Parameters(paramLabel = "TXN") String txn)
            throws IOException {
        System.out.print(request(address, "PUT", "/fleet/doubtful/" + txn));
        return 0;
    }

    @Command(name = "allow", description = "Let an engine take work again that takes none since a loss of power, as it had"
            + " drained before.")
    int allow(@Parameters(paramLabel = "HOST:PORT") String address, @Parameters(paramLabel = "ENGINE") String engine)
            throws IOException {
        System.out.print(request(address, "PUT", "/fleet/allowed/" + engine));
        return 0;
    }

    @Command(name = "init", description = "Begin a voter's folder, once, before the fleet's first start: one that is found empty"
            + " later does not vote.")
    int init(@Parameters(paramLabel = "FILE", description = "The operators' file.") Path conf,
            @Option(names = "--name", paramLabel = "NAME", required = true, description = "The instance.") String name)
            throws IOException, ConfException {
        FleetSettings settings = FleetSettings.read(ConfReader.read(conf.toString(), Files.readString(conf)), conf.toString());
        if (settings.folder() == null || !settings.config().isVoter(name)) {
            throw new IOException(settings.folder() == null ? "'state folder' names none"
                    : name + " is not one of 'fleet voters'");
        }
        try (FolderDisk disk = new FolderDisk(settings.folder())) {
            if (!disk.lock()) {
                throw new IOException("another process holds " + settings.folder());
            }
            if (disk.usedBytes() > 0) {
                throw new IOException(settings.folder() + " is not empty: it was begun before");
            }
            StateFolder.open(disk, name, FleetService.identity(), true);
        }
        System.out.println(settings.folder() + ": begun for " + name);
        return 0;
    }

    @Command(name = "get", description = "Read a register, with all that was agreed before.")
    int get(@Parameters(paramLabel = "HOST:PORT") String address, @Parameters(paramLabel = "NAME") String name)
            throws IOException {
        System.out.print(request(address, "GET", "/fleet/registers/" + name));
        return 0;
    }

    @Command(name = "put", description = "Write a register, where the operators' file allows it.")
    int put(@Parameters(paramLabel = "HOST:PORT") String address, @Parameters(paramLabel = "NAME") String name,
            @Parameters(paramLabel = "VALUE") String value, @Option(names = "--if", paramLabel = "VERSION",
            defaultValue = "any", description = "Only if it has this version; 0 if it must not exist.") String version)
            throws IOException {
        System.out.print(request(address, "PUT", "/fleet/registers/" + name + "/" + version + "/" + value));
        return 0;
    }

    /** Sends an HTTP request and returns the body of the response; throws unless its status is 200. */
    private static String request(String address, String method, String path) throws IOException {
        int colon = address.lastIndexOf(':');
        if (colon < 1 || !address.substring(colon + 1).matches("[0-9]{1,5}")) {
            throw new IOException("no address: '" + address + "'");
        }
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                    TIMEOUT_MS);
            socket.setSoTimeout(TIMEOUT_MS);
            socket.getOutputStream().write((method + " " + path + " HTTP/1.1\r\nHost: " + address + "\r\n\r\n").getBytes(
                    StandardCharsets.UTF_8));
            String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            int headEnd = response.indexOf(HEAD_END);
            if (headEnd < 0 || !response.startsWith("HTTP/1.1 ")) {
                throw new IOException(address + " gave no whole answer");
            }
            String body = response.substring(headEnd + HEAD_END.length());
            if (Integer.parseInt(response.substring(9, 12)) != OK) {
                throw new IOException(address + ": " + response.substring(9, response.indexOf("\r\n")) + ": " + body.strip());
            }
            return body;
        }
    }

    /** Parses a JSON answer: puts its single values into {@code values} and returns the objects of its only list. */
    private static List<Map<String, String>> parse(String text, Map<String, String> values) throws IOException {
        List<Map<String, String>> rows = new ArrayList<>();
        try (JsonParser parser = new JsonFactory().createParser(text)) {
            Map<String, String> target = values;
            for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
                if (token == JsonToken.START_OBJECT && parser.getParsingContext().getParent().inArray()) {
                    target = new LinkedHashMap<>();
                    rows.add(target);
                } else if (token == JsonToken.END_ARRAY) {
                    target = values;
                } else if (token.isScalarValue()) {
                    target.put(parser.currentName(), parser.getText());
                }
            }
        }
        return rows;
    }
}
