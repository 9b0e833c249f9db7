package quincespar.capture;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import quincespar.capture.SimulatedCluster.Scenario;
import quincespar.decision.Scheduler;
import quincespar.decision.Scheduler.EngineState;
import quincespar.decision.Scheduler.Outcome;

/**
 * Regression test on captured scenarios: the module decides as it did when they were captured. After a deliberate change of
 * its decisions, {@link #main} writes the captures again, and the commit says why.
 */
@Timeout(60)
class ScenarioTest {
    private static String fileName(Scenario s) {
        return s.name().toLowerCase(Locale.ROOT).replace('_', '-') + ".qcap";
    }

    /** Runs all scenarios on this build's module and writes their captures; the argument is the folder. */
    public static void main(String[] args) throws IOException {
        for (Scenario s : Scenario.values()) {
            Files.write(Path.of(args[0]).resolve(fileName(s)),
                    new SimulatedCluster(0).captureFile(SimulatedCluster.runScenario(s)));
        }
    }

    private static List<Entry> captured(Scenario s) throws IOException {
        try (InputStream in = ScenarioTest.class.getResourceAsStream("/captures/" + fileName(s))) {
            EntryCodec codec = new EntryCodec();
            Frames.Reader frames = new Frames.Reader(in, codec.schema());
            List<Entry> out = new ArrayList<>();
            for (byte[] r = frames.next(); r != null; r = frames.next()) {
                out.add(codec.read(r));
            }
            assertThat(frames.damage()).isNull();
            return out;
        }
    }

    @ParameterizedTest
    @EnumSource(Scenario.class)
    void theModuleDecidesAsCapturedAndObeysTheRules(Scenario s) throws IOException {
        Replay replay = new Replay(new CurrentModuleFactory());
        RuleChecker rules = new RuleChecker();
        for (Entry e : captured(s)) {
            rules.check(e);
            assertThat(replay.play(e)).as("%s: the module decides differently at %s; if that is intended, write the captures"
                    + " again with ScenarioTest.main and say why in the commit", s, replay.result().divergence()).isTrue();
        }
        assertThat(replay.result().calls()).isGreaterThan(Scenario.REQUESTS);
        assertThat(rules.violations()).isEmpty();
        // a run of the scenario on this build obeys the rules too
        RuleChecker now = new RuleChecker();
        SimulatedCluster.runScenario(s).forEach(now::check);
        assertThat(now.violations()).isEmpty();
    }

    /** Each capture contains the fault of its scenario; otherwise it would test nothing. */
    @Test
    void theCapturesContainTheirFaults() throws IOException {
        assertThat(sends(Scenario.LIST_COMES_LATE, 0, 79)).isZero();
        assertThat(sends(Scenario.LIST_COMES_LATE, 80, 240)).isPositive();
        for (Scenario s : List.of(Scenario.DIES_AND_RETURNS_COLD, Scenario.HANGS, Scenario.DRAINS_UNDER_LOADS)) {
            assertThat(sendsToSecond(s, 0, 80)).as("%s", s).isPositive();
            assertThat(sendsToSecond(s, 120, 160)).as("%s", s).isLessThan(sendsToSecond(s, 0, 80) / 4 + 1);
        }
    }

    private static long sends(Scenario s, long from, long to) throws IOException {
        return sends(s, from, to, false);
    }

    private static long sendsToSecond(Scenario s, long from, long to) throws IOException {
        return sends(s, from, to, true);
    }

    /** The number of sends after request {@code from} and up to request {@code to} was received. */
    private static long sends(Scenario s, long from, long to, boolean toSecond) throws IOException {
        long received = 0;
        long sends = 0;
        for (Entry e : captured(s)) {
            if (e instanceof Entry.Call c) {
                received += c.events().stream().filter(Scheduler.Request.class::isInstance).count();
                long at = received;
                sends += c.actions().stream().filter(a -> a instanceof Scheduler.SendAttempt x && at > from && at <= to
                        && (!toSecond || x.engine() == 2)).count();
            }
        }
        return sends;
    }

    private static Entry.Call call(double time, List<Scheduler.Event> events, Scheduler.Action... actions) {
        return new Entry.Call(time, events, List.of(actions));
    }

