package quincespar.program;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import quincespar.settings.Settings;

/** The metrics agree exactly with what scripted peers counted, once no request is open. */
@Timeout(60)
class MetricsTest {
    private final Map<String, Integer> counted = new HashMap<>();
    private ScriptedPeers.Engine engine;
    private int admin;
    private int port;
    private int asked;

    private void start(Path folder) throws Exception {
        engine = new ScriptedPeers.Engine();
        ScriptedPeers.ChangeLog changes = new ScriptedPeers.ChangeLog();
        port = ScriptedPeers.freePort();
        admin = ScriptedPeers.freePort();
        Path file = Files.writeString(folder.resolve("config.json"), """
            {"name":"n1","listen":"127.0.0.1:%d","admin_addr":"127.0.0.1:%d","seed":"1","limits":{"sockets":128},
             "changelog":"127.0.0.1:%d","known":{"seq":1,"results":[{"seq":1,"fleet":{"revision":1,"complete":true,
             "members":[{"id":"s-1","host_port":"127.0.0.1:%d","phase":"up","size":4},
             {"id":"s-2","host_port":"127.0.0.1:1","phase":"draining","size":4}]}}]},
             "settings":{"tick":1,"limits":{"cancelling":true,"maxAttempts":1,"maxStreams":100},
             "projects":[{"name":"acme","quotaPerS":500,"share":1}],"requestClasses":[
             {"name":"lookup","slo":2000,"hardLimit":4000,"effect":"safe","points":1},
             {"name":"load","slo":2000,"hardLimit":4000,"effect":"unsafe","points":1}]}}
            """.formatted(port, admin, changes.server.getLocalPort(), engine.server.getLocalPort()));
        FrontEnd frontEnd = new FrontEnd(Map.of("GW_CONFIG", file.toString()), Settings.defaults(),
                Logs.start(Settings.defaults()));
        Thread running = new Thread(() -> {
            try {
                frontEnd.run();
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
        running.setDaemon(true);
        running.start();
        ScriptedPeers.awaitReady(admin);
    }

    private Map<String, String> fields(String verb) {
        return Map.of("verb", verb, "txn", String.format("%016x", ++asked), "limit", "3000", "team", "acme", "cpu", "10.0",
                "heap_mb", "1");
    }

    /** Sends a request and waits for it at the engine. */
    private ScriptedPeers.Engine.Command sendToEngine(ScriptedPeers.Client c, String verb) throws Exception {
        c.call(1, fields(verb));
        ScriptedPeers.Engine.Command serve = engine.next("serve");
        counted.merge("sends", 1, Integer::sum);
        return serve;
    }

    /** Counts the client's answer: a result, Busy or Failed, by the field number in the frame. */
    private void countAnswer(ScriptedPeers.Client c, String verb) throws IOException {
        byte[] frame = c.frame(); // Thrift binary protocol: version and type, name, number, then the field's type and number
        int name = frame[7];
        int field = frame[8 + name + 4 + 2];
        counted.merge(verb + (field == 0 ? ".answered" : field == 1 ? ".deferred" : ".errored"), 1, Integer::sum);
    }

    private Map<String, String> metrics() throws IOException {
        try (Socket s = new Socket(InetAddress.getLoopbackAddress(), admin)) {
            s.getOutputStream().write("GET /status/metrics HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            Map<String, String> out = new HashMap<>();
            new String(s.getInputStream().readAllBytes(), StandardCharsets.UTF_8).lines().filter(l -> l.startsWith("gw_"))
                    .forEach(l -> out.put(l.substring(0, l.lastIndexOf(' ')), l.substring(l.lastIndexOf(' ') + 1)));
            return out;
        }
    }

    @Test
    void theMetricsAgreeWithWhatPeersCounted(@TempDir Path folder) throws Exception {
        start(folder);
        for (String verb : new String[] {"lookup", "load", "lookup"}) {
            try (ScriptedPeers.Client c = new ScriptedPeers.Client(port)) { // served
                ScriptedPeers.Engine.Command serve = sendToEngine(c, verb);
                serve.answer(serve.id(), "DONE", "count=1", "row\ta\tb\n");
                countAnswer(c, verb);
            }
            try (ScriptedPeers.Client c = new ScriptedPeers.Client(port)) { // an error of the only attempt: it may have run
                ScriptedPeers.Engine.Command serve = sendToEngine(c, verb);
                serve.answer(serve.id(), "BROKE", "-", "");
                countAnswer(c, verb);
            }
            try (ScriptedPeers.Client c = new ScriptedPeers.Client(port)) { // refused by the engine: it never ran
                ScriptedPeers.Engine.Command serve = sendToEngine(c, verb);
                serve.answer(serve.id(), "WAIT", "-", "");
                countAnswer(c, verb);
            }
            try (ScriptedPeers.Client c = new ScriptedPeers.Client(port)) { // a malformed answer
                sendToEngine(c, verb).raw("+nonsense\r\n");
                countAnswer(c, verb);
            }
            try (ScriptedPeers.Client c = new ScriptedPeers.Client(port)) { // a lost link
                sendToEngine(c, verb).from().close();
                countAnswer(c, verb);
            }
            try (ScriptedPeers.Client c = new ScriptedPeers.Client(port)) { // a client that disconnects: not counted
                sendToEngine(c, verb);
            }
            assertThat(engine.next("cancel")).isNotNull();
        }
        try (ScriptedPeers.Client c = new ScriptedPeers.Client(port)) { // open: accepted and not answered
            sendToEngine(c, "load");
            while (!metrics().get("gw_current").equals("1")) {
                ScriptedPeers.spin();
            }
        }
        while (!metrics().get("gw_current").equals("0")) {
            ScriptedPeers.spin();
        }
        Map<String, String> metrics = metrics();
        for (String verb : new String[] {"lookup", "load"}) {
            for (String state : new String[] {"answered", "deferred", "errored"}) {
                assertThat(metrics).containsEntry("gw_transactions_total{group=\"" + verb + "\",state=\"" + state + "\"}",
                        "" + counted.getOrDefault(verb + "." + state, 0));
            }
        }
        assertThat(metrics).containsEntry("gw_sends_total", "" + counted.get("sends")).containsEntry("gw_cluster_size", "2")
                .containsEntry("gw_cluster_unhealthy", "0").containsEntry("gw_conf_loaded_total", "0");
        assertThat(counted).containsKeys("lookup.answered", "lookup.deferred", "load.answered", "load.deferred", "load.errored");
    }
}
