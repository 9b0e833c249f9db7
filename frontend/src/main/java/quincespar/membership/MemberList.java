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

/** The engines by id, as the change log has reported them. Removed engines are not kept. */
final class MemberList {
    private final Map<String, Member> byId = new LinkedHashMap<>();

    /** Applies one event. Returns, as removed, the engines that a complete list leaves out. */
    List<Member> apply(FleetEvent event) {
        List<Member> removed = new ArrayList<>();
        if (event.complete()) {
            Set<String> missing = new LinkedHashSet<>(byId.keySet());
            event.members().forEach(m -> missing.remove(m.id()));
            missing.forEach(id -> removed.add(byId.remove(id).removed()));
        }
        for (Member member : event.members()) {
            if (member.phase() == Phase.REMOVED) {
                byId.remove(member.id());
            } else {
                byId.put(member.id(), member);
            }
        }
        return removed;
    }

    Collection<Member> all() {
        return List.copyOf(byId.values());
    }
}
