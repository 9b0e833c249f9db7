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

/** What the front end is told at its start; {@code admin} is the second address, null where there is none. */
record Configuration(String name, InetSocketAddress listen, InetSocketAddress admin, String changeLog, long seed, int sockets,
        int memoryMb, RoutingSettings site, ChangeLogCodec.Changes known) {

    private static final int SOCKETS = 256;
    private static final int MEMORY_MB = 128;

    /** The bounds that fit these limits and the operators' settings. */
    Bounds bounds(Settings s) {
        return new Bounds(Math.max(1, (int) (sockets * s.number(Keyword.CLIENTS_DESCRIPTOR_SHARE) / 100)),
                Bounds.maxRequestsFor(memoryMb), s.number(Keyword.CLIENTS_FIRST_REQUEST_TIMEOUT),
                s.number(Keyword.CLIENTS_IDLE_TIMEOUT), s.count(Keyword.LINKS_PER_ENGINE),
                s.count(Keyword.LINKS_REQUESTS_PER_LINK), s.number(Keyword.LINKS_PARTIAL_MESSAGE_TIMEOUT),
                new PollTiming((long) s.number(Keyword.CHANGE_LOG_LONG_POLL_WAIT), s.number(Keyword.CHANGE_LOG_ANSWER_SLACK),
                        s.number(Keyword.CHANGE_LOG_RETRY_DELAY), s.number(Keyword.CHANGE_LOG_MAX_RETRY_DELAY),
                        s.number(Keyword.CHANGE_LOG_MAX_UNREACHED_RETRY_DELAY),
                        s.number(Keyword.CHANGE_LOG_CONNECT_TIMEOUT), s.number(Keyword.CHANGE_LOG_MAX_HOLD),
                        s.number(Keyword.CHANGE_LOG_STALE_AFTER)));
    }

    /** Reads the file that {@code GW_CONFIG} names; throws {@link IllegalArgumentException} in one plain line. */
    static Configuration read(Map<String, String> environment) {
        return read(environment, null).configuration();
    }

    /** As {@link #read(Map)}, held against the document in force, null at a start. */
    static ConfigurationCheck.Good read(Map<String, String> environment, Map<String, Object> inForce) {
        String file = environment.get("GW_CONFIG");
        if (file == null || file.isEmpty()) {
            throw new IllegalArgumentException("GW_CONFIG is not set");
        }
        try {
            ConfigurationCheck.Result r = ConfigurationCheck.check(Files.readAllBytes(Path.of(file)), environment, inForce);
            if (r instanceof ConfigurationCheck.Good good) {
                return good;
            }
            throw new IllegalArgumentException("configuration " + file + ": " + ((ConfigurationCheck.Bad) r).line());
        } catch (NoSuchFileException | InvalidPathException e) {
            throw new IllegalArgumentException("can't read " + file + ": " + e.getMessage(), e);
        } catch (IOException e) {
            throw new UnreadableException("can't read " + file + ": " + e.getMessage(), e);
        }
    }

    /** Of a document whose settings and known events have been read; throws {@link IllegalArgumentException}. */
    static Configuration of(Map<String, Object> all, Map<String, String> environment, RoutingSettings site,
            ChangeLogCodec.Changes known) {
        Map<String, Object> limits = all.get("limits") == null ? Map.of() : Json.object(all.get("limits"), "limits");
        String listen = environment.getOrDefault("GW_LISTEN", String.valueOf(all.get("listen")));
        String admin = environment.getOrDefault("GW_ADMIN_ADDR",
                all.get("admin_addr") == null ? "" : Json.text(all.get("admin_addr"), "admin_addr"));
        String changeLog = Json.text(all.get("changelog"), "changelog");
        Addresses.parse(changeLog); // complains where it is none
        return new Configuration(environment.getOrDefault("GW_NAME", String.valueOf(all.get("name"))),
                Addresses.parse(listen), admin.isEmpty() ? null : Addresses.parse(admin), changeLog,
                Long.parseUnsignedLong(Json.text(all.get("seed"), "seed"), 16),
                limit(limits, "sockets", SOCKETS), limit(limits, "memory_mb", MEMORY_MB), site, known);
    }

    private static int limit(Map<String, Object> limits, String name, int absent) {
        return limits.get(name) == null ? absent : (int) Math.max(1, Json.number(limits.get(name), name));
    }
}
