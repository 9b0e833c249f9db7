package quincespar.program;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import quincespar.program.clients.HealthClient;
import quincespar.settings.Settings;

/**
 * Training run for the class data archive: starts the front end on loopback, requests its health on both addresses, reloads the
 * configuration and shuts it down, which loads the classes that a start needs. The build runs it once so that the JVM can archive
 * them ({@code -XX:ArchiveClassesAtExit}); loading them takes a third of the processor time of a start on a fraction of a core.
 */
final class TrainingRun {
    private static final String CONFIGURATION = """
        {"name":"rehearsal","listen":"127.0.0.1:0","admin_addr":"127.0.0.1:%d","seed":"1","changelog":"127.0.0.1:9",
         "limits":{"cores":1,"memory_mb":128,"sockets":256},"known":{"seq":1,"results":[{"seq":1,"fleet":{"revision":1,
         "complete":true,"members":[{"id":"s-1","host_port":"127.0.0.1:9","phase":"up","size":4,"up_since_ms":0}]}}]},
         "settings":{"tick":1,"limits":{"maxAttempts":3,"cancelling":true},"reporting":{"how":"inline",
         "fields":["outstanding","utilization"]},"projects":[{"name":"shop","quotaPerS":100,"share":1}],"requestClasses":[
         {"name":"query","slo":800,"hardLimit":4000,"effect":"safe"},{"name":"load","slo":800,"hardLimit":4000,
         "effect":"unsafe"}]}}""";

    private TrainingRun() { }

    static void run() throws IOException, InterruptedException {
        int admin;
        try (java.net.ServerSocket free = new java.net.ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            admin = free.getLocalPort();
        }
        Path file = Files.createTempFile("rehearsal", ".json");
        try {
            Files.writeString(file, CONFIGURATION.formatted(admin));
            Settings settings = Settings.defaults();
            FrontEnd frontEnd = new FrontEnd(Map.of("GW_CONFIG", file.toString()), settings, Logs.start(settings));
            AtomicReference<Exception> failed = new AtomicReference<>();
            Thread running = new Thread(() -> {
                try {
                    frontEnd.run();
                } catch (IOException | InterruptedException e) {
                    failed.set(e);
                }
            });
            running.start();
            frontEnd.awaitServing();
            if (failed.get() == null) {
                HealthClient.query(new InetSocketAddress(InetAddress.getLoopbackAddress(), frontEnd.port()));
                requestMetrics(admin);
                frontEnd.requestReload();
                frontEnd.shutDown();
            }
            running.join();
            if (failed.get() != null) {
                throw new IOException(failed.get());
            }
        } finally {
            Files.delete(file);
        }
    }

    private static void requestMetrics(int admin) throws IOException {
        try (Socket s = new Socket(InetAddress.getLoopbackAddress(), admin)) {
            s.getOutputStream().write("GET /status/metrics HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            s.getInputStream().readAllBytes();
        }
    }
}
