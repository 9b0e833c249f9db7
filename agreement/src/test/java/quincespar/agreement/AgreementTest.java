package quincespar.agreement;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import quincespar.fleet.Agreement;
import quincespar.fleet.Command;
import quincespar.fleet.FleetCodec;
import quincespar.fleet.FleetConfig;
import quincespar.fleet.Result;
import quincespar.fleet.Snapshot;
import quincespar.fleet.Standing;

/** Three voters in one process; faultbench tests faults between processes. */
@Timeout(120)
class AgreementTest {
    /** A session that outlasts the test on a busy machine, and one that expires while the test waits for it. */
    private static final double LONG_SESSION_MS = 60_000, SHORT_SESSION_MS = 4000;

    private final FleetCodec codec = new FleetCodec();
    @TempDir
    private Path folder;

    private static FleetConfig config(Map<String, String> voters, double goneAfterMs) {
        return new FleetConfig("test", voters, Map.of(), 200, 1500, goneAfterMs, 300, 10_000);
    }

    private static Map<String, String> voters() throws Exception {
        Map<String, String> voters = new LinkedHashMap<>();
        List<ServerSocket> free = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            free.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
            voters.put("n" + i, "127.0.0.1:" + free.get(i - 1).getLocalPort());
        }
        for (ServerSocket s : free) {
            s.close();
        }
        return voters;
    }

    private List<Agreement> open(FleetConfig config) throws Exception {
        List<Agreement> all = new ArrayList<>();
        for (String name : config.voters().keySet()) {
            all.add(new RatisProvider().open(config, name, s -> { }));
            all.get(all.size() - 1).startVoting(folder.resolve(name));
        }
        return all;
    }

    private Result submit(Agreement a, Command c) throws Exception {
        while (true) {
            try {
                return codec.readResult(a.submit(codec.write((Record) c)).toCompletableFuture().get(20, TimeUnit.SECONDS));
            } catch (ExecutionException e) { // no leader yet; the commands here are idempotent
                assertThat(e.getCause()).isInstanceOf(java.io.IOException.class);
            }
        }
    }

    private Snapshot read(Agreement a) throws Exception {
        while (true) {
            try {
                return codec.readSnapshot(a.readLinearizable().toCompletableFuture().get(20, TimeUnit.SECONDS));
            } catch (ExecutionException e) { // no leader yet
                assertThat(e.getCause()).isInstanceOf(java.io.IOException.class);
            }
        }
    }

    @Test
    void keepsStateAndAdvancesTimeAcrossARestartOfAllVoters() throws Exception {
        Map<String, String> voters = voters();
        List<Agreement> all = open(config(voters, LONG_SESSION_MS));
        long incarnation = ((Result.Joined) submit(all.get(0), new Command.Join("n1", "f", 0, 0, "", true, "t", 7))).incarnation();
        assertThat(submit(all.get(1), new Command.Write("n1", incarnation, 1, "r", 0, "one"))).isEqualTo(
                new Result.Written(1));
        assertThat(read(all.get(2)).registers().get(0).value()).isEqualTo("one");
        all.forEach(Agreement::close);
        all = open(config(voters, LONG_SESSION_MS));
        assertThat(submit(all.get(1), new Command.Write("n1", incarnation, 2, "r", 1, "two"))).isEqualTo(
                new Result.Written(2));
        all.forEach(Agreement::close);
        all = open(config(voters, SHORT_SESSION_MS));
        Snapshot s;
        do { // n1 is not renewed: it expires as the leader advances the time
            s = read(all.get(0));
        } while (s.instances().get(0).standing() != Standing.GONE);
        assertThat(s.time()).isGreaterThan((long) SHORT_SESSION_MS);
        assertThat(s.registers().get(0).value()).isEqualTo("two");
        assertThat(all.stream().map(a -> a.status().leader()).distinct()).hasSize(1);
        all.forEach(Agreement::close);
    }
}
