package quincespar.program.keys;

import java.io.IOException;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;

/**
 * A file that the processes of one front end map into their memory. Each has a segment of entries, which it alone writes and
 * all read; a process that is killed leaves its entries as they are. All accesses are volatile, so that of two processes that
 * each write an entry and then read those of the other, at least one sees the other's. Times are those of
 * {@link System#nanoTime}, which all processes of a machine share.
 */
final class KeyTable {
    /** The state of an entry. */
    enum State {
        FREE,
        /** Its request waits for the key. */
        WAITING,
        /** Its request has the key. */
        HELD,
        /** Its request has ended, and the key stays blocked until a time. */
        SETTLING
    }

    /**
     * An entry as another process sees it.
     *
     * @param slot       the process whose entry it is
     * @param ticket     the place of its request in the order of arrival
     * @param untilNanos until when the key is blocked if it is settling
     */
    record Entry(int slot, State state, long ticket, long untilNanos) { }

    /** Entries of a process: more than requests fit into its memory. */
    static final int CAPACITY = 8192;
    private static final State[] STATES = State.values();
    private static final int STATE_BITS = 2;
    private static final VarHandle LONGS = MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.nativeOrder());

    /* Offsets within an entry, and its size. */
    private static final int STATE = 0, KEY = 8, TICKET = 16, UNTIL = 24, ENTRY_BYTES = 32;
    /** A segment begins with the number of its entries that have been used, in the space of one entry. */
    private static final int SEGMENT_BYTES = (1 + CAPACITY) * ENTRY_BYTES;

    private final ByteBuffer memory;
    private final int slots;
    private final int ownSlot;

    private KeyTable(ByteBuffer memory, int slots, int ownSlot) {
        this.memory = memory;
        this.slots = slots;
        this.ownSlot = ownSlot;
    }

    /** Maps the file, which is created if need be, for the process of a slot. */
    static KeyTable open(Path file, int slots, int ownSlot) throws IOException {
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.READ,
                StandardOpenOption.WRITE)) {
            MappedByteBuffer memory = channel.map(FileChannel.MapMode.READ_WRITE, 0, (long) slots * SEGMENT_BYTES);
            allocate(channel, memory, ownSlot);
            KeyTable table = new KeyTable(memory, slots, ownSlot);
            table.readAllHeaders();
            return table;
        } catch (InternalError e) { // how the JVM reports a page that can't be read
            throw new IOException("a page of " + file + " can't be read", e);
        }
    }

    /** Reads the beginning of each segment: where the folder is in memory, that allocates what later reads need. */
    private void readAllHeaders() {
        for (int slot = 0; slot < slots; slot++) {
            used(slot);
        }
    }

    /** Rewrites a segment as it is: a write reports a full disk, and a later store to an unallocated page would end the process. */
    private static void allocate(FileChannel channel, ByteBuffer memory, int slot) throws IOException {
        ByteBuffer segment = memory.duplicate().position(slot * SEGMENT_BYTES).limit((slot + 1) * SEGMENT_BYTES);
        ByteBuffer copy = ByteBuffer.allocate(SEGMENT_BYTES).put(segment).flip();
        while (copy.hasRemaining()) {
            channel.write(copy, (long) slot * SEGMENT_BYTES + copy.position());
        }
    }

    /** Writes an entry of this process that is free: a request waits for a key. */
    void publish(int index, long key, long ticket) {
        int at = entry(ownSlot, index);
        LONGS.setVolatile(memory, at + KEY, key);
        LONGS.setVolatile(memory, at + TICKET, ticket);
        if (used(ownSlot) <= index) {
            LONGS.setVolatile(memory, ownSlot * SEGMENT_BYTES, (long) index + 1);
        }
        setState(at, State.WAITING);
    }

    /** Changes the state of an entry of this process. */
    void set(int index, State state) {
        setState(entry(ownSlot, index), state);
    }

    /** The key of an entry of this process stays blocked until a time. */
    void settle(int index, long untilNanos) {
        int at = entry(ownSlot, index);
        LONGS.setVolatile(memory, at + UNTIL, untilNanos);
        setState(at, State.SETTLING);
    }

    /** The state of an entry of this process. */
    State state(int index) {
        return stateOf((long) LONGS.getVolatile(memory, entry(ownSlot, index) + STATE));
    }

    /** The entries of the other processes for a key. */
    List<Entry> entriesOfOthers(long key) {
        List<Entry> found = new ArrayList<>();
        for (int slot = 0; slot < slots; slot++) {
            int used = slot == ownSlot ? 0 : used(slot);
            for (int index = 0; index < used; index++) {
                addIfForKey(found, slot, index, key);
            }
        }
        return found;
    }

    private void addIfForKey(List<Entry> found, int slot, int index, long key) {
        int at = entry(slot, index);
        while (true) {
            long word = (long) LONGS.getVolatile(memory, at + STATE);
            if (stateOf(word) == State.FREE || (long) LONGS.getVolatile(memory, at + KEY) != key) {
                return;
            }
            Entry entry = new Entry(slot, stateOf(word), (long) LONGS.getVolatile(memory, at + TICKET),
                    (long) LONGS.getVolatile(memory, at + UNTIL));
            if (word == (long) LONGS.getVolatile(memory, at + STATE)) {
                found.add(entry);
                return;
            } // else the entry has changed meanwhile
        }
    }

    private int used(int slot) {
        long used = (long) LONGS.getVolatile(memory, slot * SEGMENT_BYTES);
        return (int) Math.max(0, Math.min(used, CAPACITY));
    }

    /** A state word has a count of changes besides the state, by which a reader sees that an entry was reused. */
    private void setState(int at, State state) {
        long changes = ((long) LONGS.getVolatile(memory, at + STATE) >>> STATE_BITS) + 1;
        LONGS.setVolatile(memory, at + STATE, changes << STATE_BITS | state.ordinal());
    }

    private static State stateOf(long word) {
        return STATES[(int) word & (1 << STATE_BITS) - 1];
    }

    private static int entry(int slot, int index) {
        return slot * SEGMENT_BYTES + (1 + index) * ENTRY_BYTES;
    }
}
