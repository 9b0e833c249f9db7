package quincespar.faultbench;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import quincespar.faultbench.check.History.Operation;
import quincespar.faultbench.check.History.Outcome;
import quincespar.faultbench.check.History.StatusSample;
import quincespar.faultbench.check.History;
import quincespar.faultbench.check.Invariants;
import quincespar.faultbench.check.Linearizability;
import quincespar.faultbench.schedule.Schedule.Step;
import quincespar.faultbench.schedule.Schedule.Verb;
import quincespar.faultbench.schedule.Schedule;
import quincespar.faultbench.world.AdminClient.Response;
import quincespar.faultbench.world.AdminClient;
import quincespar.faultbench.world.Client;
import quincespar.faultbench.world.Cluster;
import quincespar.faultbench.world.Node;
import quincespar.faultbench.world.Relay.Mode;
import quincespar.faultbench.world.Relay;
import quincespar.faultbench.world.StandInEngine;

/** One test run: starts a cluster, plays a fault schedule under load, removes all faults, and checks the recorded history. */
public final class Run {
    private static final int SAMPLE_EVERY_MS = 100, STATUS_TIMEOUT_MS = 1000, REGISTER_TIMEOUT_MS = 2500, REGISTER_EVERY_MS = 40;
    private static final int REQUEST_EVERY_MS = 25, LOSS_REQUEST_EVERY_MS = 6;
    private static final int MAX_APPLIED_LAG = 50, REGISTERS = 3, CONVERGE_TIMEOUT_S = 60, VOTE_TIMEOUT_S = 20;
    private static final int UPGRADE_TIMEOUT_MS = 20_000, FINAL_LOAD_MS = 500;

    private final Cluster.Options options;
    private final Schedule schedule;
    private final History history = new History();
    private final List<String> problems = Collections.synchronizedList(new ArrayList<>());
    private final LatestSamples lastSamples = new LatestSamples();
    private final Map<String, List<String>> folderIdentities = Collections.synchronizedMap(new LinkedHashMap<>());
    /** Since when an instance has a folder with which it must not vote. */
    private final Map<String, Long> untrustedSince = Collections.synchronizedMap(new LinkedHashMap<>());
    /** Incarnations that must not end during the run, by instance. */
    private final Map<String, Long> mustNotEnd = Collections.synchronizedMap(new LinkedHashMap<>());
    /** Instances whose load list was damaged: entries after the damage are lost. */
    private final Set<String> damagedLoadLists = Collections.synchronizedSet(new LinkedHashSet<>());
    /** Amount of {@link Verb#SPOIL} that selects the load list. */
    private static final int LOAD_LIST_FILE = 3;
    private final Map<StandInEngine, Long> drainedAt = Collections.synchronizedMap(new LinkedHashMap<>());
    /** All loads that each instance has listed as in doubt. */
    private final Map<String, Set<String>> doubtfulLoads = Collections.synchronizedMap(new LinkedHashMap<>());
    private static final Set<Verb> ENVIRONMENT_VERBS = Set.of(Verb.DARK, Verb.LIGHT, Verb.SILENT, Verb.HEARD, Verb.DRAIN,
            Verb.FORGET, Verb.RETURNED);
    /** Instances whose folder was deleted, damaged or taken from another: its identity may change. */
    private final Set<String> replacedFolders = Collections.synchronizedSet(new LinkedHashSet<>());
    /** Second processes started under the name of another. */
    private final Set<String> duplicates = Collections.synchronizedSet(new LinkedHashSet<>());
    /** Threads started by steps, joined at the end. */
    private final List<Thread> lateThreads = Collections.synchronizedList(new ArrayList<>());
    private volatile long lastStepAt;
    private volatile boolean registerLoadRunning = true;
    private volatile boolean sampling = true;

    /** A run of a schedule on a new cluster. */
    public Run(Cluster.Options options, Schedule schedule) {
        this.options = options;
        this.schedule = schedule;
    }

    /** The recorded history. */
    public History history() {
        return history;
    }

