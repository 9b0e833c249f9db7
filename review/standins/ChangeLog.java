import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A stand-in for the change log, as PROTOCOL describes it: long polls for the events after a number. */
final class ChangeLog {
    private final ServerSocket server;
    private final List<String> events = new ArrayList<>();

    ChangeLog(List<Engine> engines) throws IOException {
        List<String> members = new ArrayList<>();
        engines.forEach(e -> members.add(member(e, "up", 0)));
        append(members, true);
        server = new ServerSocket();
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 64);
        Engine.thread("change-log", () -> {
            while (true) {
                Socket s = server.accept();
                Engine.thread("change-log-call", () -> serve(s));
            }
        });
    }

    static String member(Engine e, String phase, long since) {
        return "{\"id\":\"" + e.id + "\",\"host_port\":\"" + e.address() + "\",\"locality\":\"z1\",\"flavor\":\"k1\",\"cell\":1,\"phase\":\""
                + phase + "\",\"size\":1,\"up_since_ms\":" + since + "}";
    }

    synchronized void append(List<String> members, boolean complete) {
        int seq = events.size() + 1;
        events.add("{\"seq\":" + seq + ",\"fleet\":{\"revision\":" + seq + ",\"complete\":" + complete + ",\"members\":["
                + String.join(",", members) + "]}}");
        notifyAll();
    }

    synchronized String since(long n) {
        List<String> news = n >= events.size() ? List.of() : events.subList((int) n, events.size());
        return "{\"seq\":" + events.size() + ",\"results\":[" + String.join(",", news) + "]}";
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    private synchronized void await(long since, long ms) throws InterruptedException {
        long end = System.nanoTime() + ms * 1_000_000;
        while (events.size() <= since && System.nanoTime() < end) {
            wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
        }
    }

    private void serve(Socket s) throws IOException, InterruptedException {
        try (s) {
            s.setTcpNoDelay(true);
            BufferedReader in = new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.US_ASCII));
            for (String first = in.readLine(); first != null; first = in.readLine()) {
                for (String h = in.readLine(); h != null && !h.isEmpty(); h = in.readLine()) {
                    continue;
                }
                long since = number(first, "since=");
                await(since, Math.min(5000, number(first, "timeout=")));
                byte[] body = since(since).getBytes(StandardCharsets.US_ASCII);
                s.getOutputStream().write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length
                        + "\r\n\r\n" + new String(body, StandardCharsets.US_ASCII)).getBytes(StandardCharsets.US_ASCII));
            }
        }
    }

    private static long number(String line, String name) {
        return Long.parseLong(line.substring(line.indexOf(name) + name.length()).split("[^0-9]")[0]);
    }
}
