package quincespar.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import quincespar.records.MalformedRecordException;

class FleetStateTest {
    private static final long SUSPECT = 2000, GONE = 6000;

    private final FleetState state = FleetState.restore(Snapshot.EMPTY);
    private final FleetCodec codec = new FleetCodec();

    private long joined(String name, String folder, long last, String at, long nonce) {
        return ((Result.Joined) state.apply(new Command.Join(name, folder, last, 0, at, true, "t", nonce))).incarnation();
    }

    private Result.Reason refused(Command c) {
        return ((Result.Refused) state.apply(c)).reason();
    }

    private void tick(long time) {
        state.apply(new Command.Tick(time, SUSPECT, GONE));
    }

    private Standing standing(String name) {
        return state.instance(name).standing();
    }

    /** Other versions read what this one writes: a renamed record or component needs its stored name in the codec's table. */
    @Test
    void recordsAreStoredUnderTheNamesOfEarlierVersions() throws IOException {
        try (InputStream pinned = FleetStateTest.class.getResourceAsStream("/schemas/fleet.txt")) {
            assertThat(codec.schema()).isEqualTo(new String(pinned.readAllBytes(), StandardCharsets.UTF_8));
        }
    }

    @Test
    void suspectsThenExpiresASessionAndFencesItsIncarnation() {
        long first = joined("a", "f", 0, "x", 1);
        state.apply(new Command.Renew("a", first, Standing.SERVING, 0, 0));
        tick(SUSPECT);
        assertThat(standing("a")).isEqualTo(Standing.SERVING);
        tick(SUSPECT + 1);
        assertThat(standing("a")).isEqualTo(Standing.SUSPECTED);
        state.apply(new Command.Renew("a", first, Standing.SERVING, 0, 0));
        assertThat(standing("a")).isEqualTo(Standing.SERVING);
        tick(100); // from a leader that is behind: time does not go back
        assertThat(state.time()).isEqualTo(SUSPECT + 1);
        tick(SUSPECT + GONE + 2);
        assertThat(standing("a")).isEqualTo(Standing.GONE);
        assertThat(refused(new Command.Renew("a", first, Standing.SERVING, 0, 0))).isEqualTo(Result.Reason.INCARNATION_ENDED);
        assertThat(joined("a", "f", first, "x", 2)).isGreaterThan(first);
        assertThat(refused(new Command.Renew("a", first, Standing.SERVING, 0, 0))).isEqualTo(Result.Reason.SUPERSEDED);
        assertThat(refused(new Command.Write("a", first, 1, "r", 0, "late"))).isEqualTo(Result.Reason.SUPERSEDED);
        assertThat(state.register("r")).isNull();
    }

    @Test
    void givesANameOneIncarnationThatTheHolderOfItsFolderReplaces() {
        long first = joined("a", "f", 0, "x", 1);
        assertThat(refused(new Command.Join("a", "g", 0, 0, "y", false, "t", 2))).isEqualTo(Result.Reason.NAME_TAKEN);
        assertThat(refused(new Command.Join("a", "", 0, 0, "x", false, "t", 2))).isEqualTo(Result.Reason.NAME_TAKEN);
        // a copy of the instance
        assertThat(refused(new Command.Join("a", "f", first, 0, "y", true, "t", 3))).isEqualTo(Result.Reason.NAME_TAKEN);
        // a restart: the lock on the folder proves that the first process has ended
        long second = joined("a", "f", first, "x", 4);
        assertThat(second).isGreaterThan(first);
        assertThat(joined("a", "f", first, "x", 4)).isEqualTo(second); // killed before it stored the result, or a retry
        state.apply(new Command.Leave("a", second));
        assertThat(refused(new Command.Join("a", "g", 0, 0, "y", true, "t", 5))).isEqualTo(Result.Reason.FOLDER_OUTDATED);
        assertThat(state.apply(new Command.Join("a", "g", 0, 0, "y", false, "t", 5))).isInstanceOf(Result.Joined.class);
        state.apply(new Command.Leave("a", second + 1)); // as a follower; its folder still may not vote
        assertThat(refused(new Command.Join("a", "g", second + 1, 0, "y", true, "t", 6)))
                .isEqualTo(Result.Reason.FOLDER_OUTDATED);
    }