    /** Plays the schedule and returns one line for each violation; empty if all checks held. */
    public List<String> play() throws IOException, InterruptedException {
        try (Cluster cluster = new Cluster(options, history)) {
            List<Thread> threads = new ArrayList<>();
            for (Node n : cluster.nodes().values()) {
                n.start();
                threads.add(thread("status-" + n.name(), () -> sampleStatus(n)));
            }
            if (!until(() -> converged(cluster))) {
                problems.add("the instances did not converge at the start: " + lastSamples);
                return problems;
            }
            List<Client> clients = new ArrayList<>();
            int number = 0;
            for (Node n : cluster.nodes().values()) {
                clients.add(new Client(n.name(), n.listenAddress(), ++number,
                        cluster.options().cold() ? LOSS_REQUEST_EVERY_MS : REQUEST_EVERY_MS, history));
                int caller = number;
                threads.add(thread("caller-" + number, () -> useRegisters(cluster, caller)));
            }
            List<Thread> clientThreads = clients.stream().map(Client::start).toList();
            playSteps(cluster);
            removeAllFaults(cluster);
            lastStepAt = System.nanoTime(); // samples of a killed process say nothing about its successor
            boolean recovered = until(() -> converged(cluster));
            if (!recovered) {
                problems.add("the instances did not converge after the faults: " + lastSamples);
                dumpThreads(cluster);
            }
            if (recovered) {
                checkVotersVote(cluster);
                awaitRecovered(cluster);
            }
            TimeUnit.MILLISECONDS.sleep(FINAL_LOAD_MS);
            registerLoadRunning = false;
            clients.forEach(Client::stop);
            for (Thread t : clientThreads) {
                t.join();
            }
            for (int r = 0; r < REGISTERS && recovered; r++) {
                recovered = finalRead(cluster, "r" + r);
            }
            sampling = false;
            threads.addAll(lateThreads);
            for (Thread t : threads) {
                t.join();
            }
            checkHistory(cluster);
            return problems;
        }
    }

    /** Writes a thread dump of every process to its log, to diagnose a hang. */
    private static void dumpThreads(Cluster cluster) throws IOException, InterruptedException {
        for (Node n : cluster.nodes().values()) {
            n.dumpThreads();
        }
    }

    private static Thread thread(String name, Runnable body) {
        Thread t = new Thread(body, name);
        t.setDaemon(true);
        t.start();
        return t;
    }

    private static boolean until(BooleanSupplier condition) throws InterruptedException {
        return until(condition, CONVERGE_TIMEOUT_S);
    }

    private static boolean until(BooleanSupplier condition, int timeoutS) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(timeoutS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                return false;
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
        return true;
    }

    /**
     * Whether all instances reach a quorum and are known as serving, and all voters have applied what was agreed, according to
     * samples of their current processes from the last 2 s. The library counts no vote of a voter with an empty log.
     */
    private boolean converged(Cluster cluster) {
        long now = System.nanoTime();
        long maxApplied = lastSamples.maxApplied();
        for (Node n : cluster.nodes().values()) {
            StatusSample sample = lastSamples.of(n.name());
            if (sample == null || sample.at() < lastStepAt || now - sample.at() > TimeUnit.SECONDS.toNanos(2)
                    || !sample.quorumReachable()
                    || sample.voting() && sample.applied() < Math.max(1, maxApplied - MAX_APPLIED_LAG)
                    || sample.standings().stream().noneMatch(s -> s.equals(n.name() + ":" + sample.incarnation() + ":SERVING"))) {
                return false;
            }
        }
        return true;
    }

