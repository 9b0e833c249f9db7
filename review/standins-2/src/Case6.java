import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Sound clients have requests open, and bad clients send as many requests at once as a connection may have open, and the same again as
 * soon as they are turned away. Then a few sound clients more connect and send one request each, which the machine accepts. Does each of
 * these requests get its final answer in time?
 */
final class Case6 {
    private static final int SOCKETS = 256, BUSY_CLIENTS = 70, SOUND_CLIENTS = 10, BAD_CLIENTS = 50, AT_ONCE = 32;
    private static final long LIMIT_MS = 3200;
    /** Up to half a second after its time an answer only earns nothing. */
    private static final long LOST_AFTER_MS = LIMIT_MS + 500;

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig();
        Engine.Handler handler = r -> r.done(r.queue().equals("load") ? 6000 : 100);
        Engine a = new Engine(rig, "s-a", handler);
        Engine b = new Engine(rig, "s-b", handler);
        ChangeLog log = new ChangeLog(rig);
        log.add(a.member("head-office", "large-16", 0, "up"), b.member("head-office", "standard-12", 0, "up"));
        int port = rig.freePort();
        Path config = rig.tmp.resolve("config.json");
        Settings settings = new Settings();
        settings.sockets = SOCKETS;
        Files.writeString(config, settings.text(port, log.address(), log.since(0)));
        Rig.FrontEnd frontEnd = rig.new FrontEnd("front-end", port, config, "");
        frontEnd.awaitReady();

        List<Client> busy = new ArrayList<>();
        for (int i = 0; i < BUSY_CLIENTS; i++) { // with the others, less than a third of the descriptors
            Client c = new Client(rig, "busy-" + i, port);
            busy.add(c);
            c.call(Client.fields("load", "departures-main", 25000, 3000), "insert into sales_" + i + ".orders values (0)");
        }
        for (int i = 0; Rig.TROUBLE && i < BAD_CLIENTS; i++) {
            int number = i;
            ChangeLog.daemon(() -> badClient(rig, port, number));
        }
        rig.sleep(1000);
        List<CompletableFuture<Client.Answer>> answers = new ArrayList<>();
        List<Double> sentAt = new ArrayList<>();
        for (int i = 0; i < SOUND_CLIENTS; i++) {
            Client c = new Client(rig, "sound-" + i, port);
            sentAt.add(rig.now());
            answers.add(c.call(Client.fields("lookup", "arrivals-counter", LIMIT_MS, 100), "select " + i + " from sales_5.orders"));
            rig.sleep(50);
        }
        rig.sleep(LOST_AFTER_MS + 100);
        int lost = 0;
        for (int i = 0; i < SOUND_CLIENTS; i++) {
            // a new connection may be shut unread while clients fill the descriptors: one that has ended does not count
            lost += answers.get(i).isDone() && answers.get(i).get().at() <= sentAt.get(i) + LOST_AFTER_MS ? 0 : 1;
        }
        for (int waited = 0; waited < 250 && answers.stream().anyMatch(answer -> !answer.isDone()); waited++) {
            rig.sleep(100); // only for the record
        }
        rig.end(lost > 0 ? 1 : 0, lost + " of " + SOUND_CLIENTS + " sound requests had no final answer half a second after their time");
    }

    /** Sends its requests at once, reads what it is sent, and does the same again as soon as it is turned away. */
    private static void badClient(Rig rig, int port, int number) {
        while (true) {
            try {
                ByteArrayOutputStream all = new ByteArrayOutputStream();
                for (int n = 1; n <= AT_ONCE; n++) {
                    all.writeBytes(Client.callFrame(n, Client.fields("load", "departures-main", 25000, 3000),
                            "insert into sales_" + n + ".orders values (" + number + ")"));
                }
                try (Socket socket = new Socket(Rig.LOOPBACK, port)) {
                    socket.getOutputStream().write(all.toByteArray());
                    rig.log("bad-" + number + " has sent " + AT_ONCE + " requests at once");
                    InputStream in = socket.getInputStream();
                    byte[] answers = new byte[8192];
                    while (in.read(answers) >= 0) {
                        continue;
                    }
                }
                rig.log("bad-" + number + " is turned away");
            } catch (IOException e) {
                rig.log("bad-" + number + " is turned away: " + e.getMessage());
            }
        }
    }
}