    @Test
    void refusesAFolderWithAnOlderIncarnation() {
        long first = joined("a", "f", 0, "x", 1);
        long second = joined("a", "f", first, "x", 2);
        tick(GONE + 1);
        assertThat(refused(new Command.Join("a", "f", first, 0, "x", true, "t", 3))).isEqualTo(Result.Reason.FOLDER_OUTDATED);
        assertThat(joined("a", "f", second, "x", 4)).isGreaterThan(second);
    }

    /** A copy taken during the current incarnation has the same incarnation; only its mark is lower. */
    @Test
    void refusesACopyFromTheCurrentIncarnationByItsMark() {
        long first = joined("a", "f", 0, "x", 1);
        state.apply(new Command.Renew("a", first, Standing.SERVING, 0, 7));
        state.apply(new Command.Renew("a", first, Standing.SERVING, 0, 6)); // a delayed renewal does not lower the mark
        assertThat(refused(new Command.Join("a", "f", first, 6, "x", true, "t", 2))).isEqualTo(Result.Reason.FOLDER_OUTDATED);
        assertThat(refused(new Command.Join("a", "f", first, 6, "x", true, "t", 1))).isEqualTo(Result.Reason.FOLDER_OUTDATED);
        state.apply(new Command.Leave("a", first));
        assertThat(state.apply(new Command.Join("a", "", 0, 0, "x", false, "t", 3))).isInstanceOf(Result.Joined.class);
        assertThat(refused(new Command.Join("a", "f", first, 6, "x", true, "t", 4))).isEqualTo(Result.Reason.FOLDER_OUTDATED);
        assertThat(refused(new Command.Join("a", "f", 0, 7, "x", true, "t", 4))).isEqualTo(Result.Reason.FOLDER_OUTDATED);
        state.apply(new Command.Leave("a", first + 1));
        assertThat(state.snapshot().votingRejection("a", "f", first, 7, 9)).isEmpty();
        assertThat(state.apply(new Command.Join("a", "f", first, 7, "x", true, "t", 4))).isInstanceOf(Result.Joined.class);
    }

    /**
     * The process was killed after its join was granted and before that was persisted: the pending join is known by its
     * nonce.
     */
    @Test
    void acceptsAFolderWithAPendingJoin() {
        long first = joined("a", "f", 0, "x", 1);
        assertThat(state.snapshot().votingRejection("a", "f", 0, 0, 1)).isEmpty();
        assertThat(state.snapshot().votingRejection("a", "f", 0, 0, 2)).contains("ends with incarnation 0");
        assertThat(state.snapshot().votingRejection("b", "g", 0, 0, 2)).isEmpty();
        tick(GONE + 1);
        assertThat(joined("a", "f", 0, "x", 1)).isGreaterThan(first);
    }

    @Test
    void appliesARetriedWriteOnceAndRefusesOneOutOfOrder() {
        long a = joined("a", "f", 0, "x", 1);
        Command.Write w = new Command.Write("a", a, 1, "r", 0, "one");
        assertThat(state.apply(w)).isEqualTo(new Result.Written(1));
        assertThat(state.apply(w)).isEqualTo(new Result.Written(1));
        assertThat(state.apply(new Command.Write("a", a, 2, "r", 0, "two"))).isEqualTo(new Result.Conflict(1, "one"));
        assertThat(refused(new Command.Write("a", a, 4, "r", -1, "four"))).isEqualTo(Result.Reason.OUT_OF_ORDER);
        assertThat(state.apply(new Command.Write("a", a, 3, "r", -1, "three"))).isEqualTo(new Result.Written(2));
        assertThat(state.register("r")).isEqualTo(new Register("r", 2, "three", "a", a));
    }

