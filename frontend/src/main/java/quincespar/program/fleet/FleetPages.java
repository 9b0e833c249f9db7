package quincespar.program.fleet;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.stream.Collectors;
import quincespar.fleet.Agreement;
import quincespar.fleet.FleetView;
import quincespar.fleet.Instance;
import quincespar.fleet.Register;
import quincespar.fleet.Result;
import quincespar.fleet.Standing;

/**
 * Pages about the fleet at the second address. {@code GET /fleet} returns this instance's own view without asking the fleet;
 * {@code GET /fleet/registers/NAME} reads a register linearizably; {@code PUT /fleet/registers/NAME/VERSION/VALUE} writes it, if
 * the settings allow that and the register has this version ({@code any} matches every version).
 */
public final class FleetPages {
    /** An HTTP response: its status code, content type and body. */
    public record Page(int status, String type, String body) { }

    private static final String JSON = "application/json";
    private static final String TEXT = "text/plain; charset=utf-8";
    private static final String REGISTERS_PATH = "/fleet/registers/";
    private static final String ANY_VERSION = "any";
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;

    private final FleetService service;

    /** Creates the pages of one service. */
    public FleetPages(FleetService service) {
        this.service = service;
    }

    /** Answers a request for a page about the fleet; returns null if the path is none of them. */
    public CompletionStage<Page> page(String method, String path) {
        if (path.equals("/fleet") && method.equals("GET")) {
            return CompletableFuture.completedFuture(new Page(OK, JSON, fleetStatus()));
        }
        if (!path.startsWith(REGISTERS_PATH)) {
            return null;
        }
        List<String> segments = Arrays.asList(path.substring(REGISTERS_PATH.length()).split("/", -1));
        if (method.equals("GET") && segments.size() == 1) {
            return service.read().thenApply(snapshot -> snapshot.registers().stream()
                    .filter(register -> register.name().equals(segments.get(0))).findFirst()
                    .map(FleetPages::registerPage).orElse(new Page(NOT_FOUND, JSON, "{\"version\":0}\n")));
        }
        if (method.equals("PUT") && segments.size() == 3 && segments.get(1).matches("any|[0-9]{1,18}")) {
            if (!service.settings().registerWritesAllowed()) {
                return CompletableFuture.completedFuture(new Page(METHOD_NOT_ALLOWED, TEXT, "'fleet writes' is off\n"));
            }
            long ifVersion = segments.get(1).equals(ANY_VERSION) ? -1 : Long.parseLong(segments.get(1));
            return service.write(segments.get(0), ifVersion, segments.get(2)).thenApply(FleetPages::writeResultPage);
        }
        return CompletableFuture.completedFuture(new Page(BAD_REQUEST, TEXT,
                "GET or PUT /fleet/registers/NAME[/VERSION/VALUE]\n"));
    }

    private interface JsonBody {
        void write(JsonGenerator to) throws IOException;
    }

    private static String json(JsonBody body) {
        StringWriter out = new StringWriter();
        try (JsonGenerator to = new JsonFactory().createGenerator(out)) {
            to.writeStartObject();
            body.write(to);
            to.writeEndObject();
        } catch (IOException e) { // not expected: writes to memory only
            throw new UncheckedIOException(e);
        }
        return out + "\n";
    }

    private static Page registerPage(Register register) {
        return new Page(OK, JSON, json(to -> {
            to.writeNumberField("version", register.version());
            to.writeStringField("value", register.value());
            to.writeStringField("by", register.writer());
            to.writeNumberField("incarnation", register.writerIncarnation());
        }));
    }

    private static Page writeResultPage(Result result) {
        if (result instanceof Result.Written written) {
            return new Page(OK, JSON, json(to -> to.writeNumberField("version", written.version())));
        } else if (result instanceof Result.Conflict conflict) {
            return new Page(CONFLICT, JSON, json(to -> {
                to.writeNumberField("version", conflict.version());
                to.writeStringField("value", conflict.value());
            }));
        }
        return new Page(UNAVAILABLE, TEXT, result instanceof Result.Refused refused ? refused.message() + "\n" : "not written\n");
    }

