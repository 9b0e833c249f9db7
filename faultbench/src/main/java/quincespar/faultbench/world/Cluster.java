package quincespar.faultbench.world;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import quincespar.faultbench.check.History;

/** All processes of a run, the relays between them, and their stand-in engines and change log. */
public final class Cluster implements AutoCloseable {
    private static final int ENGINES = 3, COLD_ENGINES = 8, LOAD_MS = 300;
    /**
     * Limits of cold engines, as on the platform: where these amount to N queries of {@link #WORK_MS} within {@link #FALL_MS}, an
     * engine fails beyond N + 3 * sqrt(N) + 3.
     */
    private static final int COLD_MS = 6000, FALL_MS = 1000, CORES = 4;
    private static final double COLD_SHARE = 0.3, FALL_MULTIPLE = 1.5;
    /** Work that clients state for a query, in milliseconds of one core. */
    static final int WORK_MS = 30;

    /**
     * The configuration of a cluster.
     *
     * @param voters how many of the instances vote
     * @param fleet whether the instances form a fleet
     * @param jar the program
     * @param plant compiled mutation to put on the class path before the jar, or null
     * @param folder working folder of the run
     * @param cold whether engines can restart cold and fail
     * @param recovery whether front ends detect and recover from a power loss
     */
    public record Options(int instances, int voters, boolean fleet, Path jar, Path plant, Path folder, boolean cold,
            boolean recovery) {
        /** Options without power losses. */
        public Options(int instances, int voters, boolean fleet, Path jar, Path plant, Path folder) {
            this(instances, voters, fleet, jar, plant, folder, false, false);
        }
    }

    private final Map<String, Node> nodes = new LinkedHashMap<>();
    private final Map<String, Relay> relays = new HashMap<>();
    private final List<StandInEngine> engines = new ArrayList<>();
    private final StandInChangeLog changeLog = new StandInChangeLog();
    private final List<Node> duplicates = new ArrayList<>();
    private final Map<String, InetSocketAddress> voterAddresses = new LinkedHashMap<>();
    private final Options options;
    private final String addressPrefix;
    private final History history;

    /** Creates stand-ins, folders and configurations; starts no process of the program. */
    public Cluster(Options options, History history) throws IOException {
        this.options = options;
        this.history = history;
        double sustainableQueries = FALL_MULTIPLE * COLD_SHARE * CORES * FALL_MS / WORK_MS;
        StandInEngine.ColdLimits cold = new StandInEngine.ColdLimits(COLD_MS, FALL_MS,
                (int) (sustainableQueries + 3 * Math.sqrt(sustainableQueries) + 3));
        for (int i = 0; i < (options.cold() ? COLD_ENGINES : ENGINES); i++) {
            engines.add(options.cold() ? new StandInEngine(5, LOAD_MS, cold, history) : new StandInEngine(5, 20, null, history));
        }
        addressPrefix = Sockets.freeAddressPrefix(Node.VOTE_PORT);
        for (int i = 1; i <= options.voters(); i++) {
            voterAddresses.put("n" + i, new InetSocketAddress(addressPrefix + i, Node.VOTE_PORT));
        }
        try (URLClassLoader program = new URLClassLoader(new URL[] {options.jar().toUri().toURL()},
                ClassLoader.getPlatformClassLoader())) {
            createNodes(options, program);
        }
    }

    private void createNodes(Options options, ClassLoader program) throws IOException {
        for (int i = 0; i < options.instances(); i++) {
            String name = "n" + (i + 1);
            Node n = new Node(name, options.folder().resolve(name), options.jar(), options.plant(),
                    addressPrefix + (i + 1), history);
            n.write(configuration(name, i, options.instances(), n), conf(name, n));
            if (options.fleet() && voterAddresses.containsKey(name)) {
                n.initFolder(program);
            }
            nodes.put(name, n);
        }
    }

    private static String address(InetSocketAddress a) {
        return a.getAddress().getHostAddress() + ":" + a.getPort();
    }

