package quincespar.routing;

import java.util.List;
import quincespar.recovery.Recovery;
import quincespar.recovery.RecoveryState;

/**
 * Where a return from a loss of power stands.
 *
 * @param doubtful loads that may have run before the loss
 * @param unkept loads that went out though the disk did not take that they may run
 */
public record RecoveryReport(Recovery.View view, List<RecoveryState.Load> doubtfulLoads, long unpersistedLoads) { }
