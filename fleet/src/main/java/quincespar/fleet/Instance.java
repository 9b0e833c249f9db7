package quincespar.fleet;

/**
 * One incarnation of an instance, as the fleet knows it.
 *
 * @param name its name, the same across restarts
 * @param incarnation assigned at each start, rising over the whole fleet: never shared and never reused
 * @param folder the identity of its durable folder; empty if it has none
 * @param address its second address, for operators; empty if it has none
 * @param voter whether it votes
 * @param build the version of its program
 * @param standing its agreed standing
 * @param reportedStanding the standing that it reported last, to which it returns after having been suspected
 * @param renewedAt when its session was last renewed, in milliseconds of agreed time
 * @param standingSince when it entered its current standing, in milliseconds of agreed time
 * @param lastWriteSequence the sequence number of its last write that was applied
 * @param lastWriteResult the result of that write, returned again if the write is retried
 */
public record Instance(String name, long incarnation, String folder, String address, boolean voter, String build,
        Standing standing, Standing reportedStanding, long renewedAt, long standingSince, long lastWriteSequence,
        Result lastWriteResult) {

    Instance withStanding(Standing next, long now) {
        return next == standing ? this : new Instance(name, incarnation, folder, address, voter, build, next, reportedStanding,
                renewedAt, now, lastWriteSequence, lastWriteResult);
    }

    Instance renewed(Standing reported, long now) {
        return new Instance(name, incarnation, folder, address, voter, build, reported, reported, now,
                reported == standing ? standingSince : now, lastWriteSequence, lastWriteResult);
    }

    Instance withLastWrite(long sequence, Result result) {
        return new Instance(name, incarnation, folder, address, voter, build, standing, reportedStanding, renewedAt,
                standingSince, sequence, result);
    }
}
