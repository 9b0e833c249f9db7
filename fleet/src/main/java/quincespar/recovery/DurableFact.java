package quincespar.recovery;

/**
 * What a front end believes of what it finds from before the loss, fact by fact. A fact is used as {@link #handling} says and in no other way;
 * each line of that table has its test in {@code TrustTest}.
 */
public enum DurableFact {
    /** What the fleet has agreed on, incarnations and other numbers that only rise: kept by a majority's logs, not by this file. */
    REPLICATED_STATE(TrustLevel.CERTAIN, "a majority had it on disk before anyone was told"),
    /** That a load may have run: it was forced out before the load was sent. */
    LOAD_STARTED(TrustLevel.CERTAIN, "a load goes out only once this is on disk"),
    /** That an engine drained or was gone: it stays so until the change log tells of a later start. */
    ENGINE_DEPARTED(TrustLevel.FAIL_SAFE, "taking nothing new there can't be wrong, only slow; the change log's numbers begin anew with each of"
            + " its starts, so an engine's own start tells old news from new"),
    /** What was learned of engines' rates, costs and bounds. */
    LEARNED_ESTIMATES(TrustLevel.HINT, "true of engines as they were; never a reason to send more to one that may be cold"),
    /** That an engine was warm. */
    ENGINE_WARM(TrustLevel.UNTRUSTED, "what takes the power from here may take it from there; a cold engine that is taken for warm falls over"),
    /** That an engine was well. */
    ENGINE_HEALTHY(TrustLevel.UNTRUSTED, "the first answers show it, for a few requests"),
    /** What was open at engines. */
    OPEN_REQUESTS(TrustLevel.UNTRUSTED, "its clients have gone; loads are in the list of doubts"),
    /** The time on the clock. */
    CLOCK_TIME(TrustLevel.UNTRUSTED, "it may have stepped while nobody looked: waits count from this start, times are for people to read");

    /** How far a fact from before is believed. */
    public enum TrustLevel {
        /** As it stands. */
        CERTAIN,
        /** Where being wrong costs work and breaks nothing. */
        FAIL_SAFE,
        /** As a first guess, which what is seen replaces. */
        HINT,
        /** Not at all. */
        UNTRUSTED
    }

    /** How the folder was found. */
    public enum FolderCondition {
        /** As this instance left it. */
        WHOLE,
        /** There is none, or it is empty. */
        LOST,
        /** A copy of before: what came after it is missing. */
        OLD,
        /** Its bytes are not what was written, from some place on. */
        CORRUPT,
        /** It is another instance's. */
        ANOTHERS
    }

    /** What is done with a fact. */
    public enum Handling {
        /** It is taken as it stands. */
        USED,
        /** It is taken, and operators are told that some may be missing. */
        USED_PARTIALLY,
        /** It is not taken; service goes on as after a first start, and operators are told that it is missing. */
        MISSING,
        /** It is never taken from a folder. */
        NEVER_USED
    }

    private final TrustLevel belief;
    private final String reason;

    DurableFact(TrustLevel belief, String reason) {
        this.belief = belief;
        this.reason = reason;
    }

    /** How far it is believed. */
    public TrustLevel trustLevel() {
        return belief;
    }

    /** Why. */
    public String reason() {
        return reason;
    }

    /**
     * What is done with this fact where the folder was found so. What is left of a list of drained engines or of loads in doubt errs
     * to the safe side, so a part is better than nothing; a hint from a folder that is not whole is none; of another's nothing is taken, as
     * its loads are its own to tell and may be told twice.
     */
    public Handling handling(FolderCondition found) {
        if (belief == TrustLevel.UNTRUSTED || this == REPLICATED_STATE) { // what is agreed comes from the fleet, never from this file
            return Handling.NEVER_USED;
        }
        return switch (found) {
            case WHOLE -> Handling.USED;
            case LOST, ANOTHERS -> Handling.MISSING;
            case OLD, CORRUPT -> belief == TrustLevel.HINT ? Handling.MISSING : Handling.USED_PARTIALLY;
        };
    }
}
