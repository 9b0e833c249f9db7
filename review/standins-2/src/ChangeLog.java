import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A stand-in change log: long polls over HTTP/1.1, each answered once later events exist or its time is up. */
final class ChangeLog {
    private final Rig rig;
    private final ServerSocket server;
    /** Events in order, the first with number 1. */
    private final List<String> events = new ArrayList<>();
    /** How much later each answer leaves. */
    volatile long answerDelayMs;
    final AtomicInteger answersWritten = new AtomicInteger();

    ChangeLog(Rig rig) throws IOException {
        this.rig = rig;
        server = new ServerSocket(0, 100, Rig.LOOPBACK);
        daemon(this::accept);
    }

    static void daemon(Runnable task) {
        Thread t = new Thread(task, "standin");
        t.setDaemon(true);
        t.start();
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Adds an event with these members; the first one is the whole list. */
    synchronized void add(String... members) {
        int seq = events.size() + 1;
        events.add("{\"seq\":" + seq + ",\"fleet\":{\"revision\":" + seq + ",\"complete\":" + (seq == 1) + ",\"members\":["
                + String.join(",", members) + "]}}");
        rig.log("change log has event " + seq + ": " + String.join(",", members));
        notifyAll();
    }

    /** The events after a number, in the form of an answer and of the configuration's 'known'. */
    synchronized String since(int seq) {
        return "{\"seq\":" + events.size() + ",\"results\":[" + String.join(",", events.subList(Math.min(seq, events.size()),
                events.size())) + "]}";
    }

    private synchronized void awaitEvents(int seq, long timeoutMs) throws InterruptedException {
        long until = System.nanoTime() + timeoutMs * 1_000_000;
        while (events.size() <= seq && System.nanoTime() < until) {
            wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
        }
    }

    private void accept() {
        while (true) {
            try {
                Socket s = server.accept();
                daemon(() -> serve(s));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                String request = line;
                while (!in.readLine().isEmpty()) {
                    continue;
                }
                String query = request.split(" ")[1];
                int seq = Integer.parseInt(query.replaceAll(".*since=(\\d+).*", "$1"));
                long timeout = Long.parseLong(query.replaceAll(".*timeout=(\\d+).*", "$1"));
                awaitEvents(seq, timeout);
                Thread.sleep(answerDelayMs);
                String body = since(seq);
                rig.log("change log answers " + query + ", up to " + body.substring(0, body.indexOf(',')));
                socket.getOutputStream().write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                        + body.length() + "\r\n\r\n" + body).getBytes(StandardCharsets.US_ASCII));
                answersWritten.incrementAndGet();
            }
        } catch (IOException | InterruptedException | RuntimeException e) {
            rig.log("change log connection ended: " + e.getMessage());
        }
    }
}
