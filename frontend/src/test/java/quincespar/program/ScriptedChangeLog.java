package quincespar.program;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** A change log at two addresses for engines that are added and drained; it answers each poll with the events since. */
final class ScriptedChangeLog {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Length: ";
    final ServerSocket changeLog = ScriptedPeers.listen(this::play);
    /** The same change log at another address. */
    final ServerSocket moved = ScriptedPeers.listen(this::play);
    private final List<String> events = new ArrayList<>();
    private final Map<String, Long> drainedAt = new ConcurrentHashMap<>();

    ScriptedChangeLog() throws IOException { }

    static String member(String id, int port, String phase) {
        return "{\"id\":\"%s\",\"host_port\":\"127.0.0.1:%d\",\"phase\":\"%s\",\"size\":4}".formatted(id, port, phase);
    }

    /** Appends an event: an engine in this phase. */
    synchronized void append(String id, int port, String phase) {
        int seq = events.size() + 1;
        events.add("{\"seq\":%d,\"fleet\":{\"revision\":%d,\"complete\":%b,\"members\":[%s]}}".formatted(seq, seq, seq == 1,
                member(id, port, phase)));
        if (!phase.equals("up")) {
            drainedAt.putIfAbsent(id, System.nanoTime());
        }
        notifyAll();
    }

    /** The time from the event that reported this engine as draining to {@code at}; negative without such an event. */
    double msSinceDrain(String id, long at) {
        Long reportedAt = drainedAt.get(id);
        return reportedAt == null ? -1 : (at - reportedAt) / 1e6;
    }

    /** The events since this number, in the form of the configuration and of answers. */
    synchronized String since(long seq) {
        List<String> newEvents = events.subList((int) Math.min(seq, events.size()), events.size());
        return "{\"seq\":" + events.size() + ",\"results\":[" + String.join(",", newEvents) + "]}";
    }

    private synchronized String answer(long seq, long waitMs) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs);
        for (long left = waitMs; events.size() <= seq && left > 0;
                left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime())) {
            wait(left);
        }
        return since(seq);
    }

    private void play(Socket s) throws IOException {
        BufferedReader in = new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.US_ASCII));
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            String[] numbers = line.replaceAll("[^0-9]+", " ").strip().split(" ");
            while (!line.isEmpty()) {
                line = in.readLine();
            }
            try {
                String body = answer(Long.parseLong(numbers[0]), Long.parseLong(numbers[1]));
                s.getOutputStream().write((HEAD + body.length() + "\r\n\r\n" + body).getBytes(StandardCharsets.US_ASCII));
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
