package quincespar.fleet;

import java.util.List;

/**
 * The whole replicated state.
 *
 * @param format the format version of this record; a reader refuses any that it does not know
 * @param version rises with each change that other instances should learn of
 * @param time agreed time, in milliseconds
 * @param lastIncarnation the highest incarnation assigned so far
 * @param names what is kept of each name beyond its current incarnation
 */
public record Snapshot(int format, long version, long time, long lastIncarnation, List<Instance> instances,
        List<Register> registers, List<NameRecord> names) {

    /**
     * What is kept of a name permanently.
     *
     * @param lastJoinNonce the nonce of the join that started its last incarnation, so that a retried join is recognized
     * @param votingFolder the identity of the one folder that votes under this name, empty if none ever has
     * @param votingIncarnation the last incarnation assigned to that folder
     * @param mark the highest mark that the folder was reported to hold durably
     */
    public record NameRecord(String name, long lastJoinNonce, String votingFolder, long votingIncarnation, long mark) {
        /** The record of a name that has never joined. */
        static NameRecord unknown(String name) {
            return new NameRecord(name, 0, "", 0, 0);
        }

        /**
         * Returns why a folder must not vote under this name, because it has lost votes or log entries that it had acknowledged;
         * empty if it may vote. A pending join, recognized by its nonce, may have been granted without the folder knowing it.
         */
        String votingRejection(String folder, long lastIncarnation, long folderMark, long joinNonce) {
            if (votingFolder.isEmpty()) {
                return "";
            } else if (!votingFolder.equals(folder)) {
                return "another folder has voted as " + name + ": what that one has promised this one does not know";
            } else if (lastIncarnation < votingIncarnation && joinNonce != lastJoinNonce) {
                return "the folder of " + name + " ends with incarnation " + lastIncarnation + ", and the fleet knows "
                        + votingIncarnation + " of it: it is a copy, or was restored from before";
            }
            return folderMark >= mark ? "" : "the folder of " + name + " was last marked " + folderMark
                    + ", and the fleet has heard of " + mark + ": it is a copy, or was restored from before";
        }
    }

    /** Why that folder must not vote under that name, as far as this state knows: {@link NameRecord#votingRejection}. */
    public String votingRejection(String name, String folder, long lastIncarnation, long mark, long joinNonce) {
        return names.stream().filter(n -> n.name().equals(name)).findFirst()
                .map(n -> n.votingRejection(folder, lastIncarnation, mark, joinNonce)).orElse("");
    }

    /** The format version that this program writes and reads. */
    public static final int FORMAT = 2;

    /** The initial state. */
    public static final Snapshot EMPTY = new Snapshot(FORMAT, 0, 0, 0, List.of(), List.of(), List.of());
}
