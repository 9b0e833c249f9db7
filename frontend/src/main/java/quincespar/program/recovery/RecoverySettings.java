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
 * @param persistLoads whether a load goes out only once it is on disk that it may run
 */
public record RecoverySettings(RecoveryTimeouts timeouts, Path folder, boolean persistLoads) {
    private static final String SUBFOLDER = "recovery";

    /** Whether the file asks for it. */
    public static boolean isEnabled(Settings s) {
        return s.text(Keyword.RECOVERY_ENABLED).equals("on");
    }

    /** Reads what belongs together; throws with a line for each thing that can't work, {@code file} named in front. */
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
