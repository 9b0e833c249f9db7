package quincespar.faultbench.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import quincespar.faultbench.check.History.Request;
import quincespar.faultbench.check.History.StatusSample;

/** Invariants that every run must satisfy besides linearizable registers. Each check returns one line for each violation. */
public final class Invariants {
    private Invariants() { }

    /** Each term has at most one leader. Only an instance that reports itself as the leader counts as evidence. */
    public static List<String> oneLeaderPerTerm(List<StatusSample> samples) {
        Map<Long, String> leaders = new HashMap<>();
        List<String> violations = new ArrayList<>();
        for (StatusSample sample : samples) {
            if (sample.voting() && sample.leader().equals(sample.node())) {
                String other = leaders.putIfAbsent(sample.term(), sample.node());
                if (other != null && !other.equals(sample.node())) {
                    violations.add("term " + sample.term() + " is led by " + other + " and by " + sample.node());
                }
            }
        }
        return violations.stream().distinct().toList();
    }

    /**
     * An ended incarnation never becomes active again, and no incarnation number belongs to two instances. The samples of all
     * instances are combined, ordered by the version of the fleet state that they report.
     */
    public static List<String> incarnationsEndOnce(List<StatusSample> samples) {
        Map<String, Long> endedAtVersion = new HashMap<>();
        Map<Long, String> owners = new HashMap<>();
        List<String> violations = new ArrayList<>();
        for (StatusSample sample : samples.stream().sorted(java.util.Comparator.comparingLong(StatusSample::version)).toList()) {
            for (String s : sample.standings()) {
                String[] parts = s.split(":");
                String incarnation = parts[0] + ":" + parts[1];
                String owner = owners.putIfAbsent(Long.parseLong(parts[1]), parts[0]);
                if (owner != null && !owner.equals(parts[0])) {
                    violations.add("incarnation " + parts[1] + " is " + owner + "'s and " + parts[0] + "'s");
                }
                if (parts[2].equals("GONE")) {
                    endedAtVersion.putIfAbsent(incarnation, sample.version());
                } else if (endedAtVersion.getOrDefault(incarnation, Long.MAX_VALUE) < sample.version()) {
                    violations.add(incarnation + " was over at version " + endedAtVersion.get(incarnation)
                            + " and is " + parts[2] + " at " + sample.version());
                }
            }
        }
        return violations.stream().distinct().toList();
    }

    /** No instance reports that this incarnation has ended. */
    public static List<String> incarnationNotEnded(List<StatusSample> samples, String node, long incarnation) {
        String over = node + ":" + incarnation + ":GONE";
        return samples.stream().filter(sample -> sample.standings().contains(over))
                .map(sample -> node + "'s incarnation " + incarnation + " was ended by the fleet").distinct().toList();
    }

    /** An instance's incarnation number never decreases: the number stored in its folder survives a kill. */
    public static List<String> incarnationsIncrease(List<StatusSample> samples) {
        Map<String, Long> highest = new HashMap<>();
        List<String> violations = new ArrayList<>();
        for (StatusSample sample : samples) {
            if (sample.incarnation() > 0 && sample.incarnation() < highest.getOrDefault(sample.node(), 0L)) {
                violations.add(sample.node() + " was incarnation " + highest.get(sample.node()) + " and then "
                        + sample.incarnation());
            }
            highest.merge(sample.node(), sample.incarnation(), Math::max);
        }
        return violations;
    }

    /** An instance whose folder was replaced or rolled back never votes from then on, however often it is restarted. */
    public static List<String> neverVotesSince(List<StatusSample> samples, String node, long from) {
        return samples.stream().filter(sample -> sample.node().equals(node) && sample.at() >= from && sample.voting())
                .map(sample -> node + " votes on a folder that is older than the fleet, in term " + sample.term())
                .distinct().toList();
    }

    /** A second process of the same name gets no incarnation and does not vote. It must have been sampled at least once. */
    public static List<String> duplicateNeverAdmitted(List<StatusSample> samples, String second) {
        List<StatusSample> all = samples.stream().filter(sample -> sample.node().equals(second)).toList();
        if (all.isEmpty()) {
            return List.of(second + " was never sampled, so the run proves nothing");
        }
        return all.stream().filter(sample -> sample.incarnation() > 0 || sample.voting())
                .map(sample -> second + " has incarnation " + sample.incarnation() + (sample.voting() ? " and votes" : ""))
                .distinct().toList();
    }

