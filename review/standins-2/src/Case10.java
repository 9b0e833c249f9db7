import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * A new engine, of another cell, has taken the address of one that has gone; the list has both, as it is late with the end of the old
 * one. The front end starts with that list. Loads whose repeats are dropped within a cell end with an error after they have been
 * applied. Does each repeat stay in the cell of its first attempt?
 */
final class Case10 {
    private static final int REQUESTS = 12;

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig();
        Map<String, Set<Integer>> appliedIn = new ConcurrentHashMap<>();
        Map<String, Integer> cellOf = Map.of("s-a", 1, "s-b", 1, "s-new", 2, "s-old", 1);
        Engine.Handler handler = r -> {
            int cell = cellOf.get(r.connection.engine());
            Set<Integer> cells = appliedIn.computeIfAbsent(r.fields.get("uniq"), k -> Collections.synchronizedSet(new TreeSet<>()));
            boolean first = cells.isEmpty();
            rig.log(r.connection.engine() + " in cell " + cell + (cells.add(cell) ? " applies " : " drops the repeat of ")
                    + r.fields.get("uniq"));
            if (first) {
                r.answer(1500, "BROKE", "-", ""); // an error: it may have run, and it has
            } else {
                r.done(100);
            }
        };
        Engine a = new Engine(rig, "s-a", handler);
        Engine b = new Engine(rig, "s-b", handler);
        Engine joined = new Engine(rig, "s-new", handler);
        Engine old = new Engine(rig, "s-old", handler);
        String newMember = joined.member("head-office", "large-16", 2, "up");
        // the entry of the old engine: at its own address, where it still runs, or at the one that the new engine has taken over
        String oldMember = Rig.TROUBLE ? newMember.replace("s-new", "s-old").replace("\"cell\":2", "\"cell\":1")
                : old.member("head-office", "large-16", 1, "up");
        ChangeLog log = new ChangeLog(rig);
        log.add(a.member("head-office", "large-16", 1, "up"), b.member("head-office", "large-16", 1, "up"), oldMember, newMember);
        int port = rig.freePort();
        Path config = rig.tmp.resolve("config.json");
        Settings settings = new Settings();
        settings.classes = Settings.requestClass("lookup", 1500, 7500, 1, "safe", "all", "") + ","
                + Settings.requestClass("sales-load", 3000, 20000, 5, "keyed", "cell", "");
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
        rig.sleep(3000);
        log.add(oldMember.replace("\"up\"", "\"removed\""));
        for (CompletableFuture<Client.Answer> answer : answers) {
            answer.get(25, TimeUnit.SECONDS);
        }
        appliedIn.forEach((key, cells) -> rig.log("request " + key + " was applied in cells " + cells));
        if (appliedIn.size() < REQUESTS) {
            rig.end(2, "only " + appliedIn.size() + " requests reached an engine");
        }
        long twice = appliedIn.values().stream().filter(cells -> cells.size() > 1).count();
        rig.end(twice > 0 ? 1 : 0, twice + " of " + REQUESTS + " keyed requests were applied in two cells");
    }
}
