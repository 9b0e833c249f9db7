package quincespar.protocol;

import java.util.List;

/** One numbered event of the change log; where {@code complete}, what it does not name is gone. */
public record FleetEvent(long seq, long revision, boolean complete, List<Member> members) {
    /** What the change log says of an engine. */
    public enum Phase { UP, DRAINING, REMOVED }

    /** An engine as the change log has it; {@code startedAt} is 0 or the Unix millisecond of a late start. */
    public record Member(String id, String address, String zone, String kind, int cell, Phase phase, double size,
            double startedAt) {
        public Member {
            if (id.isEmpty() || address.lastIndexOf(':') <= 0) {
                throw new MalformedException("member " + id + " at '" + address + "'");
            }
        }

        /** The same engine, removed. */
        public Member removed() {
            return new Member(id, address, zone, kind, cell, Phase.REMOVED, size, startedAt);
        }
    }
}
