package quincespar.recovery;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What the entries of a file come to; the same entries give the same, and {@link #compactedEntries} are the fewest that do. One thread uses it. */
public final class RecoveryState {
    /** Loads in doubt that are listed at the most; beyond it the oldest go, and are counted. */
    static final int MAX_DOUBTFUL_LOADS = 10_000;
    /** Engines that have left and are remembered; beyond it the longest ago are forgotten. */
    static final int MAX_DEPARTED_ENGINES = 4096;

    /**
     * A load that may run, or may have.
     *
     * @param engine where it was sent, empty where that is not known
     */
    public record Load(JournalEntry.LoadStarted start, String engine) {
        /** Its entries. */
        private void into(List<JournalEntry> out) {
            out.add(start);
            if (!engine.isEmpty()) {
                out.add(new JournalEntry.LoadSent(start.txn(), engine));
            }
        }
    }

    private final Map<String, Load> open = new LinkedHashMap<>();
    private final Map<String, Load> doubtful = new LinkedHashMap<>();
    private final Map<String, JournalEntry.EngineDeparted> left = new LinkedHashMap<>();
    private JournalEntry.ProcessStarted life = new JournalEntry.ProcessStarted("", 0);
    private long forgotten;

    /** What these entries come to. */
    public static RecoveryState replay(List<JournalEntry> entries) {
        RecoveryState out = new RecoveryState();
        entries.forEach(out::apply);
        return out;
    }

    /** Takes the next entry; false where it changes nothing, so that it need not be kept. */
    public boolean apply(JournalEntry e) {
        if (e instanceof JournalEntry.ProcessStarted x) {
            life = x;
            doubtful.putAll(open);
            open.clear();
            bound();
            return true;
        } else if (e instanceof JournalEntry.LoadStarted x) {
            open.put(x.txn(), new Load(x, ""));
            return true;
        } else if (e instanceof JournalEntry.LoadSent x) {
            return open.computeIfPresent(x.txn(), (txn, l) -> new Load(l.start(), x.engine())) != null;
        } else if (e instanceof JournalEntry.LoadEnded x) {
            return open.remove(x.txn()) != null;
        } else if (e instanceof JournalEntry.LoadAcknowledged x) {
            return doubtful.remove(x.txn()) != null;
        } else if (e instanceof JournalEntry.EngineDeparted x) {
            return departure(x);
        }
        return left.remove(((JournalEntry.EngineReturned) e).engine()) != null;
    }

    private boolean departure(JournalEntry.EngineDeparted x) {
        JournalEntry.EngineDeparted before = left.get(x.engine());
        if (before != null && before.startedAt() >= x.startedAt()) {
            return false;
        }
        left.put(x.engine(), x);
        if (left.size() > MAX_DEPARTED_ENGINES) {
            left.remove(left.keySet().iterator().next());
        }
        return true;
    }

    private void bound() {
        while (doubtful.size() > MAX_DOUBTFUL_LOADS) {
            doubtful.remove(doubtful.keySet().iterator().next());
            forgotten++;
        }
    }

    /** The process that the file was last written by. */
    public JournalEntry.ProcessStarted lastProcess() {
        return life;
    }

    /** Loads of this life that have not ended. */
    public int openLoads() {
        return open.size();
    }

    /** Loads of earlier lives of which nobody knows whether they ran, until staff have looked into them. */
    public Collection<Load> doubtfulLoads() {
        return List.copyOf(doubtful.values());
    }

    /** Loads in doubt that had to be dropped from the list, as it was full. */
    public long droppedLoads() {
        return forgotten;
    }

    /** An engine that drained or was gone, null where it did not leave. */
    public JournalEntry.EngineDeparted departure(String engine) {
        return left.get(engine);
    }

    /** How many engines are remembered to have left. */
    public int departedEngines() {
        return left.size();
    }

    /** The fewest entries that come to this. */
    public List<JournalEntry> compactedEntries() {
        List<JournalEntry> out = new ArrayList<>();
        doubtful.values().forEach(l -> l.into(out));
        out.add(life);
        open.values().forEach(l -> l.into(out));
        out.addAll(left.values());
        return out;
    }
}
