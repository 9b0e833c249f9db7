package quincespar.program.fleet;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import quincespar.fleet.FleetConfig;
import quincespar.settings.ConfException;
import quincespar.settings.Keyword;
import quincespar.settings.Settings;

/**
 * What the operators' file says of the fleet.
 *
 * @param folder where this instance keeps its facts; null where it keeps none
 * @param total bytes that the folder should hold at the most
 * @param library the jar that holds the agreement; null for the one beside the program's own
 * @param writes whether registers may be written through the second address
 */
public record FleetSettings(FleetConfig plan, Path folder, long total, Path library, boolean writes) {

    /** Whether the file has a fleet. */
    public static boolean on(Settings s) {
        return !s.word(Keyword.FLEET_VOTERS).isBlank();
    }

    /** Reads what belongs together; throws with a line for each thing that can't work, {@code file} named in front. */
    public static FleetSettings of(Settings s, String file) throws ConfException {
        List<String> problems = new ArrayList<>();
        FleetConfig plan = new FleetConfig(s.word(Keyword.FLEET_GROUP),
                FleetConfig.parseAddresses(s.word(Keyword.FLEET_VOTERS), "fleet voters", problems),
                FleetConfig.parseAddresses(s.word(Keyword.FLEET_VIA), "fleet via", problems), s.number(Keyword.FLEET_RENEW),
                s.number(Keyword.FLEET_SUSPECT), s.number(Keyword.FLEET_GONE), s.number(Keyword.FLEET_ELECTION),
                s.number(Keyword.FLEET_HOLD));
        problems.addAll(plan.problems());
        if (!problems.isEmpty()) {
            throw new ConfException(problems.stream().map(p -> file + ": " + p).toList());
        }
        return new FleetSettings(plan, path(s.word(Keyword.STATE_FOLDER)), (long) s.number(Keyword.STATE_TOTAL),
                path(s.word(Keyword.FLEET_LIBRARY)), s.word(Keyword.FLEET_WRITES).equals("on"));
    }

    private static Path path(String word) {
        return word.isBlank() ? null : Path.of(word);
    }
}
