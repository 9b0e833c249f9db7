package quincespar.metrics;

/** Metrics in the text format of Prometheus (version 0.0.4 of its exposition format). */
public final class PrometheusText {
    /** The content type of the text. */
    public static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

    private final StringBuilder out = new StringBuilder();

    private PrometheusText() { }

    /** Each metric with its help and type. Each line, the last one too, ends in a line feed. */
    public static String text(MetricsSnapshot metrics) {
        PrometheusText text = new PrometheusText();
        text.header("gw_transactions_total", "counter",
                "Requests that got their final answer, by class: served, refused, failed.");
        metrics.answersByClass().forEach((className, counts) -> {
            text.answers(className, "answered", counts.answered());
            text.answers(className, "deferred", counts.deferred());
            text.answers(className, "errored", counts.errored());
        });
        text.metric("gw_sends_total", "counter", "Attempts written whole to engines.", metrics.attemptsSent());
        text.metric("gw_current", "gauge", "Requests taken and not ended.", metrics.openRequests());
        text.metric("gw_cluster_size", "gauge", "Engines in the list.", metrics.listedEngines());
        text.metric("gw_cluster_unhealthy", "gauge", "Listed engines that the front end now avoids.", metrics.ejectedEngines());
        text.metric("gw_conf_loaded_total", "counter", "Configurations taken at SIGHUP.", metrics.configurationsLoaded());
        text.metric("gw_conf_invalid_total", "counter", "Configurations turned down at SIGHUP.",
                metrics.configurationsRejected());
        text.metric("gw_changelog_event", "gauge", "The last event of the change log that was taken.",
                metrics.changeLog().lastEvent());
        text.metric("gw_changelog_age_ms", "gauge", "Milliseconds since the change log last answered whole.",
                metrics.changeLog().ageMs());
        text.metric("gw_changelog_failures_total", "counter", "Questions to the change log that failed.",
                metrics.changeLog().failures());
        text.metric("gw_ordering_keys", "gauge", "Ordering keys of open requests.", metrics.orderingKeys().held());
        text.metric("gw_ordering_key_wait_ms", "gauge", "Longest time that an open request has waited behind another of its key.",
                metrics.orderingKeys().longestWaitMs());
        return text.out.toString();
    }

    private void header(String name, String type, String help) {
        out.append("# HELP ").append(name).append(' ').append(help).append('\n');
        out.append("# TYPE ").append(name).append(' ').append(type).append('\n');
    }

    private void metric(String name, String type, String help, long value) {
        header(name, type, help);
        out.append(name).append(' ').append(value).append('\n');
    }

    private void answers(String className, String state, long value) {
        out.append("gw_transactions_total{group=\"").append(escaped(className)).append("\",state=\"").append(state)
                .append("\"} ").append(value).append('\n');
    }

    /** A label value with backslash, quote and line feed escaped. */
    private static String escaped(String value) {
        return value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
    }
}
