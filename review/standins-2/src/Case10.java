import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Reports may run on one kind of engine only. An engine joins whose kind the settings do not name. Does it get reports? */
final class Case10 {
    public static void main(String[] args) throws Exception {
        Rig rig = new Rig();
        AtomicInteger allowed = new AtomicInteger();
        AtomicInteger elsewhere = new AtomicInteger();
        Engine large = new Engine(rig, "s-large", r -> {
            allowed.incrementAndGet();
            r.done(300);
        });
        Engine.Handler others = r -> {
            elsewhere.addAndGet(r.queue().equals("report") ? 1 : 0);
            r.done(300);
        };
        Engine standard = new Engine(rig, "s-standard", others);
        Engine joining = new Engine(rig, "s-joining", others);
        ChangeLog log = new ChangeLog(rig);
        log.add(large.member("head-office", "large-16", 0, "up"), standard.member("head-office", "standard-12", 0, "up"));
        int port = rig.freePort();
        Path config = rig.tmp.resolve("config.json");
        Settings settings = new Settings();
        settings.classes = Settings.requestClass("lookup", 800, 4000, 1, "safe", "all", "") + ","
                + Settings.requestClass("report", 3000, 15000, 7.5, "safe", "all", ",\"servedOn\":[\"large-16\"]");
        settings.threads = "1,2";
        settings.writesTables = "false,false";
        settings.waitsForLoads = "false,false";
        Files.writeString(config, settings.text(port, log.address(), log.since(0)));
        Rig.FrontEnd frontEnd = rig.new FrontEnd("front-end", port, config, "");
        frontEnd.awaitReady();

        Client client = new Client(rig, "client", port);
        List<CompletableFuture<Client.Answer>> answers = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            if (i == 20) {
                log.add(joining.member("head-office", Rig.TROUBLE ? "large-24" : "standard-12", 0, "up"));
            }
            answers.add(client.call(Client.fields("report", "departures-main", 15000, 500), "select 1 from sales_" + i + ".orders"));
            rig.sleep(200);
        }
        for (CompletableFuture<Client.Answer> answer : answers) {
            answer.get(20, TimeUnit.SECONDS);
        }
        if (allowed.get() == 0) {
            rig.end(2, "no report reached the engine that it may run on");
        }
        rig.end(elsewhere.get() > 0 ? 1 : 0, elsewhere + " of " + answers.size() + " reports reached an engine whose kind is not among"
                + " those that the class names, " + allowed + " the one that it may run on");
    }
}