    private String fleetStatus() {
        FleetView view = service.view();
        Agreement.Status status = service.status();
        FleetService.Counts counts = service.counts();
        double age = service.age();
        return json(to -> {
            to.writeStringField("group", service.settings().config().group());
            to.writeStringField("phase", view.phase().name());
            to.writeStringField("line", view.statusLine());
            to.writeNumberField("incarnation", view.incarnation());
            to.writeBooleanField("inTouch", view.quorumReachable());
            to.writeNumberField("ageMs", age == Double.POSITIVE_INFINITY ? -1 : Math.round(age));
            to.writeBooleanField("voting", status.voting());
            to.writeStringField("leader", status.leader());
            to.writeNumberField("term", status.term());
            to.writeNumberField("applied", status.applied());
            to.writeNumberField("version", view.state().version());
            to.writeNumberField("time", view.state().time());
            to.writeNumberField("folderBytes", counts.bytes());
            to.writeNumberField("folderFailures", counts.failures());
            to.writeArrayFieldStart("members");
            for (Instance instance : view.state().instances()) {
                to.writeStartObject();
                to.writeStringField("name", instance.name());
                to.writeNumberField("incarnation", instance.incarnation());
                to.writeStringField("standing", instance.standing().name());
                to.writeBooleanField("voter", instance.voter());
                to.writeStringField("folder", instance.folder());
                to.writeStringField("address", instance.address());
                to.writeStringField("build", instance.build());
                to.writeNumberField("since", instance.standingSince());
                to.writeEndObject();
            }
            to.writeEndArray();
        });
    }

    /** The fleet's metrics in the Prometheus text format. */
    public static String metrics(FleetService service) {
        FleetView view = service.view();
        Agreement.Status status = service.status();
        FleetService.Counts counts = service.counts();
        StringBuilder out = new StringBuilder();
        out.append("# HELP gw_fleet_members Instances known to the fleet, by how they stand.\n# TYPE gw_fleet_members gauge\n");
        out.append(Arrays.stream(Standing.values()).map(standing -> "gw_fleet_members{standing=\""
                + standing.name().toLowerCase(java.util.Locale.ROOT) + "\"} "
                + view.state().instances().stream().filter(instance -> instance.standing() == standing).count() + "\n")
                .collect(Collectors.joining()));
        appendMetric(out, "gw_fleet_in_touch", "gauge", "Whether a majority has answered lately.",
                view.quorumReachable() ? 1 : 0);
        appendMetric(out, "gw_fleet_voting", "gauge", "Whether this instance takes part in votes.", status.voting() ? 1 : 0);
        appendMetric(out, "gw_fleet_leading", "gauge", "Whether this instance leads.",
                status.voting() && status.leader().equals(service.name()) ? 1 : 0);
        appendMetric(out, "gw_fleet_term", "gauge", "The term of votes as known here.", status.term());
        appendMetric(out, "gw_fleet_applied", "counter",
                "How much of the log of votes is carried out here; 0 where it does not vote.",
                status.applied());
        appendMetric(out, "gw_fleet_incarnation", "gauge", "This life's number.", view.incarnation());
        appendMetric(out, "gw_fleet_version", "gauge", "The version of the agreed state as known here.", view.state().version());
        appendMetric(out, "gw_fleet_leaders_total", "counter", "Changes of leader seen here.", counts.leaders());
        appendMetric(out, "gw_fleet_unanswered_total", "counter", "Commands that got no answer in time.", counts.lost());
        appendMetric(out, "gw_state_bytes", "gauge", "What the durable folder holds.", counts.bytes());
        appendMetric(out, "gw_state_failures_total", "counter", "What the durable folder refused.", counts.failures());
        return out.toString();
    }

    private static void appendMetric(StringBuilder out, String name, String type, String help, long value) {
        out.append("# HELP ").append(name).append(' ').append(help).append("\n# TYPE ").append(name).append(' ').append(type)
                .append('\n').append(name).append(' ').append(value).append('\n');
    }
}
