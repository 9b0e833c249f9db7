package quincespar.routing;

import java.util.List;
import quincespar.recovery.Recovery;
import quincespar.recovery.RecoveryState;

/**
 * The state of the recovery from a power loss.
 *
 * @param doubtfulLoads    loads that may have run before the loss
 * @param unpersistedLoads how many loads were sent although their entry could not be written to disk
 */
public record RecoveryReport(Recovery.View view, List<RecoveryState.Load> doubtfulLoads, long unpersistedLoads) { }
