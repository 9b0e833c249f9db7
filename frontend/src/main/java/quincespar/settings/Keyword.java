package quincespar.settings;

import java.util.Arrays;
import java.util.List;

/**
 * The settings of the operators' file, in the order in which {@code conf --defaults} prints them, each with its block,
 * key, type, default, range and description. The block and the key are the setting's name in the file.
 */
public enum Keyword {
    LOG_FORMAT("log", "format", Type.CHOICE, "text", "text|json",
            "Writes log lines as text, or as one JSON object per line."),
    LOG_LEVEL("log", "level", Type.CHOICE, "info", "error|warn|info|debug",
            "Lowest level that is logged."),
    LOG_QUEUE_LENGTH("log", "queue", Type.COUNT, "1024", 16, 65_536,
            "Log lines that can wait for the writer. Further lines are dropped and counted, because logging never blocks."),
    REPORT_INTERVAL("report", "every", Type.TIME, "0ms", 0, 86_400_000,
            "Interval at which the counters are logged; 0 turns this off."),
    CLIENTS_FIRST_REQUEST_TIMEOUT("clients", "first-word", Type.TIME, "2s", 100, 3_600_000,
            "Closes a client's connection that has not sent a complete request within this time."),
    CLIENTS_IDLE_TIMEOUT("clients", "idle", Type.TIME, "2500ms", 100, 86_400_000,
            "Closes a client's connection that has had no open request for this time."),
    CLIENTS_DESCRIPTOR_SHARE("clients", "share", Type.PERCENT, "38%", 1, 45,
            "Share of the file descriptors for clients' connections. A new connection beyond it closes an idle one."),
    CLIENTS_MESSAGE_RATE("clients", "messages", Type.COUNT, "50", 1, 1_000_000,
            "Messages per second of one connection, and 128 at once after a rest. Requests that are served do not count. What a"
            + " client sends beyond that is taken from shared-messages, and else read later."),
    CLIENTS_SHARED_MESSAGE_RATE("clients", "shared-messages", Type.COUNT, "1000", 1, 1_000_000,
            "Messages per second of all connections together, beyond what each may send of its own."),
    LINKS_PER_ENGINE("links", "per-engine", Type.COUNT, "8", 1, 1000,
            "Maximum number of connections to one engine."),
    LINKS_REQUESTS_PER_LINK("links", "shared", Type.COUNT, "8", 1, 1000,
            "Requests on one connection before another is opened to the engine. A malformed reply fails all requests on"
            + " its connection."),
    LINKS_PARTIAL_MESSAGE_TIMEOUT("links", "midway", Type.TIME, "500ms", 10, 60_000,
            "Closes a connection to an engine if a message that has begun is not complete within this time."),
    CHANGE_LOG_LONG_POLL_WAIT("change-log", "wait", Type.TIME, "1s", 100, 5000,
            "How long the change log may hold a request while there are no changes (long polling)."),
    CHANGE_LOG_ANSWER_SLACK("change-log", "slack", Type.TIME, "1s", 100, 10_000,
            "Additional time for the answer to arrive before another request follows."),
    CHANGE_LOG_RETRY_DELAY("change-log", "pause", Type.TIME, "50ms", 10, 10_000,
            "Retry delay after the first failure; it doubles with each further failure."),
    CHANGE_LOG_MAX_RETRY_DELAY("change-log", "longest-pause", Type.TIME, "1s", 10, 60_000,
            "Maximum retry delay."),
    CHANGE_LOG_MAX_UNREACHED_RETRY_DELAY("change-log", "unreached-pause", Type.TIME, "250ms", 10, 60_000,
            "Maximum retry delay after failed connects, which put no load on the change log."),
    CHANGE_LOG_CONNECT_TIMEOUT("change-log", "connect", Type.TIME, "400ms", 10, 60_000,
            "Timeout of a connect; it doubles after each timeout."),
    CHANGE_LOG_MAX_HOLD("change-log", "hold", Type.TIME, "5s", 10, 3_600_000,
            "Longest time for which new requests are held back when failing system calls on this machine keep it from asking"
            + " the change log for longer than the grace period of draining engines."),
    CHANGE_LOG_STALE_AFTER("change-log", "stale-after", Type.TIME, "10s", 1000, 3_600_000,
            "Logs the engine list as stale after this time without a complete answer; the list stays in use."),
    CAPTURE_FOLDER("capture", "folder", Type.TEXT, "",
            "Folder for capture segments, which record all inputs and decisions of the decision module. With \"\""
            + " nothing is captured."),
    CAPTURE_SEGMENT_SIZE("capture", "segment", Type.SIZE, "16m", 65_536, 1L << 34,
            "Size at which a segment is closed."),
    CAPTURE_SEGMENT_DURATION("capture", "every", Type.TIME, "10m", 1000, 86_400_000,
            "Longest duration of a segment; each begins with the state of the decision module."),
    CAPTURE_TOTAL_SIZE("capture", "total", Type.SIZE, "256m", 131_072, 1L << 40,
            "Total size of the segments of one instance name, at least two segments. The oldest are deleted first."),
    CAPTURE_RETENTION("capture", "keep", Type.TIME, "24h", 1000, 8_640_000_000.0,
            "Deletes a segment this long after its end."),
    CAPTURE_FLUSH_INTERVAL("capture", "flush", Type.TIME, "500ms", 10, 60_000,
            "Interval at which captured data is flushed to the operating system; a kill loses at most this much."),
    CAPTURE_QUEUE_LENGTH("capture", "ring", Type.COUNT, "1024", 64, 1_000_000,
            "Calls that can wait for the capture writer. Further calls are not captured but counted, because the"
            + " decision module never blocks."),
    FLEET_VOTERS("fleet", "voters", Type.TEXT, "",
            "Voting instances as \"n1=10.0.0.1:7000,n2=...\": 1, 3 or 5 of them; all others are followers. With \"\" the"
            + " fleet is disabled and none of its code is loaded."),
    FLEET_GROUP("fleet", "group", Type.TEXT, "quincespar",
            "Name of the fleet; messages of instances of another fleet are ignored."),
    FLEET_VOTER_ADDRESS_OVERRIDES("fleet", "via", Type.TEXT, "",
            "Addresses of voters that this instance reaches at a different address, in the format of voters."),
    FLEET_RENEW_INTERVAL("fleet", "renew", Type.TIME, "500ms", 20, 60_000,
            "Interval at which an instance renews its session; also the longest delay before followers see a change."),
    FLEET_SUSPECT_AFTER("fleet", "suspect", Type.TIME, "2s", 100, 600_000,
            "Suspects an instance after this time without a renewal; it still counts as a member."),
    FLEET_GONE_AFTER("fleet", "gone", Type.TIME, "6s", 200, 3_600_000,
            "Removes an instance after this time without a renewal; it can rejoin only as a new incarnation."),
    FLEET_ELECTION_TIMEOUT("fleet", "election", Type.TIME, "400ms", 50, 60_000,
            "Minimum election timeout: a voter that has not heard a leader for this time, or randomly up to twice as"
            + " long, starts an election."),
    FLEET_SHARE_GROWTH_DELAY("fleet", "hold", Type.TIME, "10s", 1000, 3_600_000,
            "How long a smaller number of front ends must be known before each takes a larger share of the engines."),
    FLEET_REGISTER_WRITES("fleet", "writes", Type.CHOICE, "off", "off|on",
            "Whether registers can be written through the admin address."),
    FLEET_LIBRARY("fleet", "library", Type.TEXT, "",
            "Path of the agreement library's jar; with \"\" quincespar-agreement.jar in the folder of the program's jar."),
    RECOVERY_ENABLED("recovery", "use", Type.CHOICE, "off", "off|on",
            "Whether a start is treated as a recovery from a loss of power unless other instances are known to have survived"
            + " it."),
    RECOVERY_PERSIST_LOADS("recovery", "loads", Type.CHOICE, "on", "on|off",
            "Whether a request that must not run twice is recorded on disk before it is sent."),
    RECOVERY_READ_TIMEOUT("recovery", "reading", Type.TIME, "2s", 100, 600_000,
            "How long to wait for the state on disk to be read; no requests are sent until then."),
    RECOVERY_MAJORITY_TIMEOUT("recovery", "finding", Type.TIME, "5s", 100, 600_000,
            "How long to wait for a majority of the fleet before the instance recovers alone."),
    RECOVERY_AGREEMENT_TIMEOUT("recovery", "agreeing", Type.TIME, "4s", 100, 600_000,
            "How long other instances have to show that they survived the loss of power; after that all engines count as"
            + " cold."),
    RECOVERY_CHANGE_LOG_TIMEOUT("recovery", "probing", Type.TIME, "3s", 100, 600_000,
            "How long to wait for the first complete answer of the change log."),
    RECOVERY_CLASS_INTERVAL("recovery", "step", Type.TIME, "1s", 10, 600_000,
            "Interval between the request classes that are admitted again: cheap classes first, loads last."),
    RECOVERY_RETRY_SPREAD("recovery", "spread", Type.TIME, "2s", 0, 600_000,
            "Spreads the retries of requests that are refused during recovery over this time."),
    RECOVERY_SURVIVED_AFTER("recovery", "stood", Type.TIME, "30s", 1000, 86_400_000,
            "An instance that has served for this time and is alive counts as a survivor; at least as long as engines"
            + " are cold."),
    STATE_FOLDER("state", "folder", Type.TEXT, "",
            "Folder for the state that must survive a kill, on a durable disk and not shared with another instance. With"
            + " \"\" nothing is kept, and the instance can't vote."),
    STATE_SIZE_LIMIT("state", "total", Type.SIZE, "64m", 1 << 20, 1L << 40,
            "Size of the state folder above which a warning is logged.");

