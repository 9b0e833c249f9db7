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
 * What the second address tells of a return from a loss of power. {@code GET /fleet/recovery} is where it stands, with the loads in doubt; {@code
 * PUT /fleet/doubtful/TXN} says that staff have looked into one; {@code PUT /fleet/allowed/ENGINE} that an engine which takes nothing since the
 * loss takes work again.
 */
public final class RecoveryPages {
    private static final String JSON = "application/json", TEXT = "text/plain; charset=utf-8", WHERE = "/fleet/recovery", DOUBTFUL =
            "/fleet/doubtful/", ALLOWED = "/fleet/allowed/";
    private static final int OK = 200, NOT_FOUND = 404;

    private final Supplier<RecoveryReport> stands;
    private final Supplier<RecoveryJournal.Counts> counts;
    private final Consumer<Input> to;

    /** Pages of what was published last. */
    public RecoveryPages(Supplier<RecoveryReport> stands, Supplier<RecoveryJournal.Counts> counts, Consumer<Input> to) {
        this.stands = stands;
        this.counts = counts;
        this.to = to;
    }

    /** A page of these, null where it is none. */
    public Page page(String method, String path) {
        RecoveryReport r = stands.get();
        if (r == null) {
            return null;
        } else if (path.equals(WHERE) && method.equals("GET")) {
            return new Page(OK, JSON, json(r));
        } else if (path.startsWith(DOUBTFUL) && method.equals("PUT")) {
            String txn = path.substring(DOUBTFUL.length());
            if (r.doubtfulLoads().stream().noneMatch(l -> l.start().txn().equals(txn))) {
                return new Page(NOT_FOUND, TEXT, "no load " + txn + " is in doubt\n");
            }
            to.accept(new Input.LoadAcknowledged(txn));
            return new Page(OK, TEXT, txn + " is taken off the list\n");
        } else if (path.startsWith(ALLOWED) && method.equals("PUT")) {
            to.accept(new Input.EngineAllowed(path.substring(ALLOWED.length())));
            return new Page(OK, TEXT, path.substring(ALLOWED.length()) + " may take work\n");
        }
        return null;
    }

    private static String json(RecoveryReport r) {
        StringWriter out = new StringWriter();
        Recovery.View v = r.view();
        try (JsonGenerator to = new JsonFactory().createGenerator(out)) {
            to.writeStartObject();
            to.writeStringField("phase", v.phase().name());
            to.writeStringField("line", v.statusLine());
            to.writeBooleanField("alone", v.withoutQuorum());
            to.writeStringField("sends", String.join(",", v.openClasses()));
            to.writeBooleanField("cold", v.coldFrom() > 0);
            to.writeNumberField("withheldEngines", v.withheldEngines());
            to.writeNumberField("doubtfulLoads", v.doubtfulLoads());
            to.writeNumberField("unkeptLoads", r.unpersistedLoads());
            to.writeArrayFieldStart("doubtful");
            for (RecoveryState.Load l : r.doubtfulLoads()) {
                to.writeStartObject();
                to.writeStringField("txn", l.start().txn());
                to.writeStringField("class", l.start().requestClass());
                to.writeStringField("team", l.start().team());
                to.writeStringField("digest", l.start().statementDigest());
                to.writeNumberField("tables", l.start().tableGroup());
                to.writeStringField("engine", l.engine());
                to.writeStringField("at", Instant.ofEpochMilli(l.start().startedAtUnixMs()).toString());
                to.writeEndObject();
            }
            to.writeEndArray();
            to.writeEndObject();
        } catch (IOException e) { // nothing is written anywhere but to memory
            throw new UncheckedIOException(e);
        }
        return out + "\n";
    }

    /** Figures in the text format that Prometheus reads. */
    public String metrics() {
        RecoveryReport r = stands.get();
        if (r == null) {
            return "";
        }
        RecoveryJournal.Counts c = counts.get();
        StringBuilder out = new StringBuilder("# HELP gw_recovery_phase Where a return from a loss of power stands.\n# TYPE gw_recovery_phase"
                + " gauge\n");
        for (Recovery.Phase p : Recovery.Phase.values()) {
            out.append("gw_recovery_phase{phase=\"").append(p.name().toLowerCase(java.util.Locale.ROOT)).append("\"} ").append(p
                    == r.view().phase() ? 1 : 0).append('\n');
        }
        for (Figure f : List.of(new Figure("gw_recovery_alone", "gauge", "Whether it returns without a majority.", r.view().withoutQuorum() ? 1 : 0),
                new Figure("gw_recovery_withheld_engines", "gauge", "Listed engines that take nothing since the loss.", r.view().withheldEngines()),
                new Figure("gw_recovery_doubtful_loads", "gauge", "Loads that may have run before the loss.", r.view().doubtfulLoads()),
                new Figure("gw_recovery_unkept_loads_total", "counter", "Loads that went out though the disk refused.", r.unpersistedLoads()),
                new Figure("gw_recovery_forces_total", "counter", "Groups of entries forced to disk.", c.forces()),
                new Figure("gw_recovery_entries_total", "counter", "Entries in them.", c.entries()),
                new Figure("gw_recovery_failures_total", "counter", "Groups that the disk refused.", c.failures()))) {
            out.append("# HELP ").append(f.name()).append(' ').append(f.help()).append("\n# TYPE ").append(f.name()).append(' ')
                    .append(f.type()).append('\n').append(f.name()).append(' ').append(f.value()).append('\n');
        }
        return out.toString();
    }

    private record Figure(String name, String type, String help, long value) { }
}