    private void sampleStatus(Node n) {
        while (sampling) {
            long at = System.nanoTime(); // before the call: a process may be killed after it has prepared its response
            Response a = AdminClient.call(n.adminAddress(), "GET", "/fleet", STATUS_TIMEOUT_MS);
            if (a.status() == 200) {
                Map<String, String> v = a.values();
                List<String> standings = new ArrayList<>();
                for (Map<String, String> m : a.rows()) {
                    standings.add(m.get("name") + ":" + m.get("incarnation") + ":" + m.get("standing"));
                    if (m.get("name").equals(n.name()) && m.get("incarnation").equals(v.get("incarnation"))
                            && !m.get("folder").isEmpty()) {
                        folderIdentities.computeIfAbsent(n.name(), k -> Collections.synchronizedList(new ArrayList<>()));
                        List<String> seen = folderIdentities.get(n.name());
                        if (seen.isEmpty() || !seen.get(seen.size() - 1).equals(m.get("folder"))) {
                            seen.add(m.get("folder"));
                        }
                    }
                }
                StatusSample sample = new StatusSample(at, n.name(), v.get("phase"), Long.parseLong(v.get("incarnation")),
                        Boolean.parseBoolean(v.get("voting")), Boolean.parseBoolean(v.get("inTouch")), v.get("leader"),
                        Long.parseLong(v.get("term")), Long.parseLong(v.get("applied")),
                        Long.parseLong(v.get("version")), standings);
                history.add(sample);
                lastSamples.add(sample);
            }
            pause(SAMPLE_EVERY_MS);
        }
    }

    private static void pause(int ms) {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** One caller: reads and writes registers at changing instances and records the operations. */
    private void useRegisters(Cluster cluster, int caller) {
        Random random = new Random(caller);
        List<Node> nodes = List.copyOf(cluster.nodes().values());
        long[] versions = new long[REGISTERS];
        for (int i = 1; registerLoadRunning; i++) {
            int r = random.nextInt(REGISTERS);
            Node n = nodes.get((caller + i / 20) % nodes.size());
            if (random.nextInt(3) > 0) {
                read(n, "r" + r, "c" + caller, versions);
            } else {
                write(n, "r" + r, "c" + caller, "c" + caller + "-" + i, random.nextInt(3) == 0 ? -1 : versions[r]);
            }
            pause(REGISTER_EVERY_MS);
        }
    }

    private boolean read(Node n, String register, String caller, long[] versions) {
        long from = System.nanoTime();
        Response a = AdminClient.call(n.adminAddress(), "GET", "/fleet/registers/" + register, REGISTER_TIMEOUT_MS);
        if (a.status() != 200 && a.status() != 404 || !a.body().startsWith("{")) {
            return false; // a read without a response has no effect to record
        }
        Map<String, String> v = a.values();
        long version = Long.parseLong(v.get("version"));
        versions[Integer.parseInt(register.substring(1))] = version;
        history.add(new Operation(register, caller + "@" + n.name(), from, System.nanoTime(), false, -1,
                v.getOrDefault("value", ""), version, Outcome.DONE));
        return true;
    }

    private void write(Node n, String register, String caller, String value, long expected) {
        long from = System.nanoTime();
        Response a = AdminClient.call(n.adminAddress(), "PUT", "/fleet/registers/" + register + "/"
                + (expected < 0 ? "any" : expected) + "/" + value, REGISTER_TIMEOUT_MS);
        Outcome outcome = a.status() == 200 ? Outcome.DONE : a.status() == 409 ? Outcome.CONFLICT : Outcome.UNKNOWN;
        long version = outcome == Outcome.UNKNOWN ? 0 : Long.parseLong(a.values().get("version"));
        history.add(new Operation(register, caller + "@" + n.name(), from, outcome == Outcome.UNKNOWN ? Long.MAX_VALUE
                : System.nanoTime(), true, expected, value, version, outcome));
    }

    /** Reads a register at every instance; on the first failure reports what the others return, and returns false. */
    private boolean finalRead(Cluster cluster, String register) throws IOException, InterruptedException {
        for (Node n : cluster.nodes().values()) {
            if (!until(() -> read(n, register, "last", new long[REGISTERS]))) {
                problems.add(n.name() + " can no longer read " + register + ": " + cluster.nodes().values().stream().map(o ->
                        o.name() + " returns " + AdminClient.call(o.adminAddress(), "GET", "/fleet/registers/" + register,
                        REGISTER_TIMEOUT_MS).summary() + " with status " + lastSamples.of(o.name())).toList());
                dumpThreads(cluster);
                return false;
            }
        }
        return true;
    }

    private void playSteps(Cluster cluster) throws IOException, InterruptedException {
        long began = System.nanoTime();
        history.add("schedule", "begins", "");
        for (Step s : schedule.steps()) {
            long wait = s.atMillis() - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began);
            if (wait > 0) {
                TimeUnit.MILLISECONDS.sleep(wait);
            }
            history.add("schedule", "step", s.toString());
            lastStepAt = System.nanoTime();
            playStep(cluster, s);
        }
        history.add("schedule", "ends", "");
    }

