package quincespar.program.recovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.time.Instant;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import quincespar.program.fleet.FleetPages.Page;
import quincespar.recovery.Recovery;
import quincespar.recovery.RecoveryState;
import quincespar.routing.Input;
import quincespar.routing.RecoveryReport;

/**
 * The admin address's pages about the recovery from a loss of power. {@code GET /fleet/recovery} returns its status with the
 * loads in doubt; {@code PUT /fleet/doubtful/TXN} acknowledges that an operator has checked such a load; {@code PUT
 * /fleet/allowed/ENGINE} allows requests to an engine that has been withheld since the loss.
 */
public final class RecoveryPages {
    private static final String JSON = "application/json";
    private static final String TEXT = "text/plain; charset=utf-8";
    private static final String STATUS_PATH = "/fleet/recovery";
    private static final String DOUBTFUL_PREFIX = "/fleet/doubtful/";
    private static final String ALLOWED_PREFIX = "/fleet/allowed/";
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;

    private final Supplier<RecoveryReport> latestReport;
    private final Supplier<RecoveryJournal.Counts> counts;
    private final Consumer<Input> inputs;

    /** Reads the latest report and counters for each page; the changes that operators ask for go to {@code inputs}. */
    public RecoveryPages(Supplier<RecoveryReport> latestReport, Supplier<RecoveryJournal.Counts> counts, Consumer<Input> inputs) {
        this.latestReport = latestReport;
        this.counts = counts;
        this.inputs = inputs;
    }

    /** The page at this path, null if it is none of these or nothing has been reported yet. */
    public Page page(String method, String path) {
        RecoveryReport report = latestReport.get();
        if (report == null) {
            return null;
        } else if (path.equals(STATUS_PATH) && method.equals("GET")) {
            return new Page(OK, JSON, json(report));
        } else if (path.startsWith(DOUBTFUL_PREFIX) && method.equals("PUT")) {
            String txn = path.substring(DOUBTFUL_PREFIX.length());
            if (report.doubtfulLoads().stream().noneMatch(l -> l.start().txn().equals(txn))) {
                return new Page(NOT_FOUND, TEXT, "no load " + txn + " is in doubt\n");
            }
            inputs.accept(new Input.LoadAcknowledged(txn));
            return new Page(OK, TEXT, txn + " is taken off the list\n");
        } else if (path.startsWith(ALLOWED_PREFIX) && method.equals("PUT")) {
            inputs.accept(new Input.EngineAllowed(path.substring(ALLOWED_PREFIX.length())));
            return new Page(OK, TEXT, path.substring(ALLOWED_PREFIX.length()) + " may take work\n");
        }
        return null;
    }

    private static String json(RecoveryReport report) {
        StringWriter text = new StringWriter();
        Recovery.View view = report.view();
        try (JsonGenerator json = new JsonFactory().createGenerator(text)) {
            json.writeStartObject();
            json.writeStringField("phase", view.phase().name());
            json.writeStringField("line", view.statusLine());
            json.writeBooleanField("alone", view.withoutQuorum());
            json.writeStringField("sends", String.join(",", view.openClasses()));
            json.writeBooleanField("cold", view.coldFrom() > 0);
            json.writeNumberField("withheldEngines", view.withheldEngines());
            json.writeNumberField("doubtfulLoads", view.doubtfulLoads());
            json.writeNumberField("unkeptLoads", report.unpersistedLoads());
            json.writeArrayFieldStart("doubtful");
            for (RecoveryState.Load load : report.doubtfulLoads()) {
                json.writeStartObject();
                json.writeStringField("txn", load.start().txn());
                json.writeStringField("class", load.start().requestClass());
                json.writeStringField("team", load.start().team());
                json.writeStringField("digest", load.start().statementDigest());
                json.writeNumberField("tables", load.start().tableGroup());
                json.writeStringField("engine", load.engine());
                json.writeStringField("at", Instant.ofEpochMilli(load.start().startedAtUnixMs()).toString());
                json.writeEndObject();
            }
            json.writeEndArray();
            json.writeEndObject();
        } catch (IOException e) { // cannot happen: the writer is in memory
            throw new UncheckedIOException(e);
        }
        return text + "\n";
    }

    /** Metrics in the Prometheus text format, empty if nothing has been reported yet. */
    public String metrics() {
        RecoveryReport report = latestReport.get();
        if (report == null) {
            return "";
        }
        RecoveryJournal.Counts journalCounts = counts.get();
        StringBuilder out = new StringBuilder("# HELP gw_recovery_phase Where a return from a loss of power stands.\n"
                + "# TYPE gw_recovery_phase gauge\n");
        for (Recovery.Phase phase : Recovery.Phase.values()) {
            out.append("gw_recovery_phase{phase=\"").append(phase.name().toLowerCase(java.util.Locale.ROOT)).append("\"} ")
                    .append(phase == report.view().phase() ? 1 : 0).append('\n');
        }
        for (Metric metric : List.of(
                new Metric("gw_recovery_alone", "gauge", "Whether it returns without a majority.",
                        report.view().withoutQuorum() ? 1 : 0),
                new Metric("gw_recovery_withheld_engines", "gauge", "Listed engines that take nothing since the loss.",
                        report.view().withheldEngines()),
                new Metric("gw_recovery_doubtful_loads", "gauge", "Loads that may have run before the loss.",
                        report.view().doubtfulLoads()),
                new Metric("gw_recovery_unkept_loads_total", "counter", "Loads that went out though the disk refused.",
                        report.unpersistedLoads()),
                new Metric("gw_recovery_forces_total", "counter", "Groups of entries forced to disk.", journalCounts.forces()),
                new Metric("gw_recovery_entries_total", "counter", "Entries in them.", journalCounts.entries()),
                new Metric("gw_recovery_failures_total", "counter", "Groups that the disk refused.", journalCounts.failures()))) {
            out.append("# HELP ").append(metric.name()).append(' ').append(metric.help()).append('\n')
                    .append("# TYPE ").append(metric.name()).append(' ').append(metric.type()).append('\n')
                    .append(metric.name()).append(' ').append(metric.value()).append('\n');
        }
        return out.toString();
    }

    private record Metric(String name, String type, String help, long value) { }
}
