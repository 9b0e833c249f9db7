package quincespar.faultbench.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.stream.Collectors;

/**
 * A fault schedule, written as lines of {@code MS VERB TARGET AMOUNT}; a line that begins with # is a comment.
 *
 * @param steps ordered by time
 */
public record Schedule(List<Step> steps) {
    /**
     * One action of the fault injector.
     *
     * @param atMillis milliseconds since all instances have converged
     * @param verb the action
     * @param target an instance, {@code leader}, {@code *} for all, or a directed link such as {@code n1>n2}, {@code n1>*} or
     *     {@code *>n1}
     * @param amount milliseconds, bytes, a seed or an index, as the verb requires; 0 if unused
     */
    public record Step(int atMillis, Verb verb, String target, int amount) {
        @Override
        public String toString() {
            return atMillis + " " + verb.name().toLowerCase(java.util.Locale.ROOT) + " " + target
                    + (amount == 0 ? "" : " " + amount);
        }
    }

    /** The actions. */
    public enum Verb {
        /** Kills a process (SIGKILL). */
        KILL,
        /** Kills all processes, one right after the other. */
        KILLALL,
        /** Starts a process. */
        START,
        /** Starts all processes that are down, in a random order with the amount as its seed. */
        STARTALL,
        /** Requests an orderly shutdown (SIGTERM). */
        TERM,
        /** Pauses a process (SIGSTOP). */
        STOP,
        /** Resumes a paused process (SIGCONT). */
        CONT,
        /** Resets a link's connections and rejects new ones. */
        CUT,
        /** Silently holds back data in the forward direction of a link. */
        HOLD,
        /** Silently holds back data in the backward direction. */
        HOLDBACK,
        /** Stops forward data in the middle of a chunk. */
        STALL,
        /** Delays forward data by the amount, in milliseconds. */
        SLOW,
        /** Delays forward data by varying times up to the amount, in milliseconds. */
        JITTER,
        /** Limits forward data to the amount, in bytes per second. */
        THROTTLE,
        /** Flips one bit of forward data. */
        FLIP,
        /** Removes all faults of a link, in both directions. */
        MEND,
        /** Simulates a full disk: files of a process can't grow. */
        FULL,
        /** Ends {@link #FULL}. */
        ROOM,
        /** Saves a copy of an instance's state folder. */
        COPY,
        /** Replaces the state folder by the saved copy; only while the process is down. */
        RESTORE,
        /** Deletes the state folder; only while the process is down. */
        EMPTY,
        /** Replaces the state folder by a copy of that of the instance whose number is the amount; only while it is down. */
        ANOTHERS,
        /** Flips one bit of the facts (0), mark (1), consensus log (2) or load list (3) file; only while the process is down. */
        SPOIL,
        /** Makes writes of the state files take 5 s longer; needs {@code --plant disk}. */
        LATE,
        /** Makes writes of the state files fail; needs {@code --plant disk}. */
        READONLY,
        /** Ends {@link #LATE} and {@link #READONLY}. */
        SOUND,
        /** Cuts the amount of bytes off the end of the consensus log; only while the process is down. */
        TEAR,
        /** Requires that the current incarnation of the instance does not end during the run. */
        LIVES,
        /** All engines lose power and the queries that they run. */
        DARK,
        /** The engines get power again one after the other, spread over the amount in milliseconds, and start cold. */
        LIGHT,
        /** The change log stops answering. */
        SILENT,
        /** The change log answers again. */
        HEARD,
        /** The change log reports that the engine with this index, from 0, is draining. */
        DRAIN,
        /** The change log restarts from an older list, in which no engine drains. */
        FORGET,
        /** Delays the following steps until all running instances have recovered from a power loss. */
        RETURNED,
        /** Delays the following steps until the instance reaches a quorum. */
        AWAIT,
        /** Delays the following steps until an instance reports that the fleet has ended this instance's incarnation. */
        GONE,
        /** Upgrades an instance under load: starts a new process beside the old one and then stops the old one. */
        UPGRADE,
        /** Starts a second process of the same name with a copy of the state folder. */
        SECOND,
        /** Moves the clock of a process one hour ahead; needs {@code --plant clock}. */
        AHEAD,
        /** Moves the clock back again. */
        BEHIND
    }