    private String leader() {
        return lastSamples.leader("n1");
    }

    private void playStep(Cluster cluster, Step s) throws IOException, InterruptedException {
        String target = s.target().replace("leader", leader());
        if (target.contains(">")) {
            String[] ends = target.split(">");
            for (Map.Entry<String, Relay> r : cluster.relays().entrySet()) {
                String[] are = r.getKey().split(">");
                if ((ends[0].equals("*") || ends[0].equals(are[0])) && (ends[1].equals("*") || ends[1].equals(are[1]))) {
                    playLinkStep(r.getValue(), s);
                }
            }
        } else if (s.verb() == Verb.MEND) {
            cluster.relays().values().forEach(Run::restoreLink);
        } else if (ENVIRONMENT_VERBS.contains(s.verb())) {
            playEnvironmentStep(cluster, s);
        } else if (s.verb() == Verb.KILLALL) {
            for (Node n : cluster.nodes().values()) {
                n.kill();
            }
        } else if (s.verb() == Verb.STARTALL) {
            List<Node> order = new ArrayList<>(cluster.nodes().values());
            Collections.shuffle(order, new Random(s.amount()));
            for (Node n : order) {
                start(n);
            }
        } else {
            for (Node n : cluster.nodes().values()) {
                if (target.equals("*") || target.equals(n.name())) {
                    playNodeStep(cluster, n, s);
                }
            }
        }
    }

    private void playEnvironmentStep(Cluster cluster, Step s) throws IOException, InterruptedException {
        switch (s.verb()) {
            case DARK -> {
                for (StandInEngine e : cluster.engines()) {
                    e.setPowered(false);
                }
            }
            case LIGHT -> lateThreads.add(thread("light", () -> restorePower(cluster, s.amount())));
            case SILENT -> cluster.changeLog().setSilent(true);
            case HEARD -> cluster.changeLog().setSilent(false);
            case DRAIN -> {
                cluster.drain(s.amount());
                drainedAt.put(cluster.engines().get(s.amount()), System.nanoTime());
            }
            case FORGET -> cluster.changeLog().forgetChanges();
            default -> awaitRecovered(cluster);
        }
    }

    private void restorePower(Cluster cluster, int overMs) {
        for (StandInEngine e : cluster.engines()) {
            try {
                e.setPowered(true);
            } catch (IOException x) {
                problems.add("the fault bench could not restore power to an engine: " + x);
            }
            pause(overMs / cluster.engines().size());
        }
    }

    /** Waits until all running instances have recovered from a power loss, and collects the loads that they list as in doubt. */
    private void awaitRecovered(Cluster cluster) throws InterruptedException {
        if (!cluster.options().recovery()) {
            return;
        }
        for (Node n : cluster.nodes().values()) {
            Response[] a = new Response[1];
            if (n.alive() && !until(() -> {
                a[0] = AdminClient.call(n.adminAddress(), "GET", "/fleet/recovery", STATUS_TIMEOUT_MS);
                return a[0].status() == 200 && a[0].values().get("phase").equals("FULL");
            })) {
                problems.add(n.name() + " has not recovered: " + a[0].body().lines().findFirst().orElse("no response"));
            } else if (n.alive()) {
                doubtfulLoads.computeIfAbsent(n.name(), k -> Collections.synchronizedSet(new LinkedHashSet<>()))
                        .addAll(a[0].rows().stream().map(r -> r.get("txn")).toList());
            }
        }
    }

