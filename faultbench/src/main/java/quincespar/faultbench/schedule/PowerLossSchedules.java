package quincespar.faultbench.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import quincespar.faultbench.schedule.Schedule.Step;
import quincespar.faultbench.schedule.Schedule.Verb;

/** Generates schedules with a power loss of the whole fleet from a seed. */
public final class PowerLossSchedules {
    private static final int FIRST_LOSS_MS = 1500, LAST_START_MS = 9000, ENGINES = 8;

    private PowerLossSchedules() { }

    /**
     * Generates the schedule of a seed for a number of instances: the preparation, the power loss, the order of restarts, and
     * further faults meanwhile.
     */
    public static Schedule draw(long seed, int instances) {
        Random random = new Random(seed * 0x9E3779B97F4A7C15L + 1);
        List<Step> out = new ArrayList<>();
        boolean drains = random.nextInt(3) == 0;
        String node = "n" + (1 + random.nextInt(instances));
        if (drains) {
            out.add(new Step(100, Verb.DRAIN, "*", random.nextInt(ENGINES)));
        }
        if (random.nextInt(4) == 0) {
            out.add(new Step(FIRST_LOSS_MS - 1000, Verb.COPY, node, 0));
            out.add(new Step(FIRST_LOSS_MS + 100, Verb.RESTORE, node, 0));
        } else if (random.nextInt(5) == 0) {
            out.add(new Step(FIRST_LOSS_MS + 100, random.nextBoolean() ? Verb.EMPTY : Verb.SPOIL, node, 3));
        }
        addPowerLoss(out, random, FIRST_LOSS_MS, drains, instances);
        if (random.nextInt(3) == 0) {
            addPowerLoss(out, random, FIRST_LOSS_MS + 1500 + random.nextInt(3000), false, instances);
        }
        if (random.nextInt(3) == 0) {
            String link = random.nextBoolean() ? node + ">*" : "*>" + node;
            out.add(new Step(FIRST_LOSS_MS + random.nextInt(2000), random.nextBoolean() ? Verb.HOLD : Verb.HOLDBACK, link, 0));
            out.add(new Step(FIRST_LOSS_MS + 3000 + random.nextInt(3000), Verb.MEND, link, 0));
        }
        if (random.nextInt(4) == 0) {
            out.add(new Step(FIRST_LOSS_MS - 200, Verb.SILENT, "*", 0));
            out.add(new Step(FIRST_LOSS_MS + 1000 + random.nextInt(6000), Verb.HEARD, "*", 0));
        }
        if (random.nextInt(4) == 0) {
            int at = FIRST_LOSS_MS + 1000 + random.nextInt(3000);
            out.add(new Step(at, Verb.STOP, node, 0));
            out.add(new Step(at + 500 + random.nextInt(2500), Verb.CONT, "*", 0));
        }
        out.sort(Comparator.comparingInt(Step::atMillis));
        return new Schedule(List.copyOf(out));
    }

    private static void addPowerLoss(List<Step> out, Random random, int at, boolean forgets, int instances) {
        boolean dark = random.nextInt(4) > 0;
        out.add(new Step(at, Verb.KILLALL, "*", 0));
        if (dark) {
            out.add(new Step(at, Verb.DARK, "*", 0));
            out.add(new Step(at + 300 + random.nextInt(1500), Verb.LIGHT, "*", random.nextInt(5000)));
        }
        if (forgets) {
            out.add(new Step(at + 150, Verb.FORGET, "*", 0));
        }
        int spread = random.nextInt(3) == 0 ? 0 : random.nextInt(5000);
        for (int i = 1; i <= instances; i++) {
            out.add(new Step(Math.min(LAST_START_MS, at + 300 + (spread == 0 ? 0 : random.nextInt(spread))),
                    Verb.START, "n" + i, 0));
        }
    }
}
