package quincespar.metrics;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class MetricsTest {
    private static final MetricsSnapshot.ChangeLogStatus CHANGE_LOG = new MetricsSnapshot.ChangeLogStatus(7, 350, 3);
    private static final MetricsSnapshot.OrderingKeyStatus ORDERING_KEYS = new MetricsSnapshot.OrderingKeyStatus(2, 40);

    private final MetricsRecorder recorder = new MetricsRecorder();

    @Test
    void everyClassIsReportedFromZeroAndKeepsItsCountsWhenNewOnesAreAdded() {
        recorder.setClasses(List.of("lookup", "load"));
        assertThat(recorder.snapshot(0, 0, 0, CHANGE_LOG, ORDERING_KEYS).answersByClass()).containsOnlyKeys("lookup", "load");
        recorder.answered(0, MetricsRecorder.FinalAnswer.ANSWERED);
        recorder.answered(1, MetricsRecorder.FinalAnswer.DEFERRED);
        recorder.setClasses(List.of("lookup", "load", "report"));
        recorder.answered(1, MetricsRecorder.FinalAnswer.ERRORED);
        assertThat(recorder.snapshot(0, 0, 0, CHANGE_LOG, ORDERING_KEYS).answersByClass())
                .containsEntry("lookup", new MetricsSnapshot.AnswerCounts(1, 0, 0))
                .containsEntry("load", new MetricsSnapshot.AnswerCounts(0, 1, 1))
                .containsEntry("report", new MetricsSnapshot.AnswerCounts(0, 0, 0));
    }

    @Test
    void aSnapshotDoesNotChangeWithLaterCounts() {
        recorder.setClasses(List.of("lookup"));
        MetricsSnapshot before = recorder.snapshot(1, 2, 1, CHANGE_LOG, ORDERING_KEYS);
        recorder.answered(0, MetricsRecorder.FinalAnswer.ANSWERED);
        recorder.attemptSent();
        assertThat(before.answersByClass().get("lookup")).isEqualTo(new MetricsSnapshot.AnswerCounts(0, 0, 0));
        assertThat(before.attemptsSent()).isZero();
    }

    @Test
    void theTextHasEachMetricWithHelpAndTypeAndEscapedLabels() {
        recorder.setClasses(List.of("a\"b\\c\nd"));
        recorder.answered(0, MetricsRecorder.FinalAnswer.ERRORED);
        recorder.attemptSent();
        recorder.configurationLoaded();
        recorder.configurationRejected();
        recorder.configurationRejected();
        assertThat(PrometheusText.text(recorder.snapshot(14, 6, 2, CHANGE_LOG, ORDERING_KEYS)).lines()).containsExactly(
                "# HELP gw_transactions_total Requests that got their final answer, by class: served, refused, failed.",
                "# TYPE gw_transactions_total counter",
                "gw_transactions_total{group=\"a\\\"b\\\\c\\nd\",state=\"answered\"} 0",
                "gw_transactions_total{group=\"a\\\"b\\\\c\\nd\",state=\"deferred\"} 0",
                "gw_transactions_total{group=\"a\\\"b\\\\c\\nd\",state=\"errored\"} 1",
                "# HELP gw_sends_total Attempts written whole to engines.", "# TYPE gw_sends_total counter",
                "gw_sends_total 1",
                "# HELP gw_current Requests taken and not ended.", "# TYPE gw_current gauge", "gw_current 14",
                "# HELP gw_cluster_size Engines in the list.", "# TYPE gw_cluster_size gauge", "gw_cluster_size 6",
                "# HELP gw_cluster_unhealthy Listed engines that the front end now avoids.",
                "# TYPE gw_cluster_unhealthy gauge", "gw_cluster_unhealthy 2",
                "# HELP gw_conf_loaded_total Configurations taken at SIGHUP.", "# TYPE gw_conf_loaded_total counter",
                "gw_conf_loaded_total 1",
                "# HELP gw_conf_invalid_total Configurations turned down at SIGHUP.",
                "# TYPE gw_conf_invalid_total counter", "gw_conf_invalid_total 2",
                "# HELP gw_changelog_event The last event of the change log that was taken.", "# TYPE gw_changelog_event gauge",
                "gw_changelog_event 7",
                "# HELP gw_changelog_age_ms Milliseconds since the change log last answered whole.",
                "# TYPE gw_changelog_age_ms gauge", "gw_changelog_age_ms 350",
                "# HELP gw_changelog_failures_total Questions to the change log that failed.",
                "# TYPE gw_changelog_failures_total counter", "gw_changelog_failures_total 3",
                "# HELP gw_ordering_keys Ordering keys of open requests.", "# TYPE gw_ordering_keys gauge", "gw_ordering_keys 2",
                "# HELP gw_ordering_key_wait_ms Longest time that an open request has waited behind another of its key.",
                "# TYPE gw_ordering_key_wait_ms gauge", "gw_ordering_key_wait_ms 40");
    }
}
