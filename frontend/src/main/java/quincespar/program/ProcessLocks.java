package quincespar.program;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells whether another process of this front end runs on this machine, as during an upgrade. Each process locks a file of its
 * own below {@code $TMPDIR}: one byte while it is alive, another while it serves. The system releases the locks when the process
 * ends in any way, so files left over by ended processes have no effect. The file names contain the clients' address, so that
 * front ends at other addresses may use the same folder. Without a writable {@code $TMPDIR} other processes are not detected.
 */
final class ProcessLocks implements AutoCloseable {
    /** Processes at one time; during an upgrade there are two. */
    static final int MAX_PROCESSES = 8;
    /** Positions of the locked bytes in a file. */
    private static final long ALIVE_BYTE = 0, SERVING_BYTE = 1;

    private final Logger log = LoggerFactory.getLogger(ProcessLocks.class);
    private final Path folder;
    private final String address;
    private final int ownNumber;
    private final FileChannel channel;
    private FileLock servingLock;

    private ProcessLocks(Path folder, String address, int ownNumber, FileChannel channel) {
        this.folder = folder;
        this.address = address;
        this.ownNumber = ownNumber;
        this.channel = channel;
    }

    /** Locks the first free file for this process, until {@link #close} or the end of the process. */
    static ProcessLocks acquire(Map<String, String> environment, InetSocketAddress listen) {
        String address = listen.getHostString() + "_" + listen.getPort();
        Logger log = LoggerFactory.getLogger(ProcessLocks.class);
        String tmp = environment.getOrDefault("TMPDIR", "");
        for (int i = 0; !tmp.isEmpty() && i < MAX_PROCESSES; i++) {
            try {
                Path folder = Path.of(tmp);
                FileChannel c = FileChannel.open(file(folder, address, i), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
                if (tryLock(c, ALIVE_BYTE) != null) {
                    return new ProcessLocks(folder, address, i, c);
                }
                c.close();
            } catch (IOException | RuntimeException e) {
                log.info("can't lock a file in {}, other processes are not detected: {}", tmp, e.toString());
                break;
            }
        }
        return new ProcessLocks(null, address, 0, null);
    }

    private static Path file(Path folder, String address, int number) {
        return folder.resolve("quincespar-" + address + "-" + number + ".lock");
    }

    /** Locks one byte; null if another process, or another part of this one, holds the lock. */
    private static FileLock tryLock(FileChannel c, long position) throws IOException {
        try {
            return c.tryLock(position, 1, false);
        } catch (OverlappingFileLockException e) {
            return null;
        }
    }

    /** Marks this process as serving clients. */
    synchronized void markServing() {
        try {
            servingLock = channel == null ? null : tryLock(channel, SERVING_BYTE);
        } catch (IOException e) {
            log.warn("can't mark this process as serving for other processes: {}", e.getMessage());
        }
    }

    /** Marks this process as no longer serving new clients. */
    synchronized void clearServing() {
        try {
            if (servingLock != null) {
                servingLock.release();
                servingLock = null;
            }
        } catch (IOException e) {
            log.warn("can't clear this process's mark as serving: {}", e.getMessage());
        }
    }

    /** The folder of the files, shared by all processes of the front end; null where others are not detected. */
    Path folder() {
        return folder;
    }

    /** The number of this process among those of the front end, less than {@link #MAX_PROCESSES}. */
    int ownNumber() {
        return ownNumber;
    }

    /** The address of the front end, in the form in which it stands in the names of files. */
    String address() {
        return address;
    }

    /** Whether the process of that number is alive, or may be. */
    boolean mayBeAlive(int number) {
        return number == ownNumber || holds(number, ALIVE_BYTE, true);
    }

    /** Whether another process is alive. */
    boolean othersAlive() {
        return anyOtherHolds(ALIVE_BYTE);
    }

    /** Whether another process serves at this address. */
    boolean othersServing() {
        return anyOtherHolds(SERVING_BYTE);
    }

    private boolean anyOtherHolds(long position) {
        for (int i = 0; folder != null && i < MAX_PROCESSES; i++) {
            if (i != ownNumber && holds(i, position, false)) {
                return true;
            }
        }
        return false;
    }

    /** Whether the process of that number holds a lock; {@code ifUnknown} where that can't be checked. */
    private boolean holds(int number, long position, boolean ifUnknown) {
        Path file = file(folder, address, number);
        if (!Files.exists(file)) {
            return false;
        }
        try (FileChannel c = FileChannel.open(file, StandardOpenOption.WRITE)) {
            return tryLock(c, position) == null; // a lock acquired here is released by the close
        } catch (IOException e) {
            log.info("can't check the lock of another process: {}", e.getMessage());
            return ifUnknown;
        }
    }

    @Override
    public void close() throws IOException {
        if (channel != null) {
            channel.close();
        }
    }
}
