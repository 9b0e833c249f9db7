package quincespar.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import quincespar.protocol.FleetEvent;
import quincespar.protocol.FleetEvent.Member;
import quincespar.protocol.FleetEvent.Phase;

/** The engines as told, by id; those that are removed are not kept. */
final class MemberList {
    private final Map<String, Member> all = new LinkedHashMap<>();

    /** Takes one event; answers those that it leaves out of a complete list, as removed. */
    List<Member> take(FleetEvent event) {
        List<Member> removed = new ArrayList<>();
        if (event.complete()) {
            Set<String> left = new LinkedHashSet<>(all.keySet());
            event.members().forEach(m -> left.remove(m.id()));
            left.forEach(id -> removed.add(all.remove(id).removed()));
        }
        for (Member m : event.members()) {
            if (m.phase() == Phase.REMOVED) {
                all.remove(m.id());
            } else {
                all.put(m.id(), m);
            }
        }
        return removed;
    }

    Collection<Member> all() {
        return List.copyOf(all.values());
    }
}
