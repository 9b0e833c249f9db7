package quincespar.faultbench.world;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A stand-in for the change log service. Answers each long poll with the changes after its sequence number, or with none at its
 * timeout. It can stop answering, and can restart from an older list.
 */
public final class StandInChangeLog implements AutoCloseable {
    private static final int POLL_MS = 20, FIRST_SEQUENCE = 1;

    private final ServerSocket server = Sockets.listen();
    private final List<String> events = new ArrayList<>();
    private volatile boolean silent;

    /** Starts to listen and answer. */
    public StandInChangeLog() throws IOException {
        Sockets.serve(server, "change-log", this::serveConnection);
    }

    /** The port that it listens on. */
    public int port() {
        return server.getLocalPort();
    }

    /** Stops answering, or resumes. */
    public void setSilent(boolean now) {
        silent = now;
    }

    /** Appends a change of members, given as JSON objects. */
    public synchronized void append(String members) {
        int seq = FIRST_SEQUENCE + events.size() + 1;
        events.add("{\"seq\":" + seq + ",\"fleet\":{\"revision\":" + seq + ",\"complete\":false,\"members\":[" + members + "]}}");
    }

    /** Simulates a restart from an older list: drops all appended changes. */
    public synchronized void forgetChanges() {
        events.clear();
    }

    private synchronized String body(long since) {
        int known = (int) Math.max(0, since - FIRST_SEQUENCE);
        List<String> news = known >= events.size() ? List.of() : events.subList(known, events.size());
        return "{\"seq\":" + Math.max(since, FIRST_SEQUENCE + events.size()) + ",\"results\":[" + String.join(",", news) + "]}";
    }

    private synchronized boolean hasChangesSince(long since) {
        return FIRST_SEQUENCE + events.size() > since;
    }

    private static long numberAfter(String line, String name) {
        int at = line.indexOf(name + "=");
        return at < 0 ? 0 : Long.parseLong(line.substring(at + name.length() + 1).split("[^0-9]")[0]);
    }

    private void serveConnection(Socket s) throws IOException {
        BufferedReader in = new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.US_ASCII));
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            long since = numberAfter(line, "since");
            long end = System.nanoTime() + numberAfter(line, "timeout") * 1_000_000;
            while (!line.isEmpty()) {
                line = in.readLine();
            }
            try {
                while (silent || !hasChangesSince(since) && System.nanoTime() < end) {
                    Thread.sleep(POLL_MS);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
            byte[] body = body(since).getBytes(StandardCharsets.US_ASCII);
            s.getOutputStream().write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n").getBytes(
                    StandardCharsets.US_ASCII));
            s.getOutputStream().write(body);
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