    @Test
    void forgetsGoneInstancesButNeverVoters() {
        joined("voter", "f", 0, "x", 1);
        for (int i = 1; i < FleetState.MAX_INSTANCES; i++) {
            state.apply(new Command.Join("i" + i, "", 0, 0, "", false, "t", i));
        }
        Command.Join more = new Command.Join("more", "", 0, 0, "", false, "t", 1);
        assertThat(refused(more)).isEqualTo(Result.Reason.LIMIT_REACHED);
        tick(GONE + 1);
        assertThat(state.apply(more)).isInstanceOf(Result.Joined.class);
        assertThat(state.instance("voter")).isNotNull();
        assertThat(state.instances()).hasSize(FleetState.MAX_INSTANCES);
    }

    /**
     * Replicas have equal bytes after equal commands, also if one is restored from a snapshot; no incarnation is assigned
     * twice.
     */
    @Property(tries = 300)
    void givesTheSameBytesForTheSameCommands(@ForAll long seed) throws MalformedRecordException {
        Random chance = new Random(seed);
        FleetState one = FleetState.restore(Snapshot.EMPTY);
        FleetState other = FleetState.restore(Snapshot.EMPTY);
        Set<Long> given = new HashSet<>();
        long time = 0;
        for (int i = 0; i < 80; i++) {
            time += chance.nextInt(1500);
            String name = "n" + chance.nextInt(3);
            long incarnation = chance.nextInt(12);
            Command c = switch (chance.nextInt(6)) {
                case 0 -> new Command.Tick(time, SUSPECT, GONE);
                case 1 -> new Command.Join(name, "f" + chance.nextInt(2), incarnation, chance.nextInt(3), "x", true, "t",
                        chance.nextInt(5));
                case 2 -> new Command.Leave(name, incarnation);
                case 3 -> new Command.Write(name, incarnation, 1 + chance.nextInt(3), "r", chance.nextInt(4) - 1, "v" + i);
                default -> new Command.Renew(name, incarnation, chance.nextBoolean() ? Standing.SERVING : Standing.LEAVING, 0,
                        chance.nextInt(3));
            };
            long before = one.version();
            boolean known = one.instance(name) != null && c instanceof Command.Join j && one.snapshot().names().stream().anyMatch(
                    k -> k.name().equals(j.name()) && k.lastJoinNonce() == j.nonce());
            Result r = one.apply(codec.readCommand(codec.write((Record) c)));
            assertThat(codec.write((Record) other.apply(c))).isEqualTo(codec.write((Record) r));
            assertThat(one.version()).isGreaterThanOrEqualTo(before);
            if (r instanceof Result.Joined j && !known) {
                assertThat(given.add(j.incarnation())).isTrue();
            }
            if (chance.nextInt(10) == 0) {
                other = FleetState.restore(codec.readSnapshot(codec.write(other.snapshot())));
            }
        }
        assertThat(codec.write(other.snapshot())).isEqualTo(codec.write(one.snapshot()));
    }

    @Test
    void refusesASnapshotOfAnotherFormat() {
        byte[] next = codec.write(new Snapshot(Snapshot.FORMAT + 1, 0, 0, 0, List.of(), List.of(), List.of()));
        assertThatThrownBy(() -> codec.readSnapshot(next)).isInstanceOf(MalformedRecordException.class)
                .hasMessage("the fleet state has format 3, but this program reads only 2");
    }

    /** Each bit of a command and of a result is flipped in turn: neither is decoded as another. */
    @Test
    void detectsEachFlippedBit() {
        for (Record r : List.<Record>of(new Command.Write("a", 5, 1, "r", 0, "one"), new Result.Renewed(3, 4, new byte[] {1}))) {
            byte[] good = codec.write(r);
            for (int bit = 0; bit < 8 * good.length; bit++) {
                byte[] bad = good.clone();
                bad[bit / 8] ^= (byte) (1 << bit % 8);
                assertThatThrownBy(() -> codec.readCommand(bad)).isInstanceOf(MalformedRecordException.class);
                assertThatThrownBy(() -> codec.readResult(bad)).isInstanceOf(MalformedRecordException.class);
            }
        }
    }
}
