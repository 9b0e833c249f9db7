package quincespar.faultbench.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import quincespar.faultbench.check.History.Request;
import quincespar.faultbench.check.History.StatusSample;

/** What must hold of a run beside its registers. */
public final class Invariants {
    private Invariants() { }

    /** A term has one leader, whoever tells of it: only who leads itself is taken at its word. */
    public static List<String> oneLeaderPerTerm(List<StatusSample> samples) {
        Map<Long, String> leaders = new HashMap<>();
        List<String> out = new ArrayList<>();
        for (StatusSample g : samples) {
            if (g.voting() && g.leader().equals(g.node())) {
                String other = leaders.putIfAbsent(g.term(), g.node());
                if (other != null && !other.equals(g.node())) {
                    out.add("term " + g.term() + " is led by " + other + " and by " + g.node());
                }
            }
        }
        return out.stream().distinct().toList();
    }

    /**
     * A life that is over stays over, and no number is given to two: seen from all instances' views together, ordered by the
     * version of the state that they tell of.
     */
    public static List<String> incarnationsEndOnce(List<StatusSample> samples) {
        Map<String, Long> goneAt = new HashMap<>();
        Map<Long, String> owners = new HashMap<>();
        List<String> out = new ArrayList<>();
        for (StatusSample g : samples.stream().sorted(java.util.Comparator.comparingLong(StatusSample::version)).toList()) {
            for (String s : g.standings()) {
                String[] w = s.split(":");
                String life = w[0] + ":" + w[1];
                String owner = owners.putIfAbsent(Long.parseLong(w[1]), w[0]);
                if (owner != null && !owner.equals(w[0])) {
                    out.add("incarnation " + w[1] + " is " + owner + "'s and " + w[0] + "'s");
                }
                if (w[2].equals("GONE")) {
                    goneAt.putIfAbsent(life, g.version());
                } else if (goneAt.getOrDefault(life, Long.MAX_VALUE) < g.version()) {
                    out.add(life + " was over at version " + goneAt.get(life) + " and is " + w[2] + " at " + g.version());
                }
            }
        }
        return out.stream().distinct().toList();
    }

    /** That life of an instance is over for nobody. */
    public static List<String> incarnationNotEnded(List<StatusSample> samples, String node, long incarnation) {
        String over = node + ":" + incarnation + ":GONE";
        return samples.stream().filter(g -> g.standings().contains(over)).map(g -> node + "'s life " + incarnation
                + " was ended by the fleet").distinct().toList();
    }

    /** An instance's own numbers rise with each of its starts: what a folder promised is there after a kill. */
    public static List<String> incarnationsIncrease(List<StatusSample> samples) {
        Map<String, Long> highest = new HashMap<>();
        List<String> out = new ArrayList<>();
        for (StatusSample g : samples) {
            if (g.incarnation() > 0 && g.incarnation() < highest.getOrDefault(g.node(), 0L)) {
                out.add(g.node() + " was incarnation " + highest.get(g.node()) + " and then " + g.incarnation());
            }
            highest.merge(g.node(), g.incarnation(), Math::max);
        }
        return out;
    }

    /** Whose folder is not what it has promised by does not vote from then on, however often it is started. */
    public static List<String> neverVotesSince(List<StatusSample> samples, String node, long from) {
        return samples.stream().filter(g -> g.node().equals(node) && g.at() >= from && g.voting())
                .map(g -> node + " votes on a folder that is older than the fleet, in term " + g.term()).distinct().toList();
    }

    /** A second process of a name has no life while the first one has, and says why; that it was looked at is part of the rule. */
    public static List<String> duplicateNeverAdmitted(List<StatusSample> samples, String second) {
        List<StatusSample> all = samples.stream().filter(g -> g.node().equals(second)).toList();
        if (all.isEmpty()) {
            return List.of(second + " was never seen: a run that shows nothing");
        }
        return all.stream().filter(g -> g.incarnation() > 0 || g.voting()).map(g -> second + " has incarnation "
                + g.incarnation() + (g.voting() ? " and votes" : "")).distinct().toList();
    }

