package quincespar.fleet;

/**
 * One life of an instance as the fleet knows it.
 *
 * @param name its name, the same after a restart
 * @param incarnation rises with each start over the whole fleet: no two lives share one, and none is used again
 * @param folder the identity of its durable folder; empty where it has none
 * @param address where operators reach it; empty where it has no second address
 * @param voter whether it votes
 * @param build its program's version
 * @param standing how it stands
 * @param claimed what it last said of itself, which a suspected one returns to
 * @param renewedAt when its session was last renewed, in milliseconds of agreed time
 * @param since when it came to stand so, in milliseconds of agreed time
 * @param serial the number of the last write of this life that was applied
 * @param last what that write was answered, for the same write sent again
 */
public record Instance(String name, long incarnation, String folder, String address, boolean voter, String build,
        Standing standing, Standing reportedStanding, long renewedAt, long standingSince, long lastWriteSequence, Result lastWriteResult) {

    Instance standing(Standing next, long now) {
        return next == standing ? this : new Instance(name, incarnation, folder, address, voter, build, next, reportedStanding,
                renewedAt, now, lastWriteSequence, lastWriteResult);
    }

    Instance renewed(Standing says, long now) {
        return new Instance(name, incarnation, folder, address, voter, build, says, says, now, says == standing ? standingSince : now,
                lastWriteSequence, lastWriteResult);
    }

    Instance answered(long number, Result result) {
        return new Instance(name, incarnation, folder, address, voter, build, standing, reportedStanding, renewedAt, standingSince, number,
                result);
    }
}
