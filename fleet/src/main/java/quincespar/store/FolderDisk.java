package quincespar.store;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.FileSystemException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.stream.Stream;

/** A folder of the file system, created if it is missing. */
public class FolderDisk implements Disk {
    private static final String LOCK = "lock", NEXT = ".next";

    private final Path folder;
    private FileChannel lock;

    /** Does not touch the folder yet. */
    public FolderDisk(Path folder) {
        this.folder = folder;
    }

    @Override
    public boolean lock() throws IOException {
        try {
            Files.createDirectories(folder);
            FileChannel c = FileChannel.open(folder.resolve(LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            try {
                if (c.tryLock() != null) {
                    lock = c;
                    return true;
                }
            } catch (OverlappingFileLockException e) { // this process holds the lock already
                c.close();
                return false;
            }
            c.close();
            return false;
        } catch (FileSystemException e) {
            throw withReason(e);
        }
    }

    @Override
    public byte[] read(String name) throws IOException {
        try {
            return Files.readAllBytes(folder.resolve(name));
        } catch (NoSuchFileException e) {
            return null;
        } catch (FileSystemException e) {
            throw withReason(e);
        }
    }

    @Override
    public void replace(String name, byte[] bytes) throws IOException {
        Path next = folder.resolve(name + NEXT);
        try (FileChannel c = FileChannel.open(next, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
                StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer b = ByteBuffer.wrap(bytes);
            while (b.hasRemaining()) {
                c.write(b);
            }
            c.force(true); // before the rename: else the new name, but not the contents, may survive a loss of power
        } catch (FileSystemException e) {
            throw withReason(e);
        }
        Files.move(next, folder.resolve(name), StandardCopyOption.ATOMIC_MOVE);
        try (FileChannel c = FileChannel.open(folder, StandardOpenOption.READ)) {
            c.force(true); // makes the rename durable
        }
    }

    @Override
    public Appender openForAppend(String name) throws IOException {
        try {
            return new FileAppender(FileChannel.open(folder.resolve(name), StandardOpenOption.CREATE, StandardOpenOption.WRITE,
                    StandardOpenOption.APPEND));
        } catch (FileSystemException e) {
            throw withReason(e);
        }
    }

    private record FileAppender(FileChannel file) implements Appender {
        @Override
        public void write(byte[] bytes) throws IOException {
            ByteBuffer b = ByteBuffer.wrap(bytes);
            while (b.hasRemaining()) {
                file.write(b);
            }
        }

        @Override
        public void force() throws IOException {
            file.force(false);
        }

        @Override
        public void close() throws IOException {
            file.close();
        }
    }

    @Override
    public long freeBytes() throws IOException {
        return Files.getFileStore(folder).getUsableSpace();
    }

    @Override
    public long usedBytes() throws IOException {
        try (Stream<Path> all = Files.walk(folder)) {
            return all.filter(Files::isRegularFile).mapToLong(FolderDisk::size).sum();
        } catch (UncheckedIOException e) {
            throw e.getCause();
        }
    }

    private static long size(Path file) {
        try {
            return Files.size(file);
        } catch (NoSuchFileException e) { // deleted in the meantime
            return 0;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() throws IOException {
        if (lock != null) {
            lock.close();
            lock = null;
        }
    }

    /** Adds the reason, because the message of the exception has only the path. */
    private static IOException withReason(FileSystemException e) {
        return new IOException(e.getFile() + ": " + (e.getReason() == null ? e.getClass().getSimpleName() : e.getReason()), e);
    }
}