    /** Type of a value, which determines how it is written. */
    public enum Type {
        /** An integer. */
        COUNT("a whole number"),
        /** Milliseconds, written with ms, s, m or h. */
        TIME("a time such as 250ms, 2s, 5m or 1h"),
        /** A percentage. */
        PERCENT("a percentage such as 38%"),
        /** Bytes, written with k, m or g. */
        SIZE("a size such as 64k, 16m or 1g"),
        /** Any text. */
        TEXT("a text, in double quotes if it contains blanks"),
        /** One of a list of words. */
        CHOICE("one of");

        final String wording;

        Type(String wording) {
            this.wording = wording;
        }
    }

    final String block;
    final String key;
    final Type type;
    final String defaultText;
    final double min;
    final double max;
    final List<String> choices;
    final String description;

    Keyword(String block, String key, Type type, String defaultText, String description) {
        this(block, key, type, defaultText, 0, 0, List.of(), description);
    }

    Keyword(String block, String key, Type type, String defaultText, String choices, String description) {
        this(block, key, type, defaultText, 0, 0, List.of(choices.split("\\|")), description);
    }

    Keyword(String block, String key, Type type, String defaultText, double min, double max, String description) {
        this(block, key, type, defaultText, min, max, List.of(), description);
    }

    Keyword(String block, String key, Type type, String defaultText, double min, double max, List<String> choices,
            String description) {
        this.block = block;
        this.key = key;
        this.type = type;
        this.defaultText = defaultText;
        this.min = min;
        this.max = max;
        this.choices = choices;
        this.description = description;
    }

    /** Whether the value is a number with a range. */
    boolean isQuantity() {
        return type != Type.CHOICE && type != Type.TEXT;
    }

    static List<String> blocks() {
        return Arrays.stream(values()).map(k -> k.block).distinct().toList();
    }

    static List<Keyword> in(String block) {
        return Arrays.stream(values()).filter(k -> k.block.equals(block)).toList();
    }

    /** The default as it is written in a file. */
    String written() {
        return defaultText.isEmpty() ? "\"\"" : defaultText;
    }

    /** Describes the form of a valid value. */
    String expected() {
        return type == Type.CHOICE ? type.wording + " " + String.join(", ", choices) : type.wording;
    }

    /** Describes the range in the setting's unit. */
    String range() {
        return write(min) + " to " + write(max);
    }

    private String write(double n) {
        return switch (type) {
            case TIME -> Quantity.time(n);
            case PERCENT -> Math.round(n) + "%";
            case SIZE -> Quantity.size(n);
            default -> Long.toString(Math.round(n));
        };
    }
}
