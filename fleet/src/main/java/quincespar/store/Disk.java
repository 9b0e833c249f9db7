package quincespar.store;

import java.io.IOException;

/** Files of one folder. Everything that a disk can refuse comes as an {@link IOException} with a plain message. */
public interface Disk extends AutoCloseable {

    /** Takes the folder for this process, until {@link #close} or its end; false where another process has it. */
    boolean lock() throws IOException;

    /** A file's bytes, null where there is no such file. */
    byte[] read(String name) throws IOException;

    /**
     * Replaces a file whole: after it returns the new bytes are there after a loss of power; after it throws, either the
     * old or the new ones are.
     */
    void replace(String name, byte[] bytes) throws IOException;

    /** A file that is written at its end. */
    interface Appender extends AutoCloseable {
        /** Adds bytes; after it throws, any first part of them may be there. */
        void write(byte[] bytes) throws IOException;

        /** After it returns, what was added is there after a loss of power. */
        void force() throws IOException;

        @Override
        void close() throws IOException;
    }

    /** Opens a file to add to it, made where it is missing. */
    Appender openForAppend(String name) throws IOException;

    /** Bytes that are free for files of this folder. */
    long freeBytes() throws IOException;

    /** Bytes that all files of the folder and below hold. */
    long usedBytes() throws IOException;

    @Override
    void close() throws IOException;
}
