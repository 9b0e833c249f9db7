package quincespar.routing;

import java.util.List;
import java.util.Map;
import quincespar.decision.Gateway;
import quincespar.decision.SettingsParser;

/** The settings: those of the module, and those that only a front end on sockets needs. */
public record Site(Gateway.Settings module, List<String> zones, List<String> kinds, double idleMs, int streams) {
    private static final double IDLE = 15_000;
    private static final int STREAMS = 100;

    /** Reads pairs of path and value, as the adapter does; throws {@link IllegalArgumentException}. */
    public static Site of(Map<String, String> pairs) {
        return new Site(SettingsParser.parse(pairs), words(pairs.get("localities")), words(pairs.get("kinds")),
                number(pairs, "limits.connIdle", IDLE), (int) number(pairs, "limits.maxStreams", STREAMS));
    }

    private static List<String> words(String joined) {
        return joined == null || joined.isEmpty() ? List.of() : List.of(joined.split(","));
    }

    private static double number(Map<String, String> pairs, String key, double absent) {
        String v = pairs.get(key);
        try {
            double n = v == null ? absent : Double.parseDouble(v);
            return n > 0 ? n : absent;
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("setting " + key + ": not a number: " + v);
        }
    }
}
