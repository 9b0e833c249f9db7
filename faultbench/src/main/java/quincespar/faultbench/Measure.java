package quincespar.faultbench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParentCommand;
import quincespar.faultbench.check.History;
import quincespar.faultbench.report.LineChart;
import quincespar.faultbench.world.AdminClient.Response;
import quincespar.faultbench.world.AdminClient;
import quincespar.faultbench.world.Client;
import quincespar.faultbench.world.Cluster;
import quincespar.faultbench.world.Node;
import quincespar.faultbench.world.StandInEngine;

/** Measurements of a fleet, started manually. Prints figures and checks none against a limit. */
@Command(name = "measure", description = "Measure a fleet of processes; prints figures.", mixinStandardHelpOptions = true)
public final class Measure {
    private static final int REQUEST_TIMEOUT_MS = 1000, CONDITION_TIMEOUT_S = 120;

    @ParentCommand
    private FaultBench bench;

    private Cluster newCluster(int instances, int voters, boolean fleet, History history) throws IOException {
        return new Cluster(new Cluster.Options(instances, voters, fleet, Run.jar(bench.root()), null,
                Files.createTempDirectory("measure")), history);
    }

    private static final int SERVED_PERIOD_S = 30;

    @Command(name = "losses", description = "Simulates a power loss of all front ends and engines, with and without recovery, in"
            + " pairs: failed engines, the time to the first lookup served, and the requests served.")
    int losses(@Option(names = "--pairs", defaultValue = "3") int pairs, @Option(names = "--over", defaultValue = "3000",
            description = "Power returns to the engines one by one over this time, in milliseconds.") int overMs,
            @Option(names = "--every", defaultValue = "6",
            description = "Interval between the requests of each client, in milliseconds.")
            int everyMs, @Option(names = "--plot", paramLabel = "FILE",
            description = "Draw the requests served per second, as the median of the pairs, as SVG.") Path plot)
            throws IOException, InterruptedException {
        Map<String, List<double[]>> all = new LinkedHashMap<>();
        for (int i = 0; i < pairs; i++) {
            for (boolean on : new boolean[] {true, false}) {
                all.computeIfAbsent(on ? "with recovery" : "without recovery", k -> new ArrayList<>())
                        .add(measurePowerLoss(i + 1, on, overMs, everyMs));
            }
        }
        if (plot != null) {
            Map<String, double[]> medians = new LinkedHashMap<>();
            all.forEach((name, runs) -> medians.put(name, IntStream.range(0, SERVED_PERIOD_S)
                    .mapToDouble(s -> runs.stream().mapToDouble(r -> r[s]).sorted().toArray()[runs.size() / 2]).toArray()));
            Files.writeString(plot, LineChart.of("Requests served per second after power returns", medians));
        }
        return 0;
    }

    private double[] measurePowerLoss(int pair, boolean on, int overMs, int everyMs) throws IOException, InterruptedException {
        History history = new History();
        try (Cluster cluster = new Cluster(new Cluster.Options(5, 5, true, Run.jar(bench.root()), null,
                Files.createTempDirectory("measure"), true, on), history)) {
            startAll(cluster);
            List<Client> clients = new ArrayList<>();
            List<Thread> clientThreads = new ArrayList<>();
            for (Node n : cluster.nodes().values()) {
                clients.add(new Client(n.name(), n.listenAddress(), clients.size() + 1, everyMs, history));
                clientThreads.add(clients.get(clients.size() - 1).start());
            }
            TimeUnit.SECONDS.sleep(8);
            long lost = System.nanoTime();
            for (Node n : cluster.nodes().values()) {
                n.kill();
            }
            for (StandInEngine e : cluster.engines()) {
                e.setPowered(false);
            }
            for (Node n : cluster.nodes().values()) {
                n.start();
            }
            long back = System.nanoTime();
            for (StandInEngine e : cluster.engines()) {
                e.setPowered(true);
                TimeUnit.MILLISECONDS.sleep(overMs / cluster.engines().size());
            }
            TimeUnit.NANOSECONDS.sleep(Math.max(0, back + TimeUnit.SECONDS.toNanos(SERVED_PERIOD_S) - System.nanoTime()));
            clients.forEach(Client::stop);
            for (Thread t : clientThreads) {
                t.join();
            }
            List<History.Request> served = history.requests().stream()
                    .filter(r -> r.sentAt() > lost && r.answer().equals("served")).toList();
            double first = served.stream().filter(r -> !r.load())
                    .mapToDouble(r -> (r.endedAt() - back) / 1e6).min().orElse(Double.NaN);
            System.out.printf(Locale.ROOT, "pair %d recovery %s: %d of %d engines fell, first lookup served after %.0f ms, served"
                    + " in 10 s %d, in 20 s %d, in 30 s %d%n", pair, on ? "on " : "off",
                    history.events().stream().filter(e -> e.kind().equals("fell")).count(), cluster.engines().size(), first,
                    servedWithin(served, back, 10), servedWithin(served, back, 20), servedWithin(served, back, SERVED_PERIOD_S));
            return IntStream.range(0, SERVED_PERIOD_S)
                    .mapToDouble(s -> servedWithin(served, back, s + 1) - servedWithin(served, back, s)).toArray();
        }
    }