    private String configuration(String name, int number, int all, Node n) {
        String members = engines.stream().map(e -> member(e, "up")).collect(Collectors.joining(","));
        return """
            {"name":"%s","listen":"%s","admin_addr":"%s","seed":"%d","limits":{"sockets":256,"memory_mb":144},
             "changelog":"127.0.0.1:%d","known":{"seq":1,"results":[{"seq":1,"fleet":{"revision":1,"complete":true,
             "members":[%s]}}]},"settings":{"balancers":%d,"me":%d,"tick":5,
             "limits":{"cancelling":true,"maxAttempts":3,"maxStreams":100,"retryAfter":true,"maxRetryAfter":10000},%s
             "projects":[{"name":"acme","quotaPerS":5000,"share":1}],"requestClasses":[
             {"name":"lookup","slo":1000,"hardLimit":3000,"effect":"safe","points":1},
             {"name":"load","slo":2000,"hardLimit":3000,"effect":"unsafe","points":1}]}}
            """.formatted(name, address(n.listenAddress()), address(n.adminAddress()), number + 1, changeLog.port(),
                members, all, number, options.cold() ? (
                "\"rules\":{\"cold\":%d,\"coldShare\":%s,\"fall\":%d,\"fallMultiple\":%s},"
                + "\"extra\":{\"sizeCores\":[%d.0],\"writesTables\":[false,true]},").formatted(COLD_MS, COLD_SHARE,
                FALL_MS, FALL_MULTIPLE, CORES) : "");
    }

    private static String member(StandInEngine e, String phase) {
        return "{\"id\":\"" + e.id() + "\",\"host_port\":\"127.0.0.1:" + e.port() + "\",\"phase\":\"" + phase + "\",\"size\":1}";
    }

    /** The stand-in engines, by index. */
    public List<StandInEngine> engines() {
        return engines;
    }

    /** The stand-in change log. */
    public StandInChangeLog changeLog() {
        return changeLog;
    }

    /** Makes the change log report that an engine is draining. */
    public void drain(int engine) {
        changeLog.append(member(engines.get(engine), "draining"));
    }

    /** The configuration of this cluster. */
    public Options options() {
        return options;
    }

    /** Creates a second process under the name of an instance, with a copy of its folder and its own addresses. */
    public Node createDuplicate(String name) throws IOException {
        Node n = new Node(name + "-second", options.folder().resolve(name + "-second"), options.jar(), options.plant(),
                addressPrefix + (options.instances() + 1 + duplicates.size()), history);
        n.write(configuration(name, 0, options.instances(), n), conf(name, n));
        n.takeCopyOf(nodes.get(name));
        duplicates.add(n);
        return n;
    }

    private static final String RECOVERY = """
            recovery {
                use on
                reading 1500ms
                finding 4s
                agreeing 3s
                probing 1500ms
                step 300ms
                spread 500ms
                stood 6s
            }
            """;

    private String conf(String name, Node n) throws IOException {
        if (!options.fleet()) {
            return "";
        }
        List<String> relayAddresses = new ArrayList<>();
        for (Map.Entry<String, InetSocketAddress> v : voterAddresses.entrySet()) {
            if (!v.getKey().equals(name)) {
                Relay r = relays.get(name + ">" + v.getKey());
                r = r == null ? new Relay(v.getValue()) : r;
                relays.put(name + ">" + v.getKey(), r);
                relayAddresses.add(v.getKey() + "=127.0.0.1:" + r.port());
            }
        }
        String voters = voterAddresses.entrySet().stream().map(v -> v.getKey() + "=" + address(v.getValue())).collect(
                Collectors.joining(","));
        return """
            fleet {
                voters "%s"
                via "%s"
                renew 200ms
                suspect 1500ms
                gone 4s
                election 300ms
                hold 2s
                writes on
            }
            state {
                folder "%s"
            }
            %s""".formatted(voters, String.join(",", relayAddresses), n.stateFolder(), options.recovery() ? RECOVERY : "");
    }

    /** Deletes a run's folder recursively. */
    public static void deleteFolder(Path folder) throws IOException {
        Folders.delete(folder);
    }

    /** The instances by name. */
    public Map<String, Node> nodes() {
        return nodes;
    }

    /** The link from an instance to a voter, or null. */
    public Relay relay(String from, String to) {
        return relays.get(from + ">" + to);
    }

    /** Whether an instance is a voter. */
    public boolean isVoter(String name) {
        return options.fleet() && voterAddresses.containsKey(name);
    }

    /** The links by {@code from>to}. */
    public Map<String, Relay> relays() {
        return relays;
    }

    /** Ids of all loads that reached an engine, with repetitions. */
    public List<String> receivedLoads() {
        return engines.stream().flatMap(e -> e.receivedLoads().stream()).toList();
    }

    @Override
    public void close() throws IOException {
        List<Node> all = new ArrayList<>(nodes.values());
        all.addAll(duplicates);
        for (Node n : all) {
            try {
                n.kill();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        for (Relay r : relays.values()) {
            r.close();
        }
        for (StandInEngine e : engines) {
            e.close();
        }
        changeLog.close();
    }
}
