package quincespar.fleet;

import java.util.List;

/**
 * The whole agreed state.
 *
 * @param format the form of this record; a reader refuses one that it does not know
 * @param version rises with each change that others should know of
 * @param time agreed time, in milliseconds
 * @param incarnations the highest incarnation given so far
 * @param names what is kept of each name beside its last life
 */
public record Snapshot(int format, long version, long time, long lastIncarnation, List<Instance> instances,
        List<Register> registers, List<NameRecord> names) {

    /**
     * What is kept of a name for good.
     *
     * @param nonce of the join that began its last life, so that it is not begun twice
     * @param votes the identity of the one folder that votes under this name, empty where none ever has
     * @param incarnation the last that was given to that folder
     * @param mark the highest that it was said to hold for certain
     */
    public record NameRecord(String name, long lastJoinNonce, String votingFolder, long votingIncarnation, long mark) {
        /** Of a name of which nothing is known. */
        static NameRecord unknown(String name) {
            return new NameRecord(name, 0, "", 0, 0);
        }

        /**
         * Why a folder must not vote under this name, as what it has promised it does not know any more; empty where nothing
         * speaks against it. A join under way, by its nonce, may have been granted though the folder does not know it.
         */
        String votingRejection(String folder, long last, long marked, long asked) {
            if (votingFolder.isEmpty()) {
                return "";
            } else if (!votingFolder.equals(folder)) {
                return "another folder has voted as " + name + ": what that one has promised this one does not know";
            } else if (last < votingIncarnation && asked != lastJoinNonce) {
                return "the folder of " + name + " ends with incarnation " + last + ", and the fleet knows " + votingIncarnation
                        + " of it: it is a copy, or was restored from before";
            }
            return marked >= mark ? "" : "the folder of " + name + " was last marked " + marked + ", and the fleet has heard of "
                    + mark + ": it is a copy, or was restored from before";
        }
    }

    /** Why that folder must not vote under that name, as far as this state knows: {@link NameRecord#votingRejection}. */
    public String votingRejection(String name, String folder, long last, long mark, long nonce) {
        return names.stream().filter(k -> k.name().equals(name)).findFirst().map(k -> k.votingRejection(folder, last, mark, nonce))
                .orElse("");
    }

    /** The form that this program writes and reads. */
    public static final int FORMAT = 2;

    /** Nothing agreed yet. */
    public static final Snapshot EMPTY = new Snapshot(FORMAT, 0, 0, 0, List.of(), List.of(), List.of());
}
