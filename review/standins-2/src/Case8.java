import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two bad clients have requests at the engines, then send some hundreds more at once. The engines turn the first ones away as full
 * meanwhile. Are sound clients still served once the bad clients have gone and the engines are idle?
 */
final class Case8 {
    private static final String BAD = "select 'bad' from sales_3.orders";
    private static final String SOUND = "select 'sound' from sales_5.orders";
    private static final int BAD_CLIENTS = 2, OPEN_FIRST = 24, AT_ONCE = 800;
    private static final long JUDGED_MS = 20_000;

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig();
        AtomicInteger arrived = new AtomicInteger();
        Engine.Handler handler = r -> {
            arrived.incrementAndGet();
            if (r.statement.equals(BAD)) {
                r.answer(700, "WAIT", "-", ""); // full: its time in the line for memory is over
            } else {
                r.done(500);
            }
        };
        Engine a = new Engine(rig, "s-a", handler);
        Engine b = new Engine(rig, "s-b", handler);
        ChangeLog log = new ChangeLog(rig);
        log.add(a.member("head-office", "large-16", 0, "up"), b.member("head-office", "standard-12", 0, "up"));
        int port = rig.freePort();
        Path config = rig.tmp.resolve("config.json");
        Files.writeString(config, new Settings().text(port, log.address(), log.since(0)));
        Rig.FrontEnd frontEnd = rig.new FrontEnd("front-end", port, config, "");
        frontEnd.awaitReady();

        int before = sound(rig, port, 2000);
        if (before == 0) {
            rig.end(2, "no sound request was served at first");
        }
        badClients(rig, port);
        rig.log("the bad clients have gone");
        rig.sleep(5000);
        int open = a.connections.stream().mapToInt(c -> c.open.size()).sum() + b.connections.stream().mapToInt(c -> c.open.size()).sum();
        rig.log("open at the engines: " + open);
        int arrivedBefore = arrived.get();
        int served = sound(rig, port, JUDGED_MS);
        rig.log("ready by its own word: " + frontEnd.ready());
        String result = "of the sound requests in " + JUDGED_MS / 1000 + " s " + served + " were served, and the idle engines got "
                + (arrived.get() - arrivedBefore);
        rig.end(served == 0 ? 1 : 0, result);
    }

    /** Some clients have requests running, send hundreds more at once, read their answers, and leave. */
    private static void badClients(Rig rig, int port) throws Exception {
        List<Client> bad = new ArrayList<>();
        for (int i = 0; i < BAD_CLIENTS; i++) {
            Client c = new Client(rig, "bad-" + i, port);
            bad.add(c);
            for (int n = 0; n < OPEN_FIRST; n++) {
                c.call(Client.fields("lookup", "departures-main", 4000, 150), BAD);
            }
        }
        rig.sleep(300);
        if (Rig.TROUBLE) {
            for (Client c : bad) {
                rig.log(c.name + " sends " + AT_ONCE + " requests at once");
                java.io.ByteArrayOutputStream all = new java.io.ByteArrayOutputStream();
                for (int n = 0; n < AT_ONCE; n++) {
                    all.writeBytes(Client.callFrame(c.nextSeqid(), Client.fields("lookup", "departures-main", 4000, 150), BAD));
                }
                c.write(all.toByteArray());
            }
        }
        rig.sleep(4500);
        for (Client c : bad) {
            c.close();
        }
    }

    /** Sends a sound request every 100 ms; how many were served. */
    private static int sound(Rig rig, int port, long ms) throws Exception {
        List<CompletableFuture<Client.Answer>> answers = new ArrayList<>();
        Client client = new Client(rig, "sound", port);
        for (long t = 0; t < ms; t += 100) {
            answers.add(client.call(Client.fields("lookup", "arrivals-counter", 4000, 150), SOUND));
            rig.sleep(100);
        }
        int served = 0;
        for (CompletableFuture<Client.Answer> answer : answers) {
            served += answer.get(6, TimeUnit.SECONDS).kind().equals("SERVED") ? 1 : 0;
        }
        client.close();
        return served;
    }
}