    /** A vote's folder keeps its last incarnation over a kill: who voted before and comes back keeps its identity. */
    public static List<String> folderIdentitiesStable(Map<String, List<String>> identities) {
        List<String> out = new ArrayList<>();
        identities.forEach((node, all) -> {
            if (new HashSet<>(all).size() > 1) {
                out.add(node + "'s folder was " + String.join(", then ", all) + ": what it was said to keep was lost");
            }
        });
        return out;
    }

    /** A signal is noted before it is sent, and takes so long at the most, in nanoseconds. */
    private static final long SIGNAL_NANOS = 200_000_000L;
    /** In a change of version a request may cross the end of its quiet connection, and is sent again; in nanoseconds. */
    private static final long UPGRADE_CROSSING_NANOS = 50_000_000L;
    /** So long after the word to stop clients may still ask on open connections, in nanoseconds. */
    private static final long CLIENT_STOP_NANOS = 200_000_000L;

    /**
     * Every request has one final answer, but those to a process that was killed or stood still while they were open, and
     * those sent to one that had been told to stop.
     */
    public static List<String> everyRequestAnswered(List<Request> requests, List<Event> events) {
        List<String> out = new ArrayList<>();
        for (Request r : requests) {
            boolean excused = false;
            long stoppedAt = Long.MAX_VALUE;
            long killedAt = Long.MAX_VALUE;
            for (Event e : events.stream().filter(x -> x.subject().equals(r.node())).toList()) {
                stoppedAt = e.kind().equals("stopped") ? e.at() : stoppedAt;
                killedAt = e.kind().equals("killed") ? e.at() : killedAt;
                excused |= e.kind().equals("ended") && killedAt <= r.endedAt() && e.at() + SIGNAL_NANOS >= r.sentAt() // on a busy machine it takes longer
                        || e.kind().equals("killed") && e.at() + SIGNAL_NANOS >= r.sentAt() && e.at() <= r.endedAt()
                        || e.kind().equals("told to stop") && (e.text().isEmpty() ? e.at() + CLIENT_STOP_NANOS <= r.sentAt()
                        : e.at() <= r.endedAt() && r.endedAt() - r.sentAt() <= UPGRADE_CROSSING_NANOS)
                        || e.kind().equals("continued") && e.at() + SIGNAL_NANOS >= r.sentAt() && stoppedAt <= r.endedAt();
                stoppedAt = e.kind().equals("continued") ? Long.MAX_VALUE : stoppedAt;
            }
            if (r.answer().isEmpty() && !excused && stoppedAt > r.endedAt()) {
                out.add(r.node() + " left request " + r.txn() + " without an answer");
            }
        }
        return out;
    }

    /**
     * Each load that reached an engine, and whose client got no answer as its process was killed, is listed as in doubt by that instance;
     * {@code tampered} are those whose folder was not left as it was.
     */
    public static List<String> doubtfulLoadsListed(List<Request> requests, List<Event> events, Set<String> reached, Map<String, Set<String>> listed,
            Set<String> tampered) {
        return requests.stream().filter(r -> r.load() && r.answer().isEmpty() && reached.contains(r.txn()) && !tampered.contains(r.node()))
                .filter(r -> events.stream().anyMatch(e -> e.subject().equals(r.node()) && e.kind().equals("killed") && e.at() >= r.sentAt()
                        && e.at() <= r.endedAt()))
                .filter(r -> !listed.getOrDefault(r.node(), Set.of()).contains(r.txn()))
                .map(r -> "load " + r.txn() + " of " + r.node() + " may have run and is not listed as in doubt").toList();
    }

    /** Nothing new so long after the word that an engine drains, in nanoseconds; whoever was down hears it late. */
    private static final long DRAIN_NOTICE_NANOS = 2_000_000_000L;

    /** An engine that drains takes nothing new, however often front ends are started and whatever list they are given. */
    public static List<String> noQueryAfterDrain(String engine, long drainedAt, long lastAt) {
        return lastAt <= drainedAt + DRAIN_NOTICE_NANOS ? List.of() : List.of(engine + " was sent a query " + (lastAt - drainedAt) / 1_000_000
                + " ms after it had begun to drain");
    }

    /** A load reaches an engine once: {@code sent} has a line for each time that one did. */
    public static List<String> noDuplicateLoads(List<String> sent) {
        Set<String> seen = new HashSet<>();
        return sent.stream().filter(txn -> !seen.add(txn)).map(txn -> "load " + txn + " was sent twice").toList();
    }
}
