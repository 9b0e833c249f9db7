package quincespar.metrics;

/** MetricsSnapshot in the text format that Prometheus reads (version 0.0.4 of its exposition format). */
public final class PrometheusText {
    /** What the text is, for the header of an answer that holds it. */
    public static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

    private final StringBuilder out = new StringBuilder();

    private PrometheusText() { }

    /** The text: each metric with its help and type, each line ended. */
    public static String text(MetricsSnapshot f) {
        PrometheusText e = new PrometheusText();
        e.head("gw_transactions_total", "counter", "Requests that got their final answer, by class: served, refused, failed.");
        f.transactions().forEach((group, row) -> {
            e.row(group, "answered", row.answered());
            e.row(group, "deferred", row.deferred());
            e.row(group, "errored", row.errored());
        });
        e.single("gw_sends_total", "counter", "Attempts written whole to engines.", f.sends());
        e.single("gw_current", "gauge", "Requests taken and not ended.", f.openRequests());
        e.single("gw_cluster_size", "gauge", "Engines in the list.", f.listedEngines());
        e.single("gw_cluster_unhealthy", "gauge", "Listed engines that the front end now avoids.", f.avoidedEngines());
        e.single("gw_conf_loaded_total", "counter", "Configurations taken at SIGHUP.", f.configurationsLoaded());
        e.single("gw_conf_invalid_total", "counter", "Configurations turned down at SIGHUP.", f.configurationsRejected());
        e.single("gw_changelog_event", "gauge", "The last event of the change log that was taken.", f.changeLog().lastEvent());
        e.single("gw_changelog_age_ms", "gauge", "Milliseconds since the change log last answered whole.", f.changeLog().ageMs());
        e.single("gw_changelog_failures_total", "counter", "Questions to the change log that failed.", f.changeLog().failures());
        return e.out.toString();
    }

    private void head(String name, String type, String help) {
        out.append("# HELP ").append(name).append(' ').append(help).append('\n');
        out.append("# TYPE ").append(name).append(' ').append(type).append('\n');
    }

    private void single(String name, String type, String help, long value) {
        head(name, type, help);
        out.append(name).append(' ').append(value).append('\n');
    }

    private void row(String group, String state, long value) {
        out.append("gw_transactions_total{group=\"").append(escaped(group)).append("\",state=\"").append(state)
                .append("\"} ").append(value).append('\n');
    }

    /** A label's value: backslash, quote and line feed are escaped. */
    private static String escaped(String value) {
        return value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
    }
}
