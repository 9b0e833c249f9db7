package quincespar.program.fleet;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import quincespar.fleet.FleetConfig;
import quincespar.settings.ConfException;
import quincespar.settings.Keyword;
import quincespar.settings.Settings;

/**
 * The fleet's settings from the operators' file.
 *
 * @param folder the folder of this instance's durable state; null if it has none
 * @param sizeLimitBytes size above which the log in the folder is compacted
 * @param library the jar with the agreement library; null for the one next to the program's jar
 * @param registerWritesAllowed whether registers can be written through the second address
 */
public record FleetSettings(FleetConfig config, Path folder, long sizeLimitBytes, Path library, boolean registerWritesAllowed) {

    /** Whether the file configures a fleet. */
    public static boolean isEnabled(Settings s) {
        return !s.text(Keyword.FLEET_VOTERS).isBlank();
    }

    /** Reads and validates the settings; throws with one line per problem, each prefixed with the name {@code file}. */
    public static FleetSettings read(Settings s, String file) throws ConfException {
        List<String> problems = new ArrayList<>();
        FleetConfig plan = new FleetConfig(s.text(Keyword.FLEET_GROUP),
                FleetConfig.parseAddresses(s.text(Keyword.FLEET_VOTERS), "fleet voters", problems),
                FleetConfig.parseAddresses(s.text(Keyword.FLEET_VOTER_ADDRESS_OVERRIDES), "fleet via", problems),
                s.number(Keyword.FLEET_RENEW_INTERVAL), s.number(Keyword.FLEET_SUSPECT_AFTER),
                s.number(Keyword.FLEET_GONE_AFTER), s.number(Keyword.FLEET_ELECTION_TIMEOUT),
                s.number(Keyword.FLEET_SHARE_GROWTH_DELAY));
        problems.addAll(plan.problems());
        if (!problems.isEmpty()) {
            throw new ConfException(problems.stream().map(p -> file + ": " + p).toList());
        }
        return new FleetSettings(plan, path(s.text(Keyword.STATE_FOLDER)), (long) s.number(Keyword.STATE_SIZE_LIMIT),
                path(s.text(Keyword.FLEET_LIBRARY)), s.text(Keyword.FLEET_REGISTER_WRITES).equals("on"));
    }

    private static Path path(String word) {
        return word.isBlank() ? null : Path.of(word);
    }
}
