package quincespar.program;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Map;
import quincespar.membership.PollTiming;
import quincespar.protocol.ChangeLogCodec;
import quincespar.program.runtime.Addresses;
import quincespar.protocol.Json;
import quincespar.routing.Bounds;
import quincespar.routing.RoutingSettings;
import quincespar.settings.Keyword;
import quincespar.settings.Settings;

/**
 * The configuration of a front end.
 *
 * @param admin the address of the status server; null for none
 * @param sockets the maximum number of descriptors
 * @param known the change log's events known when the file was written
 */
record Configuration(String name, InetSocketAddress listen, InetSocketAddress admin, String changeLog, long seed, int sockets,
        int memoryMb, RoutingSettings site, ChangeLogCodec.Changes known) {

    private static final int DEFAULT_SOCKETS = 256;
    private static final int DEFAULT_MEMORY_MB = 128;

    /** The bounds for these limits and the operators' settings. */
    Bounds bounds(Settings s) {
        return new Bounds(Math.max(1, (int) (sockets * s.number(Keyword.CLIENTS_DESCRIPTOR_SHARE) / 100)),
                DescriptorShares.busyClients(sockets), Bounds.maxRequestsFor(memoryMb),
                Bounds.maxRequestBytesFor(Runtime.getRuntime().maxMemory()),
                s.number(Keyword.CLIENTS_FIRST_REQUEST_TIMEOUT), s.number(Keyword.CLIENTS_IDLE_TIMEOUT),
                s.count(Keyword.LINKS_PER_ENGINE), s.count(Keyword.LINKS_REQUESTS_PER_LINK), s.number(Keyword.LINKS_PARTIAL_MESSAGE_TIMEOUT),
                new PollTiming((long) s.number(Keyword.CHANGE_LOG_LONG_POLL_WAIT), s.number(Keyword.CHANGE_LOG_ANSWER_SLACK),
                        s.number(Keyword.CHANGE_LOG_RETRY_DELAY), s.number(Keyword.CHANGE_LOG_MAX_RETRY_DELAY),
                        s.number(Keyword.CHANGE_LOG_MAX_UNREACHED_RETRY_DELAY),
                        s.number(Keyword.CHANGE_LOG_CONNECT_TIMEOUT), s.number(Keyword.CHANGE_LOG_MAX_HOLD),
                        s.number(Keyword.CHANGE_LOG_STALE_AFTER)));
    }

    /** Reads the file that {@code GW_CONFIG} names; throws {@link IllegalArgumentException} with a message of one line. */
    static Configuration read(Map<String, String> environment) {
        return read(environment, null).configuration();
    }

    /** As {@link #read(Map)}, but also checked against the current document; null at a start. */
    static ConfigurationCheck.Valid read(Map<String, String> environment, Map<String, Object> current) {
        String file = environment.get("GW_CONFIG");
        if (file == null || file.isEmpty()) {
            throw new IllegalArgumentException("GW_CONFIG is not set");
        }
        try {
            ConfigurationCheck.Result r = ConfigurationCheck.check(Files.readAllBytes(Path.of(file)), environment, current);
            if (r instanceof ConfigurationCheck.Valid valid) {
                return valid;
            }
            throw new IllegalArgumentException("configuration " + file + ": " + ((ConfigurationCheck.Invalid) r).line());
        } catch (NoSuchFileException | InvalidPathException e) {
            throw new IllegalArgumentException("can't read " + file + ": " + e.getMessage(), e);
        } catch (IOException e) {
            throw new ConfigurationIOException("can't read " + file + ": " + e.getMessage(), e);
        }
    }

    /** The configuration of a document; throws {@link IllegalArgumentException} if it is invalid. */
    static Configuration of(Map<String, Object> all, Map<String, String> environment, RoutingSettings site,
            ChangeLogCodec.Changes known) {
        Map<String, Object> limits = all.get("limits") == null ? Map.of() : Json.object(all.get("limits"), "limits");
        String listen = environment.getOrDefault("GW_LISTEN", String.valueOf(all.get("listen")));
        String admin = environment.getOrDefault("GW_ADMIN_ADDR",
                all.get("admin_addr") == null ? "" : Json.text(all.get("admin_addr"), "admin_addr"));
        String changeLog = Json.text(all.get("changelog"), "changelog");
        Addresses.parse(changeLog); // throws if it is not an address
        return new Configuration(environment.getOrDefault("GW_NAME", String.valueOf(all.get("name"))),
                Addresses.parse(listen), admin.isEmpty() ? null : Addresses.parse(admin), changeLog,
                Long.parseUnsignedLong(Json.text(all.get("seed"), "seed"), 16),
                limit(limits, "sockets", DEFAULT_SOCKETS), limit(limits, "memory_mb", DEFAULT_MEMORY_MB), site, known);
    }

    private static int limit(Map<String, Object> limits, String name, int defaultValue) {
        return limits.get(name) == null ? defaultValue : (int) Math.max(1, Json.number(limits.get(name), name));
    }
}
