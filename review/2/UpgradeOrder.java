import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Loads of one key, one taken by the old process and one by the new one of an upgrade. The second may be sent to an engine only
 * once the first is over.
 */
final class UpgradeOrder {
    private static final double LOAD_MS = 3000;
    /** A try is given up after 80 to 100 % of the class's 20 s. */
    private static final double TRY_MS = 18_000;
    /** What the rules on sockets add to each time limit. */
    private static final double SLACK_MS = 50;
    private static final int KEYS = 3;

    private UpgradeOrder() { }

    public static void main(String[] args) throws Exception {
        Rig.run(args, UpgradeOrder::play);
    }

    private static boolean play(Rig rig) throws Exception {
        rig.startEngines(6, new Engine.Work() {
            @Override
            public double millis(String id, String queue, String statement) {
                return queue.equals("sales-load") ? LOAD_MS : 250;
            }

            @Override
            public byte[][] pages(String id, String queue, String statement) {
                return new byte[][] {"a\tb\tc\n".getBytes()};
            }
        });
        rig.configure(Site.midlands());
        FrontEnd old = rig.startFrontEnd("old");
        // connections of before the upgrade, kept in use by other queries
        List<Client> before = new ArrayList<>();
        for (int i = 0; i < KEYS; i++) {
            Client c = new Client("before-" + i, old.address);
            before.add(c);
            Engine.thread("usual-" + i, () -> {
                for (int n = 0; n < 60 && c.ended == null; n++) {
                    c.call("balance-check", "phone-topup", 7000, 250, "SELECT a FROM sales_9.t", Map.of());
                    Thread.sleep(200);
                }
            });
        }
        FrontEnd.pause(1500);
        if (rig.trouble) {
            rig.startFrontEnd("new");
        }
        List<Client.Call> first = new ArrayList<>();
        for (int i = 0; i < KEYS; i++) {
            first.add(load(before.get(i), i, "sales_" + (3 + i)));
        }
        Rig.await(1000, () -> first.stream().noneMatch(c -> rig.runs(c).isEmpty()));
        if (rig.trouble) { // at the yes of the new process
            old.signal("TERM");
            Engine.thread("kill", () -> {
                FrontEnd.pause(5700); // the longest deadline (5 s at most) and 0.7 s
                if (old.alive()) {
                    old.signal("KILL");
                }
            });
        }
        FrontEnd.pause(500);
        List<Client.Call> second = new ArrayList<>();
        for (int i = 0; i < KEYS; i++) {
            second.add(load(new Client("after-" + i, old.address), i, "sales_" + (13 + i)));
        }
        int tooEarly = 0;
        for (int i = 0; i < KEYS; i++) {
            first.get(i).await(TRY_MS + 600);
            second.get(i).await(TRY_MS + 600);
            for (Engine.Run a : rig.runs(first.get(i))) {
                for (Engine.Run b : rig.runs(second.get(i))) {
                    boolean early = a.endedAt < 0 || b.startedAt + SLACK_MS < a.endedAt;
                    tooEarly += early ? 1 : 0;
                    Record.say("key " + i + ": first at " + a.engine + " from " + Math.round(a.startedAt) + " to " + Math.round(a.endedAt)
                            + " (" + a.end + "), second at " + b.engine + " from " + Math.round(b.startedAt)
                            + (early ? ", while the first was out" : ""));
                }
            }
            Record.say("key " + i + ": first " + first.get(i).answer + ", second " + second.get(i).answer);
        }
        old.recordLog();
        if (first.stream().anyMatch(c -> rig.runs(c).isEmpty())) {
            throw new IllegalStateException("a first load was never sent, so nothing can be judged");
        }
        return tooEarly == 0;
    }

    private static Client.Call load(Client client, int key, String schema) throws java.io.IOException {
        return client.call("sales-load", "energy-meters", TRY_MS, LOAD_MS, "INSERT INTO " + schema
                + ".t SELECT * FROM staging.batch", Map.of("item", "7f3a9c21e0b4d65" + key,
                "unique", "5c0f6e1a2b3d4c59a8b7c6d5" + Client.nextTxn().substring(8)));
    }
}
