package quincespar.protocol;

import java.util.List;

/** A numbered event of the change log; if {@code complete}, it lists all engines and any other is removed. */
public record FleetEvent(long seq, long revision, boolean complete, List<Member> members) {
    /** State of an engine in the change log; the names are those of its JSON, in capitals. */
    public enum Phase { UP, DRAINING, REMOVED }

    /** An engine in the change log; {@code startedAt} is the time of a recent start in Unix milliseconds, or else 0. */
    public record Member(String id, String address, String zone, String kind, int cell, Phase phase, double size,
            double startedAt) {
        public Member {
            if (id.isEmpty() || address.lastIndexOf(':') <= 0) {
                throw new MalformedException("member '" + id + "' has no valid id or address: '" + address + "'");
            }
        }

        /** A copy of this engine with phase {@code REMOVED}. */
        public Member removed() {
            return new Member(id, address, zone, kind, cell, Phase.REMOVED, size, startedAt);
        }
    }
}
