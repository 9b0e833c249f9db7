package quincespar.capture;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import quincespar.decision.Scheduler;

/** Decisions printed by a replay are compared as text with those of older builds: their form must not change. */
class EntryCodecTextTest {
    private final EntryCodec codec = new EntryCodec();

    private void assertText(Object value, String text) {
        assertThat(codec.toText(value)).isEqualTo(text);
    }

    @Test
    void actionsArePrintedByTheirStoredNames() {
        assertText(new Scheduler.SendAttempt(7, 3, 1.5e9), "Send[id=7, engine=3, timeout=1.5E9]");
        assertText(new Scheduler.RefuseRequest(7, -0.0), "Refuse[id=7, comeBack=-0.0]");
        assertText(new Scheduler.FailRequest(7), "Fail[id=7]");
        assertText(new Scheduler.SetTimer(1, 0.1), "SetTimer[token=1, delay=0.1]");
        assertText(new Scheduler.SetTerms(7, 3, Double.NaN), "Terms[id=7, priority=3, memory=NaN]");
        assertText(new Scheduler.ProbeEngine(3), "Probe[engine=3]");
        assertText(new Scheduler.WatchEngineList(true), "Watch[on=true]");
        assertText(new Scheduler.FetchEngineList(), "Fetch[]");
        assertThat(codec.toText(new Scheduler.TellPeers(-1, new byte[] {1})))
                .matches("Tell\\[to=-1, text=\\[B@[0-9a-f]+\\]");
    }

    @Test
    void reasonsOfACancellationArePrintedByTheirStoredNames() {
        assertThat(Stream.of(Scheduler.CancelReason.values()).map(r -> codec.toText(new Scheduler.CancelAttempt(7, 2, r))))
                .containsExactly("Cancel[id=7, attempt=2, why=OVER]", "Cancel[id=7, attempt=2, why=MUTE]",
                        "Cancel[id=7, attempt=2, why=STRAGGLES]", "Cancel[id=7, attempt=2, why=HELD]",
                        "Cancel[id=7, attempt=2, why=SLOW]");
    }

    @Test
    void eventsArePrintedByTheirStoredNames() {
        assertText(new Scheduler.Request(7, 1, 0, -1, Double.NaN, 64, 0, 5, false, true), "Request[id=7, cls=1, tenant=0,"
                + " patience=-1.0, work=NaN, memory=64.0, tables=0.0, key=5, retry=false, write=true]");
        assertText(new Scheduler.EngineList(Scheduler.ListKind.FULL, 2, List.of(new Scheduler.Engine(3, 0, 1, 0,
                Scheduler.EngineState.READY, 1, 0))), "Listed[kind=FULL, version=2, engines=[Engine[id=3, zone=0, kind=1,"
                + " cell=0, state=READY, weight=1.0, startedAt=0.0]]]");
        assertText(new Scheduler.AttemptEnded(7, 1, 3, Scheduler.Outcome.OK, 12.25, true, 4, Double.NaN, List.of(0.5, 2.0)),
                "Ended[id=7, attempt=1, engine=3, outcome=OK, latency=12.25, over=true, work=4.0, memory=NaN, load=[0.5, 2.0]]");
        assertText(new Scheduler.AnswerStarted(7, 1, 3, 2), "Started[id=7, attempt=1, engine=3, latency=2.0]");
        assertText(new Scheduler.AttemptNote(7, 1, 3, Scheduler.NoteKind.SPILL, 2),
                "Note[id=7, attempt=1, engine=3, kind=SPILL, value=2.0]");
        assertText(new Scheduler.ClientLeft(7), "Left[id=7]");
        assertText(new Scheduler.TimerFired(1), "Timer[token=1]");
        assertText(new Scheduler.ProbeResult(3, false, 2, List.of()), "Probed[engine=3, ok=false, latency=2.0, load=[]]");
        assertThat(codec.toText(new Scheduler.PeerMessage(1, new byte[0]))).matches("Told\\[from=1, text=\\[B@[0-9a-f]+\\]");
    }

    @Test
    void newSettingsArePrintedByTheirStoredNames() {
        Scheduler.ClassSpec spec = new Scheduler.ClassSpec("lookup", 800, 0, 4000, 1, 0.5, Scheduler.Idempotency.KEYED,
                Scheduler.DeduplicationScope.ZONE, 60, true, false, 1, false, true, null, List.of(1, 2));
        Scheduler.Settings settings = new Scheduler.Settings(2, 1, 0, List.of(spec),
                List.of(new Scheduler.Tenant("shop", 100, 1)), 0.25, true, false, 0.1, 0.2, 0.3, 1,
                new Scheduler.Limits(true, false, true, false, true, 3, 5000, 1000, 100),
                new Scheduler.Rules(1, 2, 3, 0.5, 4, 5, 6, 7, Double.NaN, Double.NaN, Double.NaN),
                new Scheduler.EngineTraits(List.of(4.0), List.of(64.0), 0.5, true, false,
                        Scheduler.MemoryShortagePolicy.QUEUE, 100, true, List.of("outstanding")));
        assertText(new Scheduler.SettingsChanged(settings, List.of(4)), "Configured[settings=Settings[routers=2, me=1, zone=0,"
                + " classes=[ClassSpec[name=lookup, aim=800.0, stretch=0.0, deadline=4000.0, worth=1.0, lateWorth=0.5,"
                + " effect=KEYED, scope=ZONE, repeatWindow=60.0, ordered=true, streaming=false, threads=1, loads=false,"
                + " waitsForLoads=true, zones=null, kinds=[1, 2]]], tenants=[Tenant[name=shop, quotaPerS=100.0, share=1.0]],"
                + " overShareWorth=0.25, askDiscovery=true, marksRetry=false, crossZonePrice=0.1, wastePrice=0.2,"
                + " peerPrice=0.3, tick=1.0, limits=Limits[cancel=true, probe=false, tell=true, secondCopies=false,"
                + " retryAfter=true, maxAttempts=3, maxRetryAfter=5000.0, openCap=1000, connectTimeout=100.0],"
                + " rules=Rules[answerSlack=1.0, askEvery=2.0, cold=3.0, coldShare=0.5, drainGrace=4.0, fall=5.0,"
                + " fallMultiple=6.0, settle=7.0, budgetFree=NaN, budgetShare=NaN, budgetSpan=NaN],"
                + " fleet=Fleet[cores=[4.0], memory=[64.0], largestShare=0.5, takesGrants=true, priorities=false,"
                + " shortage=LINE_UP, notePeriod=100.0, tellsCost=true, reportFields=[outstanding]]], dropped=[4]]");
    }

    @Test
    void aListIsPrintedAsAList() {
        assertText(List.of(new Scheduler.FailRequest(1), new Scheduler.FetchEngineList()), "[Fail[id=1], Fetch[]]");
        assertText(Arrays.asList((Object) null), "[null]");
    }
}
