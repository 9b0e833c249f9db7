package quincespar.recovery;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The state that a sequence of journal entries amounts to. Equal entries give equal states, and {@link #compactedEntries} are the
 * fewest entries that give this one. Not thread-safe.
 */
public final class RecoveryState {
    /** The most loads in doubt that are kept; beyond it the oldest are dropped and counted. */
    static final int MAX_DOUBTFUL_LOADS = 10_000;
    /** The most departed engines that are kept; beyond it the one added first is forgotten. */
    static final int MAX_DEPARTED_ENGINES = 4096;

    /**
     * A load that is running, or may have run.
     *
     * @param engine the engine that it was sent to, empty if that is not known
     */
    public record Load(JournalEntry.LoadStarted start, String engine) {
        private void addEntriesTo(List<JournalEntry> out) {
            out.add(start);
            if (!engine.isEmpty()) {
                out.add(new JournalEntry.LoadSent(start.txn(), engine));
            }
        }
    }

    private final Map<String, Load> openLoads = new LinkedHashMap<>();
    private final Map<String, Load> doubtfulLoads = new LinkedHashMap<>();
    private final Map<String, JournalEntry.EngineDeparted> departures = new LinkedHashMap<>();
    private JournalEntry.ProcessStarted lastProcess = new JournalEntry.ProcessStarted("", 0);
    private long droppedLoads;

    /** The state that these entries amount to. */
    public static RecoveryState replay(List<JournalEntry> entries) {
        RecoveryState out = new RecoveryState();
        entries.forEach(out::apply);
        return out;
    }

    /** Applies the next entry; false if it changes nothing, so that it need not be persisted. */
    public boolean apply(JournalEntry entry) {
        if (entry instanceof JournalEntry.ProcessStarted process) {
            lastProcess = process;
            doubtfulLoads.putAll(openLoads);
            openLoads.clear();
            dropOldestDoubtful();
            return true;
        } else if (entry instanceof JournalEntry.LoadStarted start) {
            openLoads.put(start.txn(), new Load(start, ""));
            return true;
        } else if (entry instanceof JournalEntry.LoadSent sent) {
            return openLoads.computeIfPresent(sent.txn(), (txn, load) -> new Load(load.start(), sent.engine())) != null;
        } else if (entry instanceof JournalEntry.LoadEnded ended) {
            return openLoads.remove(ended.txn()) != null;
        } else if (entry instanceof JournalEntry.LoadAcknowledged acknowledged) {
            return doubtfulLoads.remove(acknowledged.txn()) != null;
        } else if (entry instanceof JournalEntry.EngineDeparted departed) {
            return addDeparture(departed);
        }
        return departures.remove(((JournalEntry.EngineReturned) entry).engine()) != null;
    }

    private boolean addDeparture(JournalEntry.EngineDeparted departed) {
        JournalEntry.EngineDeparted before = departures.get(departed.engine());
        if (before != null && before.startedAt() >= departed.startedAt()) {
            return false;
        }
        departures.put(departed.engine(), departed);
        if (departures.size() > MAX_DEPARTED_ENGINES) {
            departures.remove(departures.keySet().iterator().next());
        }
        return true;
    }

    private void dropOldestDoubtful() {
        while (doubtfulLoads.size() > MAX_DOUBTFUL_LOADS) {
            doubtfulLoads.remove(doubtfulLoads.keySet().iterator().next());
            droppedLoads++;
        }
    }

    /** The process that last wrote the journal. */
    public JournalEntry.ProcessStarted lastProcess() {
        return lastProcess;
    }

    /** How many loads of the current process have not ended. */
    public int openLoads() {
        return openLoads.size();
    }

    /** Loads of earlier processes that may or may not have run and that no operator has acknowledged yet. */
    public Collection<Load> doubtfulLoads() {
        return List.copyOf(doubtfulLoads.values());
    }

    /** How many loads in doubt were dropped because the list was full. */
    public long droppedLoads() {
        return droppedLoads;
    }

    /** The departure of an engine that has drained or is gone, null if it has not departed. */
    public JournalEntry.EngineDeparted departure(String engine) {
        return departures.get(engine);
    }

    /** How many departed engines are kept. */
    public int departedEngines() {
        return departures.size();
    }

    /** The fewest entries that give this state. */
    public List<JournalEntry> compactedEntries() {
        List<JournalEntry> out = new ArrayList<>();
        doubtfulLoads.values().forEach(load -> load.addEntriesTo(out));
        out.add(lastProcess);
        openLoads.values().forEach(load -> load.addEntriesTo(out));
        out.addAll(departures.values());
        return out;
    }
}
