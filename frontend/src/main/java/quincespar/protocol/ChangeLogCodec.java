package quincespar.protocol;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Decodes the change log's events from JSON, in its answers and in the configuration's {@code known}. */
public final class ChangeLogCodec {
    private ChangeLogCodec() { }

    /** Events up to and including number {@code seq}. */
    public record Changes(long seq, List<FleetEvent> events) { }

    /** Decodes an answer; throws {@link MalformedException} if any part of it is malformed. */
    public static Changes read(byte[] text) {
        return read(Json.read(text));
    }

    /** As {@link #read(byte[])}, for a parsed JSON value. */
    public static Changes read(Object value) {
        Map<String, Object> answer = Json.object(value, "the answer");
        List<FleetEvent> events = new ArrayList<>();
        for (Object item : Json.list(answer.get("results"), "results")) {
            Map<String, Object> event = Json.object(item, "an event");
            events.add(event.containsKey("fleet") ? event(event) : unrelatedEvent(event));
        }
        return new Changes((long) Json.number(answer.get("seq"), "seq"), events);
    }

    /** An event of a kind that this program does not use; only its number matters. */
    private static FleetEvent unrelatedEvent(Map<String, Object> event) {
        return new FleetEvent((long) Json.number(event.get("seq"), "seq"), 0, false, List.of());
    }

    private static FleetEvent event(Map<String, Object> event) {
        Map<String, Object> fleet = Json.object(event.get("fleet"), "fleet");
        List<FleetEvent.Member> members = new ArrayList<>();
        for (Object m : Json.list(fleet.get("members"), "members")) {
            members.add(member(Json.object(m, "a member")));
        }
        return new FleetEvent((long) Json.number(event.get("seq"), "seq"),
                (long) Json.number(fleet.get("revision"), "revision"),
                Boolean.TRUE.equals(fleet.get("complete")), members);
    }

    private static FleetEvent.Member member(Map<String, Object> m) {
        return new FleetEvent.Member(Json.text(m.get("id"), "id"), Json.text(m.get("host_port"), "host_port"),
                text(m, "locality"), text(m, "flavor"), (int) number(m, "cell", 0),
                phase(Json.text(m.get("phase"), "phase")), number(m, "size", 1), number(m, "up_since_ms", 0));
    }

    private static FleetEvent.Phase phase(String s) {
        try {
            return FleetEvent.Phase.valueOf(s.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new MalformedException("unknown phase '" + s + "'");
        }
    }

    private static String text(Map<String, Object> m, String name) {
        return m.get(name) == null ? "" : Json.text(m.get(name), name);
    }

    private static double number(Map<String, Object> m, String name, double defaultValue) {
        return m.get(name) == null ? defaultValue : Json.number(m.get(name), name);
    }
}
