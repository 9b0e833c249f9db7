package quincespar.routing;

import java.util.List;
import quincespar.recovery.Kept;
import quincespar.recovery.Recovery;

/**
 * Where a return from a loss of power stands.
 *
 * @param doubtful loads that may have run before the loss
 * @param unkept loads that went out though the disk did not take that they may run
 */
public record RecoveryReport(Recovery.View view, List<Kept.Load> doubtfulLoads, long unpersistedLoads) { }