    private void start(Node n) throws IOException {
        if (!n.alive()) {
            n.start();
        }
    }

    private void playNodeStep(Cluster cluster, Node n, Step s) throws IOException, InterruptedException {
        switch (s.verb()) {
            case KILL -> n.kill();
            case START -> start(n);
            case TERM -> {
                n.terminate();
                n.awaitEnd(10_000);
            }
            case STOP -> n.setPaused(true);
            case CONT -> n.setPaused(false);
            case FULL -> n.limitFileSize(0);
            case ROOM -> n.limitFileSize(-1);
            case COPY -> n.copyFolder();
            case RESTORE -> {
                n.replaceFolder(n.folderCopy());
                untrustedSince.put(n.name(), System.nanoTime());
            }
            case EMPTY -> {
                n.replaceFolder(null);
                replacedFolders.add(n.name());
                untrustedSince.put(n.name(), System.nanoTime());
            }
            case ANOTHERS -> {
                n.replaceFolder(cluster.nodes().get("n" + s.amount()).stateFolder());
                replacedFolders.add(n.name());
                untrustedSince.put(n.name(), System.nanoTime());
            }
            case SPOIL -> {
                n.flipBit(s.amount());
                if (s.amount() == LOAD_LIST_FILE) {
                    damagedLoadLists.add(n.name()); // its consensus state is intact
                } else {
                    replacedFolders.add(n.name());
                    untrustedSince.put(n.name(), System.nanoTime());
                }
            }
            case LATE -> n.setDiskFault(true, false);
            case READONLY -> n.setDiskFault(false, true);
            case SOUND -> n.setDiskFault(false, false);
            case TEAR -> n.truncateLog(s.amount());
            case LIVES -> mustNotEnd.put(n.name(), lastSamples.of(n.name()).incarnation());
            case AWAIT -> {
                if (!until(() -> {
                    StatusSample sample = lastSamples.of(n.name());
                    return sample != null && sample.quorumReachable() && sample.at() > lastStepAt;
                })) {
                    problems.add(n.name() + " did not reach a quorum");
                }
            }
            case GONE -> awaitIncarnationEnded(n);
            case UPGRADE -> {
                if (!n.upgrade(UPGRADE_TIMEOUT_MS)) {
                    problems.add(n.name() + " was not replaced by its new version");
                }
            }
            case SECOND -> {
                Node second = cluster.createDuplicate(n.name());
                second.start();
                duplicates.add(second.name());
                lateThreads.add(thread("status-" + second.name(), () -> sampleStatus(second)));
            }
            case AHEAD -> n.shiftClock(true);
            case BEHIND -> n.shiftClock(false);
            default -> throw new IllegalArgumentException("verb does not apply to an instance: " + s);
        }
    }

    private void awaitIncarnationEnded(Node n) throws InterruptedException {
        String ended = n.name() + ":" + lastSamples.of(n.name()).incarnation() + ":GONE";
        if (!until(() -> lastSamples.anyLists(ended))) {
            problems.add("the fleet did not end the incarnation of " + n.name());
        }
    }

    private static void playLinkStep(Relay r, Step s) {
        switch (s.verb()) {
            case CUT -> r.setCut(true);
            case HOLD -> r.setMode(true, Mode.HOLD, 0);
            case HOLDBACK -> r.setMode(false, Mode.HOLD, 0);
            case STALL -> r.setMode(true, Mode.STALL, 0);
            case SLOW -> r.setMode(true, Mode.SLOW, s.amount());
            case JITTER -> r.setMode(true, Mode.JITTER, s.amount());
            case THROTTLE -> r.setMode(true, Mode.THROTTLE, s.amount());
            case FLIP -> r.setMode(true, Mode.FLIP, 0);
            case MEND -> restoreLink(r);
            default -> throw new IllegalArgumentException("verb does not apply to a link: " + s);
        }
    }