    private static long servedWithin(List<History.Request> served, long from, int seconds) {
        return served.stream().filter(r -> r.endedAt() <= from + TimeUnit.SECONDS.toNanos(seconds)).count();
    }

    private static Map<String, String> readStatus(Node n) {
        Response a = AdminClient.call(n.adminAddress(), "GET", "/fleet", REQUEST_TIMEOUT_MS);
        return a.status() == 200 ? a.values() : Map.of();
    }

    private static boolean until(BooleanSupplier condition, int pauseMs) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(CONDITION_TIMEOUT_S);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                return false;
            }
            TimeUnit.MILLISECONDS.sleep(pauseMs);
        }
        return true;
    }

    private static boolean quorumReachable(Node n) {
        return readStatus(n).getOrDefault("inTouch", "false").equals("true");
    }

    private static void startAll(Cluster cluster) throws IOException, InterruptedException {
        for (Node n : cluster.nodes().values()) {
            n.start();
        }
        for (Node n : cluster.nodes().values()) {
            if (!until(() -> quorumReachable(n), 50)) {
                throw new IOException(n.name() + " did not reach a quorum");
            }
        }
    }

    private static void print(String what, List<Double> all) {
        List<Double> sorted = new ArrayList<>(all);
        Collections.sort(sorted);
        System.out.printf(Locale.ROOT, "%s: n=%d least %.0f median %.0f worst %.0f%n", what, sorted.size(), sorted.get(0),
                sorted.get(sorted.size() / 2), sorted.get(sorted.size() - 1));
    }

    /** The instance that reports itself as the leader, or null. */
    private static Node leader(Cluster cluster) {
        return cluster.nodes().values().stream().filter(n -> {
            Map<String, String> v = readStatus(n);
            return v.getOrDefault("voting", "").equals("true") && n.name().equals(v.get("leader"));
        }).findFirst().orElse(null);
    }

    @Command(name = "elections", description = "Kills the leader repeatedly: milliseconds until another leads, and until the next"
            + " write succeeds.")
    int elections(@Option(names = "--count", defaultValue = "50") int count) throws IOException, InterruptedException {
        List<Double> leads = new ArrayList<>();
        List<Double> writes = new ArrayList<>();
        try (Cluster cluster = newCluster(5, 5, true, new History())) {
            startAll(cluster);
            for (int i = 0; i < count; i++) {
                Node[] old = new Node[1];
                until(() -> (old[0] = leader(cluster)) != null, 20);
                Node asked = cluster.nodes().values().stream().filter(n -> n != old[0]).findFirst().orElseThrow();
                long at = System.nanoTime();
                old[0].kill();
                until(() -> {
                    String l = readStatus(asked).getOrDefault("leader", "");
                    return !l.isEmpty() && !l.equals(old[0].name());
                }, 2);
                leads.add((System.nanoTime() - at) / 1e6);
                String value = "v" + i;
                until(() -> AdminClient.call(asked.adminAddress(), "PUT", "/fleet/registers/r/any/" + value, 5000)
                        .status() == 200, 1);
                writes.add((System.nanoTime() - at) / 1e6);
                old[0].start();
                until(() -> quorumReachable(old[0]), 50);
            }
        }
        print("ms until another leads", leads);
        print("ms until a write is agreed", writes);
        return 0;
    }

    @Command(name = "registers", description = "Register writes and reads per second, by one caller and by several.")
    int registers(@Option(names = "--seconds", defaultValue = "10") int seconds) throws IOException, InterruptedException {
        try (Cluster cluster = newCluster(5, 5, true, new History())) {
            startAll(cluster);
            List<Node> nodes = List.copyOf(cluster.nodes().values());
            for (int callers : new int[] {1, 5, 20}) {
                for (String kind : List.of("PUT", "GET")) {
                    int[] done = new int[callers];
                    List<Thread> threads = new ArrayList<>();
                    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
                    for (int c = 0; c < callers; c++) {
                        int caller = c;
                        Thread t = new Thread(() -> {
                            while (System.nanoTime() < end) {
                                String path = "/fleet/registers/m" + caller + (kind.equals("PUT") ? "/any/x" : "");
                                done[caller] += AdminClient.call(nodes.get(caller % nodes.size()).adminAddress(), kind,
                                        path, 5000).status() == 200 ? 1 : 0;
                            }
                        });
                        t.start();
                        threads.add(t);
                    }
                    for (Thread t : threads) {
                        t.join();
                    }
                    System.out.printf("%s by %d callers: %d a second%n", kind, callers,
                            java.util.Arrays.stream(done).sum() / seconds);
                }
            }
        }
        return 0;
    }

    @Command(name = "size", description = "Many instances, few voters: processor time when idle, and milliseconds until a join"
            + " and a shutdown are known to all.")
    int size(@Option(names = "--of", defaultValue = "60") int instances, @Option(names = "--seconds",
            defaultValue = "20") int seconds) throws IOException, InterruptedException {
        try (Cluster cluster = newCluster(instances, 5, true, new History())) {
            List<Node> nodes = List.copyOf(cluster.nodes().values());
            Node late = nodes.get(nodes.size() - 1);
            for (Node n : nodes.subList(0, nodes.size() - 1)) {
                n.start();
                TimeUnit.MILLISECONDS.sleep(300); // not part of the measurement; simultaneous starts would compete for the cores
            }
            for (Node n : nodes.subList(0, nodes.size() - 1)) {
                until(() -> quorumReachable(n), 100);
            }
            double[] before = cpu(nodes);
            TimeUnit.SECONDS.sleep(seconds);
            double[] after = cpu(nodes);
            double voters = 0;
            double followers = 0;
            for (int i = 0; i < nodes.size() - 1; i++) {
                voters += i < 5 ? after[i] - before[i] : 0;
                followers += i < 5 ? 0 : after[i] - before[i];
            }
            System.out.printf(Locale.ROOT, "processor ms a second, mean of a voter %.1f, of a follower %.1f; resident MB"
                    + " voter %d, follower %d%n", voters / 5 / seconds, followers / (nodes.size() - 6) / seconds,
                    rss(nodes.get(0)), rss(nodes.get(10)));
            late.start();
            until(() -> !readStatus(late).getOrDefault("incarnation", "0").equals("0"), 1);
            print("ms until a join is known to all",
                    millisUntilKnown(nodes.subList(0, nodes.size() - 1), late, "JOINING", "SERVING"));
            until(() -> quorumReachable(late), 20);
            late.terminate();
            late.awaitEnd(10_000);
            print("ms until an end in order is known to all", millisUntilKnown(nodes.subList(0, nodes.size() - 1), late, "GONE"));
        }
        return 0;
    }

    private static List<Double> millisUntilKnown(List<Node> by, Node who, String... standings) throws InterruptedException {
        long from = System.nanoTime();
        List<Double> out = Collections.synchronizedList(new ArrayList<>());
        List<Thread> threads = new ArrayList<>();
        for (Node n : by) {
            Thread t = new Thread(() -> {
                try {
                    until(() -> AdminClient.call(n.adminAddress(), "GET", "/fleet", REQUEST_TIMEOUT_MS).rows().stream()
                            .anyMatch(m -> m.get("name").equals(who.name())
                            && List.of(standings).contains(m.get("standing"))), 10);
                    out.add((System.nanoTime() - from) / 1e6);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                } catch (IllegalStateException e) { // invalid response: this instance is not counted
                    Thread.onSpinWait();
                }
            });
            t.start();
            threads.add(t);
        }
        for (Thread t : threads) {
            t.join();
        }
        return out;
    }

    private static double[] cpu(List<Node> nodes) {
        return nodes.stream().mapToDouble(n -> ProcessHandle.of(n.pid()).flatMap(p -> p.info().totalCpuDuration())
                .map(d -> (double) d.toMillis()).orElse(0.0)).toArray();
    }

    private static long rss(Node n) throws IOException {
        return Files.readAllLines(Path.of("/proc/" + n.pid() + "/status")).stream().filter(l -> l.startsWith("VmRSS"))
                .mapToLong(l -> Long.parseLong(l.replaceAll("[^0-9]", "")) / 1024).findFirst().orElse(0);
    }

    @Command(name = "cost", description = "Start time and memory of an instance without a fleet, as a voter, and as a follower.")
    int cost(@Option(names = "--times", defaultValue = "5") int times) throws IOException, InterruptedException {
        for (int which = 0; which < 3; which++) {
            List<Double> ready = new ArrayList<>();
            List<Double> touch = new ArrayList<>();
            List<Double> rss = new ArrayList<>();
            List<Double> cpu = new ArrayList<>();
            for (int i = 0; i < times; i++) {
                try (Cluster cluster = newCluster(which == 2 ? 4 : which == 1 ? 3 : 1, which == 0 ? 1 : 3,
                        which > 0, new History())) {
                    List<Node> nodes = List.copyOf(cluster.nodes().values());
                    for (Node n : nodes.subList(0, nodes.size() - 1)) {
                        n.start();
                        until(() -> isUp(n), 20);
                    }
                    Node last = nodes.get(nodes.size() - 1);
                    long at = System.nanoTime();
                    last.start();
                    until(() -> isUp(last), 2);
                    ready.add((System.nanoTime() - at) / 1e6);
                    if (which > 0) {
                        until(() -> quorumReachable(last), 2);
                        touch.add((System.nanoTime() - at) / 1e6);
                    }
                    TimeUnit.SECONDS.sleep(3);
                    rss.add((double) rss(last));
                    cpu.add(cpu(List.of(last))[0]);
                }
            }
            String name = which == 0 ? "off" : which == 1 ? "voter" : "follower";
            print(name + ", ms until ready", ready);
            if (which > 0) {
                print(name + ", ms until in touch", touch);
            }
            print(name + ", resident MB 3 s later", rss);
            print(name + ", processor ms until then", cpu);
        }
        return 0;
    }

    @Command(name = "worth", description = "Requests served and lookup times when the leader is killed, compared with the same"
            + " kill without a fleet, in pairs.")
    int worth(@Option(names = "--pairs", defaultValue = "5") int pairs) throws IOException, InterruptedException {
        for (int i = 0; i < pairs; i++) {
            for (boolean fleet : new boolean[] {true, false}) {
                History history = new History();
                try (Cluster cluster = newCluster(5, 5, fleet, history)) {
                    for (Node n : cluster.nodes().values()) {
                        n.start();
                    }
                    for (Node n : cluster.nodes().values()) {
                        until(() -> fleet ? quorumReachable(n) : isUp(n), 20);
                    }
                    List<Client> clients = new ArrayList<>();
                    List<Thread> clientThreads = new ArrayList<>();
                    for (Node n : cluster.nodes().values()) {
                        clients.add(new Client(n.name(), n.listenAddress(), clients.size() + 1, 5, history));
                        clientThreads.add(clients.get(clients.size() - 1).start());
                    }
                    TimeUnit.SECONDS.sleep(3);
                    Node lost = fleet ? leader(cluster) : cluster.nodes().get("n1");
                    lost.kill();
                    TimeUnit.SECONDS.sleep(7);
                    clients.forEach(Client::stop);
                    for (Thread t : clientThreads) {
                        t.join();
                    }
                    List<History.Request> all = history.requests().stream().filter(r -> !r.node().equals(lost.name())).toList();
                    double[] ms = all.stream().filter(r -> !r.load()).mapToDouble(r -> (r.endedAt() - r.sentAt()) / 1e6).sorted()
                            .toArray();
                    System.out.printf(Locale.ROOT, "pair %d fleet %s: %d asked of the others, served %.4f, lookups ms median %.2f"
                            + " p99 %.2f longest %.1f%n", i + 1, fleet ? "on " : "off", all.size(), all.stream().filter(r ->
                            r.answer().equals("served")).count() / (double) all.size(), ms[ms.length / 2],
                            ms[ms.length * 99 / 100], ms[ms.length - 1]);
                }
            }
        }
        return 0;
    }

    private static boolean isUp(Node n) {
        return AdminClient.call(n.adminAddress(), "GET", "/status", REQUEST_TIMEOUT_MS).status() == 200;
    }
}
