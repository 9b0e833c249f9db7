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
        SettingsParser settings = new SettingsParser(pairs);
        return new Site(settings.settings(), settings.words("localities"), settings.words("kinds"),
                aboveZero(settings.number("limits.connIdle", IDLE), IDLE),
                (int) aboveZero(settings.number("limits.maxStreams", STREAMS), STREAMS));
    }

    private static double aboveZero(double n, double absent) {
        return n > 0 ? n : absent;
    }
}