    private static void restoreLink(Relay r) {
        r.setCut(false);
        r.setMode(true, Mode.PASS, 0);
        r.setMode(false, Mode.PASS, 0);
    }

    /** Removes all faults that the schedule has left and starts processes that are down. */
    private void removeAllFaults(Cluster cluster) throws IOException, InterruptedException {
        cluster.changeLog().setSilent(false);
        restorePower(cluster, 0);
        cluster.relays().values().forEach(Run::restoreLink);
        for (Node n : cluster.nodes().values()) {
            n.setPaused(false);
            n.limitFileSize(-1);
            n.setDiskFault(false, false);
            start(n);
        }
    }

    /** Every voter whose folder is intact must vote again, which shows that its durable state was kept. */
    private void checkVotersVote(Cluster cluster) throws InterruptedException {
        for (Node n : cluster.nodes().values()) {
            boolean lost = AdminClient.call(n.adminAddress(), "GET", "/fleet", STATUS_TIMEOUT_MS).body()
                    .contains("its last vote was lost");
            if (!untrustedSince.containsKey(n.name()) && !lost && cluster.isVoter(n.name())
                    && !until(() -> lastSamples.of(n.name()).voting(), VOTE_TIMEOUT_S)) {
                problems.add(n.name() + " no longer votes although its folder was not changed: its durable state was lost");
            }
        }
    }

    private Set<String> tamperedNodes() {
        Set<String> out = new LinkedHashSet<>(damagedLoadLists);
        out.addAll(untrustedSince.keySet());
        return out;
    }

    private void checkHistory(Cluster cluster) {
        List<StatusSample> samples = history.statusSamples();
        problems.addAll(Linearizability.problems(history.operations()));
        problems.addAll(Invariants.oneLeaderPerTerm(samples));
        problems.addAll(Invariants.incarnationsEndOnce(samples));
        problems.addAll(Invariants.incarnationsIncrease(
                samples.stream().filter(sample -> !untrustedSince.containsKey(sample.node())).toList()));
        Map<String, List<String>> kept = new LinkedHashMap<>(folderIdentities);
        kept.keySet().removeAll(replacedFolders);
        problems.addAll(Invariants.folderIdentitiesStable(kept));
        if (cluster.options().recovery()) {
            problems.addAll(Invariants.doubtfulLoadsListed(history.requests(), history.events(),
                    Set.copyOf(cluster.receivedLoads()), doubtfulLoads, tamperedNodes()));
        }
        if (cluster.options().cold()) {
            history.events().stream().filter(e -> e.kind().equals("fell"))
                    .forEach(e -> problems.add(e.subject() + " fell: " + e.text()));
            drainedAt.forEach((e, at) -> problems.addAll(Invariants.noQueryAfterDrain(e.id(), at, e.lastQueryAt())));
        }
        mustNotEnd.forEach((n, incarnation) -> problems.addAll(Invariants.incarnationNotEnded(samples, n, incarnation)));
        // an old folder goes undetected if all start at once: docs/design/fleet.md, "Not covered"
        if (!cluster.options().cold()) {
            untrustedSince.forEach((n, from) -> problems.addAll(Invariants.neverVotesSince(samples, n, from)));
        }
        duplicates.forEach(n -> problems.addAll(Invariants.duplicateNeverAdmitted(samples, n)));
        problems.addAll(Invariants.everyRequestAnswered(history.requests(), history.events()));
        problems.addAll(Invariants.noDuplicateLoads(cluster.receivedLoads()));
        history.events().stream().filter(e -> e.kind().equals("unasked"))
                .forEach(e -> problems.add(e.subject() + ": " + e.text()));
        if (history.operations().stream().noneMatch(o -> o.write() && o.outcome() == Outcome.DONE)
                || history.requests().isEmpty()) {
            problems.add("no write or no request was made, so the run proves nothing");
        }
    }

    /** Path of the program's jar, given the root of the repository. */
    public static Path jar(Path root) {
        return root.resolve("frontend/target/quincespar.jar");
    }
}
