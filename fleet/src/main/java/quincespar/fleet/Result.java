package quincespar.fleet;

/** The result of a {@link Command}. */
public sealed interface Result {

    /** The instance has joined under this incarnation. */
    record Joined(long incarnation) implements Result { }

    /** The session is renewed; {@code state} is the encoded {@link Snapshot} if the instance's version is old, else empty. */
    record Renewed(long version, long time, byte[] state) implements Result { }

    /** The register was written and has this version now. */
    record Written(long version) implements Result { }

    /** The register has another version than expected, with this value; nothing was written. */
    record Conflict(long version, String value) implements Result { }

    /** The command was applied and returns nothing. */
    record Done() implements Result { }

    /** The command was refused and had no effect. */
    record Refused(Reason reason, String message) implements Result { }

    /** Why a command was refused. */
    enum Reason {
        /** Another incarnation of this name has a session, which may expire later. */
        NAME_TAKEN,
        /** The folder is older than what the fleet knows of it: it is a copy or was restored from a backup. */
        FOLDER_OUTDATED,
        /** The incarnation has ended: its session expired, or it has left. */
        INCARNATION_ENDED,
        /** A later incarnation of this name has replaced this one. */
        SUPERSEDED,
        /** A size limit of the state is reached. */
        LIMIT_REACHED,
        /** The write's sequence number is not the next one. */
        OUT_OF_ORDER
    }
}
