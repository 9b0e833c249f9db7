package quincespar.program.recovery;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import quincespar.recovery.RecoveryTimeouts;
import quincespar.settings.ConfException;
import quincespar.settings.Keyword;
import quincespar.settings.Settings;

/**
 * What the operators' file says of the return from a loss of power.
 *
 * @param folder where what must be known after it is kept
 * @param notesLoads whether a load goes out only once it is on disk that it may run
 */
public record RecoverySettings(RecoveryTimeouts pace, Path folder, boolean notesLoads) {
    private static final String SUBFOLDER = "recovery";

    /** Whether the file asks for it. */
    public static boolean on(Settings s) {
        return s.word(Keyword.RECOVERY_USE).equals("on");
    }

    /** Reads what belongs together; throws with a line for each thing that can't work, {@code file} named in front. */
    public static RecoverySettings of(Settings s, String file) throws ConfException {
        List<String> problems = new ArrayList<>();
        String folder = s.word(Keyword.STATE_FOLDER);
        if (folder.isBlank()) {
            problems.add(file + ": 'recovery use on' needs 'state folder': without it nothing is known after a loss");
        }
        double agreeing = s.number(Keyword.RECOVERY_AGREEING);
        if (agreeing < s.number(Keyword.FLEET_SUSPECT) + s.number(Keyword.FLEET_RENEW)) {
            problems.add(file + ": recovery agreeing must be fleet suspect and renew together at least, or one that stood is not known to");
        }
        if (!problems.isEmpty()) {
            throw new ConfException(problems);
        }
        return new RecoverySettings(new RecoveryTimeouts(s.number(Keyword.RECOVERY_READING), s.number(Keyword.RECOVERY_FINDING), agreeing,
                s.number(Keyword.RECOVERY_PROBING), s.number(Keyword.RECOVERY_STEP), s.number(Keyword.RECOVERY_SPREAD),
                s.number(Keyword.RECOVERY_STOOD)), Path.of(folder).resolve(SUBFOLDER), s.word(Keyword.RECOVERY_LOADS).equals("on"));
    }
}
