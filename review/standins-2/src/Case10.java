import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Requests of a keyed class whose repeats are dropped within a zone run at engines, and end with an error there, after they have been
 * applied. Meanwhile engines join in a zone that the settings do not name. Does each repeat stay in the zone of its first attempt?
 */
final class Case10 {
    private static final int REQUESTS = 12;

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig();
        Map<String, String> zoneOf = new LinkedHashMap<>(Map.of("s-e1", "east", "s-e2", "east", "s-w1", "west", "s-w2", "west"));
        String joiningZone = Rig.TROUBLE ? "central" : "west";
        zoneOf.put("s-j1", joiningZone);
        zoneOf.put("s-j2", joiningZone);
        Map<String, Set<String>> appliedIn = new ConcurrentHashMap<>();
        Engine.Handler handler = r -> {
            String zone = zoneOf.get(r.connection.engine());
            Set<String> zones = appliedIn.computeIfAbsent(r.fields.get("uniq"), k -> Collections.synchronizedSet(new TreeSet<>()));
            boolean first = zones.isEmpty();
            rig.log(r.connection.engine() + " in zone " + zone + (zones.add(zone) ? " applies " : " drops the repeat of ")
                    + r.fields.get("uniq"));
            if (first) {
                r.answer(2500, "BROKE", "-", ""); // an error: it may have run, and it has
            } else {
                r.done(100);
            }
        };
        Map<String, Engine> engines = new LinkedHashMap<>();
        for (String id : new TreeSet<>(zoneOf.keySet())) {
            engines.put(id, new Engine(rig, id, handler));
        }
        ChangeLog log = new ChangeLog(rig);
        log.add(engines.values().stream().filter(e -> !e.id.startsWith("s-j"))
                .map(e -> e.member(zoneOf.get(e.id), "large-16", 0, "up")).toArray(String[]::new));
        int port = rig.freePort();
        Path config = rig.tmp.resolve("config.json");
        Settings settings = new Settings();
        settings.localities = "\"east\",\"west\"";
        settings.classes = Settings.requestClass("lookup", 1500, 7500, 1, "safe", "all", "") + ","
                + Settings.requestClass("sales-load", 3000, 20000, 5, "keyed", "zone", "");
        settings.threads = "1,2";
        settings.writesTables = "false,true";
        settings.waitsForLoads = "false,false";
        Files.writeString(config, settings.text(port, log.address(), log.since(0)));
        Rig.FrontEnd frontEnd = rig.new FrontEnd("front-end", port, config, "");
        frontEnd.awaitReady();

        Client client = new Client(rig, "client", port);
        List<CompletableFuture<Client.Answer>> answers = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            Map<String, String> fields = Client.fields("sales-load", "departures-main", 18000, 1500);
            fields.put("unique", String.format("%032x", i + 1));
            answers.add(client.call(fields, "insert into sales_" + i + ".orders values (" + i + ")"));
        }
        rig.sleep(700);
        log.add(engines.values().stream().filter(e -> e.id.startsWith("s-j"))
                .map(e -> e.member(joiningZone, "large-16", 0, "up")).toArray(String[]::new));
        for (CompletableFuture<Client.Answer> answer : answers) {
            answer.get(25, TimeUnit.SECONDS);
        }
        appliedIn.forEach((key, zones) -> rig.log("request " + key + " was applied in " + zones));
        if (appliedIn.size() < REQUESTS) {
            rig.end(2, "only " + appliedIn.size() + " requests reached an engine");
        }
        long twice = appliedIn.values().stream().filter(zones -> zones.size() > 1).count();
        rig.end(twice > 0 ? 1 : 0, twice + " of " + REQUESTS + " keyed requests were applied in two zones");
    }
}