    /** Latest end of a fault in a generated schedule, in milliseconds. */
    private static final int MAX_DURATION_MS = 9000;

    /** Parses schedule text; throws {@link IllegalArgumentException} with the first line that is not a step. */
    public static Schedule read(String text) {
        List<Step> out = new ArrayList<>();
        for (String line : text.lines().map(String::strip).filter(l -> !l.isEmpty() && !l.startsWith("#")).toList()) {
            String[] w = line.split(" +");
            try {
                out.add(new Step(Integer.parseInt(w[0]), Verb.valueOf(w[1].toUpperCase(java.util.Locale.ROOT)),
                        w.length > 2 ? w[2] : "*", w.length > 3 ? Integer.parseInt(w[3]) : 0));
            } catch (IllegalArgumentException | ArrayIndexOutOfBoundsException e) {
                throw new IllegalArgumentException("not a schedule step: '" + line + "'", e);
            }
        }
        out.sort(Comparator.comparingInt(Step::atMillis));
        return new Schedule(List.copyOf(out));
    }

    /** The schedule in its text format. */
    public String text() {
        return steps.stream().map(Step::toString).collect(Collectors.joining("\n", "", "\n"));
    }

    /** A copy without the step at an index. */
    public Schedule withoutStep(int index) {
        List<Step> out = new ArrayList<>(steps);
        out.remove(index);
        return new Schedule(List.copyOf(out));
    }

    /** Generates the schedule of a seed for a number of instances: overlapping faults, most of which end after a while. */
    public static Schedule draw(long seed, int instances) {
        Random random = new Random(seed * 0x9E3779B97F4A7C15L);
        List<Step> out = new ArrayList<>();
        int faults = 3 + random.nextInt(5);
        for (int i = 0; i < faults; i++) {
            int at = random.nextInt(MAX_DURATION_MS - 1000);
            int end = Math.min(MAX_DURATION_MS, at + 200 + random.nextInt(4000));
            String node = random.nextInt(3) == 0 ? "leader" : "n" + (1 + random.nextInt(instances));
            String link = random.nextInt(3) == 0 ? node + ">*" : random.nextInt(2) == 0 ? "*>" + node
                    : node + ">n" + (1 + random.nextInt(instances));
            switch (random.nextInt(14)) {
                case 0, 1 -> {
                    out.add(new Step(at, Verb.KILL, node, 0));
                    out.add(new Step(end, Verb.STARTALL, "*", random.nextInt(100)));
                }
                case 2, 3 -> {
                    out.add(new Step(at, Verb.STOP, node, 0));
                    out.add(new Step(end, Verb.CONT, "*", 0));
                }
                case 4, 5 -> addLinkFault(out, at, end, Verb.HOLD, link, 0);
                case 6 -> addLinkFault(out, at, end, Verb.HOLDBACK, link, 0);
                case 7 -> addLinkFault(out, at, end, Verb.CUT, link, 0);
                case 8 -> addLinkFault(out, at, end, Verb.STALL, link, 0);
                case 9 -> addLinkFault(out, at, end, random.nextBoolean() ? Verb.SLOW : Verb.JITTER, link,
                        20 + random.nextInt(400));
                case 10 -> addLinkFault(out, at, end, Verb.THROTTLE, link, 500 + random.nextInt(20_000));
                case 11 -> out.add(new Step(at, Verb.FLIP, link, 0));
                case 12 -> {
                    out.add(new Step(at, Verb.FULL, node, 0));
                    out.add(new Step(end, Verb.ROOM, "*", 0));
                }
                default -> {
                    out.add(new Step(at, Verb.KILLALL, "*", 10));
                    out.add(new Step(Math.min(end, at + 1500), Verb.STARTALL, "*", random.nextInt(100)));
                }
            }
        }
        out.sort(Comparator.comparingInt(Step::atMillis));
        return new Schedule(List.copyOf(out));
    }

    private static void addLinkFault(List<Step> out, int at, int end, Verb verb, String link, int amount) {
        out.add(new Step(at, verb, link, amount));
        out.add(new Step(end, Verb.MEND, link, 0));
    }
}
