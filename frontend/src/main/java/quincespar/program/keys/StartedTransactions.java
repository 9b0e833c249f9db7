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

/**
 * The txns of requests that must not run twice and that the processes of one front end have begun to send, in a file that all of
 * them map into their memory. Each process writes a ring of its own, which the others read, also after its end. A client may
 * send a request that one process has begun again to the other. Writes come from one thread; reads may come from any.
 */
public final class StartedTransactions {
    /** Txns of a process that are remembered. */
    static final int CAPACITY = 4096;
    private static final int RADIX = 16;
    private static final VarHandle LONGS = MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.nativeOrder());
    /** A ring begins with the number of txns that were ever written to it. */
    private static final int RING_BYTES = (1 + CAPACITY) * Long.BYTES;

    private final ByteBuffer memory;
    private final int slots;
    private final int ownSlot;

    private StartedTransactions(ByteBuffer memory, int slots, int ownSlot) {
        this.memory = memory;
        this.slots = slots;
        this.ownSlot = ownSlot;
    }

    /** Maps the file, which is created if need be, for the process of a slot; what the slot had before is forgotten. */
    public static StartedTransactions open(Path file, int slots, int ownSlot) throws IOException {
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.READ,
                StandardOpenOption.WRITE)) {
            MappedByteBuffer memory = channel.map(FileChannel.MapMode.READ_WRITE, 0, (long) slots * RING_BYTES);
            clear(channel, ownSlot);
            StartedTransactions transactions = new StartedTransactions(memory, slots, ownSlot);
            transactions.startedByOther("0"); // reads the beginning of each ring, which allocates it where the folder is in memory
            return transactions;
        } catch (InternalError e) { // how the JVM reports a page that can't be read
            throw new IOException("a page of " + file + " can't be read", e);
        }
    }

    /** Writes a ring: that reports a full disk, and a later store to an unallocated page would end the process. */
    private static void clear(FileChannel channel, int slot) throws IOException {
        ByteBuffer empty = ByteBuffer.allocate(RING_BYTES);
        while (empty.hasRemaining()) {
            channel.write(empty, (long) slot * RING_BYTES + empty.position());
        }
    }

    /** Remembers a txn of 16 hexadecimal digits; call before it is sent. */
    public void add(String txn) {
        int ring = ownSlot * RING_BYTES;
        long written = (long) LONGS.getVolatile(memory, ring);
        LONGS.setVolatile(memory, ring + entryOffset(written), Long.parseUnsignedLong(txn, RADIX));
        LONGS.setVolatile(memory, ring, written + 1);
    }

    /** Whether another process has begun to send it. */
    public boolean startedByOther(String txn) {
        long wanted = Long.parseUnsignedLong(txn, RADIX);
        for (int slot = 0; slot < slots; slot++) {
            if (slot != ownSlot && ringContains(slot * RING_BYTES, wanted)) {
                return true;
            }
        }
        return false;
    }

    private boolean ringContains(int ring, long txn) {
        long written = (long) LONGS.getVolatile(memory, ring);
        for (long entry = Math.max(0, written - CAPACITY); entry < written; entry++) {
            if ((long) LONGS.getVolatile(memory, ring + entryOffset(entry)) == txn) {
                return true;
            }
        }
        return false;
    }

    private static int entryOffset(long entry) {
        return (1 + (int) (entry % CAPACITY)) * Long.BYTES;
    }
}
