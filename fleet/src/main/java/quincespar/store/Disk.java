package quincespar.store;

import java.io.IOException;

/** The files of one folder. Whatever the disk refuses is thrown as an {@link IOException} with a one-line message. */
public interface Disk extends AutoCloseable {

    /** Locks the folder for this process until {@link #close} or its end; false if another process holds the lock. */
    boolean lock() throws IOException;

    /** The contents of a file, null if there is no such file. */
    byte[] read(String name) throws IOException;

    /**
     * Replaces a file atomically and durably: after it returns, the new contents survive a loss of power; after it throws, the
     * file has either the old or the new contents.
     */
    void replace(String name, byte[] bytes) throws IOException;

    /** A file that is open for appending. */
    interface Appender extends AutoCloseable {
        /** Appends bytes; after it throws, any prefix of them may have been written. */
        void write(byte[] bytes) throws IOException;

        /** Forces the file to disk: after it returns, what was appended survives a loss of power. */
        void force() throws IOException;

        @Override
        void close() throws IOException;
    }

    /** Opens a file for appending, and creates it if it is missing. */
    Appender openForAppend(String name) throws IOException;

    /** The bytes that are free for files of this folder. */
    long freeBytes() throws IOException;

    /** The total size of all files in the folder and its subfolders, in bytes. */
    long usedBytes() throws IOException;

    @Override
    void close() throws IOException;
}
