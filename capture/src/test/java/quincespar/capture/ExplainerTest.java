package quincespar.capture;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import quincespar.decision.GcMuScheduler;
import quincespar.decision.Scheduler;
import quincespar.decision.DecisionExplainer;
import quincespar.decision.DecisionExplainer.EngineView;

@Timeout(120)
class ExplainerTest {
    private final StateCodec codec = new StateCodec(GcMuScheduler.class);

    /**
     * Every choice of a run is explained, the chosen engine was eligible, and no other had a higher score. Random tie-breaking
     * in the module changes scores by up to one percent.
     */
    @Test
    void explanationsAgreeWithTheChoices() throws IOException {
        List<Entry> entries = new SimulatedCluster(51).run(1200);
        GcMuScheduler module = new GcMuScheduler(SimulatedCluster.settings(), 51);
        Map<String, Integer> verdicts = new HashMap<>();
        int sends = 0;
        int explained = 0;
        for (Entry e : entries) {
            if (e instanceof Entry.Call c) {
                long now = c.actions().stream().filter(Scheduler.SendAttempt.class::isInstance).count();
                if (now > 0) {
                    sends += now;
                    GcMuScheduler copy = codec.read(codec.write(module), GcMuScheduler.class);
                    List<DecisionExplainer.Choice> all = new DecisionExplainer(copy).choices(c.time(), c.events(),
                            c.actions());
                    explained += all.size();
                    all.forEach(x -> check(x, verdicts));
                }
                assertThat(module.decide(c.time(), c.events())).isEqualTo(c.actions()); // explaining did not change the module
            }
        }
        assertThat(sends).isGreaterThan(1000);
        assertThat(explained).isEqualTo(sends);
        assertThat(verdicts).containsKeys("chosen", "a lower score", "it drains", "ejected for",
                "its thread limit is reached, or its report says that it is full", "cold for");
    }

    private static void check(DecisionExplainer.Choice c, Map<String, Integer> verdicts) {
        EngineView chosen = c.engines().stream().filter(v -> v.engine() == c.chosen()).findFirst().orElseThrow();
        assertThat(chosen.verdict()).as("%s", c).isEqualTo("chosen");
        for (EngineView v : c.engines()) {
            verdicts.merge(v.verdict().replaceAll("(ejected for|cold for|: ).*", "$1").replace(": ", ""), 1, Integer::sum);
            if (!Double.isNaN(v.score())) {
                assertThat(v.score()).as("%s", c).isLessThanOrEqualTo(1.0101 * chosen.score());
            }
        }
    }

    private static MemoryStore stored(SimulatedCluster cluster, long seed, int requests) {
        MemoryStore store = new MemoryStore();
        store.files.put(new SegmentName("w", 1, 1).fileName(), new java.io.ByteArrayOutputStream());
        store.files.get(new SegmentName("w", 1, 1).fileName()).writeBytes(cluster.captureFile(cluster.run(requests)));
        return store;
    }

    @Test
    void aRequestIsExplainedByItsChoicesItsOutcomesAndTheReasonsAgainstOtherEngines() throws IOException {
        MemoryStore store = stored(new SimulatedCluster(52), 52, 400);
        CaptureReader captures = new CaptureReader(store);
        Set<String> seen = new HashSet<>();
        int explained = 0;
        for (long id = 1; id <= 400; id += 7) {
            List<String> lines = new ArrayList<>();
            if (new Explainer(captures, lines::add).explainRequest(captures.segmentNames(), id)) {
                explained++;
                assertThat(lines.get(0)).contains("request " + id + " received");
                String all = String.join("\n", lines);
                for (String word : List.of("* engine", "chosen", "a lower score", "ended after", "it drains", "ejected",
                        "is cancelled", "reports on attempt", "is refused", ", target ")) {
                    if (all.contains(word)) {
                        seen.add(word);
                    }
                }
            }
        }
        assertThat(explained).isEqualTo(58);
        assertThat(seen).contains("* engine", "chosen", "a lower score", "ended after", "ejected", "reports on attempt",
                "is cancelled", "is refused", ", target ");
        assertThat(new Explainer(captures, l -> { }).explainRequest(captures.segmentNames(), 99_999)).isFalse();
    }

    @Test
    void anEngineIsExplainedAsOfTheRequestedTime() throws IOException {
        MemoryStore store = stored(new SimulatedCluster(53), 53, 300);
        CaptureReader captures = new CaptureReader(store);
        CaptureReader.SegmentSummary s = captures.summarize(captures.segmentNames().get(0));
        List<String> early = new ArrayList<>();
        List<String> late = new ArrayList<>();
        assertThat(new Explainer(captures, early::add).explainEngine(captures.segmentNames(), 3, s.from())).isTrue();
        assertThat(new Explainer(captures, late::add).explainEngine(captures.segmentNames(), 3, s.to())).isTrue();
        assertThat(early).hasSize(3).allMatch(l -> l.contains("takes work"));
        assertThat(late).hasSize(3).isNotEqualTo(early);
        assertThat(new Explainer(captures, l -> { }).explainEngine(captures.segmentNames(), 99, s.to())).isFalse();
    }
}
