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
import quincespar.decision.Gateway;
import quincespar.decision.Gateway.EngineState;
import quincespar.decision.Gateway.Outcome;

/**
 * Past failures, captured: the module as it is decides as it did then. Where a change to the module is meant to change
 * that, {@link #main} writes them anew, and the commit says why.
 */
@Timeout(60)
class ScenesTest {
    private static String file(World.Scene s) {
        return s.name().toLowerCase(Locale.ROOT).replace('_', '-') + ".qcap";
    }

    /** Writes all scenes as this build's module plays them, to the folder that is named. */
    public static void main(String[] args) throws IOException {
        for (World.Scene s : World.Scene.values()) {
            Files.write(Path.of(args[0]).resolve(file(s)), new World(0).file(World.scene(s)));
        }
    }

    private static List<Entry> captured(World.Scene s) throws IOException {
        try (InputStream in = ScenesTest.class.getResourceAsStream("/captures/" + file(s))) {
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
    @EnumSource(World.Scene.class)
    void theModuleDecidesAsItDidAndKeepsTheRules(World.Scene s) throws IOException {
        Replay replay = new Replay(new CurrentModuleFactory());
        RuleChecker rules = new RuleChecker();
        for (Entry e : captured(s)) {
            rules.check(e);
            assertThat(replay.play(e)).as("%s: the module decides otherwise now, at %s; if that is meant, write the captures"
                    + " anew with ScenesTest.main and say why in the commit", s, replay.result().divergence()).isTrue();
        }
        assertThat(replay.result().calls()).isGreaterThan(World.Scene.REQUESTS);
        assertThat(rules.violations()).isEmpty();
        // and what the module does now in that scene, whatever was captured
        RuleChecker now = new RuleChecker();
        World.scene(s).forEach(now::check);
        assertThat(now.violations()).isEmpty();
    }

    /** Each scene has in it what its name says: else it would guard nothing. */
    @Test
    void theScenesHaveTheirTroubleInThem() throws IOException {
        assertThat(sends(World.Scene.LIST_COMES_LATE, 0, 79)).isZero();
        assertThat(sends(World.Scene.LIST_COMES_LATE, 80, 240)).isPositive();
        for (World.Scene s : List.of(World.Scene.DIES_AND_RETURNS_COLD, World.Scene.HANGS, World.Scene.DRAINS_UNDER_LOADS)) {
            assertThat(sendsTo2(s, 0, 80)).as("%s", s).isPositive();
            assertThat(sendsTo2(s, 120, 160)).as("%s", s).isLessThan(sendsTo2(s, 0, 80) / 4 + 1);
        }
    }

    private static long sends(World.Scene s, long from, long to) throws IOException {
        return sends(s, from, to, false);
    }

    private static long sendsTo2(World.Scene s, long from, long to) throws IOException {
        return sends(s, from, to, true);
    }

    /** Sends between the takings of two requests. */
    private static long sends(World.Scene s, long from, long to, boolean toSecond) throws IOException {
        long taken = 0;
        long out = 0;
        for (Entry e : captured(s)) {
            if (e instanceof Entry.Call c) {
                taken += c.events().stream().filter(Gateway.Request.class::isInstance).count();
                long at = taken;
                out += c.actions().stream().filter(a -> a instanceof Gateway.Send x && at > from && at <= to
                        && (!toSecond || x.engine() == 2)).count();
            }
        }
        return out;
    }

    private static Entry.Call call(double time, List<Gateway.Event> events, Gateway.Action... actions) {
        return new Entry.Call(time, events, List.of(actions));
    }

    /** Calls in which each rule is broken once, after calls in which it is kept. */
    @Test
    void eachBrokenRuleIsNamed() {
        RuleChecker r = new RuleChecker();
        r.check(World.opening(1));
        Gateway.Engine drains = new Gateway.Engine(2, 0, 0, 0, EngineState.DRAINING, 1, 0);
        r.check(call(0, List.of(new Gateway.Listed(Gateway.ListKind.CACHED, 1, List.of(drains)))));
        Gateway.Event load = new Gateway.Request(1, 2, -1, 8000, 9, 1, 1, 0, false, true);
        r.check(call(100, List.of(load), new Gateway.Send(1, 2, 0))); // within the grace
        r.check(call(200, List.of(ended(1, 0, Outcome.FULL)), new Gateway.Send(1, 1, 0))); // it never ran
        r.check(call(300, List.of(ended(1, 1, Outcome.ERROR))));
        assertThat(r.violationCount()).isZero();
        r.check(call(400, List.of(), new Gateway.Send(1, 1, 0)));
        r.check(call(500, List.of(ended(1, 2, Outcome.ERROR)), new Gateway.Refuse(1, 0)));
        r.check(call(600, List.of(), new Gateway.Fail(1)));
        r.check(call(700, List.of(), new Gateway.Send(1, 1, 0)));
        Gateway.Event lookup = new Gateway.Request(2, 0, -1, 1300, 9, 1, 1, 0, false, false);
        r.check(call(2000, List.of(lookup), new Gateway.Send(2, 1, 0), new Gateway.Send(2, 1, 0)));
        r.check(call(2100, List.of(ended(2, 0, Outcome.ERROR), ended(2, 1, Outcome.ERROR)), new Gateway.Send(2, 2, 0)));
        assertThat(r.violations()).containsExactly(
                "0.400 request 1 is sent again although it may have run and must not run twice",
                "0.500 request 1 is refused after it may have run", "0.600 request 1 has two final answers",
                "0.700 request 1 is sent after it ended", "2.000 request 2 has two attempts in flight",
                "2.100 request 2 is sent to engine 2, which accepts no new requests");
        r.check(new Entry.Gap(2200, 5, "the queue was full"));
        r.check(call(2300, List.of(), new Gateway.Send(2, 2, 0))); // nothing is known of it any more
        assertThat(r.violationCount()).isEqualTo(6);
    }

    /** Captures of several processes lie in one folder, and each numbers its requests from 1. */
    @Test
    void processesAreHeldAgainstTheRulesEachByItself() {
        RuleChecker r = new RuleChecker();
        for (long seed : List.of(7L, 8L)) {
            List<Entry> all = new ArrayList<>(new World(seed).play(100));
            all.add(50, all.get(0)); // the next segment of the same process begins: nothing is forgotten
            all.forEach(r::check);
        }
        assertThat(r.violations()).isEmpty();
        r.check(World.opening(8));
        r.check(call(99_000, List.of(), new Gateway.Send(3, 1, 0)));
        assertThat(r.violations()).containsExactly("99.000 request 3 is sent after it ended");
    }

    /** Seen in service: an attempt ends, the request is given up for it, and its client leaves, all in one call. */
    @Test
    void whoLeavesInTheCallInWhichItIsGivenUpHasOneAnswer() {
        RuleChecker r = new RuleChecker();
        r.check(World.opening(1));
        Gateway.Event lookup = new Gateway.Request(2, 0, -1, 1300, 9, 1, 1, 0, false, false);
        r.check(call(0, List.of(lookup), new Gateway.Send(2, 1, 0)));
        r.check(call(10, List.of(ended(2, 0, Outcome.ERROR), new Gateway.Left(2)), new Gateway.Refuse(2, 0)));
        assertThat(r.violations()).isEmpty();
        r.check(call(20, List.of(), new Gateway.Refuse(2, 0)));
        r.check(call(30, List.of(new Gateway.Request(3, 0, -1, 1300, 9, 1, 1, 0, false, false))));
        r.check(call(40, List.of(new Gateway.Left(3)), new Gateway.Send(3, 1, 0)));
        assertThat(r.violations()).containsExactly("0.020 request 2 has two final answers",
                "0.040 request 3 is sent after it ended");
    }

    private static Gateway.Event ended(long id, int attempt, Outcome how) {
        return new Gateway.Ended(id, attempt, 1, how, 5, false, Double.NaN, Double.NaN, List.of());
    }
}
