import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** The change log answers each call 3 s late. One of two engines begins to drain. When does it get its last new work? */
final class Case9 {
    private static final long SLOW_MS = 3000;
    /** Told 7 s after the event at the latest, then the grace of the settings, and 50 ms on sockets. */
    private static final double ALLOWED_MS = 7000 + 1000 + 50;

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig();
        List<Double> arrivals = java.util.Collections.synchronizedList(new ArrayList<>());
        Engine a = new Engine(rig, "s-a", r -> {
            arrivals.add(rig.now());
            r.done(100);
        });
        Engine b = new Engine(rig, "s-b", r -> r.done(100));
        ChangeLog log = new ChangeLog(rig);
        log.add(a.member("head-office", "large-16", 0, "up"), b.member("head-office", "standard-12", 0, "up"));
        int port = rig.freePort();
        Path config = rig.tmp.resolve("config.json");
        Files.writeString(config, new Settings().text(port, log.address(), log.since(0)));
        Rig.FrontEnd frontEnd = rig.new FrontEnd("front-end", port, config, "");
        frontEnd.awaitReady();

        Client client = new Client(rig, "client", port);
        List<CompletableFuture<Client.Answer>> answers = new ArrayList<>();
        double drainsAt = Double.POSITIVE_INFINITY;
        for (int i = 0; i < 240; i++) { // 24 s
            if (i == 20 && Rig.TROUBLE) {
                rig.log("from now on the change log answers " + SLOW_MS + " ms late");
                log.answerDelayMs = SLOW_MS;
            }
            if (i == 60) {
                if (arrivals.isEmpty()) {
                    rig.end(2, "the engine got nothing before it drained");
                }
                drainsAt = rig.now();
                log.add(a.member("head-office", "large-16", 0, "draining"));
            }
            answers.add(client.call(Client.fields("lookup", "departures-main", 4000, 100), "select 1 from sales_" + i % 20 + ".orders"));
            rig.sleep(100);
        }
        for (CompletableFuture<Client.Answer> answer : answers) {
            answer.get(6, TimeUnit.SECONDS);
        }
        double limit = drainsAt + ALLOWED_MS;
        long late = arrivals.stream().filter(t -> t > limit).count();
        double last = arrivals.get(arrivals.size() - 1) - drainsAt;
        rig.log(String.format("the engine began to drain at %.0f, its last new request arrived %.0f ms later", drainsAt, last));
        rig.end(late > 0 ? 1 : 0, String.format("%d requests reached the draining engine over %.0f ms after it began to drain, the last"
                + " after %.0f ms", late, ALLOWED_MS, last));
    }
}
