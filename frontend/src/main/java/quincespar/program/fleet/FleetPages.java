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
 * What the second address tells of the fleet. {@code GET /fleet} is what this instance knows, at once; {@code GET
 * /fleet/registers/NAME} asks the fleet; {@code PUT /fleet/registers/NAME/VERSION/VALUE} writes, where the file allows it,
 * if the register has that version ({@code any} for whichever).
 */
public final class FleetPages {
    /** An answer: its status, what it is, and its text. */
    public record Page(int status, String type, String body) { }

    private static final String JSON = "application/json", TEXT = "text/plain; charset=utf-8", REGISTERS = "/fleet/registers/";
    private static final int OK = 200, NOT_FOUND = 404, CONFLICT = 409, UNAVAILABLE = 503, NOT_ALLOWED = 405, BAD = 400;

    private final FleetService link;

    /** Pages of this link. */
    public FleetPages(FleetService link) {
        this.link = link;
    }

    /** A page of the fleet's, null where it is none. */
    public CompletionStage<Page> page(String method, String path) {
        if (path.equals("/fleet") && method.equals("GET")) {
            return CompletableFuture.completedFuture(new Page(OK, JSON, view()));
        }
        if (!path.startsWith(REGISTERS)) {
            return null;
        }
        List<String> words = Arrays.asList(path.substring(REGISTERS.length()).split("/", -1));
        if (method.equals("GET") && words.size() == 1) {
            return link.read().thenApply(s -> s.registers().stream().filter(r -> r.name().equals(words.get(0))).findFirst()
                    .map(FleetPages::register).orElse(new Page(NOT_FOUND, JSON, "{\"version\":0}\n")));
        }
        if (method.equals("PUT") && words.size() == 3 && words.get(1).matches("any|[0-9]{1,18}")) {
            if (!link.settings().registerWritesAllowed()) {
                return CompletableFuture.completedFuture(new Page(NOT_ALLOWED, TEXT, "'fleet writes' is off\n"));
            }
            return link.write(words.get(0), words.get(1).equals("any") ? -1 : Long.parseLong(words.get(1)), words.get(2))
                    .thenApply(FleetPages::written);
        }
        return CompletableFuture.completedFuture(new Page(BAD, TEXT, "GET or PUT /fleet/registers/NAME[/VERSION/VALUE]\n"));
    }

    private interface Body {
        void write(JsonGenerator to) throws IOException;
    }

    private static String json(Body body) {
        StringWriter out = new StringWriter();
        try (JsonGenerator to = new JsonFactory().createGenerator(out)) {
            to.writeStartObject();
            body.write(to);
            to.writeEndObject();
        } catch (IOException e) { // nothing is written anywhere but to memory
            throw new UncheckedIOException(e);
        }
        return out + "\n";
    }

    private static Page register(Register r) {
        return new Page(OK, JSON, json(to -> {
            to.writeNumberField("version", r.version());
            to.writeStringField("value", r.value());
            to.writeStringField("by", r.writer());
            to.writeNumberField("incarnation", r.writerIncarnation());
        }));
    }

    private static Page written(Result r) {
        if (r instanceof Result.Written w) {
            return new Page(OK, JSON, json(to -> to.writeNumberField("version", w.version())));
        } else if (r instanceof Result.Conflict c) {
            return new Page(CONFLICT, JSON, json(to -> {
                to.writeNumberField("version", c.version());
                to.writeStringField("value", c.value());
            }));
        }
        return new Page(UNAVAILABLE, TEXT, r instanceof Result.Refused x ? x.message() + "\n" : "not written\n");
    }

    private String view() {
        FleetView v = link.view();
        Agreement.Status s = link.status();
        FleetService.Counts c = link.counts();
        double age = link.age();
        return json(to -> {
            to.writeStringField("group", link.settings().config().group());
            to.writeStringField("phase", v.phase().name());
            to.writeStringField("line", v.statusLine());
            to.writeNumberField("incarnation", v.incarnation());
            to.writeBooleanField("inTouch", v.quorumReachable());
            to.writeNumberField("ageMs", age == Double.POSITIVE_INFINITY ? -1 : Math.round(age));
            to.writeBooleanField("voting", s.voting());
            to.writeStringField("leader", s.leader());
            to.writeNumberField("term", s.term());
            to.writeNumberField("applied", s.applied());
            to.writeNumberField("version", v.state().version());
            to.writeNumberField("time", v.state().time());
            to.writeNumberField("folderBytes", c.bytes());
            to.writeNumberField("folderFailures", c.failures());
            to.writeArrayFieldStart("members");
            for (Instance i : v.state().instances()) {
                to.writeStartObject();
                to.writeStringField("name", i.name());
                to.writeNumberField("incarnation", i.incarnation());
                to.writeStringField("standing", i.standing().name());
                to.writeBooleanField("voter", i.voter());
                to.writeStringField("folder", i.folder());
                to.writeStringField("address", i.address());
                to.writeStringField("build", i.build());
                to.writeNumberField("since", i.standingSince());
                to.writeEndObject();
            }
            to.writeEndArray();
        });
    }

    /** Figures in the text format that Prometheus reads. */
    public static String metrics(FleetService link) {
        FleetView v = link.view();
        Agreement.Status s = link.status();
        FleetService.Counts c = link.counts();
        StringBuilder out = new StringBuilder();
        out.append("# HELP gw_fleet_members Instances known to the fleet, by how they stand.\n# TYPE gw_fleet_members gauge\n");
        out.append(Arrays.stream(Standing.values()).map(x -> "gw_fleet_members{standing=\"" + x.name().toLowerCase(
                java.util.Locale.ROOT) + "\"} " + v.state().instances().stream().filter(i -> i.standing() == x).count() + "\n")
                .collect(Collectors.joining()));
        single(out, "gw_fleet_in_touch", "gauge", "Whether a majority has answered lately.", v.quorumReachable() ? 1 : 0);
        single(out, "gw_fleet_voting", "gauge", "Whether this instance takes part in votes.", s.voting() ? 1 : 0);
        single(out, "gw_fleet_leading", "gauge", "Whether this instance leads.",
                s.voting() && s.leader().equals(link.name()) ? 1 : 0);
        single(out, "gw_fleet_term", "gauge", "The term of votes as known here.", s.term());
        single(out, "gw_fleet_applied", "counter", "How much of the log of votes is carried out here; 0 where it does not vote.", s.applied());
        single(out, "gw_fleet_incarnation", "gauge", "This life's number.", v.incarnation());
        single(out, "gw_fleet_version", "gauge", "The version of the agreed state as known here.", v.state().version());
        single(out, "gw_fleet_leaders_total", "counter", "Changes of leader seen here.", c.leaders());
        single(out, "gw_fleet_unanswered_total", "counter", "Commands that got no answer in time.", c.lost());
        single(out, "gw_state_bytes", "gauge", "What the durable folder holds.", c.bytes());
        single(out, "gw_state_failures_total", "counter", "What the durable folder refused.", c.failures());
        return out.toString();
    }

    private static void single(StringBuilder out, String name, String type, String help, long value) {
        out.append("# HELP ").append(name).append(' ').append(help).append("\n# TYPE ").append(name).append(' ').append(type)
                .append('\n').append(name).append(' ').append(value).append('\n');
    }
}