    /** Each rule is violated once, after calls that obey it. */
    @Test
    void eachViolationIsReported() {
        RuleChecker r = new RuleChecker();
        r.check(SimulatedCluster.opening(1));
        Scheduler.Engine draining = new Scheduler.Engine(2, 0, 0, 0, EngineState.DRAINING, 1, 0);
        r.check(call(0, List.of(new Scheduler.EngineList(Scheduler.ListKind.CACHED, 1, List.of(draining)))));
        Scheduler.Event load = new Scheduler.Request(1, 2, -1, 8000, 9, 1, 1, 0, false, true);
        r.check(call(100, List.of(load), new Scheduler.SendAttempt(1, 2, 0))); // within the grace period
        r.check(call(200, List.of(ended(1, 0, Outcome.FULL)), new Scheduler.SendAttempt(1, 1, 0))); // it never ran
        r.check(call(300, List.of(ended(1, 1, Outcome.ERROR))));
        assertThat(r.violationCount()).isZero();
        r.check(call(400, List.of(), new Scheduler.SendAttempt(1, 1, 0)));
        r.check(call(500, List.of(ended(1, 2, Outcome.ERROR)), new Scheduler.RefuseRequest(1, 0)));
        r.check(call(600, List.of(), new Scheduler.FailRequest(1)));
        r.check(call(700, List.of(), new Scheduler.SendAttempt(1, 1, 0)));
        Scheduler.Event lookup = new Scheduler.Request(2, 0, -1, 1300, 9, 1, 1, 0, false, false);
        r.check(call(2000, List.of(lookup), new Scheduler.SendAttempt(2, 1, 0), new Scheduler.SendAttempt(2, 1, 0)));
        r.check(call(2100, List.of(ended(2, 0, Outcome.ERROR), ended(2, 1, Outcome.ERROR)), new Scheduler.SendAttempt(2, 2, 0)));
        assertThat(r.violations()).containsExactly(
                "0.400 request 1 is sent again although it may have run and must not run twice",
                "0.500 request 1 is refused after it may have run", "0.600 request 1 has two final answers",
                "0.700 request 1 is sent after it ended", "2.000 request 2 has two attempts in flight",
                "2.100 request 2 is sent to engine 2, which accepts no new requests");
        r.check(new Entry.Gap(2200, 5, "the queue was full"));
        r.check(call(2300, List.of(), new Scheduler.SendAttempt(2, 2, 0))); // its state after the gap is unknown
        assertThat(r.violationCount()).isEqualTo(6);
    }

    /** A folder holds captures of several processes, and each process numbers its requests from 1. */
    @Test
    void eachProcessIsCheckedSeparately() {
        RuleChecker r = new RuleChecker();
        for (long seed : List.of(7L, 8L)) {
            List<Entry> all = new ArrayList<>(new SimulatedCluster(seed).run(100));
            all.add(50, all.get(0)); // the next segment of the same process: known requests are kept
            all.forEach(r::check);
        }
        assertThat(r.violations()).isEmpty();
        r.check(SimulatedCluster.opening(8));
        r.check(call(99_000, List.of(), new Scheduler.SendAttempt(3, 1, 0)));
        assertThat(r.violations()).containsExactly("99.000 request 3 is sent after it ended");
    }

    /** In one call, an attempt ends, the request is refused, and its client leaves: that is a single answer. */
    @Test
    void aClientThatLeavesInTheCallThatRefusesItsRequestGetsOneAnswer() {
        RuleChecker r = new RuleChecker();
        r.check(SimulatedCluster.opening(1));
        Scheduler.Event lookup = new Scheduler.Request(2, 0, -1, 1300, 9, 1, 1, 0, false, false);
        r.check(call(0, List.of(lookup), new Scheduler.SendAttempt(2, 1, 0)));
        r.check(call(10, List.of(ended(2, 0, Outcome.ERROR), new Scheduler.ClientLeft(2)), new Scheduler.RefuseRequest(2, 0)));
        assertThat(r.violations()).isEmpty();
        r.check(call(20, List.of(), new Scheduler.RefuseRequest(2, 0)));
        r.check(call(30, List.of(new Scheduler.Request(3, 0, -1, 1300, 9, 1, 1, 0, false, false))));
        r.check(call(40, List.of(new Scheduler.ClientLeft(3)), new Scheduler.SendAttempt(3, 1, 0)));
        assertThat(r.violations()).containsExactly("0.020 request 2 has two final answers",
                "0.040 request 3 is sent after it ended");
    }

    private static Scheduler.Event ended(long id, int attempt, Outcome how) {
        return new Scheduler.AttemptEnded(id, attempt, 1, how, 5, false, Double.NaN, Double.NaN, List.of());
    }
}
