package quincespar.faultbench.schedule;

import java.util.LinkedHashMap;
import java.util.Map;

/** Named schedules, each of which causes one kind of failure that the fleet must survive. */
public final class FixedSchedules {
    private static final Map<String, String> TEXTS = new LinkedHashMap<>();

    static {
        TEXTS.put("leader-killed", "1000 kill leader\n2500 startall");
        TEXTS.put("leader-stopped", "1000 stop leader\n4000 cont *");
        TEXTS.put("leader-heard-by-nobody", "1000 hold leader>*\n1000 holdback *>leader\n4000 mend *");
        TEXTS.put("split-two-two-one", """
            1000 hold n1>*
            1000 holdback *>n1
            1000 hold *>n1
            1000 hold n2>n4
            1000 hold n2>n5
            1000 hold n3>n4
            1000 hold n3>n5
            1000 hold n4>n2
            1000 hold n4>n3
            1000 hold n5>n2
            1000 hold n5>n3
            4500 mend *
            """);
        TEXTS.put("stalled-within-a-frame", "1000 stall leader>*\n3000 mend *\n3500 stall *>leader\n4500 mend *");
        TEXTS.put("all-killed", "1000 killall * 10\n1500 startall * 3");
        TEXTS.put("torn-tail", "1000 kill n2\n1200 tear n2 60\n1500 start n2");
        TEXTS.put("full-at-the-leader", "1000 full leader\n3500 room *");
        TEXTS.put("folder-of-before", "500 copy n2\n800 kill n2\n900 start n2\n1000 await n2\n1500 kill n2\n1600 restore n2"
                + "\n1700 start n2");
        TEXTS.put("folder-of-this-life", "500 copy n2\n3500 kill n2\n3600 restore n2\n3700 start n2\n5000 await n2\n5100 kill n2"
                + "\n5200 start n2");
        TEXTS.put("folder-of-another", "1000 kill n2\n1100 anothers n2 3\n1200 start n2");
        TEXTS.put("folder-spoilt", "1000 kill n2\n1100 spoil n2 0\n1200 start n2\n1300 kill n3\n1400 spoil n3 2\n1500 start n3");
        TEXTS.put("three-full", "500 full n1\n1000 full n4\n1500 full n5\n3500 room *");
        TEXTS.put("disk-slow", "500 lives n2\n500 late n2\n1000 late leader\n2000 kill n3\n2100 late n3\n2200 start n3"
                + "\n7000 sound *");
        TEXTS.put("disk-read-only", "500 readonly n2\n2000 kill n3\n2100 readonly n3\n2200 start n3\n4000 sound *");
        TEXTS.put("restart", "500 kill n4\n600 start n4");
        TEXTS.put("folder-lost", "1000 kill n3\n1100 empty n3\n1200 start n3");
        StringBuilder tenRestarts = new StringBuilder();
        for (int i = 0; i < 10; i++) {
            tenRestarts.append(500 + 950 * i).append(" kill n4\n").append(600 + 950 * i).append(" start n4\n");
        }
        TEXTS.put("ten-restarts", tenRestarts.toString());
        TEXTS.put("gone-and-back", "500 stop n5\n600 gone n5\n6500 cont n5");
        TEXTS.put("a-bit-turned", "1000 flip leader>*\n2000 flip *>leader\n3000 flip n1>n2");
        TEXTS.put("restart-in-order", "500 term n1\n2600 start n1\n3800 term n2\n5900 start n2");
        TEXTS.put("new-version", "500 upgrade n2\n1000 upgrade leader");
        TEXTS.put("two-of-one-name", "500 second n2\n4500 kill n3\n4600 start n3");
        TEXTS.put("clock-steps", "500 ahead leader\n1500 ahead n2\n2500 behind *\n3500 ahead n3");
    }

    static { // power losses, played with engines that restart cold
        String powerOff = "1000 killall *\n1000 dark *\n";
        String powerOn = "1500 startall * 3\n1500 light * 0\n";
        TEXTS.put("loss-at-once", powerOff + powerOn);
        TEXTS.put("loss-spread", powerOff + "1500 start n3\n2500 start n1\n3500 start n5\n4500 start n2\n5500 start n4"
                + "\n1500 light * 4000");
        TEXTS.put("loss-two-late", powerOff + "1500 start n1\n1500 start n2\n1600 start n3\n1500 light * 2000\n9000 startall *");
        TEXTS.put("loss-no-majority", powerOff + "1500 start n1\n1500 start n2\n1500 light * 2000\n11000 startall *");
        TEXTS.put("loss-engines-stood", "1000 killall *\n1100 startall * 5");
        TEXTS.put("loss-one-alone", "7500 kill n2\n7800 start n2");
        TEXTS.put("loss-silent-list", "900 silent *\n" + powerOff + powerOn + "7000 heard *");
        TEXTS.put("loss-older-list", "100 drain * 0\n1900 killall *\n1900 dark *\n2000 forget *\n2400 startall * 3"
                + "\n2400 light * 0");
        TEXTS.put("loss-folder-empty", powerOff + "1200 empty n2\n" + powerOn);
        TEXTS.put("loss-folder-of-before", "300 copy n2\n2500 killall *\n2600 dark *\n2700 restore n2\n3000 startall * 2"
                + "\n3000 light * 0");
        TEXTS.put("loss-folder-of-another", powerOff + "1200 anothers n2 3\n" + powerOn);
        TEXTS.put("loss-list-spoilt", powerOff + "1200 spoil n2 3\n" + powerOn);
        TEXTS.put("loss-thrice", powerOff + powerOn + "3300 killall *\n3400 startall * 8\n6200 killall *\n6200 dark *"
                + "\n6500 startall * 9\n6500 light * 0");
        TEXTS.put("loss-links-cut", powerOff + "1400 hold n1>*\n1400 holdback *>n1\n1400 hold *>n2\n" + powerOn + "7000 mend *");
        TEXTS.put("loss-clock-back", "500 ahead *\n" + powerOff + "1200 behind *\n" + powerOn);
        TEXTS.put("loss-crash-loop", powerOff + powerOn + "2300 kill n2\n2400 start n2\n3200 kill n2\n3300 start n2"
                + "\n4100 kill n2\n4200 start n2\n5500 kill n2\n5600 start n2");
    }

    /** Whether a schedule simulates a power loss and therefore needs engines that can restart cold. */
    public static boolean isPowerLoss(String name) {
        return name.startsWith("loss-");
    }

    private FixedSchedules() { }

    /** The source change ({@code --plant}) that a schedule needs for its faults to take effect, or null. */
    public static String requiredPlant(String name) {
        return name.contains("clock") ? "clock" : name.startsWith("disk") ? "disk" : null;
    }

    /** The text of each schedule, by name. */
    public static Map<String, String> texts() {
        return Map.copyOf(TEXTS);
    }

    /**
     * Not played at each build: the flipped bit on a link, because which byte it hits is random, and schedules whose failures
     * others nearly cover.
     */
    private static final java.util.Set<String> PLAYED_BY_HAND = java.util.Set.of("a-bit-turned", "disk-read-only",
            "loss-two-late", "loss-folder-of-another", "loss-thrice");

    /** Names of the deterministic schedules played at each build, in order. */
    public static java.util.List<String> playedAtEachBuild() {
        return TEXTS.keySet().stream().filter(n -> !PLAYED_BY_HAND.contains(n)).toList();
    }

    /** All names, in order. */
    public static java.util.List<String> names() {
        return java.util.List.copyOf(TEXTS.keySet());
    }
}
