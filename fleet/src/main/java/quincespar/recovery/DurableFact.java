package quincespar.recovery;

/**
 * The kinds of facts that a front end may find from before a loss of power, and how far it trusts each. A fact is used only as
 * {@link #handling} says.
 */
public enum DurableFact {
    /**
     * The fleet's replicated state, with incarnations and other numbers that only rise; in the logs of a quorum, not in the
     * journal.
     */
    REPLICATED_STATE(TrustLevel.CERTAIN, "a quorum had it on disk before it was acknowledged"),
    /** That a load may have run; persisted before the load is sent. */
    LOAD_STARTED(TrustLevel.CERTAIN, "a load is sent only once this is on disk"),
    /** That an engine had drained or was gone; it stays so until the change log reports a later start. */
    ENGINE_DEPARTED(TrustLevel.FAIL_SAFE, "to send nothing new there costs throughput only; the change log's event numbers"
            + " restart with it, so an engine's start time tells old events from new ones"),
    /** Learned estimates of the engines' rates, costs and limits. */
    LEARNED_ESTIMATES(TrustLevel.HINT, "true of the engines as they were; never a reason to send more to one that may be cold"),
    /** That an engine was warm. */
    ENGINE_WARM(TrustLevel.UNTRUSTED, "a loss of power here may have hit the engine too; a cold engine that is taken for warm is"
            + " overloaded"),
    /** That an engine was healthy. */
    ENGINE_HEALTHY(TrustLevel.UNTRUSTED, "the first few answers show it"),
    /** The requests that were open at the engines. */
    OPEN_REQUESTS(TrustLevel.UNTRUSTED, "their clients are gone; loads are in the list of doubtful loads"),
    /** The wall clock's time. */
    CLOCK_TIME(TrustLevel.UNTRUSTED, "it may have stepped: waits are counted from this start, and times are for people to read");

    /** How far a fact from before the loss is trusted. */
    public enum TrustLevel {
        /** As it is. */
        CERTAIN,
        /** As it is, because an error only costs throughput. */
        FAIL_SAFE,
        /** As an initial estimate, which observations replace. */
        HINT,
        /** Not at all. */
        UNTRUSTED
    }

    /** The condition in which the folder was found. */
    public enum FolderCondition {
        /** As this instance left it. */
        WHOLE,
        /** Missing or empty. */
        LOST,
        /** An older copy: what was written after it is missing. */
        OLD,
        /** Corrupt from some position on. */
        CORRUPT,
        /** It belongs to another instance. */
        ANOTHERS
    }

    /** What is done with a fact. */
    public enum Handling {
        /** It is used as it is. */
        USED,
        /** It is used, and operators are told that some of it may be missing. */
        USED_PARTIALLY,
        /** It is not used; service goes on as after a first start, and operators are told that it is missing. */
        MISSING,
        /** It is never read from a folder. */
        NEVER_USED
    }

    private final TrustLevel trustLevel;
    private final String reason;

    DurableFact(TrustLevel trustLevel, String reason) {
        this.trustLevel = trustLevel;
        this.reason = reason;
    }

    /** How far it is trusted. */
    public TrustLevel trustLevel() {
        return trustLevel;
    }

    /** Why it is trusted so far. */
    public String reason() {
        return reason;
    }

    /**
     * What is done with this fact if the folder was found in that condition. The remaining part of a list of drained engines
     * or of doubtful loads is fail-safe, so a part is better than nothing. Hints from a folder that is not whole are not
     * used. Nothing is used of another instance's folder: that instance reports its loads itself, and they would be reported
     * twice.
     */
    public Handling handling(FolderCondition condition) {
        // the replicated state comes from the fleet, never from the journal
        if (trustLevel == TrustLevel.UNTRUSTED || this == REPLICATED_STATE) {
            return Handling.NEVER_USED;
        }
        return switch (condition) {
            case WHOLE -> Handling.USED;
            case LOST, ANOTHERS -> Handling.MISSING;
            case OLD, CORRUPT -> trustLevel == TrustLevel.HINT ? Handling.MISSING : Handling.USED_PARTIALLY;
        };
    }
}