    /** A voter keeps the identity of its state folder across kills. */
    public static List<String> folderIdentitiesStable(Map<String, List<String>> identities) {
        List<String> violations = new ArrayList<>();
        identities.forEach((node, all) -> {
            if (new HashSet<>(all).size() > 1) {
                violations.add(node + "'s folder was " + String.join(", then ", all) + ": its durable state was lost");
            }
        });
        return violations;
    }

    /** Longest time between the record of a SIGCONT, which is made before sending it, and its effect, in nanoseconds. */
    private static final long SIGNAL_NANOS = 200_000_000L;
    /**
     * During an upgrade a request may cross the close of its idle connection, and the client retries it. Longest time from
     * sending to that close, in nanoseconds.
     */
    private static final long UPGRADE_CROSSING_NANOS = 50_000_000L;
    /** How long after SIGTERM requests on open connections are still answered, in nanoseconds. */
    private static final long SHUTDOWN_ACCEPT_NANOS = 200_000_000L;

    /**
     * Every request gets a final answer, except those whose process was killed while their connection was open or was paused
     * while they were, and those sent to a process after SIGTERM.
     */
    public static List<String> everyRequestAnswered(List<Request> requests, List<Event> events) {
        return requests.stream().filter(r -> r.answer().isEmpty())
                .filter(r -> !isExcused(r, events.stream().filter(e -> e.subject().equals(r.node())).toList()))
                .map(r -> r.node() + " left request " + r.txn() + " without an answer").toList();
    }

    private static boolean isExcused(Request request, List<Event> eventsOfProcess) {
        long pausedAt = Long.MAX_VALUE;
        long killedAt = Long.MAX_VALUE;
        boolean excused = false;
        for (Event e : eventsOfProcess) {
            switch (e.kind()) {
                case "stopped" -> pausedAt = e.at();
                case "continued" -> {
                    excused |= e.at() + SIGNAL_NANOS >= request.sentAt() && pausedAt <= request.endedAt();
                    pausedAt = Long.MAX_VALUE;
                }
                case "killed" -> {
                    killedAt = e.at();
                    excused |= connectionOpenAt(request, e.at());
                }
                // on a busy machine a kill takes longer, so that the process may accept a connection after its record
                case "ended" -> excused |= killedAt <= request.endedAt() && e.at() >= request.connectedAt();
                case "told to stop" -> excused |= e.text().isEmpty() ? e.at() + SHUTDOWN_ACCEPT_NANOS <= request.sentAt()
                        : e.at() <= request.endedAt() && request.endedAt() - request.sentAt() <= UPGRADE_CROSSING_NANOS;
                default -> { }
            }
        }
        return excused || pausedAt <= request.endedAt();
    }

    /** Nothing that is sent on a connection after the process that accepted it was killed can be answered, however late. */
    private static boolean connectionOpenAt(Request request, long time) {
        return request.connectedAt() <= time && time <= request.endedAt();
    }

    /**
     * An instance lists each load as in doubt that reached an engine and got no answer because the instance was killed.
     * Instances in {@code tampered}, whose folders were changed by the schedule, are exempt.
     */
    public static List<String> doubtfulLoadsListed(List<Request> requests, List<Event> events, Set<String> reached,
            Map<String, Set<String>> listed, Set<String> tampered) {
        return requests.stream()
                .filter(r -> r.load() && r.answer().isEmpty() && reached.contains(r.txn()) && !tampered.contains(r.node()))
                .filter(r -> events.stream().anyMatch(e -> e.subject().equals(r.node()) && e.kind().equals("killed")
                        && e.at() >= r.sentAt() && e.at() <= r.endedAt()))
                .filter(r -> !listed.getOrDefault(r.node(), Set.of()).contains(r.txn()))
                .map(r -> "load " + r.txn() + " of " + r.node() + " may have run but is not listed as in doubt").toList();
    }

    /** Time for the drain notice to reach all front ends, including any that were down, in nanoseconds. */
    private static final long DRAIN_NOTICE_NANOS = 2_000_000_000L;

    /** A draining engine gets no new queries, even if front ends restart or receive an outdated engine list. */
    public static List<String> noQueryAfterDrain(String engine, long drainedAt, long lastAt) {
        return lastAt <= drainedAt + DRAIN_NOTICE_NANOS ? List.of() : List.of(engine + " was sent a query "
                + (lastAt - drainedAt) / 1_000_000 + " ms after it began to drain");
    }

    /** Each load reaches an engine at most once; {@code sent} has one entry for each arrival. */
    public static List<String> noDuplicateLoads(List<String> sent) {
        Set<String> seen = new HashSet<>();
        return sent.stream().filter(txn -> !seen.add(txn)).map(txn -> "load " + txn + " was sent twice").toList();
    }
}
