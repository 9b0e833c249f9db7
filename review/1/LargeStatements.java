import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Some bad clients send hundreds of requests at once, with long statements, and the same again as soon as they are turned away. The
 * front end must not end, and the usual clients beside them must get their answers.
 */
final class LargeStatements {
    private static final int USUAL = 10;
    private static final int USUAL_GAP_MS = 100;
    private static final double USUAL_TRY_MS = 3800;
    private static final int BAD = 6;
    /** With 32 requests on each, a bad client sends 320 requests at once. */
    private static final int CONNECTIONS_OF_A_BAD_CLIENT = 10;
    private static final int STATEMENT_BYTES = 60_000;
    private static final double BAD_TRY_MS = 14_000;
    /** A request that crosses a close within this time is sent again by its client. */
    private static final double CROSSING_MS = 50;
    /** Up to this time after its end a request may get its final answer, and the slack of the rules on sockets. */
    private static final double LATE_MS = 500 + 50;
    private static final double PLAY_MS = 40_000;
    private static volatile boolean over;

    private LargeStatements() { }

    public static void main(String[] args) throws Exception {
        Rig.run(args, LargeStatements::play);
    }

    private static boolean play(Rig rig) throws Exception {
        rig.startEngines(8, new Engine.Work() {
            @Override
            public double millis(String id, String queue, String statement) {
                return queue.equals("report") ? 3000 : 100;
            }

            @Override
            public byte[][] pages(String id, String queue, String statement) {
                return new byte[][] {"a\tb\tc\n".getBytes()};
            }
        });
        rig.configure(Site.lahore(Site.LAHORE_CLASSES));
        FrontEnd front = rig.startFrontEnd("n1");
        List<Client.Call> calls = new CopyOnWriteArrayList<>();
        for (int i = 0; i < USUAL; i++) {
            startUsual("usual-" + i, front, calls);
        }
        FrontEnd.pause(2000);
        for (int i = 0; rig.trouble && i < BAD * CONNECTIONS_OF_A_BAD_CLIENT; i++) {
            startBad("bad-" + i / CONNECTIONS_OF_A_BAD_CLIENT + "-" + i % CONNECTIONS_OF_A_BAD_CLIENT, front);
        }
        boolean ended = Rig.await(PLAY_MS, () -> !front.alive());
        over = true;
        FrontEnd.pause(ended ? 0 : USUAL_TRY_MS + LATE_MS);
        ended = !front.alive();
        front.recordLog();
        Map<String, Integer> answers = new TreeMap<>();
        int lost = 0;
        for (Client.Call call : calls) {
            boolean answered = call.answered() && call.answeredAt - call.sentAt <= call.limitMs + LATE_MS;
            boolean crossed = call.cutAt >= 0 && call.cutAt - call.sentAt <= CROSSING_MS;
            boolean stillInTime = !call.answered() && Record.now() - call.sentAt <= call.limitMs + LATE_MS;
            String what = answered ? call.answer : crossed ? "crossed a close" : call.cutAt >= 0 && !ended ? "lost: connection ended"
                    : stillInTime || call.cutAt >= 0 ? "open at the front end's end" : "lost: no answer in time";
            answers.merge(what, 1, Integer::sum);
            if (what.startsWith("lost")) {
                lost++;
                Record.line(what + ": " + call.client + " " + call.txn + ", sent at " + Math.round(call.sentAt) + ": " + call.answer
                        + (call.cutAt >= 0 ? " at " + Math.round(call.cutAt) : call.answered() ? " at " + Math.round(call.answeredAt)
                        : ""));
            }
        }
        double last = 0;
        double longest = 0;
        for (double at : calls.stream().filter(Client.Call::answered).mapToDouble(c -> c.answeredAt).sorted().toArray()) {
            longest = Math.max(longest, last == 0 ? 0 : at - last);
            last = at;
        }
        Record.say("requests of the usual clients: " + answers);
        Record.say("longest time between two answers to usual clients: " + Math.round(longest) + " ms");
        Record.say(ended ? "the front end has ended by itself, with exit code " + front.process.exitValue() : "the front end runs");
        return lost == 0 && !ended;
    }

    /** A client that asks for lookups, and reconnects when its connection ends. */
    private static void startUsual(String name, FrontEnd front, List<Client.Call> calls) {
        Engine.thread(name, () -> {
            while (!over) {
                try {
                    Client c = new Client(name, front.address);
                    while (!over && c.ended == null) {
                        if (c.open.size() < Client.MOST_OPEN) {
                            calls.add(c.call("lookup", "departures-main", USUAL_TRY_MS, 150, "SELECT a FROM sales_3.orders", Map.of()));
                        }
                        Thread.sleep(USUAL_GAP_MS);
                    }
                    Thread.sleep(over ? 6000 : 100);
                } catch (IOException e) { // the front end has closed the connection
                    Record.line("client " + name + ": " + e.getMessage());
                    Thread.sleep(100);
                }
            }
        });
    }

    /** One connection of a bad client: 32 reports at once, and one more as soon as one of them is answered. It reads all answers. */
    private static void startBad(String name, FrontEnd front) {
        String statement = "SELECT /* " + "x".repeat(STATEMENT_BYTES) + " */ a FROM sales_5.orders";
        Engine.thread(name, () -> {
            while (!over) {
                try {
                    Client c = new Client(name, front.address);
                    while (!over && c.ended == null) {
                        if (c.open.size() < Client.MOST_OPEN) {
                            c.call("report", "arrivals-counter", BAD_TRY_MS, 3000, statement, Map.of());
                        } else {
                            Thread.sleep(5);
                        }
                    }
                } catch (IOException e) { // the front end has closed the connection
                    Thread.sleep(20);
                }
            }
        });
    }
}
