package quincespar.fleet;

/** What became of a command. */
public sealed interface Result {

    /** The life has begun, under this incarnation. */
    record Joined(long incarnation) implements Result { }

    /** The session is renewed; {@code state} is the whole agreed state where the asker's version is old, else empty. */
    record Renewed(long version, long time, byte[] state) implements Result { }

    /** The register has this version now. */
    record Written(long version) implements Result { }

    /** It has another version than was asked for, and nothing was written. */
    record Conflict(long version, String value) implements Result { }

    /** Done, with nothing to tell. */
    record Done() implements Result { }

    /** Not done. */
    record Refused(Reason reason, String message) implements Result { }

    /** Why a command was refused. */
    enum Reason {
        /** Another life of this name is under way: it may be over in a while. */
        NAME_TAKEN,
        /** The folder is older than what the fleet knows of it: a copy, or one restored from before. */
        FOLDER_OUTDATED,
        /** This life is over: it was not heard of for too long, or has left. */
        INCARNATION_ENDED,
        /** Another life of this name has followed this one. */
        SUPERSEDED,
        /** A bound of the state is reached. */
        LIMIT_REACHED,
        /** The write's number is not the next one. */
        OUT_OF_ORDER
    }
}
