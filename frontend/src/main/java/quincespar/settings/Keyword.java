package quincespar.settings;

import java.util.Arrays;
import java.util.List;

/** All that can be set, in the order in which it is printed: one line each, with unit, range, default and description. */
public enum Keyword {
    /** How log lines are written. */
    LOG_FORMAT("log", "format", Type.CHOICE, "text", "text|json", "Log lines as text, or as one JSON object each."),
    /** The least level that is logged. */
    LOG_LEVEL("log", "level", Type.CHOICE, "info", "error|warn|info|debug", "The least level that is logged."),
    /** Log lines that wait for the writer. */
    LOG_QUEUE_LENGTH("log", "queue", Type.COUNT, "1024", 16, 65_536,
            "Log lines that may wait to be written; more are dropped and counted, as no log call waits."),
    /** How often counters go to the log. */
    REPORT_INTERVAL("report", "every", Type.TIME, "0ms", 0, 86_400_000,
            "How often the counters go to the log; 0 is never."),
    /** Time for the first whole request. */
    CLIENTS_FIRST_REQUEST_TIMEOUT("clients", "first-word", Type.TIME, "2s", 100, 3_600_000,
            "A client that has sent no whole request by then is closed."),
    /** Time with nothing open. */
    CLIENTS_IDLE_TIMEOUT("clients", "idle", Type.TIME, "2500ms", 100, 86_400_000,
            "A client's connection with nothing open for so long is closed."),
    /** Clients' part of the descriptors. */
    CLIENTS_DESCRIPTOR_SHARE("clients", "share", Type.PERCENT, "38%", 1, 45,
            "The clients' part of the descriptors; one more than that, and one that is idle makes room."),
    /** Links to one engine. */
    LINKS_PER_ENGINE("links", "per-engine", Type.COUNT, "8", 1, 1000, "Connections to one engine at the most."),
    /** Requests that share a link. */
    LINKS_REQUESTS_PER_LINK("links", "shared", Type.COUNT, "8", 1, 1000,
            "Requests that share a connection while the engine may have another: a spoilt answer takes them all."),
    /** Time for the rest of a message. */
    LINKS_PARTIAL_MESSAGE_TIMEOUT("links", "midway", Type.TIME, "500ms", 10, 60_000,
            "An engine's message that has begun and is not whole by then ends its connection."),
    /** How long a question may wait. */
    CHANGE_LOG_LONG_POLL_WAIT("change-log", "wait", Type.TIME, "1s", 100, 5000,
            "How long the change log may hold back its answer while there is no news."),
    /** How much later an answer may come. */
    CHANGE_LOG_ANSWER_SLACK("change-log", "slack", Type.TIME, "1s", 100, 10_000,
            "How much later than that an answer may come before the question counts as lost."),
    /** The first pause. */
    CHANGE_LOG_RETRY_DELAY("change-log", "pause", Type.TIME, "50ms", 10, 10_000, "The pause after a first failure; it doubles."),
    /** The longest pause. */
    CHANGE_LOG_MAX_RETRY_DELAY("change-log", "longest-pause", Type.TIME, "1s", 10, 60_000, "The longest such pause."),
    /** The longest pause after a question that was not sent. */
    CHANGE_LOG_MAX_UNREACHED_RETRY_DELAY("change-log", "unreached-pause", Type.TIME, "250ms", 10, 60_000,
            "The longest such pause where no connection could be had, which costs the change log nothing."),
    /** How long a connection may take. */
    CHANGE_LOG_CONNECT_TIMEOUT("change-log", "connect", Type.TIME, "400ms", 10, 60_000,
            "How long a connection may take to come up; it doubles with each that took longer."),
    /** How long nothing is sent. */
    CHANGE_LOG_MAX_HOLD("change-log", "hold", Type.TIME, "5s", 10, 3_600_000,
            "Nothing new is sent for so long at the most where this machine's own failing calls keep it from asking beyond the grace"
            + " of servers that drain."),
    /** When a list is stale. */
    CHANGE_LOG_STALE_AFTER("change-log", "stale-after", Type.TIME, "10s", 1000, 3_600_000,
            "With no whole answer for so long the list is logged as stale; it stays in use."),
    /** Where captures go. */
    CAPTURE_FOLDER("capture", "folder", Type.TEXT, "",
            "All that the module is told and decides is written to segments in this folder; with \"\" nothing is."),
    /** Where a segment ends. */
    CAPTURE_SEGMENT_SIZE("capture", "segment", Type.SIZE, "16m", 65_536, 1L << 34, "A segment of so many bytes is full."),
    /** How long a segment lasts. */
    CAPTURE_SEGMENT_DURATION("capture", "every", Type.TIME, "10m", 1000, 86_400_000,
            "A segment ends after so long at the latest; each begins with the module's state."),
    /** What all segments hold. */
    CAPTURE_TOTAL_SIZE("capture", "total", Type.SIZE, "256m", 131_072, 1L << 40,
            "All segments of one name hold so many bytes at the most, two segments at the least: the oldest go."),
    /** How long segments are kept. */
    CAPTURE_RETENTION("capture", "keep", Type.TIME, "24h", 1000, 8_640_000_000.0,
            "A segment goes so long after its end."),
    /** When what was written is safe. */
    CAPTURE_FLUSH_INTERVAL("capture", "flush", Type.TIME, "500ms", 10, 60_000,
            "How often what was written is handed to the system: so much is lost at the most by a kill."),
    /** Calls that wait for the writer. */
    CAPTURE_QUEUE_LENGTH("capture", "ring", Type.COUNT, "1024", 64, 1_000_000,
            "Calls that may wait for the writer; more are lost and counted, as the module never waits."),
    /** Who votes. */
    FLEET_VOTERS("fleet", "voters", Type.TEXT, "",
            "The instances that vote, as \"n1=10.0.0.1:7000,n2=...\": 1, 3 or 5 of them; all others follow. With \"\" there"
            + " is no fleet, and nothing of it is loaded."),
    /** The fleet's name. */
    FLEET_GROUP("fleet", "group", Type.TEXT, "quincespar", "The fleet's name: another fleet's instances have no say here."),
    /** Where voters are reached from here. */
    FLEET_VOTER_ADDRESS_OVERRIDES("fleet", "via", Type.TEXT, "",
            "Voters that are reached at another address from here, in the form of voters."),
    /** How often a session is renewed. */
    FLEET_RENEW_INTERVAL("fleet", "renew", Type.TIME, "500ms", 20, 60_000,
            "How often an instance says that it lives; news reach followers so late at the most."),
    /** When an instance is suspected. */
    FLEET_SUSPECT_AFTER("fleet", "suspect", Type.TIME, "2s", 100, 600_000,
            "An instance not heard of for so long is suspected; it still counts."),
    /** When an instance is gone. */
    FLEET_GONE_AFTER("fleet", "gone", Type.TIME, "6s", 200, 3_600_000,
            "An instance not heard of for so long is gone: it counts no more, and returns as another life."),
    /** When voters look for a leader. */
    FLEET_ELECTION_TIMEOUT("fleet", "election", Type.TIME, "400ms", 50, 60_000,
            "A voter that has heard no leader for so long, up to twice as long by chance, asks to be one."),
    /** How long shares stay small. */
    FLEET_SHARE_GROWTH_DELAY("fleet", "hold", Type.TIME, "10s", 1000, 3_600_000,
            "Fewer front ends must have been known for so long before each takes a larger share of the engines."),
    /** Whether registers may be written from outside. */
    FLEET_REGISTER_WRITES("fleet", "writes", Type.CHOICE, "off", "off|on",
            "Whether registers may be written through the second address."),
    /** Where the library is. */
    FLEET_LIBRARY("fleet", "library", Type.TEXT, "",
            "The jar that holds the agreement; with \"\" quincespar-agreement.jar beside the program's own."),
    /** Whether a return from a loss of power is looked for. */
    RECOVERY_ENABLED("recovery", "use", Type.CHOICE, "off", "off|on",
            "Whether a start is taken for a return from a loss of power unless others are known to have stood through it."),
    /** Whether loads wait for the disk. */
    RECOVERY_PERSIST_LOADS("recovery", "loads", Type.CHOICE, "on", "on|off",
            "Whether what may not run twice goes out only once it is on disk that it may run."),
    /** Time for the folder. */
    RECOVERY_READ_TIMEOUT("recovery", "reading", Type.TIME, "2s", 100, 600_000,
            "How long what was kept is waited for; until then nothing is sent."),
    /** Time for a majority. */
    RECOVERY_MAJORITY_TIMEOUT("recovery", "finding", Type.TIME, "5s", 100, 600_000,
            "How long a majority of the fleet is waited for, before an instance returns alone."),
    /** Time until it is clear who stood. */
    RECOVERY_AGREEMENT_TIMEOUT("recovery", "agreeing", Type.TIME, "4s", 100, 600_000,
            "How long others may take to show that they stood through it; else all engines count as cold."),
    /** Time for the change log. */
    RECOVERY_CHANGE_LOG_TIMEOUT("recovery", "probing", Type.TIME, "3s", 100, 600_000,
            "How long the change log's first whole answer is waited for."),
    /** Time between classes. */
    RECOVERY_CLASS_INTERVAL("recovery", "step", Type.TIME, "1s", 10, 600_000,
            "The time between one class of requests that goes again and the next: cheap ones first, loads last."),
    /** Over which clients come back. */
    RECOVERY_RETRY_SPREAD("recovery", "spread", Type.TIME, "2s", 0, 600_000,
            "Those who are turned away meanwhile are told to come back over so long, not all at once."),
    /** When somebody has stood. */
    RECOVERY_SURVIVED_AFTER("recovery", "stood", Type.TIME, "30s", 1000, 86_400_000,
            "Whoever has served for so long, and still lives, has stood through the loss; at least as long as engines are cold."),
    /** The durable folder. */
    STATE_FOLDER("state", "folder", Type.TEXT, "",
            "Where this instance keeps what must be there after a kill: a lasting disk, a folder of its own. With \"\" it"
            + " keeps nothing, and can't vote."),
    /** What the folder may hold. */
    STATE_SIZE_LIMIT("state", "total", Type.SIZE, "64m", 1 << 20, 1L << 40, "A folder that holds more is told of.");

    /** What a value is, and how it is written. */
    public enum Type {
        /** A whole number. */
        COUNT("a whole number"),
        /** Milliseconds, written with ms, s, m or h. */
        TIME("a time as 250ms, 2s, 5m or 1h"),
        /** A percentage. */
        PERCENT("a percentage as 38%"),
        /** Bytes, written with k, m or g. */
        SIZE("a size as 64k, 16m or 1g"),
        /** Any text. */
        TEXT("a text, in double quotes where it has blanks"),
        /** One of some words. */
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

    /** Whether its value is a number within a range. */
    boolean isQuantity() {
        return type != Type.CHOICE && type != Type.TEXT;
    }

    static List<String> blocks() {
        return Arrays.stream(values()).map(k -> k.block).distinct().toList();
    }

    static List<Keyword> in(String block) {
        return Arrays.stream(values()).filter(k -> k.block.equals(block)).toList();
    }

    /** The default as it stands in a file. */
    String written() {
        return defaultText.isEmpty() ? "\"\"" : defaultText;
    }

    /** What a value must look like, in words. */
    String expected() {
        return type == Type.CHOICE ? type.wording + " " + String.join(", ", choices) : type.wording;
    }

    /** The range in the setting's own unit, in words. */
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
