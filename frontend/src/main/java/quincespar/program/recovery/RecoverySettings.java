package quincespar.program.recovery;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import quincespar.recovery.RecoveryTimeouts;
import quincespar.settings.ConfException;
import quincespar.settings.Keyword;
import quincespar.settings.Settings;

/**
 * The settings of the recovery from a power loss, from the operators' file.
 *
 * @param folder the folder of the recovery journal
 * @param persistLoads whether a load is sent only after a journal entry for it has been forced to disk
 */
public record RecoverySettings(RecoveryTimeouts timeouts, Path folder, boolean persistLoads) {
    private static final String SUBFOLDER = "recovery";

    /** Whether the file enables recovery. */
    public static boolean isEnabled(Settings s) {
        return s.text(Keyword.RECOVERY_ENABLED).equals("on");
    }

    /** Reads and validates the settings; throws with one line per problem, each prefixed with the name {@code file}. */
    public static RecoverySettings read(Settings s, String file) throws ConfException {
        List<String> problems = new ArrayList<>();
        String folder = s.text(Keyword.STATE_FOLDER);
        if (folder.isBlank()) {
            problems.add(file + ": 'recovery use on' needs 'state folder': without it nothing is known after a loss");
        }
        double agreeing = s.number(Keyword.RECOVERY_AGREEMENT_TIMEOUT);
        if (agreeing < s.number(Keyword.FLEET_SUSPECT_AFTER) + s.number(Keyword.FLEET_RENEW_INTERVAL)) {
            problems.add(file + ": recovery agreeing must be fleet suspect and renew together at least, or one that stood is not known to");
        }
        if (!problems.isEmpty()) {
            throw new ConfException(problems);
        }
        return new RecoverySettings(new RecoveryTimeouts(s.number(Keyword.RECOVERY_READ_TIMEOUT),
                s.number(Keyword.RECOVERY_MAJORITY_TIMEOUT), agreeing,
                s.number(Keyword.RECOVERY_CHANGE_LOG_TIMEOUT), s.number(Keyword.RECOVERY_CLASS_INTERVAL),
                s.number(Keyword.RECOVERY_RETRY_SPREAD),
                s.number(Keyword.RECOVERY_SURVIVED_AFTER)), Path.of(folder).resolve(SUBFOLDER),
                s.text(Keyword.RECOVERY_PERSIST_LOADS).equals("on"));
    }
}
